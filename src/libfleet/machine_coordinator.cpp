#include <damaskworks/log.h>
#include <damaskworks/machine_coordinator.h>

#include "fleet_rows_pvt.h"

#include <algorithm>

namespace damask::fleet {
namespace {

constexpr milliseconds reconcileInterval { 100 };
/// Interval between requests for the machine list while there are tasks or unfinished waves. VM registrations
/// usually arrive earlier than the list; only the list shows machines that are off.
constexpr milliseconds busyListInterval { 700 };
constexpr milliseconds idleListInterval { 5000 };
constexpr milliseconds commandRetryInterval { 400 };
/// How long after it was sent an unanswered command may still be carried out.
constexpr milliseconds maxCommandDelay { 12000 };
constexpr milliseconds demandLogInterval { 1000 };
constexpr milliseconds statusTimeout { 1000 };
/// Pause after a status that the table has rejected.
constexpr milliseconds rejectedStatusPause { 5000 };

} // namespace

MachineCoordinator::MachineCoordinator(
    CoordinatorContext context, AcquiredLease lease, LeaseTiming leaseTiming, std::function<void()> onEnd)
    : m_context(context)
    , m_acquiredVersion(lease.version)
    , m_onEnd(std::move(onEnd))
    , m_ledger(context.base, context.table, context.clock, context.metrics, std::string(coordinatorPool),
          lease, leaseTiming,
          { [this] { return collect(); }, [this](const LedgerBatch& batch) { onCommitted(batch); },
              [this](const LedgerBatch& batch) { onFailed(batch); }, [] {},
              [this] {
                  m_ended = true;
                  m_onEnd();
              },
              [this] {
                  m_ended = true;
                  m_onEnd();
              },
              [this](const LedgerBatch& batch) { onRejected(batch); } })
    , m_ledgerLimits(ledgerLimitsFor(context.maxRowBytes))
    , m_timer(context.base, [this] { reconcile(); })
{
}

MachineCoordinator::~MachineCoordinator() { *m_alive = false; }

void MachineCoordinator::begin(const FleetConfig& config, const std::map<std::int64_t, WaveRequest>& waves)
{
    m_begun = true;
    m_state.config = config;
    m_state.tasks = m_context.rows.tasks();
    for (const auto& [machine, task] : m_state.tasks) {
        m_committedTasks[machine] = encodeTask(task);
        if (task.state == MachineTaskState::Emptying)
            m_unansweredAt[machine] = m_context.clock.now(); // the earlier coordinator may have sent it
        else
            m_commandAcceptedAt[machine] = m_context.clock.now(); // at the latest
        // Until the first list that contains it.
        const bool isMove = task.action == MachineAction::Move;
        m_state.machines[machine]
            = { machine, "", isMove ? MachineState::Moving : MachineState::Maintenance, "" };
    }
    for (const auto& [number, wave] : waves)
        applyWave(wave);
    logEvent(LogLevel::Info, "coordinator_begun",
        { { "fence", std::to_string(m_ledger.fencingToken()) },
            { "tasks", std::to_string(m_state.tasks.size()) },
            { "waves", std::to_string(m_state.waves.size()) } });
    m_timer.startPeriodic(reconcileInterval);
}

void MachineCoordinator::applyConfig(const FleetConfig& config) { m_state.config = config; }

void MachineCoordinator::applyWave(const WaveRequest& wave)
{
    if (!m_begun)
        return;
    auto [it, added] = m_state.waves.try_emplace(wave.number);
    it->second.request = wave;
    if (!added)
        return;
    // Until the first list, every machine of the wave exists, so that the wave isn't complete.
    for (const auto& machine : wave.machines)
        m_state.machines.try_emplace(machine, Machine { machine, "", MachineState::Down, "" });
    const auto wallNow = std::chrono::duration_cast<WallTime>(m_context.clock.wallNow().time_since_epoch());
    const auto record = m_context.rows.waves().find(wave.number);
    if (record != m_context.rows.waves().end()) {
        it->second.done = record->second.done;
        m_waveStartTimes[wave.number] = record->second.begunAt;
        m_committedWaves.insert(wave.number);
    } else {
        m_waveStartTimes[wave.number] = wallNow;
        m_changedWaves.insert(wave.number);
        m_ledger.markDirty();
    }
    // After a takeover only the rest of the wave's duration is left.
    const auto elapsed = std::clamp(wallNow - m_waveStartTimes[wave.number], milliseconds(0), wave.duration);
    it->second.startedAt = m_context.clock.now() - elapsed;
    m_nextListAt = TimePoint {};
    logEvent(LogLevel::Info, "wave_begun",
        { { "wave", std::to_string(wave.number) }, { "machines", std::to_string(wave.machines.size()) },
            { "done", std::to_string(it->second.done.size()) }, { "max_down", std::to_string(wave.maxDown) },
            { "duration_ms", std::to_string(wave.duration.count()) } });
}

void MachineCoordinator::applyVm(const VmRegistration& vm)
{
    // Removals count before begin() as well, so registrations have to.
    m_unregisteredVms.erase(vm.id);
    if (!m_begun || vm.machine.empty())
        return;
    if (wasVmBeforeItsTask(m_state, vm)) {
        if (m_ignoredVms.insert(vm.id).second)
            logEvent(LogLevel::Info, "old_vm_of_machine_ignored",
                { { "vm", vm.id }, { "machine", vm.machine }, { "pool", vm.pool } });
        return;
    }
    if (!canBeVmOfItsMachine(m_state, vm)) {
        // Such an entry is written again and again, so only its first one is logged.
        if (m_ignoredVms.insert(vm.id).second)
            logEvent(LogLevel::Warning, "vm_of_machine_ignored",
                { { "vm", vm.id }, { "machine", vm.machine }, { "pool", vm.pool } });
        return;
    }
    auto& machine = m_state.machines[vm.machine];
    machine = { vm.machine, vm.pool, vm.draining ? MachineState::Down : MachineState::Up, vm.id };
}

void MachineCoordinator::removeVm(const VmRegistration& vm)
{
    m_unregisteredVms.insert(vm.id);
    m_ignoredVms.erase(vm.id);
    const auto found = m_state.machines.find(vm.machine);
    if (found != m_state.machines.end() && found->second.vm == vm.id
        && found->second.state == MachineState::Up)
        found->second.state = MachineState::Down;
}

void MachineCoordinator::updateLoads() { m_state.loads = m_context.rows.loads(); }

void MachineCoordinator::release()
{
    m_timer.stop();
    m_ledger.release();
}

bool MachineCoordinator::hasWork() const
{
    if (!m_state.tasks.empty())
        return true;
    return std::any_of(m_state.waves.begin(), m_state.waves.end(), [&](const auto& entry) {
        const auto reported = m_reported.find(entry.first);
        return reported == m_reported.end() || !reported->second;
    });
}

void MachineCoordinator::reconcile()
{
    if (!m_begun || m_ended || !m_ledger.isLeaseValid())
        return;
    const auto now = m_context.clock.now();
    updateLoads();
    requestMachineList(now);
    if (!m_hasMachineList)
        return;
    finishTasks();
    beginTasks(now);
    sendCommands(now);
    reportWaves();
}

void MachineCoordinator::requestMachineList(TimePoint now)
{
    if (m_isListing || now < m_nextListAt)
        return;
    m_isListing = true;
    m_listRequestedAt = now;
    m_context.machines.list(
        [this, alive = m_alive](tl::expected<std::vector<Machine>, CommandOutcome> machines) {
            if (!*alive || m_ended)
                return;
            m_isListing = false;
            m_nextListAt = m_context.clock.now() + (hasWork() ? busyListInterval : idleListInterval);
            if (!machines) {
                logEvent(LogLevel::Warning, "machine_list_failed",
                    { { "outcome", std::string(nameOf(commandOutcomeNames, machines.error())) } });
                return;
            }
            applyMachineList(std::move(*machines));
        });
}

void MachineCoordinator::applyMachineList(std::vector<Machine> machines)
{
    std::map<std::string, Machine> listed;
    for (auto& machine : machines) {
        const auto id = machine.id;
        // A list requested before a command was accepted may show the machine's earlier state.
        const auto accepted = m_commandAcceptedAt.find(id);
        const bool isStale = accepted != m_commandAcceptedAt.end() && accepted->second >= m_listRequestedAt;
        // The platform may still report a machine as up after its VM has crashed.
        if (machine.state == MachineState::Up && m_unregisteredVms.contains(machine.vm))
            machine.state = MachineState::Down;
        // A machine that is on two pages changed its pool in between; the later page is newer.
        listed.insert_or_assign(id, isStale ? m_state.machines[id] : std::move(machine));
    }
    const auto now = m_context.clock.now();
    updateMachines(m_state, std::move(listed), m_limits, now);
    std::erase_if(m_unansweredAt, [&](const auto& entry) {
        return now - entry.second >= maxCommandDelay || !m_state.machines.contains(entry.first);
    });
    m_hasMachineList = true;
    detectRepeatedCommands();
}

void MachineCoordinator::detectRepeatedCommands()
{
    for (auto& [id, task] : m_state.tasks) {
        const auto machine = m_state.machines.find(id);
        const auto accepted = m_commandAcceptedAt.find(id);
        const bool isListedAfterCommand
            = accepted != m_commandAcceptedAt.end() && accepted->second < m_listRequestedAt;
        if (task.state != MachineTaskState::Ordered || task.oldVm.empty() || !isListedAfterCommand
            || machine == m_state.machines.end() || machine->second.state != MachineState::Up
            || machine->second.vm != task.oldVm)
            continue;
        // The platform accepts a repeated command that it has already carried out, and does nothing.
        task.oldVm.clear();
        m_changedTasks.insert(id);
        m_ledger.markDirty();
    }
}

void MachineCoordinator::logDemands(TimePoint now)
{
    if (now - m_demandsLoggedAt < demandLogInterval)
        return;
    m_demandsLoggedAt = now;
    for (const auto& demand : computeDemands(m_state, m_limits, now)) {
        const auto tasks = [&](MachineAction action) {
            return std::to_string(
                std::count_if(m_state.tasks.begin(), m_state.tasks.end(), [&](const auto& entry) {
                    const auto machine = m_state.machines.find(entry.first);
                    return entry.second.action == action && machine != m_state.machines.end()
                        && machine->second.pool == demand.name;
                }));
        };
        logEvent(LogLevel::Info, "pool_demand",
            { { "pool", demand.name }, { "machines", std::to_string(demand.machineCount) },
                { "must_stay", std::to_string(demand.mustStayCount) },
                { "required", std::to_string(demand.requiredMachines) },
                { "for_overdue", std::to_string(demand.machinesForOverdueWork) },
                { "removable", std::to_string(demand.removable.size()) },
                { "in_maintenance", tasks(MachineAction::Maintain) },
                { "moving_away", tasks(MachineAction::Move) } });
    }
}

void MachineCoordinator::beginTasks(TimePoint now)
{
    logDemands(now);
    for (auto& task : planMaintenance(m_state, m_limits, now))
        beginTask(std::move(task));
    for (auto& task : planMoves(m_state, m_limits, now))
        beginTask(std::move(task));
    if (!m_changedTasks.empty())
        m_ledger.markDirty();
}

void MachineCoordinator::beginTask(MachineTask task)
{
    task.id = std::to_string(m_acquiredVersion) + "." + std::to_string(++m_taskCount);
    logEvent(LogLevel::Info, "machine_task",
        { { "machine", task.machine }, { "action", std::string(nameOf(machineActionNames, task.action)) },
            { "wave", std::to_string(task.wave) }, { "to_pool", task.toPool }, { "vm", task.oldVm },
            { "pool", m_state.machines[task.machine].pool } });
    m_changedTasks.insert(task.machine);
    const auto machine = task.machine;
    m_state.tasks.emplace(machine, std::move(task));
}

void MachineCoordinator::sendCommands(TimePoint now)
{
    for (const auto& [id, task] : m_state.tasks) {
        const auto committed = m_committedTasks.find(id);
        if (committed == m_committedTasks.end() || committed->second != encodeTask(task)
            || m_commandsInFlight.contains(id))
            continue;
        if (maySendCommand(m_state, task) && now >= m_nextCommandAt[id])
            sendCommand(task);
    }
}

void MachineCoordinator::sendCommand(const MachineTask& task)
{
    const auto machine = task.machine;
    m_commandsInFlight.insert(machine);
    auto done = [this, machine, alive = m_alive](CommandOutcome outcome) {
        if (*alive && !m_ended)
            onCommandOutcome(machine, outcome);
    };
    if (task.action == MachineAction::Maintain)
        m_context.machines.startMaintenance(machine, task.wave, m_ledger.fencingToken(), done);
    else
        m_context.machines.move(machine, task.toPool, m_ledger.fencingToken(), done);
}

void MachineCoordinator::onCommandOutcome(const std::string& machine, CommandOutcome outcome)
{
    m_commandsInFlight.erase(machine);
    m_nextCommandAt[machine] = m_context.clock.now() + commandRetryInterval;
    auto found = m_state.tasks.find(machine);
    logEvent(LogLevel::Info, "machine_order",
        { { "machine", machine }, { "outcome", std::string(nameOf(commandOutcomeNames, outcome)) },
            { "fence", std::to_string(m_ledger.fencingToken()) } });
    if (found == m_state.tasks.end())
        return;
    if (outcome == CommandOutcome::Superseded)
        m_ledger.raiseFencingToken();
    if (outcome == CommandOutcome::Unknown)
        m_unansweredAt[machine] = m_context.clock.now();
    else if (outcome == CommandOutcome::Accepted)
        m_unansweredAt.erase(machine);
    if (outcome == CommandOutcome::Invalid && found->second.action == MachineAction::Move) {
        // The platform rejects the move; the machine stays in its pool.
        m_state.refusedMoves.insert({ machine, found->second.toPool });
        m_state.tasks.erase(found);
        m_changedTasks.insert(machine);
        m_ledger.markDirty();
        return;
    }
    if (outcome != CommandOutcome::Accepted)
        return;
    m_commandAcceptedAt[machine] = m_context.clock.now();
    found->second.state = MachineTaskState::Ordered;
    auto& known = m_state.machines[machine];
    // Between an unanswered attempt and this one the machine may have restarted with another VM.
    if (!known.vm.empty())
        found->second.oldVm = known.vm;
    known.state
        = found->second.action == MachineAction::Move ? MachineState::Moving : MachineState::Maintenance;
    known.vm.clear();
    m_changedTasks.insert(machine);
    m_ledger.markDirty();
}

void MachineCoordinator::finishTasks()
{
    for (auto it = m_state.tasks.begin(); it != m_state.tasks.end();) {
        const auto& task = it->second;
        const auto committed = m_committedTasks.find(it->first);
        // The registration of a machine's VM also ends if the platform carries out an unanswered command.
        const bool mayBeCarriedOut
            = m_commandsInFlight.contains(it->first) || m_unansweredAt.contains(it->first);
        const bool isTaskAbandoned = isAbandoned(m_state, task) && !mayBeCarriedOut;
        if (committed == m_committedTasks.end() || committed->second != encodeTask(task)
            || !(hasMachineReturned(m_state, task) || isTaskAbandoned)) {
            ++it;
            continue;
        }
        logEvent(LogLevel::Info, isTaskAbandoned ? "machine_task_abandoned" : "machine_back",
            { { "machine", task.machine }, { "action", std::string(nameOf(machineActionNames, task.action)) },
                { "state", std::string(nameOf(machineTaskStateNames, task.state)) } });
        // Accepted maintenance counts as done even if the machine crashes afterwards.
        if (task.action == MachineAction::Maintain && task.state == MachineTaskState::Ordered) {
            m_state.waves[task.wave].done.insert(task.machine);
            m_changedWaves.insert(task.wave);
            m_committedWaves.erase(task.wave);
        }
        m_state.lastTaskEndedAt[task.machine] = m_context.clock.now();
        m_changedTasks.insert(task.machine);
        it = m_state.tasks.erase(it);
        m_ledger.markDirty();
    }
}

void MachineCoordinator::reportWaves()
{
    for (const auto& [number, wave] : m_state.waves) {
        const bool completed = m_committedWaves.contains(number) && isComplete(m_state, wave);
        const auto reported = m_reported.find(number);
        const auto rejected = m_statusRejectedAt.find(number);
        const bool isPaused = rejected != m_statusRejectedAt.end()
            && m_context.clock.now() - rejected->second < rejectedStatusPause;
        const bool needsReport = reported == m_reported.end() || (completed && !reported->second);
        if (needsReport && !isPaused && !m_statusWritesInFlight.contains(number))
            writeWaveStatus(number, completed);
    }
}

void MachineCoordinator::writeWaveStatus(std::int64_t wave, bool completed)
{
    m_statusWritesInFlight.insert(wave);
    const auto table = m_context.codec.statusTable();
    const auto key = m_context.codec.waveStatusKey(wave);
    TableTransaction transaction { "", {},
        { { table, key, m_context.codec.encodeWaveState(wave, completed) } } };
    // A delayed "running" status must not overwrite "completed".
    if (!completed)
        transaction.preconditions.push_back({ table, key, 0 });
    m_context.table.commit(
        transaction, statusTimeout, [this, wave, completed, alive = m_alive](TableResult<Version> result) {
            if (!*alive || m_ended)
                return;
            m_statusWritesInFlight.erase(wave);
            if (!result && result.error() == TableFailure::Invalid)
                m_statusRejectedAt[wave] = m_context.clock.now();
            if (!result && result.error() != TableFailure::Conflict)
                return; // the next reconcile() tries again
            m_reported[wave] = completed;
            logEvent(LogLevel::Info, "wave_reported",
                { { "wave", std::to_string(wave) }, { "completed", completed ? "yes" : "no" } });
        });
}

bool MachineCoordinator::collectRow(
    LedgerBatch& batch, const std::string& key, std::optional<std::string> text)
{
    if (text && text->size() > m_ledgerLimits.maxRowBytes) {
        rejectRows({ key }, "row too long");
        return false;
    }
    const auto part = rows::poolPart(coordinatorPool);
    if (addWriteIfRoom(batch, { std::string(controlTable), key, std::move(text) }, part, m_ledgerLimits))
        return true;
    batch.isComplete = false;
    return false;
}

std::function<bool(const std::string& key)> MachineCoordinator::selectRows(
    const std::set<std::string>& keys, LedgerBatch& batch) const
{
    const auto now = m_context.clock.now();
    const auto alone = nextAlone(m_rejectedRows, keys, now);
    batch.isComplete = batch.isComplete && !alone;
    return [this, alone, now](const std::string& key) {
        return alone ? key == *alone : !isSetAside(m_rejectedRows, key, now);
    };
}

void MachineCoordinator::collectWaves(LedgerBatch& batch)
{
    std::set<std::string> keys;
    for (const auto wave : m_changedWaves)
        keys.insert(rows::waveKey(wave));
    const auto isSelected = selectRows(keys, batch);
    std::erase_if(m_changedWaves, [&](std::int64_t wave) {
        const auto key = rows::waveKey(wave);
        return isSelected(key)
            && collectRow(batch, key, encodeWave({ m_waveStartTimes[wave], m_state.waves[wave].done }));
    });
}

void MachineCoordinator::collectTasks(LedgerBatch& batch)
{
    std::set<std::string> keys;
    for (const auto& machine : m_changedTasks)
        keys.insert(rows::machineKey(machine));
    const auto isSelected = selectRows(keys, batch);
    std::erase_if(m_changedTasks, [&](const std::string& machine) {
        const auto key = rows::machineKey(machine);
        const auto task = m_state.tasks.find(machine);
        std::optional<std::string> text;
        if (task != m_state.tasks.end())
            text = encodeTask(task->second);
        return isSelected(key) && collectRow(batch, key, std::move(text));
    });
}

LedgerBatch MachineCoordinator::collect()
{
    LedgerBatch batch;
    // The wave's row must record a machine as done no later than its task row is deleted.
    collectWaves(batch);
    if (batch.isComplete)
        collectTasks(batch);
    return batch;
}

void MachineCoordinator::onCommitted(const LedgerBatch& batch)
{
    for (const auto& write : batch.writes) {
        if (write.key.starts_with(machinePrefix)) {
            const auto machine = write.key.substr(machinePrefix.size());
            m_committedTasks.erase(machine);
            if (write.value)
                m_committedTasks.emplace(machine, *write.value);
        }
    }
    for (const auto& [number, wave] : m_state.waves) {
        if (!m_changedWaves.contains(number))
            m_committedWaves.insert(number);
    }
    std::set<std::string> keys;
    for (const auto& write : batch.writes)
        keys.insert(write.key);
    noteWritten(m_rejectedRows, keys);
    if (!m_changedTasks.empty() || !m_changedWaves.empty())
        m_ledger.markDirty();
    reconcile();
}

void MachineCoordinator::onFailed(const LedgerBatch& batch)
{
    for (const auto& write : batch.writes) {
        if (write.key.starts_with(machinePrefix))
            m_changedTasks.insert(write.key.substr(machinePrefix.size()));
        for (const auto& [number, wave] : m_state.waves) {
            if (write.key == rows::waveKey(number))
                m_changedWaves.insert(number);
        }
    }
}

void MachineCoordinator::onRejected(const LedgerBatch& batch)
{
    onFailed(batch);
    std::set<std::string> keys;
    for (const auto& write : batch.writes)
        keys.insert(write.key);
    rejectRows(keys, "rejected by the table");
}

void MachineCoordinator::rejectRows(const std::set<std::string>& keys, std::string_view reason)
{
    noteRejection(m_rejectedRows, keys, m_context.clock.now());
    logEvent(LogLevel::Error, "record_rejected",
        { { "pool", std::string(coordinatorPool) }, { "records", std::to_string(keys.size()) },
            { "first", *keys.begin() }, { "reason", std::string(reason) } });
}

} // namespace damask::fleet
