/// P7: a planned stop under load cuts, loses and doubles no request.
#include "requests_fixture.h"

#include <csignal>

using namespace damask;
using namespace damask::harness;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int callers = 40;

/// What callers were told, by request id.
struct Told {
    int done = 0;
    int notRun = 0;
    int unknown = 0;
    int broken = 0; ///< no whole answer
};

/// Callers on keep-alive connections that each send one request after another.
class Load {
public:
    Load(Fleet& fleet, Address address)
        : m_address(std::move(address))
    {
        for (int i = 0; i < callers; ++i)
            m_clients.push_back(std::make_unique<HttpClient>(fleet.loop().base(), HttpLimits {}));
    }

    void start()
    {
        for (std::size_t i = 0; i < m_clients.size(); ++i)
            next(i);
    }

    void stop() { m_running = false; }
    int open() const { return m_open; }
    const std::map<std::string, Told>& told() const { return m_told; }
    int refusedWithoutRetryAfter() const { return m_withoutRetryAfter; }
    int refusedWithoutClose() const { return m_withoutClose; }

private:
    void next(std::size_t caller)
    {
        if (!m_running)
            return;
        const auto id = "r" + std::to_string(m_next++);
        HttpRequest request { "POST", "/pricing/order", "", { { "X-Request-Id", id } }, "cake" };
        ++m_open;
        m_clients[caller]->send(m_address, request, 20s, [this, id, caller](const HttpResult& result) {
            --m_open;
            record(id, result);
            // The platform's balancer has been told: after a refusal it sends nothing more here.
            if (result && outcomeOf(*result) != "not-run")
                next(caller);
        });
    }

    void record(const std::string& id, const HttpResult& result)
    {
        auto& told = m_told[id];
        if (!result) {
            told.broken += result.error().bytesSent;
            told.notRun += !result.error().bytesSent;
            return;
        }
        const auto outcome = outcomeOf(*result);
        told.done += outcome == "done";
        told.notRun += outcome == "not-run";
        told.unknown += outcome == "unknown";
        m_withoutRetryAfter += outcome == "not-run" && !saysWhenToRetry(*result);
        m_withoutClose += outcome == "not-run" && http::header(result->headers, "Connection") != "close";
    }

    Address m_address;
    std::vector<std::unique_ptr<HttpClient>> m_clients;
    std::map<std::string, Told> m_told;
    int m_next = 0;
    int m_open = 0;
    int m_withoutRetryAfter = 0;
    int m_withoutClose = 0;
    bool m_running = true;
};

} // namespace

BOOST_AUTO_TEST_CASE(plannedStopUnderLoadCutsNothing)
{
    for (int round = 0; round < 3; ++round) {
        Edge edge({ { "slotsPerVm", 4 }, { "queueLimit", 200 } });
        edge.declare("e1", edge.fleet.endpoint("e1").address);
        edge.declare("e2", edge.fleet.endpoint("e2").address);
        edge.setMode("e1", { { "delayMs", 100 } });
        edge.setMode("e2", { { "delayMs", 6000 } }); // longer than any wait for connections
        Load load(edge.fleet, edge.fleet.daemon("a").callers);
        load.start();
        BOOST_REQUIRE(edge.fleet.eventually([&] { return load.told().size() > 60; }));
        edge.fleet.daemon("a").process->signal(SIGTERM);
        BOOST_TEST(edge.fleet.eventually([&] { return load.open() == 0; }, 30s));
        load.stop();
        BOOST_TEST(edge.fleet.daemon("a").process->wait() == 0);
        const auto history = edge.fleet.callJson(edge.fleet.platform(), "GET", "/admin/history").second;
        BOOST_TEST(history["announcements"].value("a", true) == false);
        const auto runs = edge.fleet.runCountsById();
        int refused = 0;
        for (const auto& [id, told] : load.told()) {
            const int ran = runs.contains(id) ? runs.at(id) : 0;
            BOOST_TEST(told.broken == 0, id << " got no whole answer");
            BOOST_TEST(told.unknown == 0, id << " is outcome unknown");
            BOOST_TEST(ran == told.done, id << " ran " << ran << " times, done " << told.done);
            refused += told.notRun;
        }
        BOOST_TEST(refused > 0);
        BOOST_TEST(load.refusedWithoutRetryAfter() == 0);
        BOOST_TEST(load.refusedWithoutClose() == 0);
    }
}
