#include <boost/test/unit_test.hpp>

#include "slow_link_fixture.h"

using namespace damask::fleet::standin;
using namespace std::chrono_literals;

// A response that takes longer to arrive than a request may wait must not be cut off and requested again
// forever.
BOOST_FIXTURE_TEST_CASE(configurationLargerThanTheLinkCarriesInOneTimeoutIsApplied, SlowLinkFixture)
{
    setRelay({ { "bytesPerSecond", 150'000 } });
    configure({ "new" }, manyQueues);
    // The link carries the configuration in about 2.7 s.
    BOOST_TEST(loop.runUntil([this] { return countStatus("old") == 404 && countStatus("new") == 200; }, 10s));
}
