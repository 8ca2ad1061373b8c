#include "run_copies_pvt.h"

#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"
#include "vm_room_pvt.h"

#include <damaskworks/locality_wait.h>

#include <algorithm>

namespace damask::fleet {
namespace {

using std::chrono::duration_cast;

/// Shortest time between two searches for stragglers.
constexpr milliseconds searchInterval { 100 };
/// A run is a straggler if it needs this multiple of a copy's run time. Copies that would end little earlier
/// only use up room.
constexpr double stragglerFactor = 1.5;
/// Multiple of the usual run time that a run has to take if too few tasks of its step are done: estimates are
/// rough, and all tasks of a step may take longer.
constexpr double patienceFactor = 3;
/// Share of the pool's CPU that copies may use.
constexpr double maxCopyShare = 0.05;
/// Change of a queue's factor with each end. Steps of one size, up or down, lead to the median.
constexpr double factorStep = 0.05;

milliseconds scale(milliseconds time, double factor)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

/// Whether enough tasks of the step are done to tell what is usual.
bool areSiblingsDone(const StepState& step) { return step.runTimes.size() * 2 >= step.tasks.size(); }

/// Run time of a usual task of the step: the median of those that are done, if they are half of it; else the
/// estimate, corrected by what the queue's tasks took.
milliseconds usualRunTime(const PoolState& state, const JobEntry& job, const StepSpec& spec, StepState& step)
{
    auto& times = step.runTimes;
    if (areSiblingsDone(step)) {
        const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
        std::nth_element(times.begin(), middle, times.end());
        return *middle;
    }
    const auto factor = state.runTimeFactors.find(job.spec.queue);
    return factor == state.runTimeFactors.end() ? spec.estimate : scale(spec.estimate, factor->second);
}

int attemptLimit(const PoolState& state, const JobEntry& job)
{
    const auto queue = state.queues.find(job.spec.queue);
    return queue == state.queues.end() ? job.spec.maxAttempts : queue->second.maxAttempts;
}

/// Whether the task's run may get a copy. If both runs fail, the task has had no more attempts than it may.
bool mayCopy(const TaskState& task, int attempts)
{
    return !task.done && task.run && !task.copy && !task.hasBeenCopied && !task.isSuspect
        && task.run->phase == RunPhase::Running && static_cast<int>(task.failedRuns.size()) + 2 <= attempts;
}

/// Adds the stragglers of a step to \p out. Returns whether the step has any runs.
bool addStragglers(
    const PoolState& state, JobEntry& job, const StepId& id, TimePoint now, std::vector<Straggler>& out)
{
    auto& step = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    const auto usual = usualRunTime(state, job, stepOf(job, id.step), step);
    const auto patience = areSiblingsDone(step) ? milliseconds(0) : scale(usual, patienceFactor);
    const int attempts = attemptLimit(state, job);
    bool hasRuns = false;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const auto& task = step.tasks[i];
        hasRuns = hasRuns || task.run;
        if (!mayCopy(task, attempts))
            continue;
        const auto& run = *task.run;
        if (now - run.confirmedAt < patience)
            continue;
        const auto end = expectedEnd({ usual, run.confirmedAt, run.percent, run.progressAt }, now);
        const auto remaining = duration_cast<milliseconds>(end - now);
        if (remaining > scale(usual, stragglerFactor))
            out.push_back({ { id.job, id.occurrence, id.step, static_cast<int>(i) }, remaining, usual });
    }
    return hasRuns;
}

/// Whether a task that waits might fit beside the runs of the VM.
bool isRoomWanted(const PoolState& state, const VmState& vm)
{
    auto free = vm.entry.capacity;
    free -= vm.used;
    free -= vm.reserved;
    const auto& groups = state.waitingSteps.byNeed;
    return std::any_of(groups.begin(), groups.end(), [&](const auto& entry) {
        const auto& group = entry.second;
        return fits({ *group.cpu.begin(), *group.memoryMb.begin(), 0 }, free);
    });
}

/// CPU that copies reserve.
std::int64_t cpuOfCopies(const PoolState& state)
{
    std::int64_t cpu = 0;
    for (const auto& id : state.copyableSteps) {
        const auto job = state.jobs.find(id.job);
        if (job == state.jobs.end() || !job->second.occurrences.contains(id.occurrence))
            continue;
        const auto& tasks
            = job->second.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks;
        cpu += reservedBy(stepOf(job->second, id.step)).cpu
            * std::count_if(
                tasks.begin(), tasks.end(), [](const TaskState& task) { return task.copy.has_value(); });
    }
    return cpu;
}

} // namespace

