#include "crash_attribution_pvt.h"

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

/// Counts a crash of \p vm during the run \p number of the task.
void countCrash(PoolState& state, const TaskId& id, TaskState& task, const std::string& vm,
    std::uint32_t number, RunEventKind kind)
{
    auto& job = state.jobs.find(id.job)->second;
    job.dirty = true;
    ++task.crashes;
    if (kind == RunEventKind::CrashedOnTrial)
        ++task.trialCrashes;
    state.runEvents.push_back({ vm, id, number, kind });
    if (task.trialCrashes < state.limits.maxTrialCrashes || isFinal(job.state))
        return;
    job.state = JobState::Failed;
    state.runEvents.push_back({ vm, id, number, RunEventKind::GivenUp });
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

void attributeEarlierCrash(PoolState& state, const TaskId& id, TaskState& task)
{
    const auto run = *task.earlierRun;
    task.earlierRun.reset();
    if (task.done || (task.run && task.run->number == run.number))
        return;
    const auto vm = state.vms.find(run.vm);
    // The VM has not crashed since: the run has never started, or has ended otherwise.
    if (vm != state.vms.end() && vm->second.hasReported && vm->second.bootTime == run.vmBootTime)
        return;
    task.isSuspect = true;
    countCrash(state, id, task, run.vm, run.number,
        run.isOnTrial ? RunEventKind::CrashedOnTrial : RunEventKind::Crashed);
}

} // namespace

milliseconds trialLength(const TaskState& task, const PoolLimits& limits)
{
    if (!task.isSuspect)
        return milliseconds(0);
    return task.crashes - task.trialCrashes >= limits.crashesBeforeLongTrial ? limits.longTrial
                                                                             : limits.shortTrial;
}

bool isOnTrial(const VmState& vm, const RunState& run)
{
    return run.trial.count() > 0 && (run.sentAt == TimePoint {} || vm.lastContactAt < run.sentAt + run.trial);
}

void endTrials(PoolState& state)
{
    for (auto& [name, vm] : state.vms) {
        if (!vm.trialTask)
            continue;
        auto* task = findTask(state, *vm.trialTask);
        const bool hasRun = task && task->run && task->run->vm == name;
        if (hasRun && isOnTrial(vm, *task->run))
            continue;
        if (hasRun) {
            task->run->trial = milliseconds(0);
            state.jobs.find(vm.trialTask->job)->second.dirty = true;
        }
        vm.trialTask.reset();
    }
}

void markAtRisk(PoolState& state, VmState& vm)
{
    for (const auto& id : vm.runs) {
        auto* task = findTask(state, id);
        if (!task || !task->run || task->run->isAtRisk || !mayHaveCrashed(state, vm, id, *task->run))
            continue;
        task->run->isAtRisk = true;
        state.jobs.find(id.job)->second.dirty = true;
    }
}

void attributeEarlierCrashes(PoolState& state)
{
    for (auto& [name, job] : state.jobs) {
        if (!job.hasEarlierRuns)
            continue;
        job.hasEarlierRuns = false;
        forEachTask(job, [&](const TaskId& id, TaskState& task) {
            if (task.earlierRun)
                attributeEarlierCrash(state, id, task);
        });
    }
}

void attributeCrash(PoolState& state, VmState& vm, const std::set<TaskId>& survivors)
{
    if (vm.entry.draining || vm.isEvacuating)
        return; // the VM has been taken away
    std::vector<TaskId> candidates;
    std::vector<TaskId> onTrial;
    for (const auto& id : vm.runs) {
        const auto* task = findTask(state, id);
        if (!task || !task->run || survivors.contains(id) || !mayHaveCrashed(state, vm, id, *task->run))
            continue;
        candidates.push_back(id);
        if (isOnTrial(vm, *task->run))
            onTrial.push_back(id);
    }
    // After a takeover a VM may have several adopted runs on trial.
    const bool isCertain = onTrial.size() == 1;
    for (const auto& id : onTrial.empty() ? candidates : onTrial) {
        auto& task = *findTask(state, id);
        task.run->isCrashAttributed = true;
        // An older run has shown for a while that it doesn't crash a VM at its start.
        const bool isYoung = task.run->sentAt + state.limits.shortTrial >= vm.lastContactAt;
        task.isSuspect = task.isSuspect || isYoung || task.crashes + 1 >= state.limits.crashesBeforeLongTrial;
        countCrash(state, id, task, vm.entry.id, task.run->number,
            isCertain ? RunEventKind::CrashedOnTrial : RunEventKind::Crashed);
    }
}

void clearSuspicion(
    JobEntry& job, const StepSpec& step, TaskState& task, const PoolLimits& limits, TimePoint now)
{
    if (!step.longRunning || task.crashes == 0 || !task.run || task.run->sentAt == TimePoint {}
        || now - task.run->sentAt < limits.longTrial)
        return;
    task.crashes = task.trialCrashes = 0;
    task.isSuspect = false;
    job.dirty = true;
}

} // namespace damask::fleet
