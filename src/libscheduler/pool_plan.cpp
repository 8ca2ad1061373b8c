#include <damaskworks/job_timing.h>
#include <damaskworks/pool_plan.h>

#include "crash_attribution_pvt.h"
#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"
#include "progress_pvt.h"
#include "rack_choice_pvt.h"
#include "run_copies_pvt.h"
#include "serving_reservations_pvt.h"
#include "vm_room_pvt.h"
#include "waiting_steps_pvt.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace damask::fleet {
namespace {

std::uint32_t nextRun(const PoolState& state, const JobEntry& job, const TaskState& task)
{
    return std::max(task.lastRun, job.isRecovered ? runNumberBase(state.term) : 0) + 1;
}

StartAction startRun(PoolState& state, JobEntry& job, const TaskId& id, TaskState& task, VmState& vm,
    std::uint32_t number, const std::string& checkpoint, milliseconds trial, TimePoint now)
{
    RunState run { vm.entry.id, number };
    run.vmBootTime = vm.bootTime;
    run.createdAt = now;
    run.trial = trial;
    if (run.trial.count() > 0) {
        run.recordedAfterBatch = job.lastBatch;
        job.dirty = job.hasUnrecordedTrial = true;
        vm.trialTask = id;
        state.trialVms.insert(vm.entry.id);
        vm.reservedUntil = TimePoint {};
        run.isTrialShared = !stepOf(job, id.step).gang && mayShareTrial(task, state.limits, now);
        if (run.isTrialShared)
            vm.sharedTrialAt = now;
    }
    vm.lastStartAt = now;
    task.waitsForTrialSince = TimePoint {};
    dropReservation(state, id);
    placeRun(state, vm, id, task, run);
    if (job.firstStartAt == TimePoint {})
        job.firstStartAt = now;
    if (job.isRecovered && isNewlyReady(job, job.occurrences.at(id.occurrence), id.step))
        task.wasUnfinished = true;
    if (!job.hasRecord)
        job.dirty = true; // its record must be durable before the command is sent
    StartAction action { vm.entry.id, {} };
    action.command = { id, number, job.spec.spec, checkpoint, ticketFor(job, id, vm.entry.id),
        extendLease(vm, state.limits, now) };
    return action;
}

/// The job of a step in the index; nullptr if it has been removed.
JobEntry* jobOf(PoolState& state, const WaitingStep& waiting)
{
    const auto job = state.jobs.find(waiting.job);
    return job == state.jobs.end() ? nullptr : &job->second;
}

void recordMissingTicket(PoolState& state, const JobEntry& job, const WaitingStep& waiting)
{
    if (needsTicket(state, job))
        state.stepsNeedingTickets.push_back({ waiting.job, waiting.occurrence, waiting.step });
}

/// Starts the waiting tasks of a step one by one, until no VM can take the next.
void placeTasks(PoolState& state, JobEntry& job, const WaitingStep& waiting, const StartBlocks& blocks,
    TimePoint now, WallTime wallNow, std::size_t maxStarts, ReservationPass& reservations,
    std::vector<StartAction>& out)
{
    auto& occurrence = job.occurrences.at(waiting.occurrence);
    auto& step = occurrence.steps[static_cast<std::size_t>(waiting.step)];
    const bool hasUnknownRuns = mayHaveUnknownRuns(job, occurrence, waiting.step, blocks);
    const auto locality = planLocality(state, job, waiting, now, wallNow);
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        auto& task = step.tasks[i];
        if (!isWaiting(task, hasUnknownRuns))
            continue;
        if (out.size() >= maxStarts)
            return;
        const TaskId id { job.spec.id, waiting.occurrence, waiting.step, static_cast<int>(i) };
        if (blocks.orphanTasks.contains(id))
            continue;
        if (!hasShareFor(state, job, stepOf(job, waiting.step), 1, static_cast<int>(step.tasks.size() - i)))
            return;
        const auto choice = task.isSuspect
            ? RackChoice { chooseTrialVm(state, job, id, TrialShare::Half, now) }
            : chooseByLocality(state, locality, job, id, now, wallNow);
        if (choice.waits)
            continue;
        auto* vm = choice.vm;
        if (!vm && task.isSuspect) {
            if (task.waitsForTrialSince == TimePoint {})
                task.waitsForTrialSince = now;
            recordMissingTicket(state, job, waiting);
            continue;
        }
        if (!vm && waiting.urgency == Urgency::Serving) {
            recordMissingTicket(state, job, waiting);
            if (!reserveForServing(state, job, id, reservations, now))
                return;
            continue;
        }
        if (!vm) {
            if (isUnconstrained(state, job, stepOf(job, waiting.step)))
                addFailedNeed(state.vmRoom, reservedBy(stepOf(job, waiting.step)));
            return recordMissingTicket(state, job, waiting);
        }
        recordLocality(state, locality, choice, id, now);
        out.push_back(startRun(state, job, id, task, *vm, nextRun(state, job, task), task.checkpoint,
            trialLength(task, state.limits), now));
    }
}

