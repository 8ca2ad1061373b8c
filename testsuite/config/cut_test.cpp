/// \file
/// Data centres disconnected from the platform, from their peers, and from both.
#include "relays.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace damask;
using namespace damask::harness;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds recoveryBound { 19'000 };

struct TwoNodeFixture : RelayedFleet {
    TwoNodeFixture()
        : RelayedFleet(3)
    {
        start("east1", "east");
        start("west1", "west");
        fleet.publishVmList();
        declareConfiguration(fleet, fleet.daemon("east1").admin);
        BOOST_REQUIRE(fleet.eventually(
            [&] { return generation("east1") == 1 && generation("west1") == 1; }, recoveryBound));
    }
    int replaceAt(const std::string& node, int routes)
    {
        return replaceConfiguration(fleet, fleet.daemon(node).admin, routes).first;
    }
    int statusOf(const std::string& node, const std::string& method, const std::string& path,
        const json& body = nullptr)
    {
        return fleet.callJson(fleet.daemon(node).admin, method, path, body).first;
    }
    /// Waits until the node refuses changes because its last response from the table is more than 5000 ms
    /// old.
    bool waitForStaleTable(const std::string& node)
    {
        return fleet.eventually([&] {
            const auto status = fleet.callJson(fleet.daemon(node).admin, "GET", "/v1/status").second;
            return status.is_object() && status["tableAgeMs"].get<int>() > 5000;
        });
    }
    /// Response statuses of the API at west1, in the order of the table in docs/design-config.md.
    std::vector<int> apiStatusesAtWest()
    {
        const json pool = { { "name", "new" }, { "spec", json::object() } };
        const json spec = { { "routes", json::array() } };
        return { statusOf("west1", "GET", "/readyz"), statusOf("west1", "GET", "/v1/pools"),
            statusOf("west1", "GET", "/v1/pools/pricing"), statusOf("west1", "GET", "/v1/pools/unknown"),
            statusOf("west1", "POST", "/v1/pools", pool),
            statusOf(
                "west1", "PUT", "/v1/configurations/current", { { "resourceVersion", 1 }, { "spec", spec } }),
            statusOf("west1", "DELETE", "/v1/pools/pricing?resourceVersion=1"),
            statusOf("west1", "GET", "/v1/configurations/current/rollout") };
    }
};

/// After 5 s without a response from the table a node sends no change to it, so it refuses each change as not
/// made.
const std::vector<int> statusesWithoutPlatform { 200, 200, 200, 503, 503, 503, 503, 200 };

} // namespace

BOOST_FIXTURE_TEST_CASE(nodeWithoutPlatformGetsNewestRowsFromPeers, TwoNodeFixture)
{
    disconnectFromPlatform({ "west1" });
    BOOST_TEST(replaceAt("east1", 2) == 200);
    BOOST_TEST(fleet.eventually([&] { return generation("west1") == 2; }, recoveryBound));
    BOOST_REQUIRE(waitForStaleTable("west1"));
    BOOST_TEST(apiStatusesAtWest() == statusesWithoutPlatform, boost::test_tools::per_element());
    disconnectFromPlatform({});
    BOOST_TEST(fleet.eventually([&] { return replaceAt("west1", 3) == 200; }, recoveryBound));
    BOOST_TEST(fleet.eventually(
        [&] { return generation("east1") == 3 && generation("west1") == 3; }, recoveryBound));
}

BOOST_FIXTURE_TEST_CASE(refusedChangeNeverAppearsAndUncertainOneIsReportedAsUnknown, TwoNodeFixture)
{
    disconnectFromPlatform({ "east1", "west1" });
    const json pool = { { "name", "new" }, { "spec", json::object() } };
    // east1 wrote to the table shortly before, so it still sends the change, which may take effect.
    BOOST_TEST(statusOf("east1", "POST", "/v1/pools", pool) == 504);
    BOOST_REQUIRE(waitForStaleTable("west1"));
    BOOST_TEST(statusOf("west1", "POST", "/v1/pools", pool) == 503);
    disconnectFromPlatform({});
    BOOST_TEST(
        fleet.eventually([&] { return statusOf("east1", "GET", "/v1/pools/new") == 404; }, recoveryBound));
    BOOST_TEST(fleet.eventually([&] { return replaceAt("east1", 2) == 200; }, recoveryBound));
    BOOST_TEST(statusOf("east1", "GET", "/v1/pools/new") == 404);
}

