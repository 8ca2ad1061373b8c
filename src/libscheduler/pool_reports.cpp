/// \file
/// Applies reports of VMs and outcomes of commands to the state of a pool, and plans stop commands.
#include "crash_attribution_pvt.h"
#include "pool_state_pvt.h"
#include "progress_pvt.h"
#include "run_copies_pvt.h"

#include <algorithm>
#include <utility>

namespace damask::fleet {
namespace {

/// Most ends that a VM lists in one report. A report with as many may be incomplete.
constexpr std::size_t maxListedEnds = 500;

void recordSuccess(VmState& vm)
{
    vm.consecutiveFailures = 0;
    vm.distinctFailedJobs = 0;
    vm.lastFailedJob.clear();
    vm.quarantineTime = milliseconds(0);
}

/// Counts a failure. A VM with consecutive failures of at least two jobs is quarantined; failures of a single
/// job are likely the fault of that job.
void recordFailure(VmState& vm, const std::string& job, const PoolLimits& limits, TimePoint now)
{
    if (now < vm.quarantinedUntil)
        return; // the run started before the quarantine
    ++vm.consecutiveFailures;
    if (vm.lastFailedJob != job)
        ++vm.distinctFailedJobs;
    vm.lastFailedJob = job;
    if (vm.consecutiveFailures < limits.failuresBeforeQuarantine || vm.distinctFailedJobs < 2)
        return;
    vm.quarantineTime = vm.quarantineTime.count() == 0
        ? limits.firstQuarantine
        : std::min(vm.quarantineTime * 2, limits.maxQuarantine);
    vm.quarantinedUntil = now + vm.quarantineTime;
    vm.consecutiveFailures
        = limits.failuresBeforeQuarantine - 1; // one failure after the quarantine starts the next
}

/// Marks a job as running. A VM must have confirmed one of its tasks: a start command alone may be refused or
/// lost.
void markJobRunning(PoolState& state, JobEntry& job)
{
    if (job.state != JobState::Queued)
        return;
    job.state = JobState::Running;
    job.dirty = true;
    markChanged(state, job);
}

/// \p runTime is zero if this holder does not know it.
void finishTask(PoolState& state, JobEntry& job, const TaskId& id, TaskState& task, milliseconds runTime)
{
    if (task.done)
        return;
    task.done = true;
    auto& step = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    ++step.doneTasks;
    step.longestRun = std::max(step.longestRun, runTime);
    if (step.doneTasks == static_cast<int>(step.tasks.size()))
        recordStepTime(state.stepTimeFactors, job.spec.queue, stepOf(job, id.step), step.longestRun);
    job.dirty = true;
    markChanged(state, job);
    // Another run of the task is to be stopped.
    if (task.run)
        markRunsChanged(state, job);
}

/// Marks all members of a gang as done, which the end of one member with EndKind::Done implies.
void finishGang(PoolState& state, JobEntry& job, const TaskId& id)
{
    auto& step = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    TaskId member = id;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        member.index = static_cast<int>(i);
        auto& task = step.tasks[i];
        if (task.done)
            continue;
        // The run of a member keeps its resources until the VM lists its own end.
        task.done = true;
        ++step.doneTasks;
    }
    job.dirty = true;
    markChanged(state, job);
    markRunsChanged(state, job);
}

void failTask(PoolState& state, JobEntry& job, TaskState& task, const StepSpec& step, std::uint32_t run)
{
    if (step.longRunning)
        return;
    job.dirty = task.failedRuns.insert(run).second || job.dirty;
    // Earlier runs may have failed as well, on VMs that have not reported since the takeover.
    if (run != firstRunNumber)
        task.wasListed = false;
    markChanged(state, job);
    const auto queue = state.queues.find(job.spec.queue);
    const int limit
        = std::max(queue == state.queues.end() ? job.spec.maxAttempts : queue->second.maxAttempts, 1);
    if (static_cast<int>(task.failedRuns.size()) < limit || isFinal(job.state))
        return;
    job.state = JobState::Failed;
    job.dirty = true;
    markRunsChanged(state, job);
}

/// Takes over the checkpoint of a run unless it is too long to be recorded.
void keepCheckpoint(PoolState& state, const VmState& vm, const TaskId& id, TaskState& task, std::uint32_t run,
    const std::string& checkpoint)
{
    if (checkpoint.empty() || task.done)
        return;
    if (checkpoint.size() <= state.limits.maxCheckpointBytes)
        task.checkpoint = checkpoint;
    else if (!std::exchange(task.hasSkippedCheckpoint, true))
        state.runEvents.push_back({ vm.entry.id, id, run, RunEventKind::CheckpointTooLong });
}

void applyEnd(PoolState& state, VmState& vm, const EndReport& end, TimePoint now)
{
    vm.orphanRuns.erase({ end.task, end.run });
    auto* task = findTask(state, end.task);
    if (!task)
        return;
    auto& job = state.jobs.find(end.task.job)->second;
    const auto& step = stepOf(job, end.task.step);
    markJobRunning(state, job);
    const auto* run = runOn(*task, vm.entry.id);
    const bool isCurrentRun = run && run->number == end.run;
    const bool isOutdated
        = task->done && isCopyable(step); ///< a failure beside the end that counts is no attempt
    if (!isCurrentRun && task->run) {
        // Another run has the task. A failure of this one still counts as an attempt, and the first end of a
        // task with copies counts. The other run is the earlier one if an earlier holder had given up its
        // start, a VM has carried it out late, and this holder has adopted it.
        const bool isLater = end.run > task->run->number;
        const bool counts = isCopyable(step) || (isLater && !step.longRunning);
        if (isLater)
            task->wasUnfinished = false; // its first run was not the only one
        if (end.kind == EndKind::Failed && !isOutdated)
            failTask(state, job, *task, step, end.run);
        if (end.kind == EndKind::Done && counts) {
            if (step.gang)
                finishGang(state, job, end.task);
            else
                finishTask(state, job, end.task, *task, milliseconds(0));
            completeIfDone(state, job);
        } else if (end.kind == EndKind::Done) {
            state.runEvents.push_back({ vm.entry.id, end.task, end.run, RunEventKind::EndPassedOver });
        }
        return;
    }
    if (isCurrentRun)
        recordEndOfCopied(state, job, end, *task, *run, now);
    task->lastRun = std::max(task->lastRun, end.run);
    keepCheckpoint(state, vm, end.task, *task, end.run, end.checkpoint);
    milliseconds runTime { 0 };
    if (isCurrentRun && run->confirmedAt != TimePoint {})
        runTime = std::chrono::duration_cast<milliseconds>(now - run->confirmedAt);
    if (isCurrentRun)
        releaseRun(state, end.task, *task, vm.entry.id);
    switch (end.kind) {
    case EndKind::Done:
        recordSuccess(vm);
        // Long-running tasks start again however they end; a gang only once no member has a run.
        if (step.longRunning)
            break;
        if (step.gang)
            finishGang(state, job, end.task);
        else
            finishTask(state, job, end.task, *task, runTime);
        completeIfDone(state, job);
        break;
    case EndKind::Failed:
        recordFailure(vm, end.task.job, state.limits, now);
        if (!isOutdated)
            failTask(state, job, *task, step, end.run);
        break;
    case EndKind::Stopped:
    case EndKind::LeaseExpired:
    case EndKind::GangMemberEnded:
    case EndKind::GangIncomplete:
        break;
    }
}

void confirmRun(RunState& run, const RunReport& report, TimePoint now)
{
    if (run.phase == RunPhase::Starting)
        run.phase = RunPhase::Running;
    if (run.confirmedAt == TimePoint {}) {
        run.confirmedAt = now;
        run.progressAt = now;
    }
    if (report.percent != run.percent) {
        run.percent = report.percent;
        run.progressAt = now;
    }
    run.reportedLoad = report.load;
}

/// Notes that a VM lists a run of the task as running. Returns whether that is the first time.
bool noteListed(TaskState& task, const StepSpec& step, std::uint32_t run)
{
    if (std::exchange(task.wasListed, true))
        return false;
    // An earlier holder may have heard the end of another run, and have lost it before it was recorded: of
    // the run before this one, if its VM was lost, of a copy, or of another member of a gang.
    if (run == firstRunNumber && !isCopyable(step) && !step.gang)
        task.wasUnfinished = true;
    return true;
}

/// Handles a run that no task has: an earlier holder started it, or this holder released it although the VM
/// runs it. Adopts it if its task has no run and no later one was started, else records it as an orphan run
/// to be stopped.
void adoptRun(PoolState& state, VmState& vm, const RunReport& report, TimePoint now)
{
    auto* task = findTask(state, report.task);
    const auto job = state.jobs.find(report.task.job);
    const bool isFirst = task && !task->run && report.run >= task->lastRun;
    const bool adoptable = task && !task->done && !isFinal(job->second.state)
        && (isFirst || mayAdoptCopy(stepOf(job->second, report.task.step), *task, vm.entry.id));
    // The run has outlived every lease that this holder knows of.
    vm.leaseUntil = std::max(vm.leaseUntil, vm.reportedClock + state.limits.maxVmLease);
    if (!adoptable) {
        vm.orphanRuns.try_emplace({ report.task, report.run });
        state.orphanVms.insert(vm.entry.id);
        return;
    }
    RunState run { vm.entry.id, report.run };
    run.vmBootTime = vm.bootTime;
    run.createdAt = run.sentAt = now;
    run.trial = isFirst ? trialLength(*task, state.limits) : milliseconds(0);
    if (run.trial.count() > 0) {
        vm.trialTask = report.task;
        state.trialVms.insert(vm.entry.id);
    }
    placeRun(state, vm, report.task, *task, run);
    state.runEvents.push_back({ vm.entry.id, report.task, report.run, RunEventKind::Adopted });
    noteListed(*task, stepOf(job->second, report.task.step), report.run);
    confirmRun(*runOn(*task, vm.entry.id), report, now);
    markJobRunning(state, job->second);
}

void applyRunning(PoolState& state, VmState& vm, const RunReport& report, TimePoint now)
{
    auto* task = findTask(state, report.task);
    auto* run = task ? runOn(*task, vm.entry.id) : nullptr;
    if (task && !task->copy)
        keepCheckpoint(state, vm, report.task, *task, report.run, report.checkpoint);
    if (run && run->number == report.run) {
        auto& job = state.jobs.find(report.task.job)->second;
        markJobRunning(state, job);
        run->vmBootTime = vm.bootTime;
        // The steps that depend on this one may be known not to run.
        if (noteListed(*task, stepOf(job, report.task.step), report.run))
            markChanged(state, job);
        if (task->crashes > 0)
            markChanged(state, job);
        clearSuspicion(job, stepOf(job, report.task.step), *task, state.limits, now);
        return confirmRun(*run, report, now);
    }
    adoptRun(state, vm, report, now);
}

/// Handles the first report of another boot of the VM. Confirmations of stops came from the earlier boot; the
/// present one may still carry out an unconfirmed start command, so it has to be stopped there too.
void resetForRestart(PoolState& state, VmState& vm, TimePoint now)
{
    vm.earlierBoots.insert(vm.bootTime);
    vm.orphanRuns.clear();
    vm.applied = vm.acknowledged = 0;
    vm.leaseUntil = milliseconds(0);
    vm.lastStartAt = TimePoint {};
    for (const auto& id : vm.runs) {
        auto* task = findTask(state, id);
        auto* run = task ? runOn(*task, vm.entry.id) : nullptr;
        if (!run || run->stopConfirmedAt == TimePoint {})
            continue;
        run->stopConfirmedAt = TimePoint {};
        run->nextStopAt = now;
    }
}

/// Raises VmState::leaseUntil if the VM may have a lease that this holder has not granted.
void recordUnknownLease(
    VmState& vm, const VmReport& report, const PoolState& state, TimePoint sentAt, TimePoint now)
{
    const auto& limits = state.limits;
    const bool hasEarlierLease = !vm.hasReported && (!report.running.empty() || now < state.recoveryDeadline);
    const bool isRestarted = isOfAnotherBoot(vm, report);
    if (isRestarted)
        vm.restartedAt = now;
    if (isRestarted || sentAt >= vm.unconfirmedLeaseAt)
        vm.unconfirmedLeaseUntil = milliseconds(0);
    // The lease end in a command for the earlier boot is far ahead on the new boot's clock.
    const bool mayGetEarlierCommands
        = vm.restartedAt != TimePoint {} && now - vm.restartedAt < limits.maxCommandDelay;
    if (hasEarlierLease || mayGetEarlierCommands)
        vm.leaseUntil = std::max(vm.leaseUntil, report.vmClock + limits.maxVmLease);
}

/// Updates PoolState::vmsWithUnlistedEnds. The VM lists the rest of its ends once this holder has
/// acknowledged the first ones.
void recordUnlistedEnds(PoolState& state, const VmState& vm, const VmReport& report, TimePoint now)
{
    if (report.ended.size() < maxListedEnds)
        state.vmsWithUnlistedEnds.erase(vm.entry.id);
    else if (!vm.hasReported && now < state.recoveryDeadline && !state.haveAllVmsReported)
        state.vmsWithUnlistedEnds.insert(vm.entry.id);
}

/// Releases runs that the VM does not list any more. Before the heartbeat was sent, it must have confirmed
/// the run, or its stop, after which a delayed start command can no longer take effect.
void releaseMissing(
    PoolState& state, VmState& vm, const std::set<TaskId>& listed, TimePoint sentAt, RunEventKind kind)
{
    const auto runs = vm.runs;
    for (const auto& id : runs) {
        auto* task = findTask(state, id);
        const auto* run = task ? runOn(*task, vm.entry.id) : nullptr;
        if (!run || listed.contains(id))
            continue;
        const bool confirmed = run->confirmedAt != TimePoint {} && run->confirmedAt < sentAt;
        const bool stopConfirmed = run->stopConfirmedAt != TimePoint {} && run->stopConfirmedAt < sentAt;
        if (confirmed || stopConfirmed)
            releaseRunAs(state, id, *task, vm.entry.id, kind);
    }
}

} // namespace

