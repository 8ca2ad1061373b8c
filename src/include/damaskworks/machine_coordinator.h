/// \file
/// Coordinates maintenance and moves of machines while this node holds the coordinator's lease.
#pragma once

#include <damaskworks/adapter.h>
#include <damaskworks/fleet_plan.h>
#include <damaskworks/job_directory.h>
#include <damaskworks/loop.h>
#include <damaskworks/pool_ledger.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace damask::fleet {

/// Durable record of a maintenance wave.
struct WaveRecord {
    WallTime begunAt { 0 }; ///< when a coordinator first saw the wave
    std::set<std::string> done; ///< machines whose maintenance was carried out
};

/// Pool loads, machine tasks and waves from the rows of the control table. Every node keeps them up to date.
class FleetRows {
public:
    /// Replaces everything but the loads by \p rows.
    void reset(const std::vector<TableRow>& rows);
    /// Replaces the loads by \p rows.
    void resetLoads(const std::vector<TableRow>& rows);
    /// Applies one changed row; ignores rows of other kinds.
    void apply(const TableRow& row);
    const std::map<std::string, PoolLoad>& loads() const { return m_loads; }
    const std::map<std::string, MachineTask>& tasks() const { return m_tasks; }
    const std::map<std::int64_t, WaveRecord>& waves() const { return m_waves; }
    /// Machines to evacuate, each with the id of its machine task.
    const std::map<std::string, std::string>& evacuations() const { return m_evacuations; }

private:
    std::map<std::string, PoolLoad> m_loads;
    std::map<std::string, MachineTask> m_tasks;
    std::map<std::int64_t, WaveRecord> m_waves;
    std::map<std::string, std::string> m_evacuations;
};

/// Dependencies of a MachineCoordinator.
struct CoordinatorContext {
    event_base* base = nullptr;
    const Clock& clock;
    Metrics& metrics;
    SharedTable& table;
    MachineControl& machines;
    const Codec& codec;
    const FleetRows& rows;
    std::size_t maxRowBytes = defaultMaxRowBytes; ///< largest value of a row of the table
};

/// Plans machine tasks (maintenance and moves), sends the commands to the platform and reports finished
/// waves. The coordinator records each task in the table before it sends the command.
class MachineCoordinator {
public:
    /// Calls \p onEnd once, when the lease is lost or released.
    MachineCoordinator(CoordinatorContext context, AcquiredLease lease, LeaseTiming leaseTiming,
        std::function<void()> onEnd);
    ~MachineCoordinator();

    /// Version of the lease row at acquisition.
    Version acquiredVersion() const { return m_acquiredVersion; }
    bool hasBegun() const { return m_begun; }
    /// Starts to send commands. Requires rows that cover acquiredVersion().
    void begin(const FleetConfig& config, const std::map<std::int64_t, WaveRequest>& waves);
    void applyConfig(const FleetConfig& config);
    void applyWave(const WaveRequest& wave);
    /// A VM has registered or changed its registration.
    void applyVm(const VmRegistration& vm);
    /// The registration of the VM has ended.
    void removeVm(const VmRegistration& vm);
    /// Plans from the current state, and sends the resulting commands and reports.
    void reconcile();
    /// See fleet::poolsToEvacuate().
    std::set<std::string> poolsToEvacuate() const { return fleet::poolsToEvacuate(m_state); }
    /// Stops sending commands and releases the lease.
    void release();

private:
    void updateLoads();
    void requestMachineList(TimePoint now);
    void applyMachineList(std::vector<Machine> machines);
    /// Finds tasks whose machine is up with its old VM after the command was accepted. An earlier coordinator
    /// had already had the command carried out.
    void detectRepeatedCommands();
    void beginTasks(TimePoint now);
    /// Logs now and then how many machines each pool has and needs.
    void logDemands(TimePoint now);
    void beginTask(MachineTask task);
    void sendCommands(TimePoint now);
    void sendCommand(const MachineTask& task);
    void onCommandOutcome(const std::string& machine, CommandOutcome outcome);
    void finishTasks();
    void reportWaves();
    void writeWaveStatus(std::int64_t wave, bool completed);
    bool hasWork() const;
    LedgerBatch collect();
    void collectWaves(LedgerBatch& batch);
    void collectTasks(LedgerBatch& batch);
    /// Returns which of the changed rows the transaction may have: one alone if the table has rejected it
    /// before, else all that are not set aside.
    std::function<bool(const std::string& key)> selectRows(
        const std::set<std::string>& keys, LedgerBatch& batch) const;
    /// Adds a row, or its deletion, if there is room for it; returns whether there is.
    bool collectRow(LedgerBatch& batch, const std::string& key, std::optional<std::string> text);
    void onCommitted(const LedgerBatch& batch);
    void onFailed(const LedgerBatch& batch);
    /// Sets the rows apart that the table rejects.
    void onRejected(const LedgerBatch& batch);
    void rejectRows(const std::set<std::string>& keys, std::string_view reason);

    CoordinatorContext m_context;
    Version m_acquiredVersion;
    std::uint64_t m_taskCount = 0; ///< tasks that this coordinator has started; part of their ids
    std::function<void()> m_onEnd;
    FleetState m_state;
    std::set<std::string> m_unregisteredVms; ///< VMs whose registration has ended
    std::set<std::string> m_ignoredVms; ///< registered, but not the VMs of the machines that they name
    FleetLimits m_limits;
    PoolLedger m_ledger;
    LedgerLimits m_ledgerLimits;
    RejectedRecords m_rejectedRows; ///< by key
    std::map<std::int64_t, TimePoint> m_statusRejectedAt; ///< by wave
    Timer m_timer;
    std::map<std::string, std::string> m_committedTasks; ///< by machine, committed text of its task row
    std::map<std::int64_t, WallTime> m_waveStartTimes;
    std::set<std::int64_t> m_changedWaves; ///< waves whose rows must be written
    std::set<std::int64_t> m_committedWaves; ///< waves whose rows are up to date
    std::set<std::string> m_changedTasks; ///< machines whose task rows must be written
    std::map<std::string, TimePoint> m_nextCommandAt; ///< by machine, earliest time of the next attempt
    std::set<std::string> m_commandsInFlight; ///< machines with a command that has no response yet
    std::map<std::int64_t, bool> m_reported; ///< by wave, whether it was reported as completed
    std::set<std::int64_t> m_statusWritesInFlight; ///< waves with a status write in flight
    std::map<std::string, TimePoint> m_commandAcceptedAt; ///< by machine, when its command was accepted
    /// By machine, when its command ended without a response; as long as it may still be carried out.
    std::map<std::string, TimePoint> m_unansweredAt;
    TimePoint m_nextListAt {};
    TimePoint m_demandsLoggedAt {};
    TimePoint m_listRequestedAt {}; ///< time of the last request for the machine list
    bool m_isListing = false;
    bool m_hasMachineList = false;
    bool m_begun = false;
    bool m_ended = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
