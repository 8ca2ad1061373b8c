#include <damaskworks/fleet_plan.h>

#include <algorithm>
#include <cmath>

namespace damask::fleet {
namespace {

/// Bound of a pool's demand, so that sums of demands fit into an int.
constexpr double maxMachines = 1e6;

bool isStandby(const FleetState& state, const std::string& pool)
{
    const auto found = state.config.pools.find(pool);
    return found != state.config.pools.end() && found->second.standby;
}

/// CPU that finishes a backlog within backlogDrainTime, so that many short tasks don't claim a machine each.
double backlogCpu(std::int64_t cpu, std::int64_t work, const FleetLimits& limits)
{
    const double drainCpu
        = static_cast<double>(work) * 1000 / static_cast<double>(limits.backlogDrainTime.count());
    return std::min(static_cast<double>(cpu), drainCpu);
}

/// CPU that the pool should have: for long-running tasks, for running or arriving work with headroom, and for
/// the backlog.
double targetCpu(const PoolLoad& load, const FleetLimits& limits)
{
    const double batchCpu = static_cast<double>(load.usedCpu - load.servingCpu - load.overdueUsedCpu);
    const double backlog = backlogCpu(load.waitingCpu, load.waitingWork, limits);
    const double arriving = static_cast<double>(load.arrivingCpu);
    const double serving = static_cast<double>(load.servingCpu + load.waitingServingCpu);
    return serving + std::max(batchCpu, arriving) * limits.headroomFactor + backlog;
}

bool isMovable(const FleetState& state, const Machine& machine, const FleetLimits& limits, TimePoint now)
{
    if (machine.state != MachineState::Up || state.tasks.contains(machine.id))
        return false;
    const auto lastTaskEnd = state.lastTaskEndedAt.find(machine.id);
    return lastTaskEnd == state.lastTaskEndedAt.end() || now - lastTaskEnd->second >= limits.minStayTime;
}

/// Whether the pool has lost all its machines, as opposed to a new holder to which they have not reported
/// yet.
bool hasLostAllMachines(const PoolLoad& load, int upMachines)
{
    return upMachines == 0 && load.workingMachines == 0 && load.serving.empty();
}

/// Average CPU of a machine over all pools; 0 if no pool has a working machine.
double averageCpuPerMachine(const FleetState& state)
{
    double cpu = 0;
    int machines = 0;
    for (const auto& [pool, load] : state.loads) {
        cpu += static_cast<double>(load.capacityCpu);
        machines += load.workingMachines;
    }
    return machines == 0 ? 0 : cpu / machines;
}

/// Number of machines of the given size that have at least \p cpu together.
int machinesFor(double cpu, double cpuPerMachine)
{
    return static_cast<int>(std::ceil(std::min(cpu / cpuPerMachine, maxMachines)));
}

PoolDemand computeDemand(
    const FleetState& state, const std::string& pool, const FleetLimits& limits, TimePoint now)
{
    PoolDemand demand { .name = pool };
    const auto load = state.loads.find(pool);
    int upMachines = 0;
    int leavingCount = 0; ///< machines in maintenance, or evacuated for it and without long-running tasks
    for (const auto& [id, machine] : state.machines) {
        const auto task = state.tasks.find(id);
        const bool isMoving = task != state.tasks.end() && task->second.action == MachineAction::Move;
        // A machine that has crashed or been removed may never return.
        if (isMoving || machine.state != MachineState::Down)
            demand.machineCount += (isMoving ? task->second.toPool : machine.pool) == pool;
        if (machine.pool == pool && !isMoving && machine.state == MachineState::Maintenance)
            ++leavingCount;
        if (machine.pool != pool || machine.state != MachineState::Up)
            continue;
        ++upMachines;
        const bool mustStay = load == state.loads.end() || load->second.serving.contains(id);
        demand.mustStayCount += mustStay;
        const bool isLeaving = task != state.tasks.end() && task->second.action == MachineAction::Maintain;
        leavingCount += !mustStay && isLeaving;
        if (!mustStay && isMovable(state, machine, limits, now))
            demand.removable.push_back(&machine);
    }
    const bool isLoadKnown = load != state.loads.end();
    const bool lostAllMachines = isLoadKnown && hasLostAllMachines(load->second, upMachines);
    if (!isLoadKnown || (!lostAllMachines && (upMachines == 0 || load->second.workingMachines == 0))) {
        demand.servingMachines = demand.minMachines = demand.requiredMachines = demand.machineCount;
        return demand;
    }
    const double cpuPerMachine = lostAllMachines
        ? averageCpuPerMachine(state)
        : static_cast<double>(load->second.capacityCpu) / load->second.workingMachines;
    if (cpuPerMachine <= 0) {
        // The size of a machine is unknown.
        demand.servingMachines = demand.minMachines = demand.requiredMachines = demand.machineCount;
        return demand;
    }
    const auto runCount = [&](const Machine* machine) {
        const auto runs = load->second.runs.find(machine->id);
        return runs == load->second.runs.end() ? 0 : runs->second;
    };
    std::stable_sort(demand.removable.begin(), demand.removable.end(),
        [&](const Machine* a, const Machine* b) { return runCount(a) < runCount(b); });
    const int machinesForCpu = machinesFor(targetCpu(load->second, limits), cpuPerMachine);
    // A large task may fit on no single machine although the total free CPU is enough.
    const int emptyMachines = machinesFor(static_cast<double>(load->second.unfitCpu), cpuPerMachine);
    demand.servingMachines = demand.mustStayCount + load->second.missingServingMachines
        + (load->second.missingServingMachines > 0 ? leavingCount : 0);
    demand.minMachines
        = std::max({ demand.servingMachines, load->second.minMachines, limits.minIdleMachines });
    demand.requiredMachines = std::max({ machinesForCpu, demand.mustStayCount + emptyMachines,
                                  load->second.minMachines, demand.servingMachines })
        + limits.minIdleMachines;
    const double overdueCpu = static_cast<double>(load->second.overdueUsedCpu)
        + backlogCpu(load->second.overdueCpu, load->second.overdueWork, limits);
    demand.machinesForOverdueWork = machinesFor(overdueCpu, cpuPerMachine);
    return demand;
}

std::vector<const Machine*> movableStandbyMachines(
    const FleetState& state, const FleetLimits& limits, TimePoint now)
{
    std::vector<const Machine*> out;
    for (const auto& [id, machine] : state.machines) {
        if (isStandby(state, machine.pool) && isMovable(state, machine, limits, now))
            out.push_back(&machine);
    }
    return out;
}

/// A number of machines of PoolDemand.
using MachineNumber = int PoolDemand::*;

/// Moves \p standby machines first, then those beyond \p kept of each pool, to the pools that have fewer than
/// \p wanted. Applies the moves to \p pools, and removes the machines that it moves from both lists.
void fillPools(const FleetState& state, MachineNumber wanted, MachineNumber kept,
    std::vector<PoolDemand>& pools, std::vector<const Machine*>& standby, std::vector<MachineTask>& out)
{
    const auto lacking = [wanted](const PoolDemand& pool) { return pool.*wanted - pool.machineCount; };
    if (std::none_of(pools.begin(), pools.end(), [&](const PoolDemand& pool) { return lacking(pool) > 0; }))
        return;
    auto available = standby;
    std::map<const Machine*, PoolDemand*> owners;
    for (auto& pool : pools) {
        const int surplus = pool.machineCount - pool.*kept;
        for (int i = 0; i < surplus && i < static_cast<int>(pool.removable.size()); ++i) {
            const auto* machine = pool.removable[static_cast<std::size_t>(i)];
            available.push_back(machine);
            owners.emplace(machine, &pool);
        }
    }
    std::vector<PoolDemand*> neediest;
    for (auto& pool : pools)
        neediest.push_back(&pool);
    std::sort(neediest.begin(), neediest.end(),
        [&](const PoolDemand* a, const PoolDemand* b) { return lacking(*a) > lacking(*b); });
    auto next = available.begin();
    for (auto* pool : neediest) {
        for (; lacking(*pool) > 0 && next != available.end(); ++next) {
            const auto* machine = *next;
            if (state.refusedMoves.contains({ machine->id, pool->name }))
                continue;
            out.push_back({ machine->id, MachineAction::Move, 0, pool->name, machine->vm });
            ++pool->machineCount;
            std::erase(standby, machine);
            const auto owner = owners.find(machine);
            if (owner == owners.end())
                continue;
            --owner->second->machineCount;
            std::erase(owner->second->removable, machine);
        }
    }
}

} // namespace

std::vector<PoolDemand> computeDemands(const FleetState& state, const FleetLimits& limits, TimePoint now)
{
    std::vector<PoolDemand> pools;
    for (const auto& [name, load] : state.loads) {
        if (state.config.pools.contains(name) && !isStandby(state, name))
            pools.push_back(computeDemand(state, name, limits, now));
    }
    return pools;
}

std::vector<MachineTask> planMoves(const FleetState& state, const FleetLimits& limits, TimePoint now)
{
    auto pools = computeDemands(state, limits, now);
    auto standby = movableStandbyMachines(state, limits, now);
    std::vector<MachineTask> out;
    // Long-running tasks first: their users notice any time without them.
    fillPools(state, &PoolDemand::servingMachines, &PoolDemand::requiredMachines, pools, standby, out);
    // The pools with the most machines beyond their minimum give first.
    std::stable_sort(pools.begin(), pools.end(), [](const PoolDemand& a, const PoolDemand& b) {
        return a.machineCount - a.minMachines > b.machineCount - b.minMachines;
    });
    fillPools(state, &PoolDemand::servingMachines, &PoolDemand::minMachines, pools, standby, out);
    std::sort(
        pools.begin(), pools.end(), [](const PoolDemand& a, const PoolDemand& b) { return a.name < b.name; });
    fillPools(state, &PoolDemand::requiredMachines, &PoolDemand::requiredMachines, pools, standby, out);
    for (auto& pool : pools)
        pool.requiredMachines += pool.machinesForOverdueWork;
    fillPools(state, &PoolDemand::requiredMachines, &PoolDemand::requiredMachines, pools, standby, out);
    return out;
}

} // namespace damask::fleet
