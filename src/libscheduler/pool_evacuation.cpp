#include <damaskworks/pool_plan.h>

#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"
#include "serving_reservations_pvt.h"

#include <algorithm>

namespace damask::fleet {
namespace {

/// Whether a long-running task serves its users: it runs, is ready and its VM responds.
bool isServing(const PoolState& state, const TaskState& task)
{
    if (!task.run || task.run->phase != RunPhase::Running || task.run->percent < 100)
        return false;
    const auto vm = state.vms.find(task.run->vm);
    return vm != state.vms.end() && !vm->second.isUnresponsive;
}

int countUnavailable(const PoolState& state, const StepState& step)
{
    return static_cast<int>(std::count_if(step.tasks.begin(), step.tasks.end(),
        [&](const TaskState& task) { return !isServing(state, task); }));
}

/// One pass of planEvacuations().
struct EvacuationPass {
    bool canVmsTakeTasks = false; ///< some VM accepts starts
    ReservationPass reservations;
};

/// Whether the long-running task should go on until another VM has room for it. Reserves that room. The task
/// doesn't wait if no VM accepts starts, or once its own VM has to go.
bool shouldWaitForRoom(PoolState& state, EvacuationPass& pass, const VmState& vm, const JobEntry& job,
    const TaskId& id, TimePoint now)
{
    const auto* target = reserveForServing(state, job, id, pass.reservations, now);
    if (target && canStartOn(state, *target, job, id, now))
        return false;
    const auto longestWait
        = vm.entry.draining ? state.limits.drainingPlacementWait : state.limits.evacuationTimeout;
    return pass.canVmsTakeTasks && now - vm.evacuatingSince <= longestWait;
}

/// Marks a long-running task to be stopped if the disruption budget of its step allows one more.
void stopWithinBudget(PoolState& state, JobEntry& job, const TaskId& id, TaskState& task, TimePoint now)
{
    const auto& step = stepOf(job, id.step);
    auto& tasks = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    // A task that does not serve is unavailable already, so stopping it costs no budget.
    const int unavailableOthers = countUnavailable(state, tasks) - (isServing(state, task) ? 0 : 1);
    if (unavailableOthers < std::max(step.maxUnavailable, 1))
        markStopping(*task.run, now);
}

/// Begins a pass of planEvacuations().
EvacuationPass beginEvacuations(PoolState& state, TimePoint now)
{
    dropStaleReservations(state, now);
    EvacuationPass pass { false, { state.limits.maxReservationAttempts, {} } };
    pass.canVmsTakeTasks = std::any_of(state.vms.begin(), state.vms.end(),
        [&](const auto& entry) { return isAvailable(entry.second, now); });
    return pass;
}

/// Marks tasks to be stopped on a VM that is evacuated or draining.
void planEvacuation(PoolState& state, VmState& vm, EvacuationPass& pass, TimePoint now)
{
    if (vm.evacuatingSince == TimePoint {})
        vm.evacuatingSince = now;
    for (const auto& id : vm.runs) {
        auto* task = findTask(state, id);
        auto& job = state.jobs.find(id.job)->second;
        auto* run = task ? runOn(*task, vm.entry.id) : nullptr;
        if (!run || run->phase != RunPhase::Running || isFinal(job.state))
            continue;
        const bool isTimeOver = vm.isEvacuating && now - vm.evacuatingSince > state.limits.evacuationTimeout;
        if (!stepOf(job, id.step).longRunning) {
            if (isTimeOver)
                markStopping(*run, now);
            continue;
        }
        // A suspect task needs a VM for its trial, which isn't reserved ahead.
        if (task->isSuspect || !shouldWaitForRoom(state, pass, vm, job, id, now))
            stopWithinBudget(state, job, id, *task, now);
    }
}

} // namespace

void planEvacuations(PoolState& state, TimePoint now)
{
    auto pass = beginEvacuations(state, now);
    for (auto& [name, vm] : state.vms) {
        if (isLeaving(vm))
            planEvacuation(state, vm, pass, now);
        else
            vm.evacuatingSince = TimePoint {};
    }
}

void planEvacuations(PoolState& state, const std::vector<std::string>& vms, TimePoint now)
{
    std::optional<EvacuationPass> pass;
    for (const auto& name : vms) {
        const auto vm = state.vms.find(name);
        if (vm == state.vms.end())
            continue;
        if (!isLeaving(vm->second)) {
            vm->second.evacuatingSince = TimePoint {};
            continue;
        }
        if (!pass)
            pass = beginEvacuations(state, now);
        planEvacuation(state, vm->second, *pass, now);
    }
}

} // namespace damask::fleet
