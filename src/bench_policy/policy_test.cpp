#include "simulation.h"

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::policy;

namespace {

constexpr double refusedLimit = 0.001;
constexpr double maxMovesRelativeToClairvoyant = 1.5;
constexpr std::uint32_t maxFleet = 60;

Scenario oneDayScenario()
{
    Scenario scenario;
    scenario.days = 1;
    return scenario;
}

} // namespace

BOOST_AUTO_TEST_CASE(bufferedMovesAtMostOneAndAHalfTimesAsOftenAsClairvoyant)
{
    for (const auto& organisation : { sugarcraft(), linBrothers() }) {
        const Scenario scenario;
        const auto buffered = smallestFleet(25, maxFleet, refusedLimit,
            [&](std::uint32_t fleet) { return runPolicy(organisation, scenario, fleet, "buffered"); });
        BOOST_REQUIRE(buffered);
        const auto clairvoyantRun = runClairvoyant(organisation, scenario, buffered->fleet, refusedLimit);
        BOOST_REQUIRE(clairvoyantRun);
        BOOST_TEST(buffered->result.moves <= maxMovesRelativeToClairvoyant * clairvoyantRun->moves,
            organisation.name << ": " << buffered->result.moves << " moves, clairvoyant "
                              << clairvoyantRun->moves);
    }
}

BOOST_AUTO_TEST_CASE(shortPeaksCauseNoMove)
{
    Scenario scenario = oneDayScenario();
    scenario.driftAmplitude = 0;
    for (const auto& organisation : { sugarcraft(), linBrothers() })
        BOOST_TEST(runPolicy(organisation, scenario, 45, "buffered").moves == 0u, organisation.name);
}

BOOST_AUTO_TEST_CASE(runsAreRepeatable)
{
    const auto first = runPolicy(sugarcraft(), oneDayScenario(), 30, "buffered");
    const auto second = runPolicy(sugarcraft(), oneDayScenario(), 30, "buffered");
    BOOST_TEST(first.idleVmSeconds == second.idleVmSeconds);
    BOOST_TEST(first.moves == second.moves);
}
