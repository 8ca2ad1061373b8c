/// \file
/// Load of a pool: computed from its whole state, and kept as sums.
#include "pool_load_pvt.h"

#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"
#include "serving_reservations_pvt.h"

#include <damaskworks/job_timing.h>
#include <damaskworks/pool_plan.h>

#include <algorithm>
#include <cmath>

namespace damask::fleet {
namespace {

/// Room on a VM beside its long-running tasks.
struct Room {
    const VmState* vm = nullptr;
    Resources free;
};

/// Whether the VM counts as capacity of the pool.
bool isWorking(const VmState& vm)
{
    return vm.isRegistered && vm.hasReported && !vm.isUnresponsive && !isLeaving(vm);
}

/// Resources beside the VM's long-running tasks; other tasks end soon.
Resources roomOf(const PoolState& state, const VmState& vm)
{
    auto room = vm.entry.capacity;
    for (const auto& run : vm.runs) {
        const auto& step = stepOf(state.jobs.find(run.job)->second, run.step);
        if (step.longRunning)
            room -= reservedBy(step);
    }
    return room;
}

/// The same for each VM that accepts work.
std::vector<Room> roomBesideLongRunning(const PoolState& state)
{
    std::vector<Room> out;
    for (const auto& [name, vm] : state.vms) {
        if (isWorking(vm))
            out.push_back({ &vm, roomOf(state, vm) });
    }
    return out;
}

/// \p amount as part of a load: whole, and at most maxPoolLoad.
std::int64_t boundLoad(double amount)
{
    return static_cast<std::int64_t>(std::min(amount, static_cast<double>(maxPoolLoad)));
}

void addLoad(std::int64_t& sum, double amount) { sum = boundLoad(static_cast<double>(sum) + amount); }

/// Adds the waiting tasks of an occurrence's ready steps to the load. \p fitsSomewhere tells whether a need
/// fits on some VM beside its long-running tasks.
template <typename Load, typename Fits>
void addWaitingTasks(
    Fits fitsSomewhere, Load& load, const JobEntry& job, const OccurrenceState& occurrence, bool isOverdue)
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
        if (!fitsSomewhere(reservedBy(step)))
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

/// Number of the step's tasks that have to be placed.
std::int64_t countLackingPlace(const PoolState& state, const OccurrenceState& occurrence, int step)
{
    const auto& tasks = occurrence.steps[static_cast<std::size_t>(step)].tasks;
    return std::count_if(
        tasks.begin(), tasks.end(), [&](const TaskState& task) { return lacksPlace(state, task); });
}

/// Where long-running tasks without a place may go.
struct ServingRooms {
    std::vector<Room> rooms; ///< on the pool's VMs
    Resources machine; ///< of a machine that joins the pool
};

ServingRooms listServingRooms(const PoolState& state)
{
    return { roomBesideLongRunning(state), largestCapacity(state) };
}

/// Adds the machines that are missing for the job's long-running tasks without a place, by first fit. Memory
/// may run out before CPU does. \p rooms is set at the first use.
void addMissingMachines(
    const PoolState& state, const JobEntry& job, std::optional<ServingRooms>& rooms, std::int64_t& missing)
{
    for (const auto& [number, occurrence] : job.occurrences) {
        for (int s = 0; s < static_cast<int>(occurrence.steps.size()); ++s) {
            const auto& step = stepOf(job, s);
            if (!step.longRunning || !isStepReady(job, occurrence, s))
                continue;
            const auto lacking = countLackingPlace(state, occurrence, s);
            if (lacking == 0)
                continue;
            if (!rooms)
                rooms = listServingRooms(state);
            missing
                += missingMachines(rooms->rooms, step, { job.spec.id, number, s }, lacking, rooms->machine);
        }
    }
}

/// Bounds the number of missing machines, so that sums over all pools fit into an int.
int boundMachines(std::int64_t machines)
{
    constexpr std::int64_t most = 1'000'000;
    return static_cast<int>(std::min(machines, most));
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

PoolLoad computeLoad(const PoolState& state, TimePoint now, WallTime wallNow)
{
    PoolLoad load;
    load.arrivingCpu = arrivingCpu(state, now);
    const auto rooms = roomBesideLongRunning(state);
    const auto fitsSomewhere = [&](const Resources& need) {
        return std::any_of(
            rooms.begin(), rooms.end(), [&](const Room& room) { return fits(need, room.free); });
    };
    const auto withRuns = machinesWithRuns(state);
    for (const auto& [name, vm] : state.vms) {
        load.usedCpu += vm.used.cpu;
        if (isWorking(vm)) {
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
            addWaitingTasks(fitsSomewhere, load, job, occurrence, isOverdue);
            if (isOverdue)
                load.overdueUsedCpu += usedCpu(job, occurrence);
        }
    }
    // Before that, long-running tasks may run on VMs that have not reported.
    if (isRecoveryComplete(state, now)) {
        std::optional<ServingRooms> servingRooms;
        std::int64_t missing = 0;
        for (const auto& [id, job] : state.jobs) {
            if (!isFinal(job.state))
                addMissingMachines(state, job, servingRooms, missing);
        }
        load.missingServingMachines = boundMachines(missing);
    }
    if (state.areStartsLimited)
        limitToStartRate(load);
    return load;
}

namespace {

/// Most that one job adds to a sum. The sums of some 9 million jobs fit into 64 bits.
constexpr std::int64_t maxJobLoad = 1'000'000'000'000;

using Total = std::int64_t JobLoad::*;
constexpr Total jobTotals[] = { &JobLoad::waitingCpu, &JobLoad::waitingWork, &JobLoad::overdueCpu,
    &JobLoad::overdueWork, &JobLoad::overdueUsedCpu, &JobLoad::waitingServingCpu, &JobLoad::unfitCpu };

std::tuple<std::int64_t, std::int64_t, std::int64_t> roomKey(const Resources& room)
{
    return { room.cpu, room.memoryMb, room.gpu };
}

bool hasLongRunningStep(const JobSpec& job)
{
    return std::any_of(
        job.steps.begin(), job.steps.end(), [](const StepSpec& step) { return step.longRunning; });
}

/// Recomputes LoadSums::largestRooms. Returns whether they have changed.
bool updateLargestRooms(LoadSums& sums)
{
    std::vector<Resources> largest;
    // The largest CPU first, so a room can only be contained in an earlier one.
    for (auto it = sums.rooms.rbegin(); it != sums.rooms.rend(); ++it) {
        const auto& [cpu, memoryMb, gpu] = it->first;
        const Resources room { cpu, memoryMb, gpu };
        if (std::none_of(
                largest.begin(), largest.end(), [&](const Resources& other) { return fits(room, other); }))
            largest.push_back(room);
    }
    if (largest == sums.largestRooms)
        return false;
    sums.largestRooms = std::move(largest);
    return true;
}

VmLoad computeVmLoad(const PoolState& state, const VmState& vm)
{
    VmLoad out;
    out.machine = vm.entry.machine;
    out.usedCpu = vm.used.cpu;
    out.hasRuns = !vm.runs.empty() || !vm.orphanRuns.empty();
    out.isServing = !vm.hasReported || vm.reserved != Resources {};
    for (const auto& run : vm.runs) {
        const auto& step = stepOf(state.jobs.find(run.job)->second, run.step);
        if (!step.longRunning)
            continue;
        out.servingCpu += reservedBy(step).cpu;
        out.isServing = true;
    }
    if (isWorking(vm)) {
        out.capacityCpu = vm.entry.capacity.cpu;
        out.room = roomOf(state, vm);
    }
    if (!vm.runs.empty() || !vm.hasReported)
        out.runs = std::max(1, static_cast<int>(vm.runs.size()));
    if (vm.isEvacuating && vm.hasReported)
        out.evacuatedFor = vm.evacuationTask;
    return out;
}

/// Recomputes the entries of a machine, which may have several VMs.
void updateMachine(PoolState& state, const std::string& machine)
{
    auto& load = state.loadSums.vms;
    load.runs.erase(machine);
    load.serving.erase(machine);
    load.empty.erase(machine);
    const auto vms = state.loadSums.vmsByMachine.find(machine);
    if (vms == state.loadSums.vmsByMachine.end())
        return;
    bool hasRuns = false;
    std::optional<std::string> evacuatedFor;
    for (const auto& id : vms->second) {
        const auto& vm = *state.vms.find(id)->second.load;
        hasRuns = hasRuns || vm.hasRuns;
        if (vm.runs)
            load.runs[machine] = *vm.runs;
        if (vm.isServing)
            load.serving.insert(machine);
        if (!evacuatedFor)
            evacuatedFor = vm.evacuatedFor;
    }
    if (evacuatedFor && !hasRuns)
        load.empty.emplace(machine, *evacuatedFor);
}

/// Adds the VM's part to the sums, or subtracts it.
void addVmTotals(LoadSums& sums, const VmLoad& vm, int sign)
{
    sums.vms.usedCpu += sign * vm.usedCpu;
    sums.vms.servingCpu += sign * vm.servingCpu;
    sums.vms.capacityCpu += sign * vm.capacityCpu;
    sums.vms.workingMachines += vm.room ? sign : 0;
    if (!vm.room)
        return;
    const auto key = roomKey(*vm.room);
    if ((sums.rooms[key] += sign) == 0)
        sums.rooms.erase(key);
}

void addJobTotals(LoadSums& sums, const JobLoad& job, int sign)
{
    for (const auto total : jobTotals)
        sums.jobs.*total += sign * job.*total;
    if (job.minMachines == 0)
        return;
    if (sign > 0)
        sums.minMachines.insert(job.minMachines);
    else
        sums.minMachines.erase(sums.minMachines.find(job.minMachines));
}

void updateVm(PoolState& state, const std::string& id, VmState& vm)
{
    removeLoad(state, vm);
    auto& sums = state.loadSums;
    vm.load = computeVmLoad(state, vm);
    addVmTotals(sums, *vm.load, 1);
    sums.vmsByMachine[vm.load->machine].insert(id);
    updateMachine(state, vm.load->machine);
}

JobLoad computeJobLoad(const PoolState& state, const JobEntry& job, WallTime wallNow)
{
    JobLoad out;
    const auto queue = state.queues.find(job.spec.queue);
    const auto fitsSomewhere = [&](const Resources& need) {
        const auto& rooms = state.loadSums.largestRooms;
        return std::any_of(
            rooms.begin(), rooms.end(), [&](const Resources& room) { return fits(need, room); });
    };
    for (const auto& [number, occurrence] : job.occurrences) {
        const bool isOverdue = earliestTimeliness(job, number, occurrence,
                                   queue == state.queues.end() ? nullptr : &queue->second, wallNow)
            == Timeliness::Overdue;
        addWaitingTasks(fitsSomewhere, out, job, occurrence, isOverdue);
        if (isOverdue)
            out.overdueUsedCpu += usedCpu(job, occurrence);
    }
    for (const auto total : jobTotals)
        out.*total = std::min(out.*total, maxJobLoad);
    return out;
}

std::optional<WallTime> nextOverdue(const PoolState& state, const JobEntry& job, WallTime wallNow)
{
    std::optional<WallTime> next;
    const auto queue = state.queues.find(job.spec.queue);
    for (const auto& [number, occurrence] : job.occurrences) {
        const auto at = startOf(Timeliness::Overdue, job, number, occurrence,
            queue == state.queues.end() ? nullptr : &queue->second);
        if (at > wallNow && (!next || at < *next))
            next = at;
    }
    return next;
}

void updateJobLoad(PoolState& state, const std::string& id, JobEntry& job, WallTime wallNow)
{
    removeLoad(state, job);
    if (isFinal(job.state))
        return;
    auto& sums = state.loadSums;
    job.load = computeJobLoad(state, job, wallNow);
    addJobTotals(sums, job.load, 1);
    if (hasLongRunningStep(job.spec))
        sums.servingJobs.insert(id);
    job.overdueAt = nextOverdue(state, job, wallNow);
    if (job.overdueAt)
        sums.jobsByTime.emplace(*job.overdueAt, id);
}

/// Jobs whose part has to be computed anew.
std::vector<std::string> takeChangedJobs(PoolState& state, WallTime wallNow, bool areAllChanged)
{
    auto& sums = state.loadSums;
    // A wall clock may be set back.
    if (areAllChanged || wallNow < sums.updatedAt) {
        for (auto& [id, job] : state.jobs)
            addChanged(state.changedJobs, id, job.pendingReaders, ChangeReader::Load);
    }
    sums.updatedAt = wallNow;
    auto out = takeChanged(state.changedJobs, state.jobs, ChangeReader::Load);
    for (const auto& [at, id] : sums.jobsByTime) {
        if (at > wallNow)
            break;
        out.push_back(id);
    }
    return out;
}

int missingServingMachines(const PoolState& state)
{
    std::optional<ServingRooms> rooms;
    std::int64_t missing = 0;
    for (const auto& id : state.loadSums.servingJobs) {
        const auto job = state.jobs.find(id);
        if (job != state.jobs.end())
            addMissingMachines(state, job->second, rooms, missing);
    }
    return boundMachines(missing);
}

} // namespace

void removeLoad(PoolState& state, VmState& vm)
{
    if (!vm.load)
        return;
    auto& sums = state.loadSums;
    addVmTotals(sums, *vm.load, -1);
    const auto machine = vm.load->machine;
    vm.load.reset();
    const auto vms = sums.vmsByMachine.find(machine);
    vms->second.erase(vm.entry.id);
    if (vms->second.empty())
        sums.vmsByMachine.erase(vms);
    updateMachine(state, machine);
}

void removeLoad(PoolState& state, JobEntry& job)
{
    auto& sums = state.loadSums;
    addJobTotals(sums, job.load, -1);
    job.load = {};
    sums.servingJobs.erase(job.spec.id);
    if (job.overdueAt)
        sums.jobsByTime.erase({ *job.overdueAt, job.spec.id });
    job.overdueAt.reset();
}

void updateLoadSums(PoolState& state, WallTime wallNow)
{
    auto& sums = state.loadSums;
    const auto vms = takeChanged(state.changedVms, state.vms, ChangeReader::Load);
    for (const auto& id : vms) {
        if (const auto vm = state.vms.find(id); vm != state.vms.end())
            updateVm(state, id, vm->second);
    }
    const auto jobs = takeChangedJobs(state, wallNow, !vms.empty() && updateLargestRooms(sums));
    for (const auto& id : jobs) {
        if (const auto job = state.jobs.find(id); job != state.jobs.end())
            updateJobLoad(state, id, job->second, wallNow);
    }
    state.work.loadUpdates += vms.size() + jobs.size();
}

PoolLoad sumLoad(const PoolState& state, TimePoint now)
{
    const auto& sums = state.loadSums;
    auto load = sums.vms;
    load.arrivingCpu = arrivingCpu(state, now);
    load.waitingCpu = std::min(sums.jobs.waitingCpu, maxPoolLoad);
    load.waitingWork = std::min(sums.jobs.waitingWork, maxPoolLoad);
    load.overdueCpu = std::min(sums.jobs.overdueCpu, maxPoolLoad);
    load.overdueWork = std::min(sums.jobs.overdueWork, maxPoolLoad);
    load.overdueUsedCpu = sums.jobs.overdueUsedCpu;
    load.waitingServingCpu = std::min(sums.jobs.waitingServingCpu, maxPoolLoad);
    load.unfitCpu = std::min(sums.jobs.unfitCpu, maxPoolLoad);
    load.minMachines = sums.minMachines.empty() ? 0 : *sums.minMachines.rbegin();
    // Before that, long-running tasks may run on VMs that have not reported.
    if (isRecoveryComplete(state, now))
        load.missingServingMachines = missingServingMachines(state);
    if (state.areStartsLimited)
        limitToStartRate(load);
    return load;
}

} // namespace damask::fleet
