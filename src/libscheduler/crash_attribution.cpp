#include "crash_attribution_pvt.h"

#include "pool_state_pvt.h"

#include <algorithm>
#include <vector>

namespace damask::fleet {
namespace {

/// Whether the run may have caused a crash of its VM. Batch tasks may at any age; long-running tasks only
/// while they are young, since over months each of them meets some crashes of other causes.
bool mayHaveCrashed(const PoolState& state, const VmState& vm, const TaskId& id, const RunState& run)
{
    if (run.sentAt == TimePoint {} || run.isCrashAttributed)
        return false;
    const auto& job = state.jobs.find(id.job)->second;
    return !stepOf(job, id.step).longRunning || run.sentAt + state.limits.longTrial >= vm.lastContactAt;
}

/// A crash of a VM as it is counted for one of its runs.
struct CountedCrash {
    std::string vm;
    std::uint32_t run = 0;
    bool isOnTrial = false;
    bool isTrialShared = false;
    bool isProven = false;
};

void countCrash(PoolState& state, const TaskId& id, TaskState& task, const CountedCrash& crash)
{
    auto& job = state.jobs.find(id.job)->second;
    job.dirty = true;
    markChanged(state, job);
    ++task.crashes;
    task.trialCrashes += crash.isOnTrial;
    task.sharedTrialCrashes += crash.isTrialShared;
    task.provenTrialCrashes += crash.isOnTrial && crash.isProven;
    state.runEvents.push_back(
        { crash.vm, id, crash.run, crash.isOnTrial ? RunEventKind::CrashedOnTrial : RunEventKind::Crashed });
    const bool isGivenUp = task.provenTrialCrashes >= state.limits.maxProvenTrialCrashes
        || task.trialCrashes >= state.limits.maxTrialCrashes;
    if (!isGivenUp || isFinal(job.state))
        return;
    job.state = JobState::Failed;
    markRunsChanged(state, job);
    state.runEvents.push_back({ crash.vm, id, crash.run, RunEventKind::GivenUp });
}

/// Calls \p function for each task of the job, with its id.
template <typename Function> void forEachTask(JobEntry& job, Function function)
{
    for (auto& [number, occurrence] : job.occurrences) {
        TaskId id { job.spec.id, number, 0, 0 };
        for (auto& step : occurrence.steps) {
            id.index = 0;
            for (auto& task : step.tasks) {
                function(id, task);
                ++id.index;
            }
            ++id.step;
        }
    }
}

/// Whether the task has the run.
bool hasRun(const TaskState& task, std::uint32_t number)
{
    return (task.run && task.run->number == number) || (task.copy && task.copy->number == number);
}

void attributeEarlierCrash(PoolState& state, const TaskId& id, TaskState& task)
{
    const auto run = *task.earlierRun;
    task.earlierRun.reset();
    auto& job = state.jobs.find(id.job)->second;
    job.dirty = true; // a later holder would decide again, by later lists of VMs
    markChanged(state, job);
    if (task.done || hasRun(task, run.number))
        return;
    const auto vm = state.vms.find(run.vm);
    const bool hasReported = vm != state.vms.end() && vm->second.hasReported;
    // The VM has not crashed since: the run has never started, or has ended otherwise.
    if (hasReported && vm->second.bootTime == run.vmBootTime)
        return;
    const bool isGone = state.platformVms && !state.platformVms->contains(run.vm);
    task.isSuspect = true;
    countCrash(state, id, task, { run.vm, run.number, run.isOnTrial, false, hasReported || isGone });
}

/// Whether all the runs are of one gang.
bool areOfOneGang(const PoolState& state, const std::vector<TaskId>& runs)
{
    return std::all_of(runs.begin(), runs.end(), [&](const TaskId& id) {
        const auto& first = runs.front();
        return id.job == first.job && id.occurrence == first.occurrence && id.step == first.step
            && stepOf(state.jobs.find(id.job)->second, id.step).gang;
    });
}

} // namespace

milliseconds trialLength(const TaskState& task, const PoolLimits& limits)
{
    if (!task.isSuspect)
        return milliseconds(0);
    const int outsideTrials = task.crashes - task.trialCrashes - task.sharedTrialCrashes;
    return outsideTrials >= limits.crashesBeforeLongTrial ? limits.longTrial : limits.shortTrial;
}

bool mayShareTrial(const TaskState& task, const PoolLimits& limits, TimePoint now)
{
    return task.waitsForTrialSince != TimePoint {} && now - task.waitsForTrialSince >= limits.maxTrialWait
        && task.crashes <= limits.crashesBeforeLongTrial && task.trialCrashes == 0
        && task.sharedTrialCrashes < limits.maxSharedTrialCrashes;
}

bool isOnTrial(const VmState& vm, const RunState& run)
{
    return run.trial.count() > 0 && (run.sentAt == TimePoint {} || vm.lastContactAt < run.sentAt + run.trial);
}

void endTrials(PoolState& state)
{
    std::erase_if(state.trialVms, [&](const std::string& name) {
        const auto found = state.vms.find(name);
        return found == state.vms.end() || !found->second.trialTask;
    });
    for (const auto& name : state.trialVms) {
        auto& vm = state.vms.find(name)->second;
        vm.trialTask.reset();
        for (const auto& id : vm.runs) {
            auto* task = findTask(state, id);
            auto* run = task ? runOn(*task, name) : nullptr;
            if (!run || run->trial.count() == 0)
                continue;
            if (isOnTrial(vm, *run)) {
                vm.trialTask = id;
                continue;
            }
            run->trial = milliseconds(0);
            auto& job = state.jobs.find(id.job)->second;
            job.dirty = true;
            markChanged(state, job);
        }
        if (!vm.trialTask)
            markChanged(state, vm);
    }
}

void markAtRisk(PoolState& state, VmState& vm)
{
    for (const auto& id : vm.runs) {
        auto* task = findTask(state, id);
        auto* run = task ? runOn(*task, vm.entry.id) : nullptr;
        if (!run || run->isAtRisk || !mayHaveCrashed(state, vm, id, *run))
            continue;
        run->isAtRisk = true;
        auto& job = state.jobs.find(id.job)->second;
        job.dirty = true;
        markChanged(state, job);
    }
}

void clearRisk(PoolState& state, VmState& vm)
{
    for (const auto& id : vm.runs) {
        auto* task = findTask(state, id);
        auto* run = task ? runOn(*task, vm.entry.id) : nullptr;
        if (!run || !run->isAtRisk)
            continue;
        run->isAtRisk = false;
        auto& job = state.jobs.find(id.job)->second;
        job.dirty = true;
        markChanged(state, job);
    }
}

void attributeEarlierCrashes(PoolState& state, JobEntry& job)
{
    if (!job.hasEarlierRuns)
        return;
    job.hasEarlierRuns = false;
    forEachTask(job, [&](const TaskId& id, TaskState& task) {
        if (task.earlierRun)
            attributeEarlierCrash(state, id, task);
    });
}

void attributeCrash(
    PoolState& state, VmState& vm, const std::set<TaskId>& survivors, TimePoint before, bool isProven)
{
    std::vector<TaskId> candidates;
    std::vector<TaskId> onTrial;
    for (const auto& id : vm.runs) {
        const auto* task = findTask(state, id);
        const auto* run = task ? runOn(*task, vm.entry.id) : nullptr;
        if (!run || survivors.contains(id) || run->sentAt >= before || !mayHaveCrashed(state, vm, id, *run))
            continue;
        candidates.push_back(id);
        if (isOnTrial(vm, *run))
            onTrial.push_back(id);
    }
    // A gang has one trial; after a takeover a VM may also have adopted runs of several tasks on trial.
    const bool isCertain = onTrial.size() == 1 || (!onTrial.empty() && areOfOneGang(state, onTrial));
    for (const auto& id : onTrial.empty() ? candidates : onTrial) {
        auto& task = *findTask(state, id);
        auto& run = *runOn(task, vm.entry.id);
        run.isCrashAttributed = true;
        const bool isShared = !isCertain && run.isTrialShared && isOnTrial(vm, run);
        // An older run has shown for a while that it doesn't crash a VM at its start.
        const bool isYoung = run.sentAt + state.limits.shortTrial >= vm.lastContactAt;
        task.isSuspect = task.isSuspect || isYoung || task.crashes + 1 >= state.limits.crashesBeforeLongTrial;
        countCrash(state, id, task, { vm.entry.id, run.number, isCertain, isShared, isProven });
    }
}

void clearSuspicion(
    JobEntry& job, const StepSpec& step, TaskState& task, const PoolLimits& limits, TimePoint now)
{
    if (!step.longRunning || task.crashes == 0 || !task.run || task.run->sentAt == TimePoint {}
        || now - task.run->sentAt < limits.longTrial)
        return;
    task.crashes = task.trialCrashes = task.sharedTrialCrashes = task.provenTrialCrashes = 0;
    task.isSuspect = false;
    job.dirty = true;
}

} // namespace damask::fleet
