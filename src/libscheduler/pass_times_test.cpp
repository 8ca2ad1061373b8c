/// \file
/// Tests of the spacing of a holder's passes.
#include <damaskworks/pass_times.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

constexpr auto wantedDelay = 2ms;

/// Part of the time that passes of \p length take if each response wants the next one.
double shareOfPasses(Duration length)
{
    ManualClock clock;
    PassTimes last;
    const auto begin = clock.now();
    Duration inPasses {};
    for (int i = 0; i < 100; ++i) {
        last.begunAt = clock.now();
        clock.advance(length);
        last.endedAt = clock.now();
        inPasses += length;
        clock.advance(earliestPass(last, clock.now() + wantedDelay) - clock.now());
    }
    return std::chrono::duration<double>(inPasses) / std::chrono::duration<double>(clock.now() - begin);
}

} // namespace

BOOST_AUTO_TEST_SUITE(pass_times)

// On the large deployment passes of 35 ms followed each other after 2 ms, and responses waited for a second.
BOOST_AUTO_TEST_CASE(longPassesDoNotKeepResponsesWaiting) { BOOST_TEST(shareOfPasses(35ms) <= 0.5); }

BOOST_AUTO_TEST_CASE(shortPassesAreNotDelayed)
{
    PassTimes last { TimePoint { 1000ms }, TimePoint { 1001ms } };
    BOOST_TEST((earliestPass(last, last.endedAt + wantedDelay) == last.endedAt + wantedDelay));
}

// A holder that was suspended during a pass must renew the leases of its VMs soon after it goes on.
BOOST_AUTO_TEST_CASE(suspensionDuringAPassDoesNotDelayTheNext)
{
    PassTimes last { TimePoint { 1s }, TimePoint { 9s } };
    BOOST_TEST((earliestPass(last, last.endedAt + wantedDelay) <= last.endedAt + 100ms));
}

BOOST_AUTO_TEST_SUITE_END()
