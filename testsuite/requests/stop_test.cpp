/// \file
/// Guarantee P7: a planned stop under load interrupts, loses and duplicates no request.
#include "requests_fixture.h"

#include <csignal>

using namespace damask;
using namespace damask::harness;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int callerCount = 40;

/// Outcomes that the callers saw for one request id.
struct OutcomeCounts {
    int done = 0;
    int notRun = 0;
    int unknown = 0;
    int incomplete = 0; ///< no complete response
};

/// Callers on keep-alive connections that each send one request after another.
class LoadGenerator {
public:
    LoadGenerator(Fleet& fleet, Address address)
        : m_address(std::move(address))
    {
        for (int i = 0; i < callerCount; ++i)
            m_clients.push_back(std::make_unique<HttpClient>(fleet.loop().base(), HttpLimits {}));
    }

    void start()
    {
        for (std::size_t i = 0; i < m_clients.size(); ++i)
            sendNext(i);
    }

    void stop() { m_isRunning = false; }
    int openRequests() const { return m_openRequests; }
    const std::map<std::string, OutcomeCounts>& outcomes() const { return m_outcomes; }
    int refusedWithoutRetryAfter() const { return m_withoutRetryAfter; }
    int refusedWithoutClose() const { return m_withoutClose; }

private:
    void sendNext(std::size_t caller)
    {
        if (!m_isRunning)
            return;
        const auto id = "r" + std::to_string(m_nextId++);
        HttpRequest request { "POST", "/pricing/order", "", { { "X-Request-Id", id } }, "cake" };
        ++m_openRequests;
        m_clients[caller]->send(m_address, request, 20s, [this, id, caller](const HttpResult& result) {
            --m_openRequests;
            record(id, result);
            // The daemon has told the platform's balancer that it stops, so a caller sends nothing more after
            // a refusal.
            if (result && outcomeOf(*result) != "not-run")
                sendNext(caller);
        });
    }

    void record(const std::string& id, const HttpResult& result)
    {
        auto& outcomes = m_outcomes[id];
        if (!result) {
            outcomes.incomplete += result.error().mayHaveBeenSent;
            outcomes.notRun += !result.error().mayHaveBeenSent;
            return;
        }
        const auto outcome = outcomeOf(*result);
        outcomes.done += outcome == "done";
        outcomes.notRun += outcome == "not-run";
        outcomes.unknown += outcome == "unknown";
        m_withoutRetryAfter += outcome == "not-run" && !hasRetryAfter(*result);
        m_withoutClose += outcome == "not-run" && http::header(result->headers, "Connection") != "close";
    }

    Address m_address;
    std::vector<std::unique_ptr<HttpClient>> m_clients;
    std::map<std::string, OutcomeCounts> m_outcomes;
    int m_nextId = 0;
    int m_openRequests = 0;
    int m_withoutRetryAfter = 0;
    int m_withoutClose = 0;
    bool m_isRunning = true;
};

} // namespace

BOOST_AUTO_TEST_CASE(plannedStopUnderLoadInterruptsNoRequest)
{
    for (int round = 0; round < 3; ++round) {
        RequestFixture fixture({ { "slotsPerVm", 4 }, { "queueLimit", 200 } });
        fixture.declare("e1", fixture.fleet.endpoint("e1").address);
        fixture.declare("e2", fixture.fleet.endpoint("e2").address);
        fixture.setMode("e1", { { "delayMs", 100 } });
        fixture.setMode("e2", { { "delayMs", 6000 } }); // longer than any wait for connections
        LoadGenerator load(fixture.fleet, fixture.fleet.daemon("a").callers);
        load.start();
        BOOST_REQUIRE(fixture.fleet.eventually([&] { return load.outcomes().size() > 60; }));
        fixture.fleet.daemon("a").process->signal(SIGTERM);
        BOOST_TEST(fixture.fleet.eventually([&] { return load.openRequests() == 0; }, 30s));
        load.stop();
        BOOST_TEST(fixture.fleet.daemon("a").process->wait() == 0);
        const auto history = fixture.fleet.callJson(fixture.fleet.platform(), "GET", "/admin/history").second;
        BOOST_TEST(history["announcements"].value("a", true) == false);
        const auto runs = fixture.fleet.runCountsById();
        int refused = 0;
        for (const auto& [id, outcomes] : load.outcomes()) {
            const int ran = runs.contains(id) ? runs.at(id) : 0;
            BOOST_TEST(outcomes.incomplete == 0, id << " got no complete response");
            BOOST_TEST(outcomes.unknown == 0, id << " has an unknown outcome");
            BOOST_TEST(ran == outcomes.done, id << " ran " << ran << " times, done " << outcomes.done);
            refused += outcomes.notRun;
        }
        BOOST_TEST(refused > 0);
        BOOST_TEST(load.refusedWithoutRetryAfter() == 0);
        BOOST_TEST(load.refusedWithoutClose() == 0);
    }
}
