#include <damaskworks/fleet_plan.h>
#include <damaskworks/json_input.h>
#include <damaskworks/row_fields.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <tuple>

namespace damask::fleet {
namespace {

using nlohmann::json;

constexpr IntegerRange loadRange { 0, maxPoolLoad };
constexpr IntegerRange countRange { 0, 1'000'000 };

bool isStandby(const FleetState& state, const std::string& pool)
{
    const auto found = state.config.pools.find(pool);
    return found != state.config.pools.end() && found->second.standby;
}

int runCount(const FleetState& state, const Machine& machine)
{
    const auto load = state.loads.find(machine.pool);
    if (load == state.loads.end())
        return 0;
    const auto runs = load->second.runs.find(machine.id);
    return runs == load->second.runs.end() ? 0 : runs->second;
}

int countMaintenanceTasks(const FleetState& state, std::int64_t wave)
{
    return static_cast<int>(std::count_if(state.tasks.begin(), state.tasks.end(), [&](const auto& entry) {
        return entry.second.action == MachineAction::Maintain && entry.second.wave == wave;
    }));
}

/// Machines of a pool and of a wave. They are counted once for all machines of the wave: with hundreds of
/// them, counting for each would take most of the coordinator's processor time.
struct PoolMachines {
    int total = 0;
    int unavailable = 0; ///< not up, or with a task
    int pending = 0; ///< machines of the wave that may begin their maintenance
};

using PoolMachineCounts = std::map<std::string, PoolMachines>;

PoolMachineCounts countMachines(const FleetState& state)
{
    PoolMachineCounts counts;
    for (const auto& [id, machine] : state.machines) {
        auto& pool = counts[machine.pool];
        ++pool.total;
        pool.unavailable += machine.state != MachineState::Up || state.tasks.contains(id);
    }
    return counts;
}

int maxUnavailable(const PoolMachines& pool, const FleetLimits& limits)
{
    return std::max(1, static_cast<int>(std::floor(pool.total * limits.maxUnavailableShare)));
}

/// Most machines of the pool that may be unavailable at once. A pool with a backlog gives up none until the
/// wave is urgent.
int unavailableLimit(const FleetState& state, const std::string& name, const PoolMachines& pool,
    const FleetLimits& limits, bool isUrgent)
{
    if (isStandby(state, name))
        return pool.total;
    const auto load = state.loads.find(name);
    const bool hasBacklog
        = load != state.loads.end() && load->second.waitingCpu + load->second.overdueCpu > 0;
    return hasBacklog && !isUrgent ? 0 : maxUnavailable(pool, limits);
}

/// Machines of the wave that may begin their maintenance. \p started lists tasks that are not in the state
/// yet.
std::vector<const Machine*> pendingMachines(
    const FleetState& state, const WaveState& wave, const std::vector<MachineTask>& started)
{
    std::set<std::string_view> skipped; // an operator may list a machine twice
    for (const auto& task : started)
        skipped.insert(task.machine);
    // Standby machines first, then those with the fewest runs.
    std::vector<std::tuple<bool, int, const Machine*>> pending;
    for (const auto& id : wave.request.machines) {
        const auto machine = state.machines.find(id);
        if (machine == state.machines.end() || machine->second.state != MachineState::Up)
            continue;
        if (wave.done.contains(id) || state.tasks.contains(id) || !skipped.insert(id).second)
            continue;
        pending.emplace_back(
            !isStandby(state, machine->second.pool), runCount(state, machine->second), &machine->second);
    }
    std::stable_sort(pending.begin(), pending.end(), [](const auto& a, const auto& b) {
        return std::pair(std::get<0>(a), std::get<1>(a)) < std::pair(std::get<0>(b), std::get<1>(b));
    });
    std::vector<const Machine*> out;
    for (const auto& [isActive, runs, machine] : pending)
        out.push_back(machine);
    return out;
}

/// Whether the pool's machines in the wave need all the time that is left until the deadline.
bool isPoolUrgent(const WaveState& wave, const PoolMachines& pool, const FleetLimits& limits, TimePoint now)
{
    const int concurrency = maxUnavailable(pool, limits);
    const int rounds = (pool.pending + concurrency - 1) / concurrency;
    const auto deadline = wave.startedAt + wave.request.duration - limits.waveSafetyMargin;
    return now + limits.timePerMachine * rounds >= deadline;
}

/// Fewest machines under maintenance at once that finish the wave in time. Taking no more leaves the rest to
/// the pools.
int requiredConcurrency(
    const FleetState& state, const WaveState& wave, const FleetLimits& limits, TimePoint now)
{
    const auto remaining = std::count_if(wave.request.machines.begin(), wave.request.machines.end(),
        [&](const std::string& id) { return !wave.done.contains(id) && state.machines.contains(id); });
    const auto time = wave.startedAt + wave.request.duration - limits.waveSafetyMargin - now;
    if (time <= limits.timePerMachine)
        return static_cast<int>(remaining);
    const auto work = std::chrono::duration<double>(limits.timePerMachine) * static_cast<double>(remaining);
    return static_cast<int>(std::ceil(work / std::chrono::duration<double>(time)));
}

} // namespace

std::string encodeLoad(const PoolLoad& load)
{
    return json({ { "waitingCpu", load.waitingCpu }, { "waitingWork", load.waitingWork },
                    { "overdueCpu", load.overdueCpu }, { "overdueWork", load.overdueWork },
                    { "overdueUsedCpu", load.overdueUsedCpu }, { "arrivingCpu", load.arrivingCpu },
                    { "usedCpu", load.usedCpu }, { "servingCpu", load.servingCpu },
                    { "waitingServingCpu", load.waitingServingCpu },
                    { "missingServingMachines", load.missingServingMachines },
                    { "minMachines", load.minMachines }, { "unfitCpu", load.unfitCpu },
                    { "capacityCpu", load.capacityCpu }, { "workingMachines", load.workingMachines },
                    { "runs", load.runs }, { "serving", load.serving }, { "empty", load.empty } })
        .dump();
}

std::optional<PoolLoad> decodeLoad(std::string_view text)
{
    const auto value = parseJson(text);
    RowFields fields(value);
    const auto readCpu = [&fields](const char* name) { return fields.integer(name, loadRange); };
    PoolLoad load;
    load.waitingCpu = readCpu("waitingCpu");
    load.waitingWork = readCpu("waitingWork");
    // Rows of earlier builds lack these four.
    load.missingServingMachines = static_cast<int>(fields.integer("missingServingMachines", countRange, 0));
    load.overdueUsedCpu = fields.integer("overdueUsedCpu", loadRange, 0);
    load.overdueCpu = fields.integer("overdueCpu", loadRange, 0);
    load.overdueWork = fields.integer("overdueWork", loadRange, 0);
    load.usedCpu = readCpu("usedCpu");
    load.arrivingCpu = readCpu("arrivingCpu");
    load.servingCpu = readCpu("servingCpu");
    load.waitingServingCpu = readCpu("waitingServingCpu");
    load.workingMachines = static_cast<int>(fields.integer("workingMachines", countRange));
    load.unfitCpu = readCpu("unfitCpu");
    load.minMachines = static_cast<int>(fields.integer("minMachines", countRange));
    load.capacityCpu = readCpu("capacityCpu");
    for (const auto& [machine, runs] : fields.object("runs").items()) {
        const auto count = integerIn(runs, countRange);
        if (!count)
            return std::nullopt;
        load.runs.emplace(machine, static_cast<int>(*count));
    }
    for (const auto& machine : fields.array("serving")) {
        if (!machine.is_string())
            return std::nullopt;
        load.serving.insert(machine.get<std::string>());
    }
    for (const auto& [machine, task] : fields.object("empty").items()) {
        if (!task.is_string())
            return std::nullopt;
        load.empty.emplace(machine, task.get<std::string>());
    }
    return fields.isValid() ? std::optional(load) : std::nullopt;
}

std::string encodeTask(const MachineTask& task)
{
    return json({ { "machine", task.machine }, { "action", nameOf(machineActionNames, task.action) },
                    { "wave", task.wave }, { "toPool", task.toPool }, { "oldVm", task.oldVm },
                    { "state", nameOf(machineTaskStateNames, task.state) }, { "id", task.id } })
        .dump();
}

std::optional<MachineTask> decodeTask(std::string_view text)
{
    const auto value = parseJson(text);
    RowFields fields(value);
    const auto action = valueOf(machineActionNames, fields.text("action"));
    const auto state = valueOf(machineTaskStateNames, fields.text("state"));
    MachineTask task { .machine = fields.text("machine", ""),
        .wave = fields.integer("wave", anyInteger, 0),
        .toPool = fields.text("toPool", ""),
        .oldVm = fields.text("oldVm", ""),
        .id = fields.text("id", "") };
    if (!fields.isValid() || !action || !state)
        return std::nullopt;
    task.action = *action;
    task.state = *state;
    return task;
}

void updateMachines(
    FleetState& state, std::map<std::string, Machine> listed, const FleetLimits& limits, TimePoint now)
{
    std::map<std::string, TimePoint> omittedSince;
    for (auto& [id, machine] : state.machines) {
        if (listed.contains(id))
            continue;
        const auto earlier = state.omittedSince.find(id);
        const auto since = earlier == state.omittedSince.end() ? now : earlier->second;
        if (now - since < limits.removalDelay)
            omittedSince.emplace(id, since);
    }
    for (const auto& [id, since] : omittedSince)
        listed.emplace(id, std::move(state.machines[id]));
    state.machines = std::move(listed);
    state.omittedSince = std::move(omittedSince);
}

std::vector<MachineTask> planMaintenance(const FleetState& state, const FleetLimits& limits, TimePoint now)
{
    std::vector<MachineTask> started;
    auto counts = countMachines(state);
    for (const auto& [number, wave] : state.waves) {
        int slots = std::min(wave.request.maxDown, requiredConcurrency(state, wave, limits, now))
            - countMaintenanceTasks(state, number);
        if (slots <= 0)
            continue;
        const auto pending = pendingMachines(state, wave, started);
        for (auto& [name, pool] : counts)
            pool.pending = 0;
        for (const auto* machine : pending)
            ++counts[machine->pool].pending;
        for (const auto* machine : pending) {
            if (slots <= 0)
                break;
            auto& pool = counts[machine->pool];
            const bool isUrgent = isPoolUrgent(wave, pool, limits, now);
            if (pool.unavailable >= unavailableLimit(state, machine->pool, pool, limits, isUrgent))
                continue;
            started.push_back({ machine->id, MachineAction::Maintain, number, "", machine->vm });
            ++pool.unavailable;
            --slots;
        }
    }
    return started;
}

std::set<std::string> poolsToEvacuate(const FleetState& state)
{
    std::set<std::string> out;
    for (const auto& [id, task] : state.tasks) {
        const auto machine = state.machines.find(id);
        if (task.state != MachineTaskState::Emptying || machine == state.machines.end()
            || machine->second.pool.empty() || isStandby(state, machine->second.pool))
            continue;
        out.insert(machine->second.pool);
    }
    return out;
}

bool maySendCommand(const FleetState& state, const MachineTask& task)
{
    const auto machine = state.machines.find(task.machine);
    if (machine == state.machines.end() || task.state != MachineTaskState::Emptying)
        return false;
    if (isStandby(state, machine->second.pool))
        return true;
    const auto load = state.loads.find(machine->second.pool);
    if (load == state.loads.end())
        return false;
    const auto empty = load->second.empty.find(task.machine);
    return empty != load->second.empty.end() && empty->second == task.id;
}

bool wasVmBeforeItsTask(const FleetState& state, const VmRegistration& vm)
{
    const auto task = state.tasks.find(vm.machine);
    return task != state.tasks.end() && task->second.state == MachineTaskState::Ordered
        && task->second.oldVm == vm.id;
}

bool canBeVmOfItsMachine(const FleetState& state, const VmRegistration& vm)
{
    if (!state.config.pools.contains(vm.pool))
        return false;
    const auto task = state.tasks.find(vm.machine);
    if (task == state.tasks.end() || task->second.state != MachineTaskState::Ordered)
        return true;
    if (task->second.action == MachineAction::Move)
        return vm.pool == task->second.toPool;
    // After a takeover the machine's pool isn't known until the first list.
    const auto machine = state.machines.find(vm.machine);
    return machine == state.machines.end() || machine->second.pool.empty() || machine->second.pool == vm.pool;
}

bool hasMachineReturned(const FleetState& state, const MachineTask& task)
{
    if (task.state != MachineTaskState::Ordered)
        return false;
    const auto machine = state.machines.find(task.machine);
    if (machine == state.machines.end() || machine->second.state != MachineState::Up)
        return false;
    if (task.action == MachineAction::Move && machine->second.pool != task.toPool)
        return false;
    return isStandby(state, machine->second.pool)
        || (!machine->second.vm.empty() && machine->second.vm != task.oldVm);
}

bool isAbandoned(const FleetState& state, const MachineTask& task)
{
    const auto machine = state.machines.find(task.machine);
    if (machine == state.machines.end() || machine->second.state == MachineState::Down)
        return true;
    return task.state == MachineTaskState::Emptying && machine->second.state == MachineState::Up
        && machine->second.vm != task.oldVm;
}

bool isComplete(const FleetState& state, const WaveState& wave)
{
    return std::all_of(wave.request.machines.begin(), wave.request.machines.end(),
        [&](const std::string& id) { return wave.done.contains(id) || !state.machines.contains(id); });
}

} // namespace damask::fleet
