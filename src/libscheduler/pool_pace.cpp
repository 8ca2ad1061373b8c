#include <damaskworks/pool_plan.h>

#include "pool_state_pvt.h"

#include <algorithm>

namespace damask::fleet {
namespace {

/// Ratio of latency to its target above which fillers are throttled. It is below 1 because the reported
/// latency is rough and half a second old.
constexpr double throttleThreshold = 0.85;
/// Ratio below which the CPU limit of fillers is raised again.
constexpr double raiseThreshold = 0.5;
constexpr int raiseStepPercent = 25; ///< by which a CPU limit is raised at a time
constexpr int limitGranularityPercent = 5; ///< halved limits are rounded down to a multiple of this

/// Largest ratio of tail latency to its target among the tasks on the VM.
double worstLatencyRatio(PoolState& state, const VmState& vm)
{
    double ratio = 0;
    for (const auto& id : vm.runs) {
        const auto* task = findTask(state, id);
        const auto& step = stepOf(state.jobs.find(id.job)->second, id.step);
        const auto* run = task ? runOn(*task, vm.entry.id) : nullptr;
        if (!run || step.latencyTarget.count() == 0)
            continue;
        ratio = std::max(
            ratio, static_cast<double>(run->reportedLoad) / static_cast<double>(step.latencyTarget.count()));
    }
    return ratio;
}

} // namespace

std::vector<ThrottleAction> planThrottling(PoolState& state, std::string_view vmId, TimePoint)
{
    std::vector<ThrottleAction> out;
    auto found = state.vms.find(vmId);
    if (found == state.vms.end())
        return out;
    const double ratio = worstLatencyRatio(state, found->second);
    if (ratio <= throttleThreshold && ratio >= raiseThreshold)
        return out;
    for (const auto& id : found->second.runs) {
        auto* task = findTask(state, id);
        const auto& step = stepOf(state.jobs.find(id.job)->second, id.step);
        auto* run = task ? runOn(*task, vmId) : nullptr;
        if (!run || !step.filler || run->phase != RunPhase::Running)
            continue;
        const int limit = ratio > throttleThreshold
            ? run->cpuLimitPercent / 2 / limitGranularityPercent * limitGranularityPercent
            : std::min(100, run->cpuLimitPercent + raiseStepPercent);
        if (limit == run->cpuLimitPercent)
            continue;
        run->cpuLimitPercent = limit;
        out.push_back({ std::string(vmId), id, run->number, limit });
    }
    return out;
}

} // namespace damask::fleet