/// Length of the trial of a gang's members; zero if none is suspect. One that is makes all of them suspect.
milliseconds gangTrialLength(const StepState& step, const PoolLimits& limits)
{
    milliseconds longest { 0 };
    for (const auto& task : step.tasks)
        longest = std::max(longest, trialLength(task, limits));
    return longest;
}

/// What startRun() changes of a VM beside its runs.
struct VmBeforeStart {
    VmState* vm = nullptr;
    TimePoint lastStartAt {};
    std::optional<TaskId> trialTask;
    TimePoint reservedUntil {};
};

/// Starts all members of a gang, or none if not all can be placed.
void placeGang(PoolState& state, JobEntry& job, const WaitingStep& waiting, const StartBlocks& blocks,
    TimePoint now, WallTime wallNow, std::vector<StartAction>& out)
{
    auto& occurrence = job.occurrences.at(waiting.occurrence);
    auto& step = occurrence.steps[static_cast<std::size_t>(waiting.step)];
    const bool hasUnknownRuns = mayHaveUnknownRuns(job, occurrence, waiting.step, blocks);
    std::uint32_t number = 0;
    std::string checkpoint;
    TaskId id { job.spec.id, waiting.occurrence, waiting.step, 0 };
    for (const auto& task : step.tasks) {
        if (!isWaiting(task, hasUnknownRuns) || blocks.orphanTasks.contains(id))
            return;
        ++id.index;
        number = std::max(number, nextRun(state, job, task));
        if (!task.checkpoint.empty())
            checkpoint = task.checkpoint;
    }
    const auto members = static_cast<int>(step.tasks.size());
    if (!hasShareFor(state, job, stepOf(job, waiting.step), members, members))
        return;
    const auto trial = gangTrialLength(step, state.limits);
    const auto locality
        = trial.count() > 0 ? StepLocality {} : planLocality(state, job, waiting, now, wallNow);
    if (locality.waits)
        return;
    const bool wasDirty = job.dirty;
    const bool hadUnrecordedTrial = job.hasUnrecordedTrial;
    std::vector<StartAction> starts;
    std::vector<VmBeforeStart> before;
    id.index = 0;
    for (auto& task : step.tasks) {
        auto* vm = trial.count() > 0 ? chooseTrialVm(state, job, id, TrialShare::Half, now)
                                     : chooseByLocality(state, locality, job, id, now, wallNow).vm;
        if (!vm)
            break;
        before.push_back({ vm, vm->lastStartAt, vm->trialTask, vm->reservedUntil });
        starts.push_back(startRun(state, job, id, task, *vm, number, checkpoint, trial, now));
        ++id.index;
    }
    if (starts.size() == step.tasks.size()) {
        for (const auto& start : starts)
            recordLocality(state, locality, { &state.vms.find(start.vm)->second }, start.command.task, now);
        out.insert(out.end(), starts.begin(), starts.end());
        return;
    }
    recordMissingTicket(state, job, waiting);
    for (const auto& start : starts)
        releaseRun(state, start.command.task, step.tasks[static_cast<std::size_t>(start.command.task.index)],
            start.vm);
    for (auto it = before.rbegin(); it != before.rend(); ++it) {
        it->vm->lastStartAt = it->lastStartAt;
        it->vm->trialTask = it->trialTask;
        it->vm->reservedUntil = it->reservedUntil;
        updateRoom(state, *it->vm);
    }
    job.dirty = wasDirty;
    job.hasUnrecordedTrial = hadUnrecordedTrial;
}

/// Whether a task that is not suspect still waits in the step.
bool hasOtherWaitingTask(const JobEntry& job, const WaitingStep& waiting, const StartBlocks& blocks)
{
    const auto& occurrence = job.occurrences.at(waiting.occurrence);
    const bool hasUnknownRuns = mayHaveUnknownRuns(job, occurrence, waiting.step, blocks);
    const auto& tasks = occurrence.steps[static_cast<std::size_t>(waiting.step)].tasks;
    return std::any_of(tasks.begin(), tasks.end(),
        [&](const TaskState& task) { return !task.isSuspect && isWaiting(task, hasUnknownRuns); });
}

/// Whether a task that is not suspect still waits in any step. Other classes have no suspect tasks, so their
/// first step decides.
bool hasOtherWaitingTask(PoolState& state, const StartBlocks& blocks)
{
    for (const auto& [needClass, group] : state.waitingSteps.byNeed) {
        const bool hasOther
            = std::any_of(group.steps.begin(), group.steps.end(), [&](const WaitingStep& step) {
                  const auto* job = jobOf(state, step);
                  return job && hasOtherWaitingTask(*job, step, blocks);
              });
        if (hasOther)
            return true;
    }
    return false;
}

