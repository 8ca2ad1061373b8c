#include <damaskworks/poll_budget.h>

#include <algorithm>

namespace damask::fleet {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// Parts of the table's reads for the polls of nodes without a lease, and of those with one. The rest is for
/// loads, submissions and look-ups.
constexpr double observerShare = 0.6;
constexpr double holderShare = 0.25;
/// Part of the table's writes for attempts at a lease.
constexpr double attemptShare = 0.25;

/// Pause on a node that acts on the changes.
constexpr milliseconds holderPause { 25 };
/// Pause on a node that only reports job states to callers; it adds at most this delay to a state.
constexpr milliseconds observerPause { 150 };
/// Pause for leases and VM registrations, which change every few hundred milliseconds. Reading several
/// changes at once does no harm.
constexpr milliseconds controlTablePause { 250 };
constexpr milliseconds maxWait { 1000 };
/// Just before a response arrives, the configuration is as old as one wait and two response times. A quarter
/// of the bound leaves room for the responses of a slow table.
constexpr int waitsPerApplyTime = 4;

/// Longest intervals. Nodes see the end of a lease at the latest one interval after others may take it.
constexpr milliseconds longControlInterval { 900 };
constexpr milliseconds longestControlInterval { 1800 };
constexpr milliseconds longestJobInterval { 1500 };
/// Longest times between two responses: counts of jobs are refused after 2 s, and a node without a response
/// for 2.5 s is not ready. An interval and a wait may follow each other.
constexpr milliseconds longestControlGap { 2250 };
constexpr milliseconds longestJobGap { 1900 };
constexpr milliseconds shortestWait { 200 };

double callsPerSecond(milliseconds interval)
{
    return 1 / Seconds(std::max(interval, milliseconds(1))).count();
}

/// Shortest time between two requests.
milliseconds shortestInterval(const PollPace& pace)
{
    const auto pause = pace.pauseAfterChanges > milliseconds(0)
        ? std::min(pace.pauseAfterChanges, pace.maxWait)
        : pace.maxWait;
    return std::max(pause, pace.minInterval);
}

PollPlan unlimitedPlan(const NodeRole& role, milliseconds configApplyTime)
{
    PollPlan plan;
    plan.operators.maxWait = std::min(maxWait, configApplyTime / waitsPerApplyTime);
    plan.control = { role.coordinatesMachines ? holderPause : controlTablePause, maxWait };
    plan.jobs = { role.holdsPools ? holderPause : observerPause, maxWait };
    plan.vms = { controlTablePause, maxWait };
    // What holders don't know keeps tasks from starting; others only answer callers a little later.
    const bool yields = !role.holdsPools && !role.coordinatesMachines;
    for (auto* pace : { &plan.control, &plan.jobs, &plan.vms })
        pace->yieldsWhenRefused = yields;
    return plan;
}

/// Sets the interval, and shortens the wait so that one after the other stays within \p longestGap.
void setInterval(PollPace& pace, milliseconds interval, milliseconds longestGap)
{
    pace.minInterval = interval;
    const auto longest = std::chrono::duration_cast<milliseconds>(interval * longestIntervalFactor);
    // Without a pause the wait is an interval as well, so it must not become longer.
    pace.maxWait = std::min(pace.maxWait, std::max(longestGap - longest, shortestWait));
}

/// One way of making fewer requests, up to an interval.
struct Stretch {
    PollPace PollPlan::*pace;
    milliseconds longest;
    milliseconds longestGap;
};

/// Makes the requests of \p plan fewer until at most \p allowed are left a second. Returns whether that is
/// possible.
bool stretchObserver(PollPlan& plan, double allowed, milliseconds configApplyTime)
{
    const auto applyTime = configApplyTime;
    const Stretch stretches[] = {
        { &PollPlan::control, longControlInterval, longestControlGap },
        { &PollPlan::operators, applyTime / 2, applyTime },
        { &PollPlan::jobs, longestJobInterval, longestJobGap },
        { &PollPlan::control, longestControlInterval, longestControlGap },
        { &PollPlan::operators, applyTime * 3 / 4, applyTime },
    };
    for (const auto& stretch : stretches) {
        auto& pace = plan.*stretch.pace;
        const auto current = shortestInterval(pace);
        const auto excess = observerCallsPerSecond(plan) - allowed;
        if (excess <= 0)
            return true;
        if (stretch.longest <= current)
            continue;
        const auto left = callsPerSecond(current) - excess;
        auto interval = stretch.longest;
        if (left > callsPerSecond(stretch.longest))
            interval = std::chrono::ceil<milliseconds>(Seconds(1 / left));
        setInterval(pace, interval, stretch.longestGap);
    }
    return observerCallsPerSecond(plan) <= allowed;
}

/// Makes a holder's requests fewer if all leases are on different nodes and together exceed their part.
void stretchHolder(PollPlan& plan, double allowed)
{
    const auto excess = holderCallsPerSecond(plan) / allowed;
    if (excess <= 1)
        return;
    for (auto* pace : { &plan.control, &plan.jobs, &plan.vms })
        pace->minInterval = std::chrono::ceil<milliseconds>(shortestInterval(*pace) * excess);
}

} // namespace

double observerCallsPerSecond(const PollPlan& plan)
{
    return callsPerSecond(shortestInterval(plan.operators)) + callsPerSecond(shortestInterval(plan.control))
        + callsPerSecond(shortestInterval(plan.jobs));
}

double holderCallsPerSecond(const PollPlan& plan)
{
    return observerCallsPerSecond(plan) + callsPerSecond(shortestInterval(plan.vms));
}

PollPlan planPolls(const NodeRole& role, const PollInputs& inputs)
{
    auto plan = unlimitedPlan(role, inputs.configApplyTime);
    if (inputs.readsPerSecond <= 0 || inputs.nodes == 0)
        return plan;
    const auto nodes = static_cast<double>(inputs.nodes);
    plan.turn = std::chrono::ceil<milliseconds>(Seconds(nodes / inputs.readsPerSecond));
    if (role.holdsPools || role.coordinatesMachines) {
        plan.turn = milliseconds(0); // its loads go on at once
        const auto holders = static_cast<double>(std::clamp<std::size_t>(inputs.leases, 1, inputs.nodes));
        stretchHolder(plan, inputs.readsPerSecond * holderShare / holders);
        return plan;
    }
    plan.isWithinShare
        = stretchObserver(plan, inputs.readsPerSecond * observerShare / nodes, inputs.configApplyTime);
    plan.vms.minInterval = plan.control.minInterval;
    return plan;
}

milliseconds electionWindow(std::size_t nodes, double writesPerSecond)
{
    constexpr milliseconds shortestWindow { 100 };
    constexpr milliseconds longestWindow { 5000 };
    if (writesPerSecond <= 0)
        return shortestWindow;
    const Seconds window(static_cast<double>(nodes) / (attemptShare * writesPerSecond));
    return std::clamp(std::chrono::duration_cast<milliseconds>(window), shortestWindow, longestWindow);
}

} // namespace damask::fleet
