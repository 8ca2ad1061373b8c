#include <damaskworks/job_timing.h>
#include <damaskworks/pool_plan.h>

#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"
#include "serving_reservations_pvt.h"

#include <algorithm>
#include <cmath>

namespace damask::fleet {
namespace {

/// Whether a long-running task serves its users: it runs, is ready and its VM responds.
bool isServing(const PoolState& state, const TaskState& task)
{
    if (!task.run || task.run->phase != RunPhase::Running || task.run->percent < 100)
        return false;
    const auto vm = state.vms.find(task.run->vm);
    return vm != state.vms.end() && !vm->second.isUnresponsive;
}

int countUnavailable(const PoolState& state, const StepState& step)
{
    return static_cast<int>(std::count_if(step.tasks.begin(), step.tasks.end(),
        [&](const TaskState& task) { return !isServing(state, task); }));
}

/// One pass of planEvacuations().
struct EvacuationPass {
    bool canVmsTakeTasks = false; ///< some VM accepts starts
    ReservationPass reservations;
};

/// Whether the long-running task should go on until another VM has room for it. Reserves that room. The task
/// doesn't wait if no VM accepts starts, or once its own VM has to go.
bool shouldWaitForRoom(PoolState& state, EvacuationPass& pass, const VmState& vm, const JobEntry& job,
    const TaskId& id, TimePoint now)
{
    const auto* target = reserveForServing(state, job, id, pass.reservations, now);
    if (target && canStartOn(state, *target, job, id, now))
        return false;
    const auto longestWait
        = vm.entry.draining ? state.limits.drainingPlacementWait : state.limits.evacuationTimeout;
    return pass.canVmsTakeTasks && now - vm.evacuatingSince <= longestWait;
}

/// Marks a long-running task to be stopped if the disruption budget of its step allows one more.
void stopWithinBudget(PoolState& state, JobEntry& job, const TaskId& id, TaskState& task, TimePoint now)
{
    const auto& step = stepOf(job, id.step);
    auto& tasks = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)];
    // A task that does not serve is unavailable already, so stopping it costs no budget.
    const int unavailableOthers = countUnavailable(state, tasks) - (isServing(state, task) ? 0 : 1);
    if (unavailableOthers < std::max(step.maxUnavailable, 1))
        markStopping(*task.run, now);
}

/// Room on a VM beside its long-running tasks.
struct Room {
    const VmState* vm = nullptr;
    Resources free;
};

/// Resources beside the long-running tasks on each VM that accepts work; other tasks end soon.
std::vector<Room> roomBesideLongRunning(const PoolState& state)
{
    std::vector<Room> out;
    for (const auto& [name, vm] : state.vms) {
        if (!vm.isRegistered || !vm.hasReported || vm.isUnresponsive || vm.isEvacuating || vm.entry.draining)
            continue;
        auto room = vm.entry.capacity;
        for (const auto& run : vm.runs) {
            const auto& step = stepOf(state.jobs.find(run.job)->second, run.step);
            if (step.longRunning)
                room -= reservedBy(step);
        }
        out.push_back({ &vm, room });
    }
    return out;
}

/// \p amount as part of a load: whole, and at most maxPoolLoad.
std::int64_t boundLoad(double amount)
{
    return static_cast<std::int64_t>(std::min(amount, static_cast<double>(maxPoolLoad)));
}

void addLoad(std::int64_t& sum, double amount) { sum = boundLoad(static_cast<double>(sum) + amount); }

/// Adds the waiting tasks of an occurrence's ready steps to the load.
void addWaitingTasks(const std::vector<Room>& rooms, PoolLoad& load, const JobEntry& job,
    const OccurrenceState& occurrence, bool isOverdue)
{
    for (int s = 0; s < static_cast<int>(occurrence.steps.size()); ++s) {
        const auto& step = stepOf(job, s);
        if (!isStepReady(job, occurrence, s))
            continue;
        const auto& tasks = occurrence.steps[static_cast<std::size_t>(s)].tasks;
        if (step.longRunning && step.maxPerVm > 0)
            load.minMachines = std::max(load.minMachines, (step.count + step.maxPerVm - 1) / step.maxPerVm);
        const auto waiting = std::count_if(
            tasks.begin(), tasks.end(), [](const TaskState& task) { return !task.done && !task.run; });
        const auto cpu = static_cast<double>(reservedBy(step).cpu * waiting);
        if (step.longRunning) {
            addLoad(load.waitingServingCpu, cpu);
            continue;
        }
        addLoad(isOverdue ? load.overdueCpu : load.waitingCpu, cpu);
        const auto need = reservedBy(step);
        const bool fitsSomewhere = std::any_of(
            rooms.begin(), rooms.end(), [&](const Room& room) { return fits(need, room.free); });
        if (!fitsSomewhere)
            addLoad(load.unfitCpu, cpu);
        addLoad(isOverdue ? load.overdueWork : load.waitingWork,
            cpu * static_cast<double>(step.estimate.count()) / 1000);
    }
}

