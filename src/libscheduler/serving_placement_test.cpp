/// \file
/// Tests of the placement of long-running tasks beside other work.
#include "pool_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;

namespace {

constexpr std::int64_t vmCpu = 16'000;

struct ServingFixture : PoolFixture {
    static StepSpec makeServingStep(int count, std::int64_t memoryMb)
    {
        auto step = makeStep(count, 2000);
        step.need.memoryMb = memoryMb;
        step.longRunning = true;
        step.maxPerVm = 1;
        step.maxUnavailable = 1;
        return step;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(serving_placement, ServingFixture)

BOOST_AUTO_TEST_CASE(logNamesWhatKeepsAWaitingLongRunningTaskFromEachVm)
{
    addVm("busy", vmCpu);
    auto large = makeStep(1, 1000);
    large.need.memoryMb = 20'000;
    submit("short", { large });
    BOOST_REQUIRE(startAndAccept().size() == 1U);
    addVm("small", 1000);
    addVm("leaving", vmCpu);
    state.vms.at("leaving").isEvacuating = true;
    addVm("silent", vmCpu, "r1", false);
    submit("serving", { makeServingStep(2, 16'000) });
    BOOST_REQUIRE(starts().empty());
    const auto waiting = findWaitingServingSteps(state, clock.now(), 4);
    BOOST_REQUIRE(waiting.size() == 1U);
    BOOST_TEST(toString(waiting[0].step) == "serving.0.0");
    BOOST_TEST(waiting[0].tasks == 2);
    const std::map<PlacementObstacle, int> expected { { PlacementObstacle::Memory, 1 },
        { PlacementObstacle::TooSmall, 1 }, { PlacementObstacle::Evacuating, 1 },
        { PlacementObstacle::NotReported, 1 } };
    BOOST_TEST((waiting[0].vms == expected));
}

BOOST_AUTO_TEST_SUITE_END()