BOOST_FIXTURE_TEST_CASE(nodesWithoutPeersUseTheTable, TwoNodeFixture)
{
    setAllPeersDisconnected(true);
    BOOST_TEST(replaceAt("east1", 2) == 200);
    BOOST_TEST(fleet.eventually([&] { return generation("west1") == 2; }, recoveryBound));
    const std::vector<int> expected { 200, 200, 200, 404, 201, 409, 409, 200 };
    BOOST_TEST(apiStatusesAtWest() == expected, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(isolatedNodeKeepsItsConfigurationAndCatchesUpOnReconnect, TwoNodeFixture)
{
    disconnectFromPlatform({ "west1" });
    setAllPeersDisconnected(true);
    BOOST_TEST(replaceAt("east1", 2) == 200);
    BOOST_TEST(fleet.eventually([&] { return generation("east1") == 2; }, recoveryBound));
    BOOST_TEST(generation("west1") == 1u);
    BOOST_REQUIRE(waitForStaleTable("west1"));
    BOOST_TEST(apiStatusesAtWest() == statusesWithoutPlatform, boost::test_tools::per_element());
    setAllPeersDisconnected(false);
    BOOST_TEST(fleet.eventually([&] { return generation("west1") == 2; }, recoveryBound));
    disconnectFromPlatform({});
    BOOST_TEST(fleet.eventually([&] { return replaceAt("west1", 3) == 200; }, recoveryBound));
    BOOST_TEST(fleet.eventually([&] { return generation("east1") == 3; }, recoveryBound));
    BOOST_TEST(fleet.eventually([&] { return generation("west1") == 3; }, recoveryBound));
}

BOOST_FIXTURE_TEST_CASE(replacementWithoutPlatformIsReadyOnceAPeerSendsTheRows, TwoNodeFixture)
{
    disconnectFromPlatform({ "west1", "west2" });
    setAllPeersDisconnected(true);
    start("west2", "west");
    setPeersDisconnected("west2", true);
    // Once a poll has failed, west2 has asked the platform and all peers without success.
    BOOST_TEST(fleet.eventually(
        [&] {
            const auto text = fleet.call(fleet.daemon("west2").admin, { .path = "/metrics" });
            return text
                && text->body.find("damask_table_polls_total{result=\"failed\"}") != std::string::npos;
        },
        recoveryBound));
    BOOST_TEST(!isReady("west2"));
    BOOST_TEST(replaceAt("east1", 2) == 200);
    setAllPeersDisconnected(false);
    BOOST_TEST(fleet.eventually([&] { return isReady("west2"); }, recoveryBound));
    BOOST_TEST(fleet.eventually([&] { return generation("west2") == 2; }, recoveryBound));
    disconnectFromPlatform({});
    BOOST_TEST(fleet.eventually([&] { return replaceAt("west2", 3) == 200; }, recoveryBound));
    BOOST_TEST(fleet.eventually(
        [&] { return generation("east1") == 3 && generation("west2") == 3; }, recoveryBound));
}

BOOST_FIXTURE_TEST_CASE(newProcessOfANodeIsDistinguishedFromTheOldOne, TwoNodeFixture)
{
    // The old process stays suspended until its replacement is in use, and then resumes.
    auto old = std::move(fleet.daemon("west1").process);
    const auto oldAdmin = fleet.daemon("west1").admin;
    old->signal(SIGSTOP);
    start("west1", "west");
    BOOST_TEST(fleet.eventually([&] { return isReady("west1"); }, recoveryBound));
    BOOST_TEST(replaceAt("west1", 2) == 200);
    auto reportedGeneration = [&] {
        const auto rollout
            = fleet.callJson(fleet.daemon("east1").admin, "GET", "/v1/configurations/current/rollout").second;
        for (const auto& entry : rollout["nodes"]) {
            if (entry["node"] == "west1")
                return entry["generation"].get<std::uint64_t>();
        }
        return std::uint64_t { 0 };
    };
    BOOST_TEST(fleet.eventually([&] { return reportedGeneration() == 2; }, recoveryBound));
    old->signal(SIGCONT);
    BOOST_TEST(fleet.eventually(
        [&] { return fleet.callJson(oldAdmin, "GET", "/readyz").first == 503; }, recoveryBound));
    BOOST_TEST(isReady("west1"));
}

BOOST_FIXTURE_TEST_CASE(startingNodeReadsTheSnapshot, TwoNodeFixture)
{
    auto hasMetric = [&](const std::string& node, const std::string& name) {
        const auto text = fleet.call(fleet.daemon(node).admin, { .path = "/metrics" });
        return text && text->body.find(name) != std::string::npos;
    };
    BOOST_REQUIRE(fleet.eventually(
        [&] { return hasMetric("east1", "damask_snapshot_writes_total{result=\"ok\"}"); }, recoveryBound));
    // On a busy machine the platform may answer slowly. After a timeout the node would read the table instead
    // of the snapshot.
    start("west2", "west", 10'000);
    BOOST_TEST(fleet.eventually([&] { return generation("west2") == 1; }, recoveryBound));
    BOOST_TEST(hasMetric("west2", "damask_snapshot_reads_total{result=\"taken\"}"));
    BOOST_TEST(!hasMetric("west2", "damask_table_full_reads_total{rows=\"f/\"}"));
    BOOST_TEST(hasMetric("west2", "damask_table_full_reads_total{rows=\"l/\"}")); // leases have no snapshot
}