/// Whether the task has to be placed on another VM than that of its run, if it has one.
bool lacksPlace(const PoolState& state, const TaskState& task)
{
    if (task.done || !task.run)
        return !task.done;
    const auto vm = state.vms.find(task.run->vm);
    return vm != state.vms.end() && isLeaving(vm->second);
}

/// Largest capacity of a VM in each dimension.
Resources largestCapacity(const PoolState& state)
{
    Resources out;
    for (const auto& [name, vm] : state.vms) {
        out.cpu = std::max(out.cpu, vm.entry.capacity.cpu);
        out.memoryMb = std::max(out.memoryMb, vm.entry.capacity.memoryMb);
        out.gpu = std::max(out.gpu, vm.entry.capacity.gpu);
    }
    return out;
}

/// Number of tasks that \p free has room for, at most \p most.
std::int64_t countFitting(Resources free, const Resources& need, std::int64_t most)
{
    std::int64_t count = 0;
    for (; count < most && fits(need, free); ++count)
        free -= need;
    return count;
}

/// Machines that are missing for \p tasks tasks of the step, all without a place. Takes the room that they
/// get.
std::int64_t missingMachines(std::vector<Room>& rooms, const StepSpec& step, const StepId& id,
    std::int64_t tasks, const Resources& machine)
{
    const auto need = reservedBy(step);
    const std::int64_t mostPerVm = step.maxPerVm > 0 ? step.maxPerVm : tasks;
    for (auto& room : rooms) {
        const int siblings
            = step.maxPerVm > 0 ? countSiblings(*room.vm, { id.job, id.occurrence, id.step, 0 }) : 0;
        const auto placed = countFitting(room.free, need, std::min(tasks, mostPerVm - siblings));
        for (std::int64_t i = 0; i < placed; ++i)
            room.free -= need;
        tasks -= placed;
        if (tasks == 0)
            return 0;
    }
    const auto perMachine = countFitting(machine, need, std::min(tasks, mostPerVm));
    return perMachine == 0 ? 0 : (tasks + perMachine - 1) / perMachine;
}

/// Machines that are missing for the long-running tasks without a place, by first fit. Memory may run out
/// before CPU does.
int missingServingMachines(const PoolState& state, std::vector<Room> rooms)
{
    constexpr std::int64_t most = 1'000'000; // sums over all pools fit into an int
    const auto machine = largestCapacity(state);
    std::int64_t missing = 0;
    for (const auto& [id, job] : state.jobs) {
        if (isFinal(job.state))
            continue;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (int s = 0; s < static_cast<int>(occurrence.steps.size()); ++s) {
                const auto& step = stepOf(job, s);
                if (!step.longRunning || !isStepReady(job, occurrence, s))
                    continue;
                const auto& tasks = occurrence.steps[static_cast<std::size_t>(s)].tasks;
                const auto lacking = std::count_if(tasks.begin(), tasks.end(),
                    [&](const TaskState& task) { return lacksPlace(state, task); });
                if (lacking > 0)
                    missing += missingMachines(rooms, step, { id, number, s }, lacking, machine);
            }
        }
    }
    return static_cast<int>(std::min(missing, most));
}

/// Largest factor by which a rate is forecast to grow. Demand can rise within seconds, but machines moved for
/// a wrong forecast are missing elsewhere.
constexpr double maxForecastGrowth = 3;

/// CPU that new jobs will need, extrapolated from the arrival rates in the last two windows. The growth is
/// weighted by how far the difference of the two job counts exceeds half of its standard error.
std::int64_t arrivingCpu(const PoolState& state, TimePoint now)
{
    double work[2] = {};
    int jobs[2] = {};
    const auto window = state.limits.arrivalWindow;
    for (const auto& arrival : state.arrivals) {
        const auto age = now - arrival.at;
        if (age >= window * 2)
            continue;
        const int windowIndex = age < window ? 0 : 1;
        work[windowIndex] += arrival.work;
        ++jobs[windowIndex];
    }
    const double rate = work[0] / static_cast<double>(window.count());
    const double earlierRate = work[1] / static_cast<double>(window.count());
    const int jobGrowth = jobs[0] - jobs[1];
    if (jobGrowth <= 0 || rate <= earlierRate)
        return boundLoad(rate);
    const double standardError = std::sqrt(static_cast<double>(jobs[0] + jobs[1]));
    const double confidence = std::max(0.0, 1 - standardError / (2 * jobGrowth));
    const double horizonWindows
        = static_cast<double>(state.limits.forecastHorizon.count()) / static_cast<double>(window.count());
    const double forecast = rate + (rate - earlierRate) * confidence * horizonWindows;
    return boundLoad(std::min(forecast, rate * maxForecastGrowth));
}

/// Machines that run tasks. A machine that has come back has two VMs here until the registration of the
/// earlier one is removed.
std::set<std::string_view> machinesWithRuns(const PoolState& state)
{
    std::set<std::string_view> out;
    for (const auto& [name, vm] : state.vms) {
        if (!vm.runs.empty() || !vm.orphanRuns.empty())
            out.insert(vm.entry.machine);
    }
    return out;
}

