#include <damaskworks/fleet_plan.h>
#include <damaskworks/json_input.h>
#include <damaskworks/row_fields.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

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

/// Machines of the pool that are not up or have a task.
int countUnavailable(const FleetState& state, const std::string& pool)
{
    return static_cast<int>(
        std::count_if(state.machines.begin(), state.machines.end(), [&](const auto& entry) {
            return entry.second.pool == pool
                && (entry.second.state != MachineState::Up || state.tasks.contains(entry.first));
        }));
}

int poolSize(const FleetState& state, const std::string& pool)
{
    return static_cast<int>(std::count_if(state.machines.begin(), state.machines.end(),
        [&](const auto& entry) { return entry.second.pool == pool; }));
}

/// Most machines of the pool that may be unavailable at once. A pool with a backlog gives up none until the
/// wave is urgent.
int unavailableLimit(
    const FleetState& state, const std::string& pool, const FleetLimits& limits, bool isUrgent)
{
    if (isStandby(state, pool))
        return poolSize(state, pool);
    const auto load = state.loads.find(pool);
    const bool hasBacklog
        = load != state.loads.end() && load->second.waitingCpu + load->second.overdueCpu > 0;
    if (hasBacklog && !isUrgent)
        return 0;
    return std::max(1, static_cast<int>(std::floor(poolSize(state, pool) * limits.maxUnavailableShare)));
}

std::vector<const Machine*> pendingMachines(const FleetState& state, const WaveState& wave)
{
    std::vector<const Machine*> pending;
    for (const auto& id : wave.request.machines) {
        const auto machine = state.machines.find(id);
        if (machine == state.machines.end() || wave.done.contains(id) || state.tasks.contains(id))
            continue;
        if (machine->second.state == MachineState::Up)
            pending.push_back(&machine->second);
    }
    // Standby machines first, then those with the fewest runs.
    std::stable_sort(pending.begin(), pending.end(), [&](const Machine* a, const Machine* b) {
        return std::pair(!isStandby(state, a->pool), runCount(state, *a))
            < std::pair(!isStandby(state, b->pool), runCount(state, *b));
    });
    return pending;
}

/// Whether the pool's machines in the wave need all the time that is left until the deadline.
bool isPoolUrgent(const FleetState& state, const WaveState& wave, const std::string& pool,
    const std::vector<const Machine*>& pending, const FleetLimits& limits, TimePoint now)
{
    const auto remaining
        = std::count_if(pending.begin(), pending.end(), [&](const Machine* m) { return m->pool == pool; });
    const auto concurrency
        = std::max(1, static_cast<int>(std::floor(poolSize(state, pool) * limits.maxUnavailableShare)));
    const auto rounds = (remaining + concurrency - 1) / concurrency;
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
                    { "waitingServingCpu", load.waitingServingCpu }, { "minMachines", load.minMachines },
                    { "unfitCpu", load.unfitCpu }, { "capacityCpu", load.capacityCpu },
                    { "workingMachines", load.workingMachines }, { "runs", load.runs },
                    { "serving", load.serving }, { "empty", load.empty } })
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
    // Rows of earlier builds lack these three.
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

std::vector<MachineTask> planMaintenance(const FleetState& state, const FleetLimits& limits, TimePoint now)
{
    std::vector<MachineTask> started;
    FleetState planned = state;
    for (const auto& [number, wave] : state.waves) {
        const auto pending = pendingMachines(planned, wave);
        int slots = std::min(wave.request.maxDown, requiredConcurrency(planned, wave, limits, now))
            - countMaintenanceTasks(planned, number);
        for (const auto* machine : pending) {
            if (slots <= 0)
                break;
            const bool isUrgent = isPoolUrgent(planned, wave, machine->pool, pending, limits, now);
            if (countUnavailable(planned, machine->pool)
                >= unavailableLimit(planned, machine->pool, limits, isUrgent))
                continue;
            MachineTask task { machine->id, MachineAction::Maintain, number, "", machine->vm };
            planned.tasks.emplace(machine->id, task);
            started.push_back(std::move(task));
            --slots;
        }
    }
    return started;
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
