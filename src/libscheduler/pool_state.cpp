#include <damaskworks/pool_state.h>

#include "crash_attribution_pvt.h"
#include "pool_load_pvt.h"
#include "pool_state_pvt.h"
#include "progress_pvt.h"
#include "run_copies_pvt.h"
#include "vm_room_pvt.h"

#include <algorithm>
#include <utility>

namespace damask::fleet {

const StepSpec& stepOf(const JobEntry& job, int step)
{
    return job.spec.steps[static_cast<std::size_t>(step)];
}

Resources reservedBy(const StepSpec& step)
{
    auto need = step.need;
    if (step.filler)
        need.cpu = 0;
    return need;
}

OccurrenceState& openOccurrence(JobEntry& job, int number)
{
    auto [it, added] = job.occurrences.try_emplace(number);
    if (!added)
        return it->second;
    for (const auto& spec : job.spec.steps) {
        StepState step;
        step.tasks.resize(static_cast<std::size_t>(spec.count));
        it->second.steps.push_back(std::move(step));
    }
    return it->second;
}

bool addJob(PoolState& state, JobSpec spec, std::string_view progress, bool isRecovered,
    const FurtherRows& furtherRows)
{
    if (state.jobs.contains(spec.id))
        return true;
    JobEntry job;
    job.criticalPath = criticalPathLength(spec.steps);
    job.timeFactor = stepTimeFactor(state.stepTimeFactors, spec.queue);
    job.party = partyOf(state.shares, spec.organisation);
    job.isExcess = countJob(state.shares, job.party, spec.acceptedAt);
    job.spec = std::move(spec);
    job.hasSpec = job.spec.specBytes == 0;
    job.hasRecord = !progress.empty();
    job.hadEarlierHolder = isRecovered;
    // Without a record no earlier holder has started any task.
    job.isRecovered = isRecovered && job.hasRecord;
    bool isReadable = progress.empty() || decodeProgress(job, progress);
    job.record.rows[0].isStored = job.hasRecord;
    for (const auto& [position, text] : furtherRows) {
        // A later row is the newer one where rows overlap: the earlier one is written anew after it.
        isReadable = decodeProgress(job, text) && isReadable;
        job.record.rows[position] = { hashOf(text), true };
    }
    if (isFinal(job.state))
        return isReadable;
    if (job.spec.occurrences == 0)
        openOccurrence(job, 0);
    const auto id = job.spec.id;
    auto& entry = state.jobs.emplace(id, std::move(job)).first->second;
    markChanged(state, entry);
    completeIfDone(state, entry);
    return isReadable;
}

void applyQueues(PoolState& state, const std::vector<Queue>& queues)
{
    const auto earlier = std::exchange(state.queues, {});
    for (const auto& queue : queues)
        state.queues.emplace(queue.name, queue);
    std::set<std::string_view> changed;
    for (const auto& [name, queue] : state.queues) {
        const auto before = earlier.find(name);
        if (before == earlier.end() || before->second != queue)
            changed.insert(name);
    }
    for (const auto& [name, queue] : earlier) {
        if (!state.queues.contains(name))
            changed.insert(name);
    }
    if (changed.empty())
        return;
    for (auto& [id, job] : state.jobs) {
        if (changed.contains(job.spec.queue))
            markChanged(state, job);
    }
}

void recordArrival(PoolState& state, const JobSpec& job, TimePoint now)
{
    double work = 0;
    for (const auto& step : job.steps) {
        if (!step.longRunning)
            work += static_cast<double>(step.need.cpu * step.count)
                * static_cast<double>(step.estimate.count());
    }
    state.arrivals.push_back({ now, work });
}

void cancelJob(PoolState& state, std::string_view id)
{
    auto found = state.jobs.find(id);
    if (found == state.jobs.end() || isFinal(found->second.state))
        return;
    found->second.cancelled = true;
    found->second.state = JobState::Cancelled;
    found->second.dirty = true;
    markChanged(state, found->second);
    markRunsChanged(state, found->second);
}

TaskState* findTask(PoolState& state, const TaskId& id)
{
    auto job = state.jobs.find(id.job);
    if (job == state.jobs.end())
        return nullptr;
    const auto step = static_cast<std::size_t>(id.step);
    const auto index = static_cast<std::size_t>(id.index);
    if (step >= job->second.spec.steps.size())
        return nullptr;
    // A run of an occurrence proves that the occurrence was opened, even if the record lacks it.
    const int limit = std::max(job->second.spec.occurrences, 1);
    if (id.occurrence >= limit || contains(job->second.endedOccurrences, id.occurrence))
        return nullptr;
    const auto opened = job->second.occurrences.size();
    auto& occurrence = openOccurrence(job->second, id.occurrence);
    if (job->second.occurrences.size() != opened)
        markChanged(state, job->second);
    auto& tasks = occurrence.steps[step].tasks;
    return index < tasks.size() ? &tasks[index] : nullptr;
}

const RunState* runOn(const TaskState& task, std::string_view vm)
{
    if (task.run && task.run->vm == vm)
        return &*task.run;
    return task.copy && task.copy->vm == vm ? &*task.copy : nullptr;
}

RunState* runOn(TaskState& task, std::string_view vm)
{
    return const_cast<RunState*>(runOn(std::as_const(task), vm));
}

bool isStepReady(const JobEntry& job, const OccurrenceState& occurrence, int step)
{
    for (int before : stepOf(job, step).after) {
        const auto& earlier = occurrence.steps[static_cast<std::size_t>(before)];
        if (earlier.doneTasks < static_cast<int>(earlier.tasks.size()))
            return false;
    }
    return true;
}

void completeIfDone(PoolState& state, JobEntry& job)
{
    if (isFinal(job.state))
        return;
    const int wanted = std::max(job.spec.occurrences, 1);
    bool all = static_cast<int>(job.occurrences.size()) + job.endedOccurrences.count >= wanted;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& step : occurrence.steps)
            all = all && step.doneTasks == static_cast<int>(step.tasks.size());
    }
    if (!all)
        return;
    job.state = JobState::Completed;
    job.dirty = true;
    markChanged(state, job);
    markRunsChanged(state, job);
}

