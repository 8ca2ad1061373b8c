#include <boost/test/unit_test.hpp>

#include "slow_link_fixture.h"

using namespace damask::fleet::standin;
using namespace std::chrono_literals;

// After lost contact a node must fetch the newest configuration, not each one that it missed.
BOOST_FIXTURE_TEST_CASE(newestOfSeveralMissedConfigurationsIsInForceWithinTheBound, SlowLinkFixture)
{
    setRelay({ { "cut", true } });
    loop.runUntil([] { return false; }, 1s); // until the node has noticed
    for (int i = 0; i < 4; ++i)
        configure({ "new" }, manyQueues);
    // One configuration takes about 1 s, four take 4 s.
    setRelay({ { "bytesPerSecond", 400'000 } });
    BOOST_TEST(
        loop.runUntil([this] { return countStatus("old") == 404 && countStatus("new") == 200; }, applyBound));
}
