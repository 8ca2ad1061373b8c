/// Which node may acquire a pool's lease, and which tries first.
#include <damaskworks/pool_lease.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(leaseCanBeAcquiredAfterExpiryOrByItsOwnNode)
{
    ManualClock clock;
    const LeaseTiming timing;
    const ObservedLease lease { { "n1", "s1", 3, 5 }, 17, clock.now() };
    BOOST_TEST(isAcquirable(lease, "n1", timing, clock.now()));
    BOOST_TEST(!isAcquirable(lease, "n2", timing, clock.now()));
    clock.advance(timing.expiry - 1ms);
    BOOST_TEST(!isAcquirable(lease, "n2", timing, clock.now()));
    clock.advance(1ms);
    BOOST_TEST(isAcquirable(lease, "n2", timing, clock.now()));
}

BOOST_AUTO_TEST_CASE(releasedLeaseCanBeAcquiredAtOnce)
{
    ManualClock clock;
    const ObservedLease lease { { "", "s1", 3, 5 }, 17, clock.now() };
    BOOST_TEST(isAcquirable(lease, "n2", LeaseTiming {}, clock.now()));
}

BOOST_AUTO_TEST_CASE(holderRenewsAndStopsBeforeItsLeaseExpires)
{
    const LeaseTiming timing;
    BOOST_TEST((timing.renewalInterval * 3 <= timing.expiry));
    BOOST_TEST((timing.safetyMargin > 0ms));
}

BOOST_AUTO_TEST_CASE(largeNodesTryBeforeSmallOnes)
{
    // On a large site a node with a 10 Mbit/s link held the busiest pool, and its commands came seconds late.
    const NodeCapacity largeNode { 0.5, 200 };
    const NodeCapacity smallNode { 0.12, 10 };
    BOOST_TEST((electionDelay(3, largeNode, 1) < electionDelay(0, smallNode, 0)));
    BOOST_TEST((electionDelay(0, largeNode, 1) < electionDelay(1, largeNode, 0)));
}

BOOST_AUTO_TEST_CASE(leaseRowRoundTrips)
{
    const LeaseRow row { "n1", "s1", 3, 5 };
    BOOST_TEST((decodeLease(encodeLease(row)) == row));
    BOOST_TEST(!decodeLease("[]"));
    BOOST_TEST(!decodeLease("{}"));
}

// The run numbers of a holder follow from its term and have 32 bits.
BOOST_AUTO_TEST_CASE(leaseRowsWithNumbersOutOfRangeAreUnreadable)
{
    for (const auto* term : { "-1", "18446744073709551615", "4294967296", "1e300", "\"3\"" })
        BOOST_TEST(!decodeLease(std::string("{\"node\":\"n1\",\"session\":\"s1\",\"term\":") + term
                       + ",\"renewals\":5}"),
            term);
    BOOST_TEST(!decodeLease("{\"node\":\"n1\",\"session\":\"s1\",\"term\":3,\"renewals\":-1}"));
}
