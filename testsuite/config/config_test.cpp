/// \file
/// A configuration that one node accepts comes into force on all nodes and never reverts.
#include "relays.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace damask;
using namespace damask::harness;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds rolloutBound { 5'000 };
constexpr std::chrono::milliseconds recoveryBound { 19'000 };

struct ThreeNodeFixture : RelayedFleet {
    ThreeNodeFixture()
        : RelayedFleet(4)
    {
        start("a", "east");
        start("b", "east");
        start("c", "west");
        fleet.publishVmList();
        declareConfiguration(fleet, fleet.daemon("a").admin);
        BOOST_REQUIRE(fleet.eventually([&] { return isInForceEverywhere(1); }, recoveryBound));
    }
    /// Whether every node itself reports the generation as in force.
    bool isInForceEverywhere(std::uint64_t expected)
    {
        return generation("a") == expected && generation("b") == expected && generation("c") == expected;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(acceptedConfigurationIsInForceEverywhereWithinFiveSeconds, ThreeNodeFixture)
{
    std::uint64_t expected = 1;
    for (auto node : { "a", "b", "c", "a" }) {
        BOOST_TEST(
            replaceConfiguration(fleet, fleet.daemon(node).admin, static_cast<int>(expected)).first == 200);
        ++expected;
        BOOST_TEST(fleet.eventually([&] { return isInForceEverywhere(expected); }, rolloutBound));
    }
}

BOOST_FIXTURE_TEST_CASE(oneOfSeveralConcurrentChangesIsAcceptedEverywhere, ThreeNodeFixture)
{
    const auto current = fleet.callJson(fleet.daemon("a").admin, "GET", "/v1/configurations/current").second;
    int accepted = 0;
    std::vector<int> statuses;
    for (auto node : { "a", "b", "c" }) {
        const json spec
            = { { "routes", { { { "prefix", std::string("/") + node }, { "pool", "pricing" } } } } };
        const json body = { { "resourceVersion", current["resourceVersion"] }, { "spec", spec } };
        HttpRequest request { "PUT", "/v1/configurations/current", "", {}, body.dump() };
        fleet.client().send(fleet.daemon(node).admin, request, 10s, [&](HttpResult result) {
            statuses.push_back(result ? result->status : 0);
            accepted += statuses.back() == 200;
        });
    }
    BOOST_REQUIRE(fleet.eventually([&] { return statuses.size() == 3; }));
    BOOST_TEST(accepted == 1);
    BOOST_TEST(std::count(statuses.begin(), statuses.end(), 409) == 2);
    BOOST_TEST(fleet.eventually([&] { return isInForceEverywhere(2); }, rolloutBound));
}

BOOST_FIXTURE_TEST_CASE(lostCommitResponseIsResolvedBeforeTheOperatorIsAnswered, ThreeNodeFixture)
{
    for (int lost = 1; lost <= 3; ++lost) {
        const auto before = generation("b");
        fleet.setPlatformFaults({ { "loseNext", lost } });
        BOOST_TEST(replaceConfiguration(fleet, fleet.daemon("b").admin, lost).first == 200);
        BOOST_TEST(fleet.eventually([&] { return isInForceEverywhere(before + 1); }, rolloutBound));
    }
}

BOOST_FIXTURE_TEST_CASE(noChangeIsAcceptedDuringATableOutageAndNothingReverts, ThreeNodeFixture)
{
    fleet.setPlatformFaults({ { "table", "down" } });
    BOOST_TEST(replaceConfiguration(fleet, fleet.daemon("a").admin, 2).first == 503);
    BOOST_TEST(isInForceEverywhere(1));
    BOOST_TEST(isReady("a"));
    fleet.setPlatformFaults(json::object());
    BOOST_TEST(fleet.eventually(
        [&] { return replaceConfiguration(fleet, fleet.daemon("a").admin, 2).first == 200; }, recoveryBound));
    BOOST_TEST(fleet.eventually([&] { return isInForceEverywhere(2); }, recoveryBound));
}

BOOST_FIXTURE_TEST_CASE(suspendedNodeTakesTheNewestConfigurationWhenItResumes, ThreeNodeFixture)
{
    fleet.daemon("c").process->signal(SIGSTOP);
    for (int i = 1; i <= 3; ++i)
        BOOST_TEST(replaceConfiguration(fleet, fleet.daemon("a").admin, i).first == 200);
    fleet.daemon("c").process->signal(SIGCONT);
    BOOST_TEST(fleet.eventually([&] { return isInForceEverywhere(4); }, recoveryBound));
}

BOOST_FIXTURE_TEST_CASE(rolloutReportsTheGenerationInForceOnEachNode, ThreeNodeFixture)
{
    BOOST_TEST(replaceConfiguration(fleet, fleet.daemon("a").admin, 2).first == 200);
    auto reportedGeneration = [&](const std::string& node) {
        const auto rollout
            = fleet.callJson(fleet.daemon("a").admin, "GET", "/v1/configurations/current/rollout").second;
        for (const auto& entry : rollout["nodes"]) {
            if (entry["node"] == node)
                return entry["generation"].get<std::uint64_t>();
        }
        return std::uint64_t { 0 };
    };
    BOOST_TEST(fleet.eventually(
        [&] { return reportedGeneration("b") == 2 && reportedGeneration("c") == 2; }, recoveryBound));
    disconnectFromPlatform({ "c" });
    setAllPeersDisconnected(true);
    BOOST_TEST(replaceConfiguration(fleet, fleet.daemon("a").admin, 3).first == 200);
    BOOST_TEST(fleet.eventually([&] { return generation("b") == 3; }, rolloutBound));
    BOOST_TEST(reportedGeneration("c") == 2u);
}

BOOST_FIXTURE_TEST_CASE(configurationInForceCannotBeDeleted, ThreeNodeFixture)
{
    const auto admin = fleet.daemon("a").admin;
    const auto current = fleet.callJson(admin, "GET", "/v1/configurations/current").second;
    const auto path = "/v1/configurations/current?resourceVersion="
        + std::to_string(current["resourceVersion"].get<int>());
    BOOST_TEST(fleet.callJson(admin, "DELETE", path).first == 422);
    BOOST_TEST(fleet.callJson(admin, "GET", "/v1/configurations/current").first == 200);
}