void applyReport(
    PoolState& state, std::string_view name, const VmReport& report, TimePoint sentAt, TimePoint now)
{
    auto found = state.vms.find(name);
    if (found == state.vms.end())
        return;
    auto& vm = found->second;
    markChanged(state, vm);
    const bool isRestarted = isOfAnotherBoot(vm, report);
    if (isRestarted) {
        std::set<TaskId> survivors;
        for (const auto& run : report.running)
            survivors.insert(run.task);
        for (const auto& end : report.ended)
            survivors.insert(end.task);
        attributeCrash(state, vm, survivors, sentAt, true);
        resetForRestart(state, vm, now);
    } else if (vm.isUnresponsive) {
        clearRisk(state, vm);
    }
    if (vm.fencing == Fencing::ReportRequired && sentAt >= vm.tokenRaisedAt)
        vm.fencing = Fencing::NotRequired;
    else if (isRestarted)
        requireNewToken(vm); // the new boot has seen no token, and its clock is far behind the ends of leases
    recordUnknownLease(vm, report, state, sentAt, now);
    recordUnlistedEnds(state, vm, report, now);
    vm.bootTime = report.bootTime;
    vm.earlierBoots.erase(vm.bootTime);
    vm.isUnresponsive = vm.hasLeaseExpired = false;
    vm.hasReported = true;
    vm.hasEnded = false;
    vm.reportedClock = report.vmClock;
    vm.clockReportedAt = now;
    vm.lastContactAt = vm.bootConfirmedAt = now;
    for (const auto& end : report.ended) {
        if (end.number <= vm.applied)
            continue;
        vm.applied = end.number;
        applyEnd(state, vm, end, now);
    }
    const auto earlierOrphans = std::exchange(vm.orphanRuns, {});
    std::set<TaskId> listed;
    for (const auto& run : report.running) {
        listed.insert(run.task);
        applyRunning(state, vm, run, now);
    }
    for (auto& [run, nextStopAt] : vm.orphanRuns) {
        if (const auto earlier = earlierOrphans.find(run); earlier != earlierOrphans.end())
            nextStopAt = earlier->second;
        else
            state.runEvents.push_back({ vm.entry.id, run.first, run.second, RunEventKind::Orphaned });
    }
    if (report.ended.size() < maxListedEnds)
        releaseMissing(
            state, vm, listed, sentAt, isRestarted ? RunEventKind::VmRestarted : RunEventKind::NotListed);
    vm.wasIdle = vm.runs.empty();
}