/// CPU that the occurrence's running tasks reserve, without long-running ones.
std::int64_t usedCpu(const JobEntry& job, const OccurrenceState& occurrence)
{
    std::int64_t cpu = 0;
    for (int s = 0; s < static_cast<int>(occurrence.steps.size()); ++s) {
        const auto& step = stepOf(job, s);
        if (step.longRunning)
            continue;
        const auto& tasks = occurrence.steps[static_cast<std::size_t>(s)].tasks;
        cpu += reservedBy(step).cpu * std::count_if(tasks.begin(), tasks.end(), [](const TaskState& task) {
            return task.run.has_value();
        });
    }
    return cpu;
}

/// Limits the demand of a pool whose holder can't send starts fast enough to use the machines that it has. It
/// would otherwise claim machines for its whole backlog, which stay idle while other pools lack them.
void limitToStartRate(PoolLoad& load)
{
    const auto batchCpu = load.usedCpu - load.servingCpu;
    const auto growth = batchCpu / 2;
    load.arrivingCpu = std::min(load.arrivingCpu, batchCpu);
    if (load.waitingCpu > growth)
        load.waitingWork = boundLoad(static_cast<double>(load.waitingWork) * static_cast<double>(growth)
            / static_cast<double>(load.waitingCpu));
    load.waitingCpu = std::min(load.waitingCpu, growth);
    load.overdueCpu = load.overdueWork = 0;
}

} // namespace

void planEvacuations(PoolState& state, TimePoint now)
{
    dropStaleReservations(state, now);
    EvacuationPass pass { false, { state.limits.maxReservationAttempts, {} } };
    pass.canVmsTakeTasks = std::any_of(state.vms.begin(), state.vms.end(),
        [&](const auto& entry) { return isAvailable(entry.second, now); });
    for (auto& [name, vm] : state.vms) {
        if (!isLeaving(vm)) {
            vm.evacuatingSince = TimePoint {};
            continue;
        }
        if (vm.evacuatingSince == TimePoint {})
            vm.evacuatingSince = now;
        for (const auto& id : vm.runs) {
            auto* task = findTask(state, id);
            auto& job = state.jobs.find(id.job)->second;
            if (!task || !task->run || task->run->phase != RunPhase::Running || isFinal(job.state))
                continue;
            const bool isTimeOver
                = vm.isEvacuating && now - vm.evacuatingSince > state.limits.evacuationTimeout;
            if (!stepOf(job, id.step).longRunning) {
                if (isTimeOver)
                    markStopping(*task->run, now);
                continue;
            }
            // A suspect task needs a VM for its trial, which isn't reserved ahead.
            if (task->isSuspect || !shouldWaitForRoom(state, pass, vm, job, id, now))
                stopWithinBudget(state, job, id, *task, now);
        }
    }
}

PoolLoad computeLoad(const PoolState& state, TimePoint now, WallTime wallNow)
{
    PoolLoad load;
    state.work.loadUpdates += state.vms.size() + state.jobs.size();
    load.arrivingCpu = arrivingCpu(state, now);
    const auto rooms = roomBesideLongRunning(state);
    const auto withRuns = machinesWithRuns(state);
    for (const auto& [name, vm] : state.vms) {
        load.usedCpu += vm.used.cpu;
        if (vm.isRegistered && vm.hasReported && !vm.isUnresponsive && !vm.isEvacuating
            && !vm.entry.draining) {
            load.capacityCpu += vm.entry.capacity.cpu;
            ++load.workingMachines;
        }
        for (const auto& run : vm.runs) {
            const auto& step = stepOf(state.jobs.find(run.job)->second, run.step);
            if (!step.longRunning)
                continue;
            load.servingCpu += reservedBy(step).cpu;
            load.serving.insert(vm.entry.machine);
        }
        // The runs of a VM that has not reported are unknown, so its machine does not count as idle.
        if (!vm.runs.empty() || !vm.hasReported)
            load.runs[vm.entry.machine] = std::max(1, static_cast<int>(vm.runs.size()));
        // A machine that a long-running task is about to start on must not be moved away.
        if (!vm.hasReported || vm.reserved != Resources {})
            load.serving.insert(vm.entry.machine);
        if (vm.isEvacuating && vm.hasReported && !withRuns.contains(vm.entry.machine))
            load.empty.emplace(vm.entry.machine, vm.evacuationTask);
    }
    for (const auto& [id, job] : state.jobs) {
        if (isFinal(job.state))
            continue;
        const auto found = state.queues.find(job.spec.queue);
        const auto* queue = found == state.queues.end() ? nullptr : &found->second;
        for (const auto& [number, occurrence] : job.occurrences) {
            const bool isOverdue
                = earliestTimeliness(job, number, occurrence, queue, wallNow) == Timeliness::Overdue;
            addWaitingTasks(rooms, load, job, occurrence, isOverdue);
            if (isOverdue)
                load.overdueUsedCpu += usedCpu(job, occurrence);
        }
    }
    // Before that, long-running tasks may run on VMs that have not reported.
    if (isRecoveryComplete(state, now))
        load.missingServingMachines = missingServingMachines(state, rooms);
    if (state.areStartsLimited)
        limitToStartRate(load);
    return load;
}

} // namespace damask::fleet