void closeEndedOccurrences(PoolState& state, JobEntry& job)
{
    if (job.spec.occurrences == 0)
        return;
    // A gang's members may have runs after its end.
    const auto hasEnded = [](const StepState& step) {
        return step.doneTasks == static_cast<int>(step.tasks.size())
            && std::none_of(step.tasks.begin(), step.tasks.end(),
                [](const TaskState& task) { return task.run.has_value(); });
    };
    const auto closed = std::erase_if(job.occurrences, [&](const auto& entry) {
        const auto& [number, occurrence] = entry;
        if (!std::all_of(occurrence.steps.begin(), occurrence.steps.end(), hasEnded))
            return false;
        addRange(job.endedOccurrences, number, number);
        return true;
    });
    if (closed > 0)
        markChanged(state, job);
}

void placeRun(PoolState& state, VmState& vm, const TaskId& id, TaskState& task, RunState run)
{
    auto& job = state.jobs.find(id.job)->second;
    vm.used += reservedBy(stepOf(job, id.step));
    addRunToCaps(state, job, stepOf(job, id.step), run.number);
    addUse(state.shares, job.party, stepOf(job, id.step), 1);
    vm.runs.insert(id);
    updateRoom(state, vm);
    markChanged(state, vm);
    markChanged(state, job);
    task.lastRun = std::max(task.lastRun, run.number);
    task.hasBeenCopied = task.hasBeenCopied || task.run;
    (task.run ? task.copy : task.run) = std::move(run);
    if (isCopyable(stepOf(job, id.step)))
        state.copyableSteps.insert({ id.job, id.occurrence, id.step });
}

namespace {

/// Whether the run is released although it is not known whether its VM has crashed: the VM is silent and
/// still registered. The next holder may learn it.
bool mayHaveCrashedUnnoticed(const VmState& vm, const RunState& run)
{
    return vm.hasLeaseExpired && vm.isRegistered && !run.isCrashAttributed && !vm.entry.draining
        && !vm.isEvacuating;
}

} // namespace

