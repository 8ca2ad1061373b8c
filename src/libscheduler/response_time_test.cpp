/// \file
/// Tests of the adaptive timeout.
#include <damaskworks/response_time.h>

#include <boost/test/unit_test.hpp>

using namespace damask::fleet;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(timeoutIsShortWhereResponsesAreFast)
{
    // Guards against waiting for the whole limit of 0.9 s each time a response is lost. In a simulated day
    // two in five responses of the table were lost, and each cost its caller that time.
    ResponseTimes times;
    BOOST_TEST((responseTimeout(times, 900ms) == 900ms));
    for (int i = 0; i < 20; ++i)
        recordResponseTime(times, 10ms);
    BOOST_TEST((responseTimeout(times, 900ms) == 150ms));
    recordTimeout(times);
    BOOST_TEST((responseTimeout(times, 900ms) == 300ms));
    recordResponseTime(times, 12ms);
    BOOST_TEST((responseTimeout(times, 900ms) == 150ms));
}

BOOST_AUTO_TEST_CASE(timeoutGrowsWhenTheServiceSlowsDown)
{
    ResponseTimes times;
    recordResponseTime(times, 10ms);
    int unanswered = 0;
    for (int i = 0; i < 10; ++i) {
        if (responseTimeout(times, 900ms) >= 600ms)
            recordResponseTime(times, 600ms);
        else {
            recordTimeout(times);
            ++unanswered;
        }
    }
    BOOST_TEST(unanswered <= 2);
    BOOST_TEST((responseTimeout(times, 900ms) >= 600ms));
}
