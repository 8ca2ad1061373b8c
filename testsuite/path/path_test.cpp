/// \file
/// The complete request path on real processes: callers, three daemons in two data centres, endpoints and the
/// platform.
#include "../harness/fleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace damask;
using namespace damask::harness;
using nlohmann::json;

namespace {

struct FullPathFixture {
    FullPathFixture()
    {
        fleet.startEndpoints("east", { "e1", "e2" });
        fleet.startEndpoints("west", { "w1" });
        fleet.startDaemon("a", "east");
        fleet.startDaemon("b", "east");
        fleet.startDaemon("c", "west");
        fleet.publishVmList();
        auto admin = fleet.daemon("a").admin;
        fleet.declarePool(admin, "pricing", { "e1", "e2", "w1" });
        fleet.create(admin, "configurations", "current",
            { { "routes", { { { "prefix", "/pricing" }, { "pool", "pricing" } } } } });
        BOOST_REQUIRE(fleet.eventually([&] { return isInForceEverywhere(1); }));
    }

    /// Whether every daemon reports the generation as in force on all three nodes.
    bool isInForceEverywhere(std::uint64_t generation)
    {
        for (auto node : { "a", "b", "c" }) {
            const auto rollout
                = fleet.callJson(fleet.daemon(node).admin, "GET", "/v1/configurations/current/rollout")
                      .second;
            if (rollout.value("generation", 0u) != generation || rollout["nodes"].size() != 3)
                return false;
            for (const auto& entry : rollout["nodes"]) {
                if (entry["generation"] != generation)
                    return false;
            }
        }
        return true;
    }

    Fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(requestIsServedThroughEachDaemon, FullPathFixture)
{
    for (auto node : { "a", "b", "c" }) {
        HttpRequest request { "POST", "/pricing/quote", "", { { "X-Request-Id", node } }, "cake" };
        auto result = fleet.call(fleet.daemon(node).callers, request);
        BOOST_REQUIRE(result);
        BOOST_TEST(result->status == 200);
        BOOST_TEST(std::string(*http::header(result->headers, "Damask-Outcome")) == "done");
        BOOST_TEST(json::parse(result->body)["id"] == node);
    }
    for (const auto& [id, runs] : fleet.runCountsById())
        BOOST_TEST(runs == 1, id << " ran " << runs << " times");
}

BOOST_FIXTURE_TEST_CASE(unknownPathIsNotRun, FullPathFixture)
{
    auto result = fleet.call(fleet.daemon("a").callers, { .path = "/nowhere" });
    BOOST_REQUIRE(result);
    BOOST_TEST(result->status == 404);
    BOOST_TEST(std::string(*http::header(result->headers, "Damask-Outcome")) == "not-run");
}

BOOST_FIXTURE_TEST_CASE(conflictingUpdateIsRefusedWithTheCurrentVersion, FullPathFixture)
{
    auto [status, pool] = fleet.callJson(fleet.daemon("a").admin, "GET", "/v1/pools/pricing");
    BOOST_REQUIRE(status == 200);
    const json change
        = { { "resourceVersion", pool["resourceVersion"] }, { "spec", { { "slotsPerVm", 4 } } } };
    BOOST_TEST(fleet.callJson(fleet.daemon("a").admin, "PUT", "/v1/pools/pricing", change).first == 200);
    auto [second, body] = fleet.callJson(fleet.daemon("c").admin, "PUT", "/v1/pools/pricing", change);
    BOOST_TEST(second == 409);
    BOOST_TEST(body["presentVersion"].get<std::uint64_t>() > pool["resourceVersion"].get<std::uint64_t>());
}

BOOST_FIXTURE_TEST_CASE(plannedStopExitsWithCodeZero, FullPathFixture)
{
    fleet.daemon("b").process->signal(SIGTERM);
    BOOST_TEST(fleet.daemon("b").process->wait() == 0);
}