void releaseRun(PoolState& state, const TaskId& id, TaskState& task, std::string_view vmId)
{
    const auto* run = runOn(task, vmId);
    if (!run)
        return;
    auto& job = state.jobs.find(id.job)->second;
    auto vm = state.vms.find(vmId);
    // The record tells the next holder that the run may have crashed its VM.
    const bool hasRecord = run->trial.count() > 0 || run->isAtRisk;
    if (hasRecord && (vm == state.vms.end() || !mayHaveCrashedUnnoticed(vm->second, *run)))
        job.dirty = true;
    if (vm != state.vms.end() && vm->second.runs.erase(id) > 0) {
        vm->second.used -= reservedBy(stepOf(job, id.step));
        addUse(state.shares, job.party, stepOf(job, id.step), -1);
        updateRoom(state, vm->second);
        markChanged(state, vm->second);
    }
    removeRunFromCaps(state, job, stepOf(job, id.step), run->number);
    markChanged(state, job);
    if (run == &*task.run)
        task.run = std::move(task.copy);
    task.copy.reset();
}

void markStopping(RunState& run, TimePoint now)
{
    if (run.phase == RunPhase::Stopping)
        return;
    run.phase = RunPhase::Stopping;
    if (run.nextStopAt != TimePoint::max())
        run.nextStopAt = now;
}

namespace {

/// Records that the start of a run that is being released may still be carried out.
void recordUnsettledStart(PoolState& state, const TaskId& id, const RunState& run, RunEventKind kind)
{
    const bool isUnsent = run.sentAt == TimePoint {} || kind == RunEventKind::StartRejected;
    const auto vm = state.vms.find(run.vm);
    if (isUnsent || run.confirmedAt != TimePoint {} || vm == state.vms.end())
        return;
    auto& until = vm->second.unsettledStartsUntil;
    until = std::max(until, run.sentAt + state.limits.maxCommandDelay);
    const auto& job = state.jobs.find(id.job)->second;
    addUnsettledStart(state, job, stepOf(job, id.step), run.sentAt + state.limits.maxCommandDelay);
}

} // namespace

void releaseRunAs(PoolState& state, const TaskId& id, TaskState& task, std::string_view vm, RunEventKind kind)
{
    if (const auto* run = runOn(task, vm)) {
        state.runEvents.push_back({ run->vm, id, run->number, kind });
        recordUnsettledStart(state, id, *run, kind);
    }
    releaseRun(state, id, task, vm);
}

void listVm(PoolState& state, const VmRegistration& entry)
{
    auto [it, added] = state.vms.try_emplace(entry.id);
    auto& vm = it->second;
    vm.isRegistered = true;
    vm.entry.id = entry.id;
    markChanged(state, vm);
    if (added) {
        vm.fencingToken = state.fencingToken;
        if (const auto removed = state.removedVms.extract(entry.id)) {
            vm.unsettledStartsUntil = removed.mapped();
            requireNewToken(vm);
        }
    }
    // A registration of an earlier boot may arrive late.
    if (vm.earlierBoots.contains(entry.bootTime))
        return;
    const bool isNewBoot = entry.bootTime != vm.entry.bootTime;
    vm.entry = entry;
    if (isNewBoot && vm.hasReported && !isEntryCurrent(vm)) {
        vm.isUnresponsive = true;
        requireNewToken(vm);
    }
}

void requireNewToken(VmState& vm)
{
    // A raised token that no command but heartbeats and stops has carried yet is new enough.
    if (vm.fencing == Fencing::NotRequired)
        vm.fencing = Fencing::TokenRequired;
}

void applySuperseded(PoolState& state, std::string_view name, std::uint64_t token)
{
    const auto found = state.vms.find(name);
    if (found == state.vms.end() || token < found->second.fencingToken)
        return;
    found->second.fencing = Fencing::TokenRequired;
    markChanged(state, found->second);
}

