/// \file
/// Runs a pool while this node holds its lease.
#pragma once

#include <damaskworks/adapter.h>
#include <damaskworks/cap_ledger.h>
#include <damaskworks/command_window.h>
#include <damaskworks/fleet_plan.h>
#include <damaskworks/job_directory.h>
#include <damaskworks/job_progress.h>
#include <damaskworks/pass_times.h>
#include <damaskworks/pool_ledger.h>
#include <damaskworks/pool_plan.h>
#include <damaskworks/pool_state.h>
#include <damaskworks/spec_reader.h>
#include <damaskworks/start_gate.h>
#include <damaskworks/step_advisor.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace damask::fleet {

/// Dependencies of a PoolHolder.
struct HolderContext {
    event_base* base = nullptr;
    const Clock& clock;
    Metrics& metrics;
    SharedTable& table;
    EndpointControl& endpoints;
    MachineControl& machines;
    AdviceControl& advice;
    const JobDirectory& directory;
    /// Returns whether jobs and VMs are known well enough to start tasks.
    std::function<bool()> areViewsFresh;
    std::size_t maxRowBytes = defaultMaxRowBytes; ///< largest value of a row of the table
    double farSlowdown = 1; ///< see NodeSettings
    milliseconds configApplyTime { 0 }; ///< within which all holders have a new configuration
    /// Returns the pools whose lease was held or released within the time before now.
    std::function<std::set<std::string>(milliseconds)> poolsHeldWithin
        = [](milliseconds) { return std::set<std::string> {}; };
};

/// Sends commands to the VMs of one pool and records what they report.
class PoolHolder {
public:
    /// Calls \p onProgressLoaded once, when it has read the progress that earlier holders recorded, and
    /// \p onEnd when the lease is lost or released. \p maxVmLease limits the leases of the VMs' tasks.
    PoolHolder(HolderContext context, std::string pool, AcquiredLease lease, LeaseTiming leaseTiming,
        milliseconds maxVmLease, std::function<void()> onProgressLoaded, std::function<void()> onEnd);
    ~PoolHolder();

    const std::string& pool() const { return m_state.pool; }
    /// Version of the lease row at acquisition. The node must have read the table up to this version before
    /// it calls begin().
    Version acquiredVersion() const { return m_acquiredVersion; }
    bool hasBegun() const { return m_begun; }
    /// Returns whether the progress recorded by earlier holders is loaded.
    bool isProgressLoaded() const { return m_earlierProgress.has_value(); }
    /// Starts to send commands. Requires isProgressLoaded(), and a directory and VM registry that cover
    /// acquiredVersion().
    void begin(const FleetConfig& config, const std::map<std::string, VmRegistration>& vms);
    void applyConfig(const FleetConfig& config);
    void applyJob(const std::string& id, const JobRecord& record);
    /// Applies a row of capTable.
    void applyCapRow(const TableRow& row);
    /// The pools with a queue or unfinished jobs have changed.
    void onPoolsChanged();
    void listVm(const VmRegistration& vm);
    void unlistVm(const std::string& id);
    /// Sets the machines to evacuate, each with the id of the machine task that requires it.
    void setEvacuations(const std::map<std::string, std::string>& machines);
    /// Stops sending commands and releases the lease.
    void release();
    const PoolState& state() const { return m_state; }

private:
    /// Groups events that arrive close together into one call of reconcile().
    static constexpr milliseconds reconcileDelay { 2 };

    /// State of the heartbeats to one VM. A heartbeat renews the VM's lease, acknowledges ends of runs
    /// and waits for new ones (see HeartbeatCommand).
    struct HeartbeatState {
        bool isInFlight = false;
        TimePoint nextHeartbeatAt {};
        TimePoint ackPendingSince {}; ///< zero: no heartbeat waits for ends to become durable
        /// Highest EndReport::number that a heartbeat has acknowledged; 0 after one without a response.
        std::uint64_t lastAckSent = 0;
    };