/// Starts the suspect tasks that wait in the step as trials on the VMs that no other task needs.
void placeSuspects(PoolState& state, JobEntry& job, const WaitingStep& waiting, const StartBlocks& blocks,
    TimePoint now, std::size_t maxStarts, std::vector<StartAction>& out)
{
    auto& occurrence = job.occurrences.at(waiting.occurrence);
    const bool hasUnknownRuns = mayHaveUnknownRuns(job, occurrence, waiting.step, blocks);
    TaskId id { job.spec.id, waiting.occurrence, waiting.step, -1 };
    for (auto& task : occurrence.steps[static_cast<std::size_t>(waiting.step)].tasks) {
        ++id.index;
        if (out.size() >= maxStarts)
            return;
        if (!isWaiting(task, hasUnknownRuns) || blocks.orphanTasks.contains(id))
            continue;
        if (!hasShareFor(state, job, stepOf(job, waiting.step), 1, 1))
            return;
        auto* vm = chooseTrialVm(state, job, id, TrialShare::All, now);
        if (vm)
            out.push_back(startRun(state, job, id, task, *vm, nextRun(state, job, task), task.checkpoint,
                trialLength(task, state.limits), now));
    }
}

/// Starts trials on the VMs that no other task needs.
void placeRemainingSuspects(PoolState& state, const StartBlocks& blocks, TimePoint now, std::size_t maxStarts,
    std::vector<StartAction>& out)
{
    const auto suspects = state.waitingSteps.byNeed.find(roomIndependent);
    if (suspects == state.waitingSteps.byNeed.end() || hasOtherWaitingTask(state, blocks))
        return;
    for (const auto& step : suspects->second.steps) {
        auto* job = jobOf(state, step);
        if (job && !stepOf(*job, step.step).gang)
            placeSuspects(state, *job, step, blocks, now, maxStarts, out);
    }
}

/// Starts copies of stragglers in the room that is left.
void placeCopies(PoolState& state, TimePoint now, std::size_t maxStarts, std::vector<StartAction>& out)
{
    if (out.size() >= maxStarts)
        return;
    for (const auto& straggler : findStragglers(state, now)) {
        if (out.size() >= maxStarts)
            return;
        auto& job = state.jobs.find(straggler.task.job)->second;
        if (!hasShareFor(state, job, stepOf(job, straggler.task.step), 1, 0))
            continue;
        auto* vm = chooseCopyVm(state, straggler, now);
        if (!vm)
            continue;
        auto& task = *findTask(state, straggler.task);
        const auto number = nextRun(state, job, task);
        state.runEvents.push_back({ vm->entry.id, straggler.task, number, RunEventKind::Copied });
        out.push_back(
            startRun(state, job, straggler.task, task, *vm, number, task.checkpoint, milliseconds(0), now));
    }
}

/// VMs that run on machines of the pool. Maintenance and moves end a machine's VM as they begin.
std::set<std::string> findListedVms(const PoolState& state, const std::vector<Machine>& machines)
{
    std::set<std::string> out;
    for (const auto& machine : machines) {
        const bool mayBeOfPool = machine.pool == state.pool || machine.pool.empty();
        if (!mayBeOfPool || machine.vm.empty() || machine.state == MachineState::Moving
            || machine.state == MachineState::Maintenance)
            continue;
        out.insert(machine.vm);
    }
    return out;
}

/// Whether the machine's entry in a list shows that VM \p id has ended.
bool isWithoutVm(const Machine& machine, std::string_view id)
{
    switch (machine.state) {
    case MachineState::Moving:
    case MachineState::Maintenance:
        return true;
    case MachineState::Up:
        return !machine.vm.empty() && machine.vm != id;
    case MachineState::Down:
        return machine.vm != id;
    case MachineState::Unknown:
        break;
    }
    return false;
}

std::set<TaskId> findOrphanTasks(PoolState& state)
{
    std::erase_if(state.orphanVms, [&](const std::string& id) {
        const auto vm = state.vms.find(id);
        return vm == state.vms.end() || vm->second.orphanRuns.empty();
    });
    std::set<TaskId> out;
    for (const auto& id : state.orphanVms) {
        for (const auto& [run, nextStopAt] : state.vms.find(id)->second.orphanRuns)
            out.insert(run.first);
    }
    return out;
}

} // namespace

