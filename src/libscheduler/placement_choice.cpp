#include "placement_choice_pvt.h"

#include "crash_attribution_pvt.h"
#include "pool_state_pvt.h"
#include "serving_reservations_pvt.h"
#include "vm_room_pvt.h"

#include <algorithm>
#include <tuple>

namespace damask::fleet {
namespace {

/// The same as findVmObstacle() without obstacles that pass with time.
PlacementObstacle findLastingObstacle(const VmState& vm)
{
    using enum PlacementObstacle;
    if (!vm.isRegistered)
        return Unregistered;
    if (!vm.hasReported)
        return NotReported;
    if (!isEntryCurrent(vm))
        return OtherBootRegistered;
    if (vm.isUnresponsive)
        return Unresponsive;
    if (vm.fencing != Fencing::NotRequired)
        return NotFenced;
    if (vm.entry.draining)
        return Draining;
    if (vm.isEvacuating)
        return Evacuating;
    return vm.orphanRuns.empty() ? None : OrphanRuns;
}

/// First reason for which the VM accepts no starts at all; None if it does, but perhaps only those of trials.
PlacementObstacle findVmObstacle(const VmState& vm, TimePoint now)
{
    using enum PlacementObstacle;
    const auto obstacle = findLastingObstacle(vm);
    return obstacle == None && now < vm.quarantinedUntil ? Quarantined : obstacle;
}

} // namespace

bool isAvailable(const VmState& vm, TimePoint now)
{
    return findVmObstacle(vm, now) == PlacementObstacle::None;
}

bool mayAcceptWork(const VmState& vm)
{
    return findLastingObstacle(vm) == PlacementObstacle::None && !vm.trialTask;
}

namespace {

bool acceptsWork(const VmState& vm, TimePoint now)
{
    return isAvailable(vm, now) && !vm.trialTask && now >= vm.reservedUntil;
}

bool hasLabel(const VmState& vm, const std::string& label)
{
    return label.empty()
        || std::find(vm.entry.labels.begin(), vm.entry.labels.end(), label) != vm.entry.labels.end();
}

} // namespace

int countSiblings(const VmState& vm, const TaskId& id)
{
    auto first = vm.runs.lower_bound({ id.job, id.occurrence, id.step, 0 });
    int count = 0;
    for (; first != vm.runs.end(); ++first) {
        if (first->job != id.job || first->occurrence != id.occurrence || first->step != id.step)
            break;
        ++count;
    }
    return count;
}

namespace {

/// Remaining validity that a ticket needs, so that the command arrives before it expires.
constexpr milliseconds ticketSafetyMargin { 100 };

bool hasTicket(const StepAdvice& advice, const VmState& vm, TimePoint now)
{
    const auto ticket = advice.tickets.find(vm.entry.id);
    return ticket != advice.tickets.end() && now + ticketSafetyMargin < ticket->second.validUntil;
}

const StepAdvice& stepAdvice(const JobEntry& job, const TaskId& id)
{
    return job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)].advice;
}

/// Whether the VM's state counts a run of the task itself.
enum class OwnRun { None, Counted };

/// Whether the VM has room for the task of the step beside the other runs, and may run it.
bool suits(const PoolState& state, const VmState& vm, const StepSpec& step, const TaskId& id, OwnRun ownRun)
{
    const bool isCounted = ownRun == OwnRun::Counted;
    auto free = freeBesideReservations(state, vm, id);
    if (isCounted)
        free += reservedBy(step);
    return hasLabel(vm, step.requiredLabel) && fits(reservedBy(step), free)
        && (step.maxPerVm == 0
            || countSiblings(vm, id) - isCounted + countReservedSiblings(state, vm.entry.id, id)
                < step.maxPerVm);
}

/// Whether the VM accepts work and suits a task that has no run on it.
bool canHost(const PoolState& state, const VmState& vm, const StepSpec& step, const TaskId& id, TimePoint now)
{
    return acceptsWork(vm, now) && suits(state, vm, step, id, OwnRun::None);
}

/// Number of runs on the VM that should not share it with a task of the step: fillers and tasks with a
/// latency target should not share a VM.
int countConflicts(const PoolState& state, const VmState& vm, const StepSpec& step)
{
    const bool hasLatencyTarget = step.latencyTarget.count() > 0;
    if (!hasLatencyTarget && !step.filler)
        return 0;
    int count = 0;
    for (const auto& run : vm.runs) {
        const auto job = state.jobs.find(run.job);
        if (job == state.jobs.end())
            continue;
        const auto& other = stepOf(job->second, run.step);
        count += step.filler ? other.latencyTarget.count() > 0 : other.filler;
    }
    return count;
}