void fenceUnsettledStarts(PoolState& state, std::string_view name, TimePoint now)
{
    const auto found = state.vms.find(name);
    if (found == state.vms.end())
        return;
    auto& vm = found->second;
    const bool hasUnknownStart = std::any_of(vm.runs.begin(), vm.runs.end(), [&](const TaskId& id) {
        const auto* task = findTask(state, id);
        const auto* run = task ? runOn(*task, name) : nullptr;
        return run && run->phase == RunPhase::Unknown;
    });
    const bool isUnsettled
        = hasUnknownStart || now < std::max(vm.unsettledStartsUntil, state.earlierStartsUntil);
    // Each pass calls this for a silent VM whose lease has expired.
    if (!isUnsettled || vm.fencing != Fencing::NotRequired)
        return;
    requireNewToken(vm);
    markChanged(state, vm);
}

bool isNewTokenRequired(const PoolState& state)
{
    return std::any_of(state.vms.begin(), state.vms.end(),
        [](const auto& entry) { return entry.second.fencing == Fencing::TokenRequired; });
}

std::vector<std::string> applyNewToken(PoolState& state, std::uint64_t token, TimePoint now)
{
    std::vector<std::string> out;
    state.fencingToken = token;
    for (auto& [name, vm] : state.vms) {
        if (vm.fencing != Fencing::TokenRequired)
            continue;
        vm.fencingToken = token;
        vm.fencing = Fencing::ReportRequired;
        vm.tokenRaisedAt = now;
        markChanged(state, vm);
        out.push_back(name);
    }
    return out;
}

bool isEntryCurrent(const VmState& vm)
{
    return vm.entry.bootTime == 0 || vm.bootTime == 0 || vm.entry.bootTime == vm.bootTime;
}

bool isOfAnotherBoot(const VmState& vm, const VmReport& report)
{
    // The clock of one boot never goes back.
    return vm.hasReported && (vm.bootTime != report.bootTime || report.vmClock < vm.reportedClock);
}

void unlistVm(PoolState& state, std::string_view id)
{
    auto found = state.vms.find(id);
    if (found == state.vms.end())
        return;
    found->second.isRegistered = false;
    markChanged(state, found->second);
}

void setEvacuation(PoolState& state, VmState& vm, const std::string& task)
{
    if (vm.evacuationTask == task && vm.isEvacuating == !task.empty())
        return;
    // The maintenance or move is of a later VM of the machine.
    const bool hasEndedBefore = vm.isUnresponsive && !vm.isRegistered && !vm.isEvacuating;
    if (hasEndedBefore && !task.empty())
        return;
    if (vm.isEvacuating && task.empty())
        vm.isUnresponsive = true;
    vm.isEvacuating = !task.empty();
    vm.evacuationTask = task;
    markChanged(state, vm);
}

void markUnresponsive(PoolState& state, std::string_view vm)
{
    auto found = state.vms.find(vm);
    if (found == state.vms.end())
        return;
    found->second.isUnresponsive = true;
    markChanged(state, found->second);
    markAtRisk(state, found->second);
}

void applyWrongVm(PoolState& state, std::string_view name, const Address& address, TimePoint sentAt)
{
    const auto found = state.vms.find(name);
    if (found == state.vms.end() || found->second.entry.address != address)
        return;
    auto& vm = found->second;
    vm.isUnresponsive = true;
    markChanged(state, vm);
    if (std::max(vm.lastContactAt, vm.lastStartAt) > sentAt)
        return;
    vm.hasEnded = true;
    vm.isRegistered = false;
    vm.leaseUntil = vm.unconfirmedLeaseUntil = milliseconds(0);
}

