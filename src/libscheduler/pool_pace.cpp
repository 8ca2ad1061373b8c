#include <damaskworks/pool_plan.h>

#include "pool_state_pvt.h"

#include <algorithm>

namespace damask::fleet {
namespace {

/// Share of the latency target above which fillers are slowed: the report is rough and half a
/// second old.
constexpr double slowAbove = 0.85;
/// Share of the target below which they are released.
constexpr double releaseBelow = 0.5;
constexpr int paceStep = 25; ///< percent by which a filler is released at a time

/// Largest tail latency on the VM as a share of its target.
double worstServing(PoolState& state, const VmState& vm)
{
    double worst = 0;
    for (const auto& id : vm.runs) {
        const auto* task = findTask(state, id);
        const auto& step = stepOf(state.jobs.find(id.job)->second, id.step);
        if (!task || !task->run || step.latencyTarget.count() == 0)
            continue;
        worst = std::max(
            worst, static_cast<double>(task->run->load) / static_cast<double>(step.latencyTarget.count()));
    }
    return worst;
}

} // namespace

std::vector<PaceAction> planPaces(PoolState& state, std::string_view name, TimePoint)
{
    std::vector<PaceAction> out;
    auto found = state.vms.find(name);
    if (found == state.vms.end())
        return out;
    const double worst = worstServing(state, found->second);
    if (worst <= slowAbove && worst >= releaseBelow)
        return out;
    for (const auto& id : found->second.runs) {
        auto* task = findTask(state, id);
        const auto& step = stepOf(state.jobs.find(id.job)->second, id.step);
        if (!task || !task->run || !step.filler || task->run->phase != RunPhase::Running)
            continue;
        const int wanted
            = worst > slowAbove ? task->run->pace / 2 / 5 * 5 : std::min(100, task->run->pace + paceStep);
        if (wanted == task->run->pace)
            continue;
        task->run->pace = wanted;
        out.push_back({ std::string(name), id, task->run->number, wanted });
    }
    return out;
}

} // namespace damask::fleet