namespace {

/// The VM has rejected a start for want of a valid ticket.
void rejectTicket(PoolState& state, const TaskId& id, std::string_view vm)
{
    auto& job = state.jobs.find(id.job)->second;
    if (!std::exchange(job.hasTicketRejection, true))
        markChanged(state, job);
    auto& tickets = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)].advice.tickets;
    if (const auto ticket = tickets.find(vm); ticket != tickets.end())
        tickets.erase(ticket);
}

} // namespace

void applyStartOutcome(PoolState& state, std::string_view name, const TaskId& id, std::uint32_t number,
    CommandOutcome outcome, TimePoint now)
{
    auto found = state.vms.find(name);
    auto* task = findTask(state, id);
    auto* started = task ? runOn(*task, name) : nullptr;
    if (found == state.vms.end() || !started || started->number != number)
        return;
    auto& run = *started;
    if (outcome != CommandOutcome::Unknown && outcome != CommandOutcome::Unreachable
        && outcome != CommandOutcome::WrongVm)
        found->second.lastContactAt = now;
    switch (outcome) {
    case CommandOutcome::Accepted:
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
            run.confirmedAt = run.progressAt = now;
        }
        markJobRunning(state, state.jobs.find(id.job)->second);
        return;
    case CommandOutcome::Unknown:
        found->second.isUnresponsive = true;
        markChanged(state, found->second);
        markAtRisk(state, found->second);
        if (run.phase == RunPhase::Starting)
            run.phase = RunPhase::Unknown;
        if (run.nextStopAt != TimePoint::max())
            run.nextStopAt = now;
        return;
    case CommandOutcome::Refused:
        recordFailure(found->second, id.job, state.limits, now);
        break;
    case CommandOutcome::Unreachable:
        found->second.isUnresponsive = true;
        markChanged(state, found->second);
        markAtRisk(state, found->second);
        break;
    case CommandOutcome::InvalidTicket:
        rejectTicket(state, id, name);
        break;
    case CommandOutcome::InsufficientCapacity:
    case CommandOutcome::Superseded:
    case CommandOutcome::StaleRun:
    case CommandOutcome::LeaseExpired:
    case CommandOutcome::WrongVm:
    case CommandOutcome::Invalid:
        break;
    }
    releaseRunAs(state, id, *task, name, RunEventKind::StartRejected);
}

