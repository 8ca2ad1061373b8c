#include "serving_reservations_pvt.h"

#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"

#include <algorithm>
#include <vector>

namespace damask::fleet {
namespace {

const TaskState& taskOf(const JobEntry& job, const TaskId& id)
{
    const auto& step = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    return step.tasks[static_cast<std::size_t>(id.index)];
}

/// Whether the task still has to be placed on another VM than that of its run.
bool needsPlace(const PoolState& state, const TaskId& id)
{
    const auto job = state.jobs.find(id.job);
    if (job == state.jobs.end() || isFinal(job->second.state))
        return false;
    const auto& task = taskOf(job->second, id);
    // A suspect task gets a VM for its trial instead.
    if (task.done || task.isSuspect)
        return false;
    if (!task.run)
        return true;
    const auto vm = state.vms.find(task.run->vm);
    return task.run->phase == RunPhase::Stopping || (vm != state.vms.end() && isLeaving(vm->second));
}

/// A run that will end by itself or is being stopped.
struct PassingRun {
    milliseconds remaining { 0 };
    Resources resources;
};

std::vector<PassingRun> passingRuns(const PoolState& state, const VmState& vm, TimePoint now)
{
    std::vector<PassingRun> out;
    for (const auto& id : vm.runs) {
        const auto& job = state.jobs.find(id.job)->second;
        const auto& step = stepOf(job, id.step);
        const auto& task = taskOf(job, id);
        const auto* run = runOn(task, vm.entry.id);
        const bool isStopping = run && run->phase == RunPhase::Stopping;
        if (!run || (step.longRunning && !isStopping))
            continue;
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now - run->createdAt);
        out.push_back({ isStopping ? milliseconds(0) : std::max(milliseconds(0), step.estimate - elapsed),
            reservedBy(step) });
    }
    std::sort(out.begin(), out.end(),
        [](const PassingRun& a, const PassingRun& b) { return a.remaining < b.remaining; });
    return out;
}

/// Estimated time until \p need is free on the VM; empty if its long-running tasks and the reservations of
/// others leave too little.
std::optional<milliseconds> timeUntilFree(
    const PoolState& state, const VmState& vm, const TaskId& id, const Resources& need, TimePoint now)
{
    auto free = freeBesideReservations(state, vm, id);
    if (fits(need, free))
        return milliseconds(0);
    for (const auto& run : passingRuns(state, vm, now)) {
        free += run.resources;
        if (fits(need, free))
            return run.remaining;
    }
    return std::nullopt;
}

} // namespace

int countReservedSiblings(const PoolState& state, const std::string& vm, const TaskId& id)
{
    auto it = state.servingReservations.lower_bound({ id.job, id.occurrence, id.step, 0 });
    int count = 0;
    for (; it != state.servingReservations.end(); ++it) {
        const auto& other = it->first;
        if (other.job != id.job || other.occurrence != id.occurrence || other.step != id.step)
            break;
        count += it->second.vm == vm && other.index != id.index;
    }
    return count;
}

Resources freeBesideReservations(const PoolState& state, const VmState& vm, const TaskId& id)
{
    auto free = vm.entry.capacity;
    free -= vm.used;
    free -= vm.reserved;
    if (vm.reserved == Resources {})
        return free;
    const auto own = state.servingReservations.find(id);
    if (own != state.servingReservations.end() && own->second.vm == vm.entry.id)
        free += own->second.need;
    return free;
}

void dropStaleReservations(PoolState& state, TimePoint now)
{
    for (auto it = state.servingReservations.begin(); it != state.servingReservations.end();) {
        const auto vm = state.vms.find(it->second.vm);
        const bool isNeeded = vm != state.vms.end() && needsPlace(state, it->first);
        if (isNeeded
            && mayHostBesideOthers(
                state, vm->second, state.jobs.find(it->first.job)->second, it->first, now)) {
            ++it;
            continue;
        }
        if (vm != state.vms.end()) {
            vm->second.reserved -= it->second.need;
            markChanged(state, vm->second);
        }
        it = state.servingReservations.erase(it);
    }
}

void dropReservation(PoolState& state, const TaskId& id)
{
    const auto found = state.servingReservations.find(id);
    if (found == state.servingReservations.end())
        return;
    if (const auto vm = state.vms.find(found->second.vm); vm != state.vms.end()) {
        vm->second.reserved -= found->second.need;
        markChanged(state, vm->second);
    }
    state.servingReservations.erase(found);
}

const VmState* reserveForServing(
    PoolState& state, const JobEntry& job, const TaskId& id, ReservationPass& pass, TimePoint now)
{
    if (const auto found = state.servingReservations.find(id); found != state.servingReservations.end())
        return &state.vms.find(found->second.vm)->second;
    const StepId stepId { id.job, id.occurrence, id.step };
    if (pass.attempts <= 0 || pass.failedSteps.contains(stepId))
        return nullptr;
    --pass.attempts;
    const auto& step = stepOf(job, id.step);
    const auto need = reservedBy(step);
    VmState* soonest = nullptr;
    milliseconds soonestTime { 0 };
    state.work.vmChoices += state.vms.size();
    for (auto& [name, vm] : state.vms) {
        if (vm.trialTask || !mayHostBesideOthers(state, vm, job, id, now))
            continue;
        const auto time = timeUntilFree(state, vm, id, need, now);
        if (!time || (soonest && *time >= soonestTime))
            continue;
        soonest = &vm;
        soonestTime = *time;
    }
    if (!soonest) {
        pass.failedSteps.insert(stepId);
        return nullptr;
    }
    soonest->reserved += need;
    markChanged(state, *soonest);
    state.servingReservations.emplace(id, ServingReservation { soonest->entry.id, need });
    return soonest;
}

} // namespace damask::fleet
