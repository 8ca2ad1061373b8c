#include <damaskworks/job_timing.h>
#include <damaskworks/pool_plan.h>

#include "pool_state_pvt.h"

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

/// Resources beside the long-running tasks on each VM that accepts work; other tasks end soon.
std::vector<Resources> roomBesideLongRunning(const PoolState& state)
{
    std::vector<Resources> out;
    for (const auto& [name, vm] : state.vms) {
        if (!vm.isRegistered || !vm.hasReported || vm.isUnresponsive || vm.isEvacuating || vm.entry.draining)
            continue;
        auto room = vm.entry.capacity;
        for (const auto& run : vm.runs) {
            const auto& step = stepOf(state.jobs.find(run.job)->second, run.step);
            if (step.longRunning)
                room -= reservedBy(step);
        }
        out.push_back(room);
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
void addWaitingTasks(const std::vector<Resources>& rooms, PoolLoad& load, const JobEntry& job,
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
            rooms.begin(), rooms.end(), [&](const Resources& room) { return fits(need, room); });
        if (!fitsSomewhere)
            addLoad(load.unfitCpu, cpu);
        addLoad(isOverdue ? load.overdueWork : load.waitingWork,
            cpu * static_cast<double>(step.estimate.count()) / 1000);
    }
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
    for (auto& [name, vm] : state.vms) {
        const bool isLeaving = vm.isEvacuating || vm.entry.draining;
        if (!isLeaving) {
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
            if (stepOf(job, id.step).longRunning)
                stopWithinBudget(state, job, id, *task, now);
            else if (vm.isEvacuating && now - vm.evacuatingSince > state.limits.evacuationTimeout)
                markStopping(*task->run, now);
        }
    }
}

PoolLoad computeLoad(const PoolState& state, TimePoint now, WallTime wallNow)
{
    PoolLoad load;
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
        if (!vm.hasReported)
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
    if (state.areStartsLimited)
        limitToStartRate(load);
    return load;
}

} // namespace damask::fleet
