/// \file
/// Tests of when a node that can't reach the table stops accepting callers, and of its Retry-After.
#include <damaskworks/table_contact.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(table_contact)

BOOST_AUTO_TEST_CASE(failuresMakeNodeUnreadyUntilTheNextResponse)
{
    ManualClock clock;
    TableContact contact;
    BOOST_TEST(!looksReachable(contact, clock.now()));
    recordContact(contact, clock.now());
    BOOST_TEST(looksReachable(contact, clock.now()));
    recordFailedContact(contact);
    BOOST_TEST(looksReachable(contact, clock.now()));
    recordFailedContact(contact);
    BOOST_TEST(!looksReachable(contact, clock.now()));
    BOOST_TEST(!isUnreachable(contact, clock.now()));
    recordFailedContact(contact);
    BOOST_TEST(isUnreachable(contact, clock.now()));
    recordContact(contact, clock.now());
    BOOST_TEST(looksReachable(contact, clock.now()));
    BOOST_TEST(!isUnreachable(contact, clock.now()));
}

BOOST_AUTO_TEST_CASE(hangingCallsMakeNodeUnreadyBeforeTheyEnd)
{
    ManualClock clock;
    TableContact contact;
    recordContact(contact, clock.now());
    clock.advance(1250ms); // a call that waited for changes until its time limit, and the pause after it
    BOOST_TEST(looksReachable(contact, clock.now()));
    BOOST_TEST(!isUnreachable(contact, clock.now()));
    clock.advance(300ms);
    BOOST_TEST(!looksReachable(contact, clock.now()));
    BOOST_TEST(isUnreachable(contact, clock.now()));
}

BOOST_AUTO_TEST_CASE(callerRetriesOutlastATableOutage)
{
    // Guards against a Retry-After that is too short: in a simulated day the table was unreachable for 5.5 s,
    // and a caller that retries every second gives up before that.
    ManualClock clock;
    TableContact contact;
    recordContact(contact, clock.now());
    std::chrono::seconds waited { 0 };
    for (int attempt = 0; attempt < 4; ++attempt) {
        const auto wait = retryAfter(contact, clock.now());
        BOOST_TEST((attempt > 0 || wait == 1s));
        waited += wait;
        clock.advance(wait);
    }
    BOOST_TEST((waited >= 6s));
}

BOOST_AUTO_TEST_SUITE_END()