void applyMachineList(PoolState& state, const std::vector<Machine>& machines)
{
    const auto listed = findListedVms(state, machines);
    if (!state.platformVms) {
        state.platformVms = listed;
        for (const auto& [id, vm] : state.vms)
            state.platformVms->insert(id);
    }
    std::map<std::string_view, const Machine*> machinesById;
    for (const auto& machine : machines)
        machinesById.insert_or_assign(machine.id, &machine); // the later page is newer
    std::set<std::string> omitted;
    std::erase_if(*state.platformVms, [&](const std::string& id) {
        if (listed.contains(id))
            return false;
        const auto vm = state.vms.find(id);
        if (vm != state.vms.end()) {
            const auto machine = machinesById.find(vm->second.entry.machine);
            if (machine != machinesById.end() && isWithoutVm(*machine->second, id))
                return true;
        }
        omitted.insert(id);
        const bool isRegistered = vm != state.vms.end() && vm->second.isRegistered;
        return !isRegistered && state.omittedPlatformVms.contains(id);
    });
    state.omittedPlatformVms = std::move(omitted);
}

namespace {

/// Whether runs of an earlier holder on one of PoolState::platformVms may be unknown.
bool isAwaited(const PoolState& state, const std::string& id)
{
    const auto vm = state.vms.find(id);
    if (vm == state.vms.end())
        return !state.removedVms.contains(id);
    return !vm->second.hasReported || state.vmsWithUnlistedEnds.contains(id);
}

/// Moves PoolState::firstAwaitedVm past the VMs that have reported all their ends.
void updateAwaitedVms(PoolState& state)
{
    if (!state.platformVms || state.haveAllVmsReported)
        return;
    auto vm = state.platformVms->lower_bound(state.firstAwaitedVm);
    for (; vm != state.platformVms->end(); ++vm) {
        ++state.work.awaitedVms;
        if (isAwaited(state, *vm))
            break;
    }
    state.haveAllVmsReported = vm == state.platformVms->end();
    if (vm != state.platformVms->end())
        state.firstAwaitedVm = *vm;
}

} // namespace

std::vector<std::string> findAwaitedVms(const PoolState& state)
{
    std::vector<std::string> out;
    if (!state.platformVms || state.haveAllVmsReported)
        return out;
    for (auto vm = state.platformVms->lower_bound(state.firstAwaitedVm); vm != state.platformVms->end();
         ++vm) {
        if (isAwaited(state, *vm))
            out.push_back(*vm);
    }
    return out;
}

bool isRecoveryComplete(const PoolState& state, TimePoint now)
{
    if (!state.vmsWithUnlistedEnds.empty())
        return false;
    if (now >= state.recoveryDeadline || state.haveAllVmsReported)
        return true;
    return state.platformVms
        && std::none_of(state.platformVms->lower_bound(state.firstAwaitedVm), state.platformVms->end(),
            [&](const std::string& id) { return isAwaited(state, id); });
}

std::vector<StartAction> planStarts(
    PoolState& state, TimePoint now, WallTime wallNow, int maxStarts, PlanScope scope)
{
    updateAwaitedVms(state);
    const StartBlocks blocks { isRecoveryComplete(state, now), findOrphanTasks(state) };
    endTrials(state);
    dropStaleReservations(state, now);
    updateWaitingSteps(state, blocks, wallNow);
    updateChangedRooms(state, now);
    beginCapPass(state, scope == PlanScope::Everything, now);
    updateShares(state.shares, state.vmRoom.capacity);
    if (scope == PlanScope::Everything)
        state.stepsNeedingTickets.clear();
    std::vector<StartAction> out;
    const auto limit = static_cast<std::size_t>(std::max(maxStarts, 0));
    ReservationPass reservations { state.limits.maxReservationAttempts, {} };
    WaitingStepCursor cursor(state, scope);
    while (out.size() < limit) {
        const auto planned = cursor.next();
        if (!planned)
            break;
        ++state.work.steps;
        const auto& step = *planned->step;
        auto* job = jobOf(state, step);
        if (!job)
            continue;
        const auto& spec = stepOf(*job, step.step);
        if (!planned->isRoomIndependent && !hasRoomFor(state.vmRoom, reservedBy(spec)))
            continue;
        if (spec.gang)
            placeGang(state, *job, step, blocks, now, wallNow, out);
        else
            placeTasks(state, *job, step, blocks, now, wallNow, limit, reservations, out);
    }
    if (scope == PlanScope::Everything)
        placeRemainingSuspects(state, blocks, now, limit, out);
    if (scope == PlanScope::Everything)
        placeCopies(state, now, limit, out);
    for (auto& start : out)
        setBasis(state, blocks, now, start);
    return out;
}

std::optional<WallTime> nextDue(const PoolState& state)
{
    std::optional<WallTime> next;
    for (const auto& [id, job] : state.jobs) {
        if (isFinal(job.state) || job.nextOccurrence >= job.spec.occurrences)
            continue;
        const auto due = dueAt(job, job.nextOccurrence);
        if (!next || due < *next)
            next = due;
    }
    return next;
}

} // namespace damask::fleet
