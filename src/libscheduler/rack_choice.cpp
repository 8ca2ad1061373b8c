#include "rack_choice_pvt.h"

#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"

#include <damaskworks/job_timing.h>

#include <algorithm>
#include <limits>
#include <set>

namespace damask::fleet {
namespace {

using std::chrono::duration_cast;

/// Whether the expected ends of the runs are needed, or only the present room.
enum class Horizon { Now, Ends };

/// A rack for the tasks of one step, with the entries of its VMs in the index.
struct RackView {
    std::vector<RackVm> vms;
    std::vector<VmOutlook*> outlooks;
};

/// Waiting tasks of a step.
struct Waiting {
    int count = 0;
    milliseconds longest { 0 }; ///< that one of them has waited for a rack
};

milliseconds waitedFor(const TaskState& task, TimePoint now)
{
    if (task.waitsForRackSince == TimePoint {})
        return milliseconds(0);
    return duration_cast<milliseconds>(now - task.waitsForRackSince);
}

void beginWait(TaskState& task, TimePoint now)
{
    if (task.waitsForRackSince == TimePoint {})
        task.waitsForRackSince = now;
}

StepState& tasksOf(JobEntry& job, int occurrence, int step)
{
    return job.occurrences.at(occurrence).steps[static_cast<std::size_t>(step)];
}

/// When the run is expected to free its resources; empty if it runs until it is stopped.
std::optional<TimePoint> expectedEndOf(
    const PoolState& state, const VmState& vm, const StepSpec& step, const RunState& run, TimePoint now)
{
    if (run.phase == RunPhase::Stopping)
        return now + state.limits.stopRetryDelay / 2;
    if (step.longRunning)
        return std::nullopt;
    const bool isFar = !step.preferredRack.empty() && step.preferredRack != vm.entry.rack;
    const double factor = isFar ? state.limits.farSlowdown : 1;
    const auto estimate
        = milliseconds(static_cast<std::int64_t>(static_cast<double>(step.estimate.count()) * factor));
    const auto startedAt = run.confirmedAt == TimePoint {} ? run.createdAt : run.confirmedAt;
    return expectedEnd({ estimate, startedAt, run.percent, run.progressAt }, now);
}

/// Updates the expected ends if the VM has changed or one of them has passed.
void updateOutlook(PoolState& state, const VmState& vm, VmOutlook& outlook, TimePoint now)
{
    const bool hasPassed = !outlook.ends.empty() && outlook.ends.front().at <= now;
    if (outlook.changeCount == vm.changeCount && !hasPassed)
        return;
    outlook.changeCount = vm.changeCount;
    outlook.ends.clear();
    for (const auto& id : vm.runs) {
        const auto* task = findTask(state, id);
        const auto* run = task ? runOn(*task, vm.entry.id) : nullptr;
        if (!run)
            continue;
        const auto& step = stepOf(state.jobs.find(id.job)->second, id.step);
        if (const auto end = expectedEndOf(state, vm, step, *run, now))
            outlook.ends.push_back({ *end, reservedBy(step) });
    }
    std::sort(outlook.ends.begin(), outlook.ends.end(),
        [](const ExpectedEnd& a, const ExpectedEnd& b) { return a.at < b.at; });
}

/// The VMs of a rack that the task may run on, whatever room they have.
RackView viewRack(PoolState& state, std::map<std::string, VmOutlook>& vms, const JobEntry& job,
    const TaskId& id, Horizon horizon, TimePoint now)
{
    RackView out;
    const int maxPerVm = stepOf(job, id.step).maxPerVm;
    state.work.vmChoices += vms.size();
    for (auto& [name, outlook] : vms) {
        const auto& vm = state.vms.find(name)->second;
        if (vm.trialTask || now < vm.reservedUntil || !mayHostBesideOthers(state, vm, job, id, now))
            continue;
        if (outlook.promisedIn != state.vmRoom.passes)
            outlook.promised = {};
        outlook.promisedIn = state.vmRoom.passes;
        if (horizon == Horizon::Ends)
            updateOutlook(state, vm, outlook, now);
        RackVm entry { vm.entry.capacity, {}, std::numeric_limits<int>::max() };
        entry.free -= vm.used;
        entry.free -= vm.reserved;
        if (horizon == Horizon::Ends) {
            entry.free -= outlook.promised;
            entry.ends = outlook.ends;
        }
        if (maxPerVm > 0)
            entry.openings = maxPerVm - countSiblings(vm, id);
        out.vms.push_back(std::move(entry));
        out.outlooks.push_back(&outlook);
    }
    return out;
}

/// The same for a rack by its name; empty if it has no VMs.
RackView viewRack(PoolState& state, const std::string& rack, const JobEntry& job, const TaskId& id,
    Horizon horizon, TimePoint now)
{
    const auto vms = state.vmRoom.racks.find(rack);
    return vms == state.vmRoom.racks.end() ? RackView {}
                                           : viewRack(state, vms->second, job, id, horizon, now);
}

/// Promises the earliest room to a task that waits, so that those behind it expect later room.
void promise(RackView& rack, const Resources& need, TimePoint now)
{
    const auto room = findEarliestRoom(rack.vms, need, now);
    if (!room)
        return;
    rack.vms[room->vm].free -= need;
    --rack.vms[room->vm].openings;
    rack.outlooks[room->vm]->promised += need;
}

LocalityDecision decide(const PoolState& state, const JobEntry& job, const TaskId& id,
    std::optional<milliseconds> untilRoom, milliseconds waited, WallTime wallNow)
{
    const auto found = state.queues.find(job.spec.queue);
    const auto* queue = found == state.queues.end() ? nullptr : &found->second;
    const auto& occurrence = job.occurrences.at(id.occurrence);
    LocalityQuestion question;
    question.untilRoom = untilRoom;
    question.runTime = stepOf(job, id.step).estimate;
    question.farSlowdown = state.limits.farSlowdown;
    question.untilLate = startOf(Timeliness::Late, job, id.occurrence, occurrence, queue) - wallNow;
    question.untilOverdue = startOf(Timeliness::Overdue, job, id.occurrence, occurrence, queue) - wallNow;
    question.waited = waited;
    question.maxWait = state.limits.maxRackWait;
    return decideLocality(question);
}

Waiting countWaiting(const StepState& step, TimePoint now)
{
    Waiting out;
    for (const auto& task : step.tasks) {
        if (task.done || task.run)
            continue;
        ++out.count;
        out.longest = std::max(out.longest, waitedFor(task, now));
    }
    return out;
}

/// Racks in which tasks of the step run.
std::set<std::string> racksOf(const PoolState& state, const StepState& step)
{
    std::set<std::string> out;
    for (const auto& task : step.tasks) {
        if (!task.run)
            continue;
        const auto vm = state.vms.find(task.run->vm);
        if (vm != state.vms.end())
            out.insert(vm->second.entry.rack);
    }
    return out;
}

/// A rack for a whole group.
struct GroupRack {
    std::string rack;
    milliseconds untilRoom { 0 }; ///< for the last of its tasks
};

/// Of the racks with room for the whole group now, the one with the least.
std::optional<GroupRack> findRackNow(PoolState& state, const std::set<std::string>& racks,
    const JobEntry& job, const TaskId& id, int count, TimePoint now)
{
    const auto need = reservedBy(stepOf(job, id.step));
    std::optional<GroupRack> best;
    int fewest = 0;
    for (const auto& rack : racks) {
        const auto view = viewRack(state, rack, job, id, Horizon::Now, now);
        const int openings = countOpenings(view.vms, need, std::numeric_limits<int>::max());
        if (openings < count || (best && openings >= fewest))
            continue;
        best = { rack, milliseconds(0) };
        fewest = openings;
    }
    return best;
}

/// The rack that is expected to have room for the whole group first.
std::optional<GroupRack> findRackLater(PoolState& state, const std::set<std::string>& racks,
    const JobEntry& job, const TaskId& id, int count, TimePoint now)
{
    const auto& step = stepOf(job, id.step);
    const auto kind = step.gang ? GroupKind::Together : GroupKind::InTurn;
    std::optional<GroupRack> best;
    for (const auto& rack : racks) {
        auto view = viewRack(state, rack, job, id, Horizon::Ends, now);
        const auto in = findGroupRoom(std::move(view.vms), reservedBy(step), count, kind, step.estimate, now);
        if (in && (!best || *in < best->untilRoom))
            best = { rack, *in };
    }
    return best;
}

/// Whether the whole group has room now if it is spread over all racks.
bool hasRoomEverywhere(PoolState& state, const JobEntry& job, const TaskId& id, int count, TimePoint now)
{
    const auto need = reservedBy(stepOf(job, id.step));
    for (auto& [rack, vms] : state.vmRoom.racks) {
        if (count <= 0)
            break;
        count -= countOpenings(viewRack(state, vms, job, id, Horizon::Now, now).vms, need, count);
    }
    return count <= 0;
}

/// Leaves a gang waiting for the rack.
void holdGang(PoolState& state, JobEntry& job, const TaskId& id, const std::string& rack, TimePoint now)
{
    auto view = viewRack(state, rack, job, id, Horizon::Ends, now);
    for (auto& task : tasksOf(job, id.occurrence, id.step).tasks) {
        promise(view, reservedBy(stepOf(job, id.step)), now);
        beginWait(task, now);
    }
}

StepLocality planGroup(PoolState& state, JobEntry& job, const TaskId& id, TimePoint now, WallTime wallNow)
{
    const auto& step = stepOf(job, id.step);
    const auto& tasks = tasksOf(job, id.occurrence, id.step);
    StepLocality out { .isDecided = true, .isGroup = true };
    auto racks = racksOf(state, tasks);
    if (racks.size() > 1)
        return out; // nothing is left to save
    if (racks.empty() && !step.preferredRack.empty())
        racks.insert(step.preferredRack);
    if (racks.empty()) {
        for (const auto& [rack, vms] : state.vmRoom.racks)
            racks.insert(rack);
    }
    racks.erase("");
    const auto waiting = countWaiting(tasks, now);
    if (const auto best = findRackNow(state, racks, job, id, waiting.count, now)) {
        out.rack = best->rack;
        return out;
    }
    const bool canSpread = !step.gang || hasRoomEverywhere(state, job, id, waiting.count, now);
    if (!canSpread) {
        out.waits = true;
        return out;
    }
    const auto best = findRackLater(state, racks, job, id, waiting.count, now);
    const auto decision = decide(
        state, job, id, best ? std::optional(best->untilRoom) : std::nullopt, waiting.longest, wallNow);
    if (decision.choice == LocalityChoice::Elsewhere) {
        out.reason = decision.reason;
        return out;
    }
    out.rack = best->rack;
    out.waits = step.gang;
    if (step.gang)
        holdGang(state, job, id, out.rack, now);
    return out;
}

/// Leaves a task waiting for its rack.
RackChoice hold(RackView& rack, const Resources& need, TaskState& task, TimePoint now)
{
    promise(rack, need, now);
    beginWait(task, now);
    return { .waits = true };
}

} // namespace

StepLocality planLocality(
    PoolState& state, JobEntry& job, const WaitingStep& waiting, TimePoint now, WallTime wallNow)
{
    const auto& step = stepOf(job, waiting.step);
    const bool sharesRack = step.sameRack && step.count > 1;
    if (state.limits.farSlowdown <= 1 || step.longRunning || (!sharesRack && step.preferredRack.empty())
        || needsTicket(state, job))
        return {};
    // The slowest member of a gang decides when it ends.
    if (sharesRack || step.gang)
        return planGroup(state, job, { waiting.job, waiting.occurrence, waiting.step, 0 }, now, wallNow);
    return { .isDecided = true, .rack = step.preferredRack };
}

RackChoice chooseByLocality(PoolState& state, const StepLocality& locality, JobEntry& job, const TaskId& id,
    TimePoint now, WallTime wallNow)
{
    if (!locality.isDecided)
        return { chooseVm(state, job, id, wallNow - dueAt(job, id.occurrence), now) };
    if (locality.rack.empty())
        return { .vm = chooseAnywhere(state, job, id, now), .reason = locality.reason };
    if (auto* vm = chooseInRack(state, job, id, locality.rack, now))
        return { vm };
    auto* elsewhere = chooseAnywhere(state, job, id, now);
    if (!elsewhere)
        return {};
    auto& task = tasksOf(job, id.occurrence, id.step).tasks[static_cast<std::size_t>(id.index)];
    const auto need = reservedBy(stepOf(job, id.step));
    auto rack = viewRack(state, locality.rack, job, id, Horizon::Ends, now);
    if (locality.isGroup)
        return hold(rack, need, task, now);
    const auto room = findEarliestRoom(rack.vms, need, now);
    const auto decision = decide(
        state, job, id, room ? std::optional(room->in) : std::nullopt, waitedFor(task, now), wallNow);
    if (decision.choice == LocalityChoice::Wait)
        return hold(rack, need, task, now);
    return { .vm = elsewhere, .reason = decision.reason };
}

void recordLocality(
    PoolState& state, const StepLocality& locality, const RackChoice& choice, const TaskId& id, TimePoint now)
{
    if (!locality.isDecided)
        return;
    auto& task = *findTask(state, id);
    const bool isInRack = !locality.rack.empty() && choice.vm->entry.rack == locality.rack;
    state.localityPlacements.push_back(
        { id, choice.vm->entry.id, locality.rack, isInRack ? LocalityPlace::InRack : LocalityPlace::Elsewhere,
            choice.reason ? choice.reason : locality.reason, waitedFor(task, now) });
    task.waitsForRackSince = TimePoint {};
}

} // namespace damask::fleet