    /// Pools with a queue or unfinished jobs.
    std::set<std::string> poolsInUse() const;
    /// Requests the list of machines at intervals until the recovery after a takeover is complete.
    void requestMachineList(TimePoint now);
    /// Logs which VMs the recovery after a takeover waits for.
    void logAwaitedVms();
    /// Logs once that the recovery after a takeover is complete.
    void logRecovery(TimePoint now);
    void applyEvacuation(VmState& vm);
    void removeVmOfMachine(const VmState& vm);
    /// Adds a job together with the progress that an earlier holder recorded.
    void addRecordedJob(JobSpec job, const JobRecord& record);
    /// Calls reconcile() after \p delay, or later after a long pass, unless an earlier call is scheduled.
    void scheduleReconcile(std::chrono::microseconds delay);
    /// Plans from the current state and sends the resulting commands.
    void reconcile();
    /// Schedules the pass after the one that began at \p now.
    void scheduleNextPass(TimePoint now);
    /// Notes which of the jobs that have changed are to be recorded or removed.
    void visitJobs();
    void sendStops(const std::vector<std::string>& vms, TimePoint now);
    void sendStarts(TimePoint now, PlanScope scope);
    void sendHeartbeats(const std::vector<std::string>& vms, TimePoint now);
    /// Raises the fencing token if one of the VMs requires it.
    void raiseTokenIfRequired(const std::vector<std::string>& vms, TimePoint now);
    /// Sets when the VM is visited again if nothing changes.
    void scheduleNextVisit(VmState& vm, const HeartbeatState& heartbeatState, TimePoint now);
    /// When a heartbeat to the VM is due, if nothing changes; max(): not known.
    TimePoint nextHeartbeat(const VmState& vm, const HeartbeatState& heartbeatState, TimePoint now) const;
    bool needsHeartbeat(const VmState& vm, HeartbeatState& heartbeatState, TimePoint now);
    void sendHeartbeat(const std::string& name, VmState& vm, HeartbeatState& heartbeatState, TimePoint now);
    void onReport(const VmTarget& target, tl::expected<VmReport, CommandOutcome> report, TimePoint sentAt);
    void onSpecRead(const std::string& job, std::string spec);
    void onStartResponse(
        const VmTarget& target, const StartAction& start, const CommandResponse& response, TimePoint sentAt);
    /// Updates PoolState::areStartsLimited. \p isLimited: the window left tasks waiting.
    void recordStartLimit(bool isLimited, TimePoint now);
    /// Starts that are planned and not yet answered.
    int outstandingStarts() const;
    void sendThrottleCommands(const std::string& name, TimePoint now);
    void handleCommandOutcome(const VmTarget& target, CommandOutcome outcome, TimePoint sentAt);
    static VmTarget makeTarget(const VmState& vm);
    LedgerBatch collectBatch();
    void onCommitted(const LedgerBatch& batch);
    /// Logs and counts the end of a job, and whether it met its objective.
    void recordJobEnd(const JobEntry& job);
    void onFailed(const LedgerBatch& batch);
    /// Sets the records apart that the table rejects.
    void onRejected(const LedgerBatch& batch);
    /// Keeps back the records \p ids, which were rejected or can't be written.
    void rejectRecords(const std::set<std::string>& ids, std::string_view reason);
    /// Lets the rejected records whose pause is over be written again.
    void resumeRejectedRecords(TimePoint now);
    /// Adds the pool's load, if there is a new one.
    void collectLoad(LedgerBatch& batch, TimePoint now);
    /// Restores what \p batch was to record.
    std::set<std::string> restoreRecords(const LedgerBatch& batch);
    /// Removes jobs whose end is durable and which have no runs left.
    void removeEndedJobs();
    void markDirtyIfNeeded();
    /// The lease was renewed, perhaps with a raised fencing token.
    void onRenewed();
    void publishLoad(TimePoint now);
    /// Logs which ends of runs the batch has made durable.
    void logRecordedEnds(const LedgerBatch& batch) const;
    void logLoad(TimePoint now);
    /// Logs now and then why long-running tasks wait.
    void logWaitingTasks(TimePoint now);
    void logWaitingSuspects(TimePoint now);
    void logRunEvents();

    HolderContext m_context;
    PoolState m_state;
    Version m_acquiredVersion;
    milliseconds m_maxVmLease;
    std::function<void()> m_onEnd;
    PoolLedger m_ledger;
    CapLedger m_caps;
    StepAdvisor m_advisor;
    SpecReader m_specReader;
    ProgressReader m_progressReader;
    std::optional<ProgressReader::Rows> m_earlierProgress; ///< recorded by earlier holders; not set: loading
    Timer m_reconcileTimer;
    TimePoint m_reconcileAt {};
    bool m_isReconcileScheduled = false;
    std::map<std::string, HeartbeatState> m_heartbeatStates;
    WaitingStarts m_waitingStarts;
    CommandWindow m_commandWindow;
    TimePoint m_startsUnlimitedAt {}; ///< when the window last left no task waiting
    int m_startsInFlight = 0;
    int m_stopsInFlight = 0;
    std::uint64_t m_batchCount = 0; ///< transactions of progress so far
    std::set<std::string> m_jobsInTransaction; ///< jobs that the transaction in flight writes
    LedgerLimits m_ledgerLimits;
    std::set<std::string> m_dirtyJobs; ///< jobs with JobEntry::dirty whose records are not set aside
    RejectedRecords m_rejectedRecords; ///< by job, and the load under loadKey
    std::set<std::string> m_endedJobs; ///< jobs in a final state that removeEndedJobs() has not removed
    UnacknowledgedEnds m_unacknowledgedEnds;
    std::set<std::string> m_removedJobs; ///< removed jobs whose end the directory does not show yet
    std::map<std::string, std::string> m_evacuations; ///< task id by machine
    /// Ids of the pool's VMs, and perhaps of removed ones, by machine.
    std::map<std::string, std::set<std::string>> m_vmsByMachine;
    PoolLoad m_publishedLoad; ///< as last written
    std::optional<PoolLoad> m_pendingLoad; ///< not yet written
    TimePoint m_loadPublishedAt {};
    TimePoint m_fullPlanAt {}; ///< when the last pass planned with PlanScope::Everything
    std::vector<std::string> m_evacuationVisits; ///< VMs that were visited since then
    TimePoint m_loadComputedAt {};
    TimePoint m_loadLoggedAt {};
    TimePoint m_waitingLoggedAt {};
    PassTimes m_lastPass;
    // Since the last log of the load.
    std::uint64_t m_loggedBatchCount = 0; ///< m_batchCount at that time
    int m_incompleteBatches = 0; ///< transactions that could not hold all changed jobs
    int m_passes = 0; ///< calls of reconcile()
    /// Longest time by which a call of reconcile() was late. The same work delays responses, which the
    /// response times of commands then include.
    Duration m_longestPassDelay {};
    Duration m_timeInPasses {};
    Duration m_longestPass {};
    Duration m_timePlanningStarts {}; ///< part of m_timeInPasses
    Duration m_timeSummingLoad {}; ///< part of m_timeInPasses
    TimePoint m_nextListAt {}; ///< earliest time of the next list of machines
    TimePoint m_tokenRaisedAt {};
    TimePoint m_begunAt {};
    bool m_isRecovering = false; ///< after a takeover, until isRecoveryComplete()
    bool m_isListing = false; ///< a list of machines is requested
    bool m_begun = false;
    bool m_ended = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
