#include <boost/test/unit_test.hpp>

#include "slow_link_fixture.h"

using namespace damask;
using namespace damask::fleet::standin;
using namespace std::chrono_literals;

// A node that can't get the newest configuration must not answer by an older one after the bound.
BOOST_FIXTURE_TEST_CASE(nodeDoesNotAnswerByAConfigurationReplacedLongerAgoThanTheBound, SlowLinkFixture)
{
    setRelay({ { "bytesPerSecond", 60'000 } });
    configure({ "new" }, manyQueues);
    // The link takes about 7 s. The other tables' answers, which are small, arrive all the while.
    const auto acknowledgedAt = std::chrono::steady_clock::now();
    int outdatedAnswers = 0;
    int refusals = 0;
    while (std::chrono::steady_clock::now() < acknowledgedAt + applyBound + 4s) {
        const bool isPastBound = std::chrono::steady_clock::now() > acknowledgedAt + applyBound;
        const int dropped = countStatus("old");
        const int added = countStatus("new");
        outdatedAnswers += isPastBound && (dropped == 200 || added == 404);
        refusals += isPastBound && added == 503;
        loop.runUntil([] { return false; }, 50ms);
    }
    BOOST_TEST(outdatedAnswers == 0);
    BOOST_TEST(refusals > 0); // the configuration was still on its way
}