/// Rack of the first task of the step that has a run; empty if none has.
std::string siblingRack(const PoolState& state, const JobEntry& job, const TaskId& id)
{
    const auto& step = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    for (const auto& task : step.tasks) {
        if (!task.run)
            continue;
        const auto vm = state.vms.find(task.run->vm);
        if (vm != state.vms.end())
            return vm->second.entry.rack;
    }
    return "";
}

/// Rank of a VM for a task: outside the preferred rack, conflicting runs, packing, negated CPU utilisation.
/// Lower is better.
using Score = std::tuple<bool, int, int, double>;

int countLongRunning(const PoolState& state, const VmState& vm)
{
    return static_cast<int>(std::count_if(vm.runs.begin(), vm.runs.end(), [&](const TaskId& run) {
        const auto job = state.jobs.find(run.job);
        return job != state.jobs.end() && stepOf(job->second, run.step).longRunning;
    }));
}

Score computeScore(const PoolState& state, const VmState& vm, const StepSpec& step, const std::string& rack)
{
    const bool isOutsideRack = !rack.empty() && vm.entry.rack != rack;
    const auto capacity = static_cast<double>(std::max<std::int64_t>(vm.entry.capacity.cpu, 1));
    // Tasks, above all long-running ones, are packed on few VMs, so that other machines become free to move.
    const int packing = step.longRunning ? -countLongRunning(state, vm) : 0;
    return { isOutsideRack, countConflicts(state, vm, step), packing,
        -static_cast<double>(vm.used.cpu) / capacity };
}

} // namespace

