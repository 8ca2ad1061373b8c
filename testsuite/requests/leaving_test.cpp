/// P6: a leaving endpoint gets no new work after 5 s, by any one of the signs that it leaves.
#include "requests_fixture.h"

#include <csignal>

using namespace damask;
using namespace damask::harness;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds target = 5s;

struct Leaving : Edge {
    Leaving()
    {
        declare("e1", fleet.endpoint("e1").address);
        declare("e2", fleet.endpoint("e2").address);
        BOOST_REQUIRE(fleet.eventually([&] { return gets("e1") && gets("e2"); }));
        // A VM that the list has never shown may be new and gets work, so it can't go missing yet.
        BOOST_REQUIRE(fleet.eventually([&] { return eachShows("damask_listed_vms 4"); }));
    }

    /// Whether one of some requests goes to the endpoint. The endpoint's own records are read.
    bool gets(const std::string& endpoint)
    {
        const auto before = fleet.runsOf(endpoint).size();
        // Sent together: one at a time, all may rightly go to the endpoint with the lower latency.
        constexpr int requests = 8;
        int ended = 0;
        for (int i = 0; i < requests; ++i)
            fleet.client().send(fleet.daemon(i % 2 ? "a" : "b").callers, { "GET", "/pricing/x" }, 10s,
                [&](const HttpResult&) { ++ended; });
        fleet.loop().runUntil([&] { return ended == requests; }, 15s);
        return fleet.runsOf(endpoint).size() > before;
    }

    /// Whether each entry VM's own metrics have the line. They read the list apart from each other.
    bool eachShows(const std::string& line)
    {
        const auto shows = [&](const char* node) {
            const auto result = fleet.call(fleet.daemon(node).admin, { "GET", "/metrics" });
            return result && result->body.find("\n" + line + "\n") != std::string::npos;
        };
        return shows("a") && shows("b");
    }

    bool eachSendsTo(int count)
    {
        return eachShows("damask_pool_endpoints{pool=\"pricing\"} " + std::to_string(count));
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(vmMissingFromTheListGetsNoNewWork, Leaving)
{
    fleet.publishList({ "e2" });
    BOOST_TEST(fleet.eventually([&] { return eachSendsTo(1); }, target));
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(!gets("e2"));
    fleet.publishList();
    BOOST_TEST(fleet.eventually([&] { return gets("e2"); }));
}

BOOST_FIXTURE_TEST_CASE(vmThatDeclinesIsNotAskedForEachRequest, Edge)
{
    // The only endpoint of its pool, so that nothing else keeps work away from it.
    int asked = 0;
    RawEndpoint declining(fleet.loop().base(), [&](const auto& connection, const std::string&) {
        ++asked;
        connection->send("HTTP/1.1 503 Leaving\r\nDamask-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
    });
    declare("raw", declining.address());
    fleet.eventually([] { return false; }, 1500ms);
    asked = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 50; ++i) {
        const auto response = get("a", "/pricing/x");
        BOOST_TEST(outcomeOf(response) == "not-run");
        BOOST_TEST(saysWhenToRetry(response));
    }
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    // One try for each pause of a second, and one more at the start.
    BOOST_TEST(asked <= 2 + static_cast<int>(seconds));
}

BOOST_FIXTURE_TEST_CASE(wokenEntryVmSendsNothingByItsOldList, Leaving)
{
    fleet.daemon("a").process->signal(SIGSTOP);
    fleet.publishList({ "e2" });
    // The drain mark of the status row is written while the entry VM is frozen.
    const auto [status, vm] = fleet.callJson(fleet.daemon("b").admin, "GET", "/v1/vms/e2");
    BOOST_REQUIRE(status == 200);
    fleet.callJson(fleet.platform(), "POST", "/table/commit",
        { { "conditions", json::array() },
            { "writes",
                { { { "key", "f/s/vm/e2" },
                    { "value", json({ { "pool", "pricing" }, { "phase", "draining" } }).dump() } } } } });
    BOOST_REQUIRE(fleet.eventually([&] {
        return fleet.callJson(fleet.daemon("b").admin, "GET", "/v1/vms/e2").second["status"]["phase"]
            == "draining";
    }));
    const auto before = fleet.runsOf("e2").size();
    // Requests wait in the frozen process's sockets and are read at once when it wakes.
    int answered = 0;
    int refused = 0;
    for (int i = 0; i < 40; ++i) {
        fleet.client().send(fleet.daemon("a").callers, { .path = "/pricing/x" }, 20s, [&](HttpResult result) {
            ++answered;
            BOOST_REQUIRE(result);
            refused += result->status == 503;
            if (result->status == 503) {
                BOOST_TEST(outcomeOf(*result) == "not-run");
                BOOST_TEST(saysWhenToRetry(*result));
            }
        });
    }
    fleet.eventually([] { return false; }, target);
    fleet.setPlatformFaults({ { "table", "slow" }, { "slowMs", 300 } });
    fleet.daemon("a").process->signal(SIGCONT);
    BOOST_TEST(fleet.eventually([&] { return answered == 40; }));
    BOOST_TEST(fleet.runsOf("e2").size() == before);
    BOOST_TEST(refused > 0);
    BOOST_TEST(fleet.eventually([&] { return get("a", "/pricing/x").status == 200; }));
    BOOST_TEST(fleet.runsOf("e2").size() == before);
}