void applyStopOutcome(PoolState& state, std::string_view name, const TaskId& id, std::uint32_t number,
    CommandOutcome outcome, TimePoint sentAt, TimePoint now)
{
    const auto vm = state.vms.find(name);
    if (vm != state.vms.end()) {
        markChanged(state, vm->second);
        if (auto orphan = vm->second.orphanRuns.find({ id, number }); orphan != vm->second.orphanRuns.end())
            orphan->second = now + state.limits.stopRetryDelay;
    }
    auto* task = findTask(state, id);
    auto* run = task ? runOn(*task, name) : nullptr;
    if (!run || run->number != number)
        return;
    const bool mayBeOfAnEarlierBoot = vm != state.vms.end() && sentAt < vm->second.restartedAt;
    run->nextStopAt = mayBeOfAnEarlierBoot ? now : now + state.limits.stopRetryDelay;
    if (outcome == CommandOutcome::Accepted && !mayBeOfAnEarlierBoot)
        run->stopConfirmedAt = now;
}

namespace {

/// Longest time without progress that a sound run may have. VMs report whole percents, so a run that takes
/// long shows the same one for a while, and estimates are missing or far off. What the run has shown so far
/// counts as well, and each stalled run of the task lets the next one go on for twice as long.
milliseconds stallTime(
    const PoolLimits& limits, const StepSpec& step, const TaskState& task, const RunState& run)
{
    constexpr int mostDoublings = 12;
    const auto times = [&](Duration time) {
        return std::chrono::duration_cast<milliseconds>(
            std::chrono::duration<double, Duration::period>(time) * limits.stallFactor);
    };
    auto out = std::max(
        limits.minStallTime * (1 << std::min(task.stalledRuns, mostDoublings)), times(step.estimate));
    if (run.percent > 0)
        out = std::max(out, times((run.progressAt - run.confirmedAt) / run.percent));
    return out;
}

/// When the run counts as stalled if it makes no progress; max() if it never does.
TimePoint stallsAt(const PoolLimits& limits, const StepSpec& step, const TaskState& task, const RunState& run)
{
    if (step.longRunning || run.phase != RunPhase::Running || run.confirmedAt == TimePoint {})
        return TimePoint::max();
    return run.progressAt + stallTime(limits, step, task, run);
}

/// The same, or the earliest time at which it can be once the VM has confirmed the run.
TimePoint mayStallAt(
    const PoolLimits& limits, const StepSpec& step, const TaskState& task, const RunState& run, TimePoint now)
{
    const bool isUnconfirmed = run.phase == RunPhase::Starting && !step.longRunning;
    return isUnconfirmed ? now + limits.minStallTime : stallsAt(limits, step, task, run);
}

/// Plans the stops that are due on the VM until \p stops has \p limit of them.
void planStopsOn(PoolState& state, const std::string& name, VmState& vm, TimePoint now, std::size_t limit,
    std::vector<StopAction>& stops)
{
    for (auto& [run, nextStopAt] : vm.orphanRuns) {
        if (now < nextStopAt)
            continue;
        if (stops.size() >= limit) {
            state.vmsWithWaitingStops.insert(name);
            continue;
        }
        nextStopAt = TimePoint::max();
        stops.push_back({ name, run.first, run.second });
    }
    vm.nextStopAt = TimePoint::max();
    for (const auto& id : vm.runs) {
        auto* task = findTask(state, id);
        auto* listed = task ? runOn(*task, name) : nullptr;
        if (!listed)
            continue;
        auto& run = *listed;
        const auto& job = state.jobs.find(id.job)->second;
        const auto& step = stepOf(job, id.step);
        if (isFinal(job.state) || task->done)
            markStopping(run, now);
        if (now > stallsAt(state.limits, step, *task, run)) {
            markStopping(run, now);
            // A task that stalls again and again takes longer than it was said to: no fault of its VMs.
            if (task->stalledRuns == 0)
                recordFailure(vm, id.job, state.limits, now);
            ++task->stalledRuns;
            markChanged(state, vm);
        }
        const bool isStopping = run.phase == RunPhase::Stopping || run.phase == RunPhase::Unknown;
        if (!isStopping) {
            vm.nextStopAt = std::min(vm.nextStopAt, mayStallAt(state.limits, step, *task, run, now));
            continue;
        }
        if (run.stopConfirmedAt != TimePoint {})
            continue;
        if (now < run.nextStopAt || stops.size() >= limit) {
            vm.nextStopAt = std::min(vm.nextStopAt, run.nextStopAt);
            if (now >= run.nextStopAt)
                state.vmsWithWaitingStops.insert(name);
            continue;
        }
        run.nextStopAt = TimePoint::max();
        stops.push_back({ name, id, run.number });
    }
}

} // namespace

std::vector<StopAction> planStops(PoolState& state, TimePoint now, int maxStops)
{
    std::vector<StopAction> stops;
    const auto limit = static_cast<std::size_t>(std::max(maxStops, 0));
    for (auto& [name, vm] : state.vms)
        planStopsOn(state, name, vm, now, limit, stops);
    return stops;
}

std::vector<StopAction> planStops(
    PoolState& state, const std::vector<std::string>& vms, TimePoint now, int maxStops)
{
    std::vector<StopAction> stops;
    const auto limit = static_cast<std::size_t>(std::max(maxStops, 0));
    const auto plan = [&](const std::string& name) {
        if (const auto vm = state.vms.find(name); vm != state.vms.end())
            planStopsOn(state, name, vm->second, now, limit, stops);
    };
    while (!state.vmsWithWaitingStops.empty() && stops.size() < limit)
        plan(state.vmsWithWaitingStops.extract(state.vmsWithWaitingStops.begin()).value());
    for (const auto& name : vms)
        plan(name);
    return stops;
}

} // namespace damask::fleet