namespace {

bool isOfOneStep(const TaskId& a, const TaskId& b)
{
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

/// Whether the VM responds, has started nothing lately and is about to start nothing, so that a crash after
/// the next start is due to that start.
bool isQuiet(PoolState& state, const VmState& vm, TimePoint now)
{
    const auto& limits = state.limits;
    if (now - vm.lastStartAt < limits.shortTrial
        || now - vm.lastContactAt > limits.maxHeartbeatWait + limits.shortTrial)
        return false;
    return std::none_of(vm.runs.begin(), vm.runs.end(), [&](const TaskId& id) {
        const auto* task = findTask(state, id);
        const auto* run = task ? runOn(*task, vm.entry.id) : nullptr;
        return run && run->sentAt == TimePoint {};
    });
}

} // namespace

bool mayHostBesideOthers(
    const PoolState& state, const VmState& vm, const JobEntry& job, const TaskId& id, TimePoint now)
{
    const auto& step = stepOf(job, id.step);
    return isAvailable(vm, now) && hasLabel(vm, step.requiredLabel)
        && (step.maxPerVm == 0
            || countSiblings(vm, id) + countReservedSiblings(state, vm.entry.id, id) < step.maxPerVm)
        && (!needsTicket(state, job) || hasTicket(stepAdvice(job, id), vm, now));
}

bool canStartOn(
    const PoolState& state, const VmState& vm, const JobEntry& job, const TaskId& id, TimePoint now)
{
    return canHost(state, vm, stepOf(job, id.step), id, now)
        && (!needsTicket(state, job) || hasTicket(stepAdvice(job, id), vm, now));
}

namespace {

/// First reason of the VM's labels, its room or a missing ticket for which it can't take the task; None if
/// there is none.
PlacementObstacle findTaskObstacle(
    const PoolState& state, const VmState& vm, const JobEntry& job, const TaskId& id, TimePoint now)
{
    using enum PlacementObstacle;
    const auto& step = stepOf(job, id.step);
    if (!hasLabel(vm, step.requiredLabel))
        return Label;
    if (step.maxPerVm > 0 && countSiblings(vm, id) >= step.maxPerVm)
        return MaxPerVm;
    const auto need = reservedBy(step);
    const auto free = freeBesideReservations(state, vm, id);
    if (!fits(need, vm.entry.capacity))
        return TooSmall;
    if (need.memoryMb > free.memoryMb)
        return Memory;
    if (need.cpu > free.cpu)
        return Cpu;
    if (need.gpu > free.gpu)
        return Gpu;
    return needsTicket(state, job) && !hasTicket(stepAdvice(job, id), vm, now) ? Ticket : None;
}

} // namespace

PlacementObstacle findObstacle(
    const PoolState& state, const VmState& vm, const JobEntry& job, const TaskId& id, TimePoint now)
{
    using enum PlacementObstacle;
    if (const auto obstacle = findVmObstacle(vm, now); obstacle != None)
        return obstacle;
    if (vm.trialTask || now < vm.reservedUntil)
        return Trial;
    return findTaskObstacle(state, vm, job, id, now);
}

PlacementObstacle findTrialObstacle(
    PoolState& state, const VmState& vm, const JobEntry& job, const TaskId& id, TimePoint now)
{
    using enum PlacementObstacle;
    if (const auto obstacle = findVmObstacle(vm, now); obstacle != None)
        return obstacle;
    if (vm.trialTask)
        return Trial;
    if (const auto obstacle = findTaskObstacle(state, vm, job, id, now); obstacle != None)
        return obstacle;
    return isQuiet(state, vm, now) ? TrialLimit : RecentStart;
}

VmState* chooseTrialVm(
    PoolState& state, const JobEntry& job, const TaskId& id, TrialShare share, TimePoint now)
{
    const auto& step = stepOf(job, id.step);
    const bool requiresTicket = needsTicket(state, job);
    const auto& task = *findTask(state, id);
    const bool mayShare = !step.gang && mayShareTrial(task, state.limits, now);
    int available = 0;
    int taken = 0;
    VmState* quiet = nullptr;
    VmState* shared = nullptr;
    VmState* next = nullptr;
    state.work.vmChoices += state.vms.size();
    for (auto& [name, vm] : state.vms) {
        if (!isAvailable(vm, now))
            continue;
        ++available;
        const bool isReserved = now < vm.reservedUntil;
        taken += vm.trialTask || isReserved;
        const bool isOwnTrial = step.gang && vm.trialTask && isOfOneStep(*vm.trialTask, id);
        // After a shorter trial than its own a task could no longer be told from the others.
        const bool isOpenTrial = mayShare && vm.trialTask && vm.sharedTrialAt == now
            && findTask(state, *vm.trialTask)->run->trial == trialLength(task, state.limits);
        if ((vm.trialTask && !isOwnTrial && !isOpenTrial) || !suits(state, vm, step, id, OwnRun::None)
            || (requiresTicket && !hasTicket(stepAdvice(job, id), vm, now)))
            continue;
        if (isOwnTrial)
            return &vm;
        if (isOpenTrial) {
            if (!shared || vm.runs.size() < shared->runs.size())
                shared = &vm;
        } else if (isQuiet(state, vm, now)) {
            // A crash ends few other runs on a VM with few of them.
            if (!quiet || vm.runs.size() < quiet->runs.size())
                quiet = &vm;
        } else if (!isReserved && (!next || vm.lastStartAt < next->lastStartAt)) {
            next = &vm;
        }
    }
    const bool mayTakeAll
        = share == TrialShare::All && trialLength(task, state.limits) < state.limits.longTrial;
    // A gang starts whole or not at all.
    const bool mayTakeAnother = step.gang || mayTakeAll || taken < std::max(1, available / 2);
    if (quiet && (mayTakeAnother || now < quiet->reservedUntil))
        return quiet;
    if (shared)
        return shared;
    if (next && mayTakeAnother) {
        next->reservedUntil = now + state.limits.shortTrial * 2;
        markChanged(state, *next);
    }
    return nullptr;
}

namespace {

/// Whether computeScore() ranks the VMs of a rack by their utilisation alone.
bool isRankedByUse(const StepSpec& step)
{
    return step.latencyTarget.count() == 0 && !step.filler && !step.longRunning;
}

/// The better of two VMs for a task of the step.
class BestVm {
public:
    void offer(VmState& vm, const Score& score)
    {
        if (m_vm && !(score < m_score))
            return;
        m_vm = &vm;
        m_score = score;
    }
    VmState* vm() const { return m_vm; }
    bool isOutsideRack() const { return m_vm && std::get<0>(m_score); }

private:
    VmState* m_vm = nullptr;
    Score m_score;
};

/// The best of all VMs that can host the task.
BestVm chooseFromAll(
    PoolState& state, const JobEntry& job, const TaskId& id, const std::string& rack, TimePoint now)
{
    const auto& step = stepOf(job, id.step);
    BestVm best;
    state.work.vmChoices += state.vms.size();
    for (auto& [name, vm] : state.vms) {
        if (canStartOn(state, vm, job, id, now))
            best.offer(vm, computeScore(state, vm, step, rack));
    }
    return best;
}

} // namespace

VmState* chooseVm(PoolState& state, const JobEntry& job, const TaskId& id, milliseconds waited, TimePoint now)
{
    const auto& step = stepOf(job, id.step);
    if (const auto own = state.servingReservations.find(id); own != state.servingReservations.end()) {
        auto& vm = state.vms.find(own->second.vm)->second;
        if (canStartOn(state, vm, job, id, now))
            return &vm;
    }
    if (!step.sameRack && step.preferredRack.empty())
        return chooseAnywhere(state, job, id, now);
    const auto rack = step.sameRack ? siblingRack(state, job, id) : step.preferredRack;
    const auto best = chooseFromAll(state, job, id, rack, now);
    // Outside the rack a task takes several times as long, so it first waits a short time for the rack.
    if (best.isOutsideRack() && waited < state.limits.preferredRackWait)
        return nullptr;
    return best.vm();
}

VmState* chooseAnywhere(PoolState& state, const JobEntry& job, const TaskId& id, TimePoint now)
{
    const auto& step = stepOf(job, id.step);
    if (isRankedByUse(step) && !needsTicket(state, job))
        return findMostUsed(
            state, reservedBy(step), [&](const VmState& vm) { return canHost(state, vm, step, id, now); });
    return chooseFromAll(state, job, id, "", now).vm();
}

VmState* chooseInRack(
    PoolState& state, const JobEntry& job, const TaskId& id, const std::string& rack, TimePoint now)
{
    const auto vms = state.vmRoom.racks.find(rack);
    if (vms == state.vmRoom.racks.end())
        return nullptr;
    const auto& step = stepOf(job, id.step);
    BestVm best;
    state.work.vmChoices += vms->second.size();
    for (const auto& [name, outlook] : vms->second) {
        auto& vm = state.vms.find(name)->second;
        if (canStartOn(state, vm, job, id, now))
            best.offer(vm, computeScore(state, vm, step, rack));
    }
    return best.vm();
}

bool canStillHost(
    const PoolState& state, const VmState& vm, const JobEntry& job, const TaskId& id, TimePoint now)
{
    return isAvailable(vm, now) && suits(state, vm, stepOf(job, id.step), id, OwnRun::Counted)
        && (!needsTicket(state, job) || hasTicket(stepAdvice(job, id), vm, now));
}

std::string ticketFor(const JobEntry& job, const TaskId& id, std::string_view vm)
{
    const auto& tickets = stepAdvice(job, id).tickets;
    const auto ticket = tickets.find(vm);
    return ticket == tickets.end() ? "" : ticket->second.text;
}

std::optional<AdviceSettings> adviceSettings(const PoolState& state, const JobEntry& job)
{
    // Covers the services of the pages; without the queue's settings the latency is not known.
    constexpr AdviceSettings unknownQueueAdvice { milliseconds(1000), milliseconds(20), milliseconds(0) };
    const auto queue = state.queues.find(job.spec.queue);
    if (queue != state.queues.end() && queue->second.advice)
        return queue->second.advice;
    return job.hasTicketRejection ? std::optional(unknownQueueAdvice) : std::nullopt;
}

bool needsTicket(const PoolState& state, const JobEntry& job)
{
    return adviceSettings(state, job).has_value();
}

std::vector<std::string> adviceCandidates(
    const PoolState& state, const JobEntry& job, const TaskId& id, std::size_t limit, TimePoint now)
{
    const auto& step = stepOf(job, id.step);
    const auto& advice = stepAdvice(job, id);
    const auto rack = step.sameRack ? siblingRack(state, job, id) : step.preferredRack;
    std::vector<std::pair<Score, std::string>> candidates;
    for (const auto& [name, vm] : state.vms) {
        if (!canHost(state, vm, step, id, now) || advice.deniedVms.contains(name)
            || hasTicket(advice, vm, now))
            continue;
        candidates.emplace_back(computeScore(state, vm, step, rack), name);
    }
    std::sort(candidates.begin(), candidates.end());
    candidates.resize(std::min(candidates.size(), limit));
    std::vector<std::string> names;
    for (auto& [score, name] : candidates)
        names.push_back(std::move(name));
    return names;
}

} // namespace damask::fleet
