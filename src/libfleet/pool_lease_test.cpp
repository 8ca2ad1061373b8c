/// Who may take a pool's lease, and who tries first.
#include <damaskworks/pool_lease.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(leaseIsTakenOnlyAfterItsExpiryOrByItsOwnNode)
{
    ManualClock clock;
    const LeaseLimits limits;
    const ObservedLease lease { { "n1", "s1", 3, 5 }, 17, clock.now() };
    BOOST_TEST(isTakeable(lease, "n1", limits, clock.now()));
    BOOST_TEST(!isTakeable(lease, "n2", limits, clock.now()));
    clock.advance(limits.expiry - 1ms);
    BOOST_TEST(!isTakeable(lease, "n2", limits, clock.now()));
    clock.advance(1ms);
    BOOST_TEST(isTakeable(lease, "n2", limits, clock.now()));
}

BOOST_AUTO_TEST_CASE(releasedLeaseIsTakenAtOnce)
{
    ManualClock clock;
    const ObservedLease lease { { "", "s1", 3, 5 }, 17, clock.now() };
    BOOST_TEST(isTakeable(lease, "n2", LeaseLimits {}, clock.now()));
}

BOOST_AUTO_TEST_CASE(holderStopsBeforeOthersMayTakeItsLease)
{
    const LeaseLimits limits;
    BOOST_TEST((limits.renewal * 3 <= limits.expiry));
    BOOST_TEST((limits.margin > 0ms));
}

BOOST_AUTO_TEST_CASE(strongNodesTakePoolsBeforeWeakOnes)
{
    // On a calm grown day a node with 10 Mbit/s held the busiest pool; its orders came seconds late.
    const NodeStrength strong { 0.5, 200 };
    const NodeStrength weak { 0.12, 10 };
    BOOST_TEST((electionDelay(3, strong, 1) < electionDelay(0, weak, 0)));
    BOOST_TEST((electionDelay(0, strong, 1) < electionDelay(1, strong, 0)));
}

BOOST_AUTO_TEST_CASE(leaseRowIsReadAsItWasWritten)
{
    const LeaseRow row { "n1", "s1", 3, 5 };
    BOOST_TEST((decodeLease(encodeLease(row)) == row));
    BOOST_TEST(!decodeLease("[]"));
    BOOST_TEST(!decodeLease("{}"));
}
