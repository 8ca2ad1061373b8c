#include "simulation.h"

#include <boost/test/unit_test.hpp>

using namespace damask::policy;

BOOST_AUTO_TEST_CASE(bufferedHoldsAtMostHalfOfTheStaticSplitsBuffer)
{
    constexpr double refusedLimit = 0.001;
    constexpr double maxShareOfStatic = 0.5;
    const Scenario scenario;
    for (const auto& organisation : { sugarcraft(), linBrothers() }) {
        const auto fixed = smallestFleet(25, 60, refusedLimit,
            [&](std::uint32_t fleet) { return runStatic(organisation, scenario, fleet); });
        const auto buffered = smallestFleet(20, 60, refusedLimit,
            [&](std::uint32_t fleet) { return runPolicy(organisation, scenario, fleet, "buffered"); });
        BOOST_REQUIRE(fixed);
        BOOST_REQUIRE(buffered);
        const double share = buffered->result.idleVmSeconds / fixed->result.idleVmSeconds;
        BOOST_TEST(share <= maxShareOfStatic, organisation.name << ": " << share << " of the static split");
    }
}