namespace {

/// Added to the longest lease of a VM after a takeover, for the earlier holder's last commands.
constexpr milliseconds takeoverMargin { 300 };

/// The least that the VM's clock can show now, if the VM has not restarted since its last report.
std::chrono::duration<double, std::milli> earliestClock(
    const VmState& vm, const PoolLimits& limits, TimePoint now)
{
    return vm.reportedClock + (now - vm.clockReportedAt) * limits.minVmClockRate;
}

/// Whether the VM may have restarted under its id since its last report or response.
bool mayHaveRestarted(const VmState& vm, const PoolLimits& limits, TimePoint now)
{
    return vm.isUnresponsive || vm.wasIdle || now - vm.bootConfirmedAt > limits.maxReportAge;
}

/// Lowest clock that a response to a command sent at \p sentAt can show, if the VM has not restarted.
std::chrono::duration<double, std::milli> earliestResponseClock(
    const VmState& vm, const PoolLimits& limits, TimePoint sentAt)
{
    // A report sent later may have overtaken the response. A VM's clock is never fast.
    if (sentAt < vm.clockReportedAt)
        return vm.reportedClock - (vm.clockReportedAt - sentAt);
    return earliestClock(vm, limits, sentAt);
}

void assumeLongestLease(VmState& vm, const PoolLimits& limits, TimePoint now)
{
    const auto clock = std::chrono::floor<milliseconds>(earliestClock(vm, limits, now));
    vm.unconfirmedLeaseUntil = clock + limits.maxVmLease;
    vm.unconfirmedLeaseAt = now;
}

} // namespace

void checkVmClock(
    PoolState& state, std::string_view name, milliseconds vmClock, TimePoint sentAt, TimePoint now)
{
    const auto found = state.vms.find(name);
    if (found == state.vms.end() || !found->second.hasReported || vmClock.count() == 0)
        return;
    auto& vm = found->second;
    if (vmClock < std::chrono::floor<milliseconds>(earliestResponseClock(vm, state.limits, sentAt))) {
        vm.isUnresponsive = true;
        requireNewToken(vm);
        markChanged(state, vm);
        return assumeLongestLease(vm, state.limits, now);
    }
    if (sentAt >= vm.unconfirmedLeaseAt)
        vm.unconfirmedLeaseUntil = milliseconds(0);
    vm.bootConfirmedAt = now;
    vm.wasIdle = vm.runs.empty();
}

milliseconds extendLease(VmState& vm, const PoolLimits& limits, TimePoint now)
{
    // From a later estimate of its clock, a slow VM would get a longer lease than a new holder waits for.
    const auto clock = std::chrono::floor<milliseconds>(earliestClock(vm, limits, now));
    const auto end = clock + limits.vmLease;
    // A VM that has restarted cuts the lease to its longest, since the end is far ahead on its new clock.
    if (mayHaveRestarted(vm, limits, now))
        assumeLongestLease(vm, limits, now);
    vm.leaseUntil = std::max(vm.leaseUntil, end);
    return end;
}

bool isReportDue(const VmState& vm, const PoolLimits& limits, TimePoint now)
{
    if (!isEntryCurrent(vm) && now - vm.clockReportedAt >= limits.bootMismatchReportInterval)
        return true;
    // A heartbeat that waits at the VM shows at once that the VM restarts.
    if (now < vm.unsettledStartsUntil)
        return true;
    return !vm.hasReported || vm.isUnresponsive || !vm.runs.empty() || !vm.orphanRuns.empty()
        || vm.fencing == Fencing::ReportRequired || now < vm.reservedUntil
        || now - vm.clockReportedAt >= limits.idleReportInterval;
}

HeartbeatCommand planHeartbeat(VmState& vm, const PoolLimits& limits, TimePoint now)
{
    HeartbeatCommand command;
    const bool isTrusted = vm.hasReported && !vm.isUnresponsive && vm.fencing == Fencing::NotRequired;
    // The ends of a new boot have the same numbers.
    if (isTrusted && now - vm.clockReportedAt <= limits.maxAcknowledgementAge)
        command.acknowledged = vm.acknowledged;
    // The lease of an unresponsive VM is not renewed, so that its tasks can be released once it expires.
    if (!isTrusted || (vm.runs.empty() && now >= vm.unsettledStartsUntil))
        return command;
    if (!vm.runs.empty())
        command.leaseUntil = extendLease(vm, limits, now);
    if (vm.orphanRuns.empty())
        command.wait = vm.trialTask || now < vm.reservedUntil ? limits.shortTrial : limits.maxHeartbeatWait;
    return command;
}

bool isLeaseExpired(const VmState& vm, const PoolLimits& limits, TimePoint now)
{
    if (!vm.hasReported)
        return false;
    return earliestClock(vm, limits, now) > std::max(vm.leaseUntil, vm.unconfirmedLeaseUntil);
}

