#include <damaskworks/fleet_plan.h>

#include <algorithm>
#include <cmath>

namespace damask::fleet {
namespace {

/// What a pool has and needs, in machines.
struct PoolNeed {
    std::string name;
    int has = 0; ///< machines that serve it or are on their way
    int needs = 0;
    std::vector<const Machine*> spare; ///< machines that may go, those with the least work first
};

bool isStandby(const FleetState& state, const std::string& pool)
{
    const auto found = state.config.pools.find(pool);
    return found != state.config.pools.end() && found->second.standby;
}

/// Processor time that the pool should have: what runs, with headroom, and the backlog. A backlog of
/// short tasks needs no more than works it off in time.
double wantedCpu(const PoolLoad& load, const FleetLimits& limits)
{
    const double active = static_cast<double>(load.usedCpu - load.servingCpu);
    const double toDrain
        = static_cast<double>(load.waitingWork) * 1000 / static_cast<double>(limits.drainTime.count());
    const double backlog = std::min(static_cast<double>(load.waitingCpu), toDrain);
    const double arriving = static_cast<double>(load.arrivingCpu);
    const double serving = static_cast<double>(load.servingCpu + load.waitingServingCpu);
    return serving + std::max(active, arriving) * limits.headroom + backlog;
}

bool mayLeave(const FleetState& state, const Machine& machine, const FleetLimits& limits, TimePoint now)
{
    if (machine.state != MachineState::Up || state.tasks.contains(machine.id))
        return false;
    const auto moved = state.movedAt.find(machine.id);
    return moved == state.movedAt.end() || now - moved->second >= limits.shortestStay;
}

/// Whether the pool has lost all its machines, and not just a holder that has not read them yet.
bool isDeserted(const PoolLoad& load, int up)
{
    return up == 0 && load.workingMachines == 0 && load.serving.empty();
}

/// Processors of a machine, on average over the pools that have some.
double averageMachine(const FleetState& state)
{
    double cpu = 0;
    int machines = 0;
    for (const auto& [pool, load] : state.loads) {
        cpu += static_cast<double>(load.capacityCpu);
        machines += load.workingMachines;
    }
    return machines == 0 ? 0 : cpu / machines;
}

PoolNeed needOf(const FleetState& state, const std::string& pool, const FleetLimits& limits, TimePoint now)
{
    PoolNeed need { .name = pool };
    const auto load = state.loads.find(pool);
    int up = 0;
    int staying = 0;
    for (const auto& [id, machine] : state.machines) {
        const auto task = state.tasks.find(id);
        const bool moves = task != state.tasks.end() && task->second.action == MachineAction::Move;
        // A machine that has crashed or been taken away may never come back.
        if (moves || machine.state != MachineState::Down)
            need.has += (moves ? task->second.toPool : machine.pool) == pool;
        if (machine.pool != pool || machine.state != MachineState::Up)
            continue;
        ++up;
        const bool stays = load == state.loads.end() || load->second.serving.contains(id);
        staying += stays;
        if (!stays && mayLeave(state, machine, limits, now))
            need.spare.push_back(&machine);
    }
    const bool known = load != state.loads.end();
    const bool deserted = known && isDeserted(load->second, up);
    if (!known || (!deserted && (up == 0 || load->second.workingMachines == 0))) {
        need.needs = need.has;
        return need;
    }
    const double perMachine = deserted
        ? averageMachine(state)
        : static_cast<double>(load->second.capacityCpu) / load->second.workingMachines;
    if (perMachine <= 0) {
        need.needs = need.has; // no pool tells how large a machine is
        return need;
    }
    const auto runsOn = [&](const Machine* machine) {
        const auto runs = load->second.runs.find(machine->id);
        return runs == load->second.runs.end() ? 0 : runs->second;
    };
    std::stable_sort(need.spare.begin(), need.spare.end(),
        [&](const Machine* a, const Machine* b) { return runsOn(a) < runsOn(b); });
    const int wanted = static_cast<int>(std::ceil(wantedCpu(load->second, limits) / perMachine));
    // A large task may fit on none of the machines although there is room enough in all.
    const int empty = static_cast<int>(std::ceil(static_cast<double>(load->second.unfitCpu) / perMachine));
    need.needs = std::max({ wanted, staying + empty, load->second.minMachines }) + limits.idleReserve;
    return need;
}

std::vector<const Machine*> standbyMachines(const FleetState& state, const FleetLimits& limits, TimePoint now)
{
    std::vector<const Machine*> out;
    for (const auto& [id, machine] : state.machines) {
        if (isStandby(state, machine.pool) && mayLeave(state, machine, limits, now))
            out.push_back(&machine);
    }
    return out;
}

std::vector<PoolNeed> needsOf(const FleetState& state, const FleetLimits& limits, TimePoint now)
{
    std::vector<PoolNeed> pools;
    for (const auto& [name, load] : state.loads) {
        if (state.config.pools.contains(name) && !isStandby(state, name))
            pools.push_back(needOf(state, name, limits, now));
    }
    return pools;
}

} // namespace

std::vector<MachineTask> planMoves(const FleetState& state, const FleetLimits& limits, TimePoint now)
{
    auto pools = needsOf(state, limits, now);
    auto available = standbyMachines(state, limits, now);
    for (auto& pool : pools) {
        const int surplus = pool.has - pool.needs;
        for (int i = 0; i < surplus && i < static_cast<int>(pool.spare.size()); ++i)
            available.push_back(pool.spare[static_cast<std::size_t>(i)]);
    }
    std::sort(pools.begin(), pools.end(),
        [](const PoolNeed& a, const PoolNeed& b) { return a.needs - a.has > b.needs - b.has; });
    std::vector<MachineTask> out;
    auto next = available.begin();
    for (const auto& pool : pools) {
        for (int missing = pool.needs - pool.has; missing > 0 && next != available.end(); ++next) {
            if (state.refusedMoves.contains({ (*next)->id, pool.name }))
                continue;
            out.push_back({ (*next)->id, MachineAction::Move, 0, pool.name, (*next)->vm });
            --missing;
        }
    }
    return out;
}

} // namespace damask::fleet