bool isCopyable(const StepSpec& step)
{
    return step.speculative && !step.gang && !step.longRunning && !step.filler;
}

bool mayAdoptCopy(const StepSpec& step, const TaskState& task, std::string_view vm)
{
    return isCopyable(step) && task.run && !task.copy && !task.isSuspect && task.run->vm != vm;
}

std::vector<Straggler> findStragglers(PoolState& state, TimePoint now)
{
    if (state.copyableSteps.empty() || state.areStartsLimited
        || (state.copiesPlannedAt != TimePoint {} && now - state.copiesPlannedAt < searchInterval))
        return {};
    state.copiesPlannedAt = now;
    std::vector<Straggler> out;
    std::erase_if(state.copyableSteps, [&](const StepId& id) {
        const auto job = state.jobs.find(id.job);
        if (job == state.jobs.end() || !job->second.occurrences.contains(id.occurrence))
            return true;
        return !addStragglers(state, job->second, id, now, out) || isFinal(job->second.state);
    });
    std::erase_if(out, [&](const Straggler& straggler) {
        return isFinal(state.jobs.find(straggler.task.job)->second.state);
    });
    std::sort(out.begin(), out.end(),
        [](const Straggler& a, const Straggler& b) { return a.remaining > b.remaining; });
    return out;
}

VmState* chooseCopyVm(PoolState& state, const Straggler& straggler, TimePoint now)
{
    const auto& id = straggler.task;
    const auto& job = state.jobs.find(id.job)->second;
    const auto& step = stepOf(job, id.step);
    const auto need = reservedBy(step);
    const auto limit
        = static_cast<std::int64_t>(static_cast<double>(state.loadSums.vms.capacityCpu) * maxCopyShare);
    if (cpuOfCopies(state) + need.cpu > limit)
        return nullptr;
    auto rack = step.preferredRack;
    if (step.sameRack) {
        const auto vm = state.vms.find(findTask(state, id)->run->vm);
        rack = vm == state.vms.end() ? "" : vm->second.entry.rack;
    }
    const auto choose = [&](bool isInRack) {
        return findMostUsed(state, need, [&](const VmState& vm) {
            return (!isInRack || vm.entry.rack == rack) && !vm.runs.contains(id) && !isRoomWanted(state, vm)
                && canStartOn(state, vm, job, id, now);
        });
    };
    if (auto* vm = choose(!rack.empty()); vm || rack.empty())
        return vm;
    // Outside the rack a copy takes longer, and would slow the other tasks of a group.
    const auto farTime = scale(straggler.copyTime, state.limits.farSlowdown * stragglerFactor);
    return step.sameRack || straggler.remaining <= farTime ? nullptr : choose(false);
}

void recordEndOfCopied(PoolState& state, JobEntry& job, const EndReport& end, const TaskState& task,
    const RunState& run, TimePoint now)
{
    const auto& step = stepOf(job, end.task.step);
    if (end.kind != EndKind::Done || task.done || !isCopyable(step))
        return;
    if (task.copy) {
        const bool isCopy = &run == &*task.copy;
        state.runEvents.push_back({ task.copy->vm, end.task, task.copy->number,
            isCopy ? RunEventKind::CopyEndedFirst : RunEventKind::CopySuperseded });
    }
    // An adopted run began before this holder knew of it.
    if (job.isRecovered)
        return;
    const auto took = duration_cast<milliseconds>(now - run.createdAt);
    auto& tasks = job.occurrences.at(end.task.occurrence).steps[static_cast<std::size_t>(end.task.step)];
    tasks.runTimes.push_back(took);
    if (step.estimate.count() <= 0)
        return;
    auto& factor = state.runTimeFactors.try_emplace(job.spec.queue, 1).first->second;
    factor += took > scale(step.estimate, factor) ? factorStep : -factorStep;
    factor = std::max(factor, factorStep);
}

} // namespace damask::fleet