TimePoint recoveryDeadlineAfter(const PoolLimits& limits, TimePoint takeover)
{
    const auto longest = std::chrono::duration<double, std::milli>(limits.maxVmLease) / limits.minVmClockRate;
    return takeover + std::chrono::ceil<milliseconds>(longest) + takeoverMargin;
}

namespace {

/// Whether the VM may have restarted under its id before it received the start command. The new boot then
/// runs the task for the longest lease, since the lease end in the command is far ahead on its clock.
bool mayRunInALaterBoot(const VmState& vm, const RunState& run, const PoolLimits& limits, TimePoint now)
{
    return !vm.hasEnded && run.sentAt != TimePoint {} && run.confirmedAt == TimePoint {}
    && now < recoveryDeadlineAfter(limits, run.sentAt);
}

/// Releases the runs whose lease has expired; that of the VM has.
void releaseExpiredRuns(PoolState& state, VmState& vm, TimePoint now)
{
    const auto kind = vm.hasEnded ? RunEventKind::VmReplaced : RunEventKind::LeaseExpired;
    const auto runs = vm.runs;
    for (const auto& id : runs) {
        auto* task = findTask(state, id);
        const auto* run = task ? runOn(*task, vm.entry.id) : nullptr;
        if (run && !mayRunInALaterBoot(vm, *run, state.limits, now))
            releaseRunAs(state, id, *task, vm.entry.id, kind);
    }
    if (!std::exchange(vm.orphanRuns, {}).empty())
        markChanged(state, vm);
}

/// Forgets the removed VMs that can't carry out earlier commands any more.
void forgetRemovedVms(PoolState& state, TimePoint now)
{
    std::erase_if(state.removedVms, [&](const auto& entry) { return now >= entry.second; });
}

/// Releases the VM's runs if its lease has expired. Returns whether the VM is to be removed.
bool expireLease(PoolState& state, const std::string& id, VmState& vm, TimePoint now)
{
    const bool over = vm.hasReported ? isLeaseExpired(vm, state.limits, now) : now >= state.recoveryDeadline;
    const bool mayHaveUnreportedEnds
        = vm.isRegistered && !isLeaseExpired(vm, state.limits, now - state.limits.silentVmGrace);
    if (vm.isUnresponsive && vm.hasReported && over && !mayHaveUnreportedEnds) {
        // A draining or evacuating VM has been taken away.
        if (!vm.hasLeaseExpired && !vm.isRegistered && !vm.entry.draining && !vm.isEvacuating)
            attributeCrash(state, vm, {}, TimePoint::max(), vm.hasEnded);
        vm.hasLeaseExpired = true;
        state.vmsWithUnlistedEnds.erase(id);
        releaseExpiredRuns(state, vm, now);
        fenceUnsettledStarts(state, id, now);
    }
    return !vm.isRegistered && over && vm.runs.empty();
}

/// Prepares a VM for its removal from PoolState::vms.
void forgetVm(PoolState& state, const std::string& id, VmState& vm, TimePoint now)
{
    state.removedVms[id] = now + state.limits.maxCommandDelay;
    state.vmsWithUnlistedEnds.erase(id);
    removeRoom(state, vm);
    removeVisits(state, vm);
    removeLoad(state, vm);
}

} // namespace

void expireLeases(PoolState& state, TimePoint now)
{
    forgetRemovedVms(state, now);
    for (auto it = state.vms.begin(); it != state.vms.end();) {
        if (!expireLease(state, it->first, it->second, now)) {
            ++it;
            continue;
        }
        forgetVm(state, it->first, it->second, now);
        it = state.vms.erase(it);
    }
}

void expireLeases(PoolState& state, const std::vector<std::string>& vms, TimePoint now)
{
    forgetRemovedVms(state, now);
    for (const auto& id : vms) {
        const auto found = state.vms.find(id);
        if (found == state.vms.end() || !expireLease(state, id, found->second, now))
            continue;
        forgetVm(state, id, found->second, now);
        state.vms.erase(found);
    }
}

} // namespace damask::fleet
