/// \file
/// Guarantee P6: a leaving endpoint gets no new requests after 5 s, whichever signal shows that it leaves:
/// the VM list, its own refusals or its status row.
#include "requests_fixture.h"

#include <csignal>

using namespace damask;
using namespace damask::harness;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds removalBound = 5s;

struct LeavingFixture : RequestFixture {
    LeavingFixture()
    {
        declare("e1", fleet.endpoint("e1").address);
        declare("e2", fleet.endpoint("e2").address);
        BOOST_REQUIRE(fleet.eventually([&] { return receivesRequests("e1") && receivesRequests("e2"); }));
        // An entry VM routes to a VM that its list has never contained, since that VM may be new. Only a VM
        // that was listed before counts as missing.
        BOOST_REQUIRE(fleet.eventually([&] { return bothMetricsContain("damask_listed_vms 4"); }));
    }

    /// Whether at least one of several requests reaches the endpoint, by the endpoint's own records.
    bool receivesRequests(const std::string& endpoint)
    {
        const auto before = fleet.runsOf(endpoint).size();
        // Sent concurrently: sequential requests may all go to the endpoint with the lower latency.
        constexpr int sent = 8;
        int ended = 0;
        for (int i = 0; i < sent; ++i)
            fleet.client().send(fleet.daemon(i % 2 ? "a" : "b").callers, { "GET", "/pricing/x" }, 10s,
                [&](const HttpResult&) { ++ended; });
        fleet.loop().runUntil([&] { return ended == sent; }, 15s);
        return fleet.runsOf(endpoint).size() > before;
    }

    /// Whether the metrics of both entry VMs contain the line. Each entry VM reads the list independently.
    bool bothMetricsContain(const std::string& line)
    {
        const auto containsLine = [&](const char* node) {
            const auto result = fleet.call(fleet.daemon(node).admin, { "GET", "/metrics" });
            return result && result->body.find("\n" + line + "\n") != std::string::npos;
        };
        return containsLine("a") && containsLine("b");
    }

    /// Whether both entry VMs route to this number of endpoints.
    bool bothRouteTo(int count)
    {
        return bothMetricsContain("damask_pool_endpoints{pool=\"pricing\"} " + std::to_string(count));
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(vmMissingFromTheListGetsNoNewRequests, LeavingFixture)
{
    fleet.publishVmList({ "e2" });
    BOOST_TEST(fleet.eventually([&] { return bothRouteTo(1); }, removalBound));
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(!receivesRequests("e2"));
    fleet.publishVmList();
    BOOST_TEST(fleet.eventually([&] { return receivesRequests("e2"); }));
}

BOOST_FIXTURE_TEST_CASE(refusingVmIsNotTriedForEachRequest, RequestFixture)
{
    // The pool has no other endpoint to which requests could go instead.
    int requestCount = 0;
    RawEndpoint refusingEndpoint(fleet.loop().base(), [&](const auto& connection, const std::string&) {
        ++requestCount;
        connection->send("HTTP/1.1 503 Leaving\r\nDamask-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
    });
    declare("raw", refusingEndpoint.address());
    fleet.eventually([] { return false; }, 1500ms);
    requestCount = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 50; ++i) {
        const auto response = get("a", "/pricing/x");
        BOOST_TEST(outcomeOf(response) == "not-run");
        BOOST_TEST(hasRetryAfter(response));
    }
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    // One attempt per pause of one second, and one more at the start.
    BOOST_TEST(requestCount <= 2 + static_cast<int>(seconds));
}

namespace {

struct ResumeFixture : LeavingFixture {
    ResumeFixture()
    {
        fleet.create(admin(), "waves", "w1", { { "pool", "pricing" }, { "paused", true } });
        BOOST_REQUIRE(fleet.eventually([&] { return !leaseHolder().empty(); }));
    }

    /// Daemon that holds the lease of the pool's controller.
    std::string leaseHolder()
    {
        const auto [status, row] = fleet.callJson(fleet.platform(), "GET", "/table/row?key=l/pool/pricing");
        return status == 200 ? json::parse(row.value("value", "{}")).value("holder", "") : "";
    }

    /// Sets the status row of e2 to draining. The controller keeps to it: the operation's wave exists, and
    /// the VM, which is not listed, can't be drained.
    void setDraining()
    {
        const json row = { { "pool", "pricing" }, { "phase", "draining" }, { "operation", "wave/w1" } };
        const auto [status, reply] = fleet.callJson(fleet.platform(), "POST", "/table/commit",
            { { "conditions", json::array() },
                { "writes", { { { "key", "f/s/vm/e2" }, { "value", row.dump() } } } } });
        BOOST_REQUIRE(status == 200);
    }

    bool isDraining(const std::string& node)
    {
        return fleet.callJson(fleet.daemon(node).admin, "GET", "/v1/vms/e2").second["status"]["phase"]
            == "draining";
    }

    /// Suspends a daemon, shows e2 as leaving in the VM list and in its status row meanwhile, and checks what
    /// the resumed daemon does with the requests that have arrived.
    void checkResumed(const std::string& suspended, const std::string& other)
    {
        fleet.daemon(suspended).process->signal(SIGSTOP);
        fleet.publishVmList({ "e2" });
        setDraining();
        BOOST_REQUIRE(fleet.eventually([&] { return isDraining(other); }));
        const auto before = fleet.runsOf("e2").size();
        // Requests queue in the sockets of the suspended process, which reads them as soon as it resumes.
        int answered = 0;
        int refused = 0;
        for (int i = 0; i < 40; ++i) {
            fleet.client().send(
                fleet.daemon(suspended).callers, { .path = "/pricing/x" }, 20s, [&](HttpResult result) {
                    ++answered;
                    BOOST_REQUIRE(result);
                    refused += result->status == 503;
                    if (result->status == 503) {
                        BOOST_TEST(outcomeOf(*result) == "not-run");
                        BOOST_TEST(hasRetryAfter(*result));
                    }
                });
        }
        fleet.eventually([] { return false; }, removalBound);
        BOOST_TEST(isDraining(other));
        fleet.setPlatformFaults({ { "table", "slow" }, { "slowMs", 300 } });
        fleet.daemon(suspended).process->signal(SIGCONT);
        BOOST_TEST(fleet.eventually([&] { return answered == 40; }));
        BOOST_TEST(fleet.runsOf("e2").size() == before);
        BOOST_TEST(refused > 0);
        BOOST_TEST(fleet.eventually([&] { return get(suspended, "/pricing/x").status == 200; }));
        BOOST_TEST(fleet.runsOf("e2").size() == before);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(resumedEntryVmDoesNotRouteByItsStaleList, ResumeFixture)
{
    const auto holder = leaseHolder();
    checkResumed(holder, holder == "a" ? "b" : "a");
}

BOOST_FIXTURE_TEST_CASE(resumedEntryVmDoesNotRouteByItsStaleListBesideAnActiveController, ResumeFixture)
{
    const auto holder = leaseHolder();
    checkResumed(holder == "a" ? "b" : "a", holder);
}
