/// \file
/// Replays fleets of all sizes against the rates of the platform's table.
#include <damaskworks/poll_budget.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace damask::fleet;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr double smallSiteReads = 2000;
constexpr double smallSiteWrites = 800;
constexpr double grownSiteReads = 6000;
constexpr double largeSiteReads = 16'000;
constexpr std::size_t leases = 6;
constexpr milliseconds applyTime { 2000 };

PollPlan observerPlan(std::size_t nodes, double reads)
{
    return planPolls({}, { reads, nodes, leases, applyTime });
}

/// Calls of a whole fleet in which each lease is on a node of its own, and one of them the coordinator's.
double fleetCalls(std::size_t nodes, double reads)
{
    const PollInputs inputs { reads, nodes, leases, applyTime };
    const auto holders = std::min(nodes, leases);
    const auto pools = static_cast<double>(holders - 1);
    return static_cast<double>(nodes - holders) * observerCallsPerSecond(planPolls({}, inputs))
        + pools * holderCallsPerSecond(planPolls({ true, false }, inputs))
        + holderCallsPerSecond(planPolls({ false, true }, inputs));
}

/// Longest time from one response to the next, without the time that the table takes.
milliseconds longestGap(const PollPace& pace)
{
    const auto interval = std::chrono::duration_cast<milliseconds>(pace.minInterval * 1.125);
    return std::max(interval, pace.pauseAfterChanges) + pace.maxWait;
}

} // namespace

BOOST_AUTO_TEST_CASE(smallFleetsPollAsIfTheTableHadNoLimit)
{
    for (const auto& [nodes, reads] :
        { std::pair<std::size_t, double>(7, smallSiteReads), { 30, smallSiteReads }, { 30, grownSiteReads },
            { 90, smallSiteReads }, { 147, largeSiteReads } }) {
        for (const NodeRole role : { NodeRole {}, NodeRole { true, false }, NodeRole { false, true } }) {
            auto plan = planPolls(role, { reads, nodes, leases, applyTime });
            plan.turn = 0ms;
            BOOST_TEST((plan == planPolls(role, { 0, 0, leases, applyTime })), nodes << " nodes");
        }
    }
    const auto plan = observerPlan(7, smallSiteReads);
    BOOST_TEST((plan.operators == PollPace { 0ms, 500ms, 0ms }));
    BOOST_TEST((plan.control == PollPace { 250ms, 1000ms, 0ms, true }));
    BOOST_TEST((plan.jobs == PollPace { 150ms, 1000ms, 0ms, true }));
    BOOST_TEST(
        (planPolls({ true, true }, { smallSiteReads, 7, leases, applyTime }).jobs.pauseAfterChanges == 25ms));
}

// 300 nodes asked for 3,800 reads a second of 2,000, and lost leases and submissions to refusals.
BOOST_AUTO_TEST_CASE(largeFleetsStayWithinTheRate)
{
    for (const std::size_t nodes : { 7, 30, 100, 300 }) {
        BOOST_TEST(fleetCalls(nodes, smallSiteReads) <= smallSiteReads * 0.85, nodes << " nodes");
        BOOST_TEST(observerPlan(nodes, smallSiteReads).isWithinShare);
    }
    for (const std::size_t nodes : { 300, 1000 }) {
        BOOST_TEST(fleetCalls(nodes, grownSiteReads) <= grownSiteReads * 0.85);
        BOOST_TEST(fleetCalls(nodes, largeSiteReads) <= largeSiteReads * 0.85);
    }
    // What callers and operators are owed takes nearly all that this table has; the node says so.
    const auto excessive = observerPlan(1000, smallSiteReads);
    BOOST_TEST(!excessive.isWithinShare);
    BOOST_TEST(1000 * observerCallsPerSecond(excessive) <= smallSiteReads);
}

BOOST_AUTO_TEST_CASE(whatOnlyInformsWaitsBeforeTheConfigurationAndJobStates)
{
    const auto plan = observerPlan(100, smallSiteReads);
    BOOST_TEST((plan.operators == observerPlan(7, smallSiteReads).operators));
    BOOST_TEST((plan.jobs == observerPlan(7, smallSiteReads).jobs));
    BOOST_TEST((plan.control.minInterval > 250ms));
}

// Counts of jobs are refused after 2 s, a node is not ready 2.5 s after a response, and a configuration must
// be in force in time.
BOOST_AUTO_TEST_CASE(boundsHoldInFleetsOfAnySize)
{
    BOOST_TEST(rc::check("gaps, order and monotony", [] {
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 3000);
        const double reads = *rc::gen::inRange(100, 20'000);
        const milliseconds apply(*rc::gen::inRange(800, 10'000));
        const PollInputs inputs { reads, nodes, leases, apply };
        const auto plan = planPolls({}, inputs);
        RC_ASSERT(plan.operators.minInterval <= apply * 3 / 4);
        RC_ASSERT(longestGap(plan.control) <= 2300ms);
        RC_ASSERT(longestGap(plan.jobs) <= 1950ms);
        const auto budget = reads * 0.6;
        const auto calls = static_cast<double>(nodes) * observerCallsPerSecond(plan);
        RC_ASSERT(plan.isWithinShare == (calls <= budget));
        auto larger = inputs;
        larger.nodes += 50;
        constexpr double rounding = 1.01; // intervals are whole milliseconds
        RC_ASSERT(observerCallsPerSecond(planPolls({}, larger)) <= observerCallsPerSecond(plan) * rounding);
    }));
}

BOOST_AUTO_TEST_CASE(holdersDoNotYieldWhenTheTableRefusesCalls)
{
    for (const NodeRole role : { NodeRole { true, false }, NodeRole { false, true } }) {
        const auto plan = planPolls(role, { smallSiteReads, 300, leases, applyTime });
        BOOST_TEST(
            !(plan.control.yieldsWhenRefused || plan.jobs.yieldsWhenRefused || plan.vms.yieldsWhenRefused));
        BOOST_TEST((plan.turn == 0ms));
    }
    BOOST_TEST(!observerPlan(300, smallSiteReads).operators.yieldsWhenRefused);
}

BOOST_AUTO_TEST_CASE(holdersSlowDownOnlyIfTheLeasesAloneExceedTheirPart)
{
    const PollInputs few { smallSiteReads, 300, leases, applyTime };
    BOOST_TEST((planPolls({ true, false }, few).jobs.minInterval == 0ms));
    const PollInputs many { smallSiteReads, 300, 60, applyTime };
    BOOST_TEST(60 * holderCallsPerSecond(planPolls({ true, false }, many)) <= smallSiteReads * 0.3);
}

BOOST_AUTO_TEST_CASE(attemptsAtALeaseAreSpreadInLargeFleetsOnly)
{
    for (const std::size_t nodes : { 0, 7, 9, 20 })
        BOOST_TEST((electionWindow(nodes, smallSiteWrites) == 100ms));
    BOOST_TEST((electionWindow(300, 0) == 100ms));
    const auto window = electionWindow(300, smallSiteWrites);
    BOOST_TEST(300 / std::chrono::duration<double>(window).count() <= smallSiteWrites / 4);
}
