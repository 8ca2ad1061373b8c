#include "placement_choice_pvt.h"

#include "pool_state_pvt.h"

#include <algorithm>
#include <tuple>

namespace damask::fleet {
namespace {

bool takesWork(const VmState& vm, TimePoint now)
{
    return vm.listed && vm.read && !vm.silent && !vm.entry.draining && !vm.evacuating && vm.strangers.empty()
        && now >= vm.asideUntil;
}

bool hasLabel(const VmState& vm, const std::string& label)
{
    return label.empty()
        || std::find(vm.entry.labels.begin(), vm.entry.labels.end(), label) != vm.entry.labels.end();
}

Resources freeOf(const VmState& vm)
{
    auto free = vm.entry.capacity;
    free -= vm.used;
    return free;
}

/// Runs of the task's step and occurrence on the VM.
int siblingsOn(const VmState& vm, const TaskId& id)
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

/// Left of a ticket's time for the order's way to the VM.
constexpr milliseconds ticketMargin { 100 };

bool hasTicket(const StepAdvice& advice, const VmState& vm, TimePoint now)
{
    const auto ticket = advice.tickets.find(vm.entry.id);
    return ticket != advice.tickets.end() && now + ticketMargin < ticket->second.validUntil;
}

const StepAdvice& adviceOf(const JobEntry& job, const TaskId& id)
{
    return job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)].advice;
}

/// Whether one more task of the step fits on the VM.
bool hasPlace(const VmState& vm, const StepSpec& step, const TaskId& id, TimePoint now)
{
    return takesWork(vm, now) && hasLabel(vm, step.requiredLabel) && fits(reservedBy(step), freeOf(vm))
        && (step.maxPerVm == 0 || siblingsOn(vm, id) < step.maxPerVm);
}

/// Runs on the VM that should not be beside a task of this kind: fillers beside tasks that serve
/// users, and the other way round.
int conflictsOn(const PoolState& state, const VmState& vm, const StepSpec& step)
{
    const bool serves = step.latencyTarget.count() > 0;
    if (!serves && !step.filler)
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

/// Rack in which most tasks of the step run; empty if none runs.
std::string rackOfSiblings(const PoolState& state, const JobEntry& job, const TaskId& id)
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

/// Smaller is better.
using Score = std::tuple<bool, int, int, double>;

int servingOn(const PoolState& state, const VmState& vm)
{
    return static_cast<int>(std::count_if(vm.runs.begin(), vm.runs.end(), [&](const TaskId& run) {
        const auto job = state.jobs.find(run.job);
        return job != state.jobs.end() && stepOf(job->second, run.step).longRunning;
    }));
}

Score scoreOf(const PoolState& state, const VmState& vm, const StepSpec& step, const std::string& rack)
{
    const bool far = !rack.empty() && vm.entry.rack != rack;
    const auto capacity = static_cast<double>(std::max<std::int64_t>(vm.entry.capacity.cpu, 1));
    // Tasks are packed, long-running ones above all, so that VMs become free to be moved.
    const int together = step.longRunning ? -servingOn(state, vm) : 0;
    return { far, conflictsOn(state, vm, step), together, -static_cast<double>(vm.used.cpu) / capacity };
}

} // namespace

VmState* chooseVm(PoolState& state, const JobEntry& job, const TaskId& id, milliseconds waited, TimePoint now)
{
    const auto& step = stepOf(job, id.step);
    const bool advised = needsTicket(state, job);
    const auto rack = step.sameRack ? rackOfSiblings(state, job, id) : step.preferredRack;
    VmState* best = nullptr;
    Score bestScore;
    for (auto& [name, vm] : state.vms) {
        if (!hasPlace(vm, step, id, now) || (advised && !hasTicket(adviceOf(job, id), vm, now)))
            continue;
        const auto score = scoreOf(state, vm, step, rack);
        if (best && !(score < bestScore))
            continue;
        best = &vm;
        bestScore = score;
    }
    // Away from its data a task takes several times as long, so a short wait for the rack pays.
    if (best && std::get<0>(bestScore) && waited < state.limits.farPenaltyWait)
        return nullptr;
    return best;
}

bool needsTicket(const PoolState& state, const JobEntry& job)
{
    const auto queue = state.queues.find(job.spec.queue);
    return queue != state.queues.end() && queue->second.advice;
}

std::vector<std::string> vmsToAskAbout(
    const PoolState& state, const JobEntry& job, const TaskId& id, std::size_t limit, TimePoint now)
{
    const auto& step = stepOf(job, id.step);
    const auto& advice = adviceOf(job, id);
    const auto rack = step.sameRack ? rackOfSiblings(state, job, id) : step.preferredRack;
    std::vector<std::pair<Score, std::string>> found;
    for (const auto& [name, vm] : state.vms) {
        if (!hasPlace(vm, step, id, now) || advice.denied.contains(name) || hasTicket(advice, vm, now))
            continue;
        found.emplace_back(scoreOf(state, vm, step, rack), name);
    }
    std::sort(found.begin(), found.end());
    found.resize(std::min(found.size(), limit));
    std::vector<std::string> names;
    for (auto& [score, name] : found)
        names.push_back(std::move(name));
    return names;
}

} // namespace damask::fleet
