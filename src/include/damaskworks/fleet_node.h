/// \file
/// One node of a fleet: serves callers and runs the pools whose leases it holds.
#pragma once

#include <damaskworks/adapter.h>
#include <damaskworks/caller_service.h>
#include <damaskworks/job_directory.h>
#include <damaskworks/loop.h>
#include <damaskworks/machine_coordinator.h>
#include <damaskworks/metrics.h>
#include <damaskworks/node_polls.h>
#include <damaskworks/pool_election.h>
#include <damaskworks/pool_holder.h>
#include <damaskworks/table_contact.h>
#include <damaskworks/table_follower.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace damask::fleet {

/// Options of a node from flags and environment variables.
struct NodeOptions {
    std::string settingsPath; ///< path of the platform's settings file
    std::string adapter; ///< name of the adapter plug-in
    std::uint16_t metricsPort = 0; ///< 0: the node does not serve metrics
};

/// Why a node could not start.
struct NodeError {
    std::string detail;
};

/// Owns and connects the components of a node, which all run on one loop.
class FleetNode {
public:
    /// \p seed feeds the random generators, and identifies the process in lease rows.
    FleetNode(Loop& loop, const Clock& clock, const AdapterPlugin& plugin, NodeOptions options,
        NodeSettings settings, std::uint64_t seed);
    ~FleetNode();
    /// Opens the listening sockets and starts to follow the table. Fails if a socket can't listen.
    tl::expected<void, NodeError> start();
    /// Runs the loop until a graceful stop has ended.
    void run();

private:
    void startFollowers();
    /// Applies a row that operators write: the configuration or a maintenance wave.
    void applyOperatorRow(const TableRow& row);
    void applyConfig(const TableRow& row);
    void applyVmRow(const TableRow& row);
    void applyVmReset(const std::vector<TableRow>& rows);
    /// Tells the election which pools need a holder: those of queues, those with unfinished jobs, those that
    /// the rows of capTable name, and those with machines that this node's coordinator has to evacuate.
    void updatePools();
    void removeVm(const std::string& id);
    void applyWave(const TableRow& row);
    /// Called after each batch of control rows, which FleetRows and the election have already applied.
    void onControlRowsApplied();
    void onLeaseAcquired(const std::string& pool, const AcquiredLease& lease);
    /// Follows the VMs' registrations from the first lease of this process on. Nodes without a lease need
    /// none, and on a large fleet they change hundreds of times a second.
    void followVms();
    /// Whether the copies of the tables of jobs and VMs are recent enough for holders to start tasks.
    bool areViewsFresh();
    /// Follows the pools' loads, as long as this node coordinates the machines.
    void followLoads();
    /// Follows the shares of organisations' caps, if this node holds pools and there are caps.
    void followCaps();
    void applyCapRow(const TableRow& row);
    /// Calls begin() on the holders and the coordinator once the node has read the tables up to their
    /// acquiredVersion().
    void beginReadyHolders();
    void dropEndedHolders();
    /// Tells the poll budget what this node holds.
    void updateRole();
    /// Returns whether the node has what it needs to serve callers and to run pools.
    bool canServe() const;
    /// Returns whether the balancer should send callers to this node. This is stricter than canServe(): other
    /// nodes can serve the callers, but a pool must not lose its holder because the table responds slowly.
    bool isReady() const;
    /// Returns whether the table has responded within \p maxAge about both jobs and control rows.
    bool hasRecentContact(std::chrono::milliseconds maxAge) const;
    /// Periodic work: drops ended holders, updates metrics and logs changes of the readiness.
    void tick();
    void serveReadiness(const std::shared_ptr<HttpExchange>& exchange);
    void serveMetrics(const std::shared_ptr<HttpExchange>& exchange);
    void reload();
    void beginStop();
    void continueStop();

    Loop& m_loop;
    const Clock& m_clock;
    const AdapterPlugin& m_plugin;
    NodeOptions m_options;
    NodeSettings m_settings;
    std::uint64_t m_seed;
    std::string m_session;
    Metrics m_metrics;
    TableContact m_tableContact;
    Adapter m_adapter;
    LeaseTiming m_leaseTiming;
    JobDirectory m_directory;
    std::shared_ptr<const FleetConfig> m_config;
    Version m_configRowVersion = 0; ///< of the row that m_config is from
    /// Rows of the current batch of operators' changes, by key. Only the newest row of a key is decoded.
    std::map<std::string, TableRow> m_newOperatorRows;
    std::map<std::string, VmRegistration> m_vms;
    std::map<std::int64_t, WaveRequest> m_waves;
    std::set<std::string> m_pools; ///< pools that need a holder
    FleetRows m_fleetRows;
    std::unique_ptr<MachineCoordinator> m_coordinator;
    std::unique_ptr<TableFollower> m_loadRows; ///< only beside m_coordinator
    std::unique_ptr<TableFollower> m_capRows; ///< only beside m_holders, and once there are caps
    /// Pools that need a holder because of a row of capTable, by its key; as long as m_capRows is set.
    std::map<std::string, std::set<std::string>> m_poolsOfCapRows;
    bool m_coordinatorEnded = false;
    std::map<std::string, std::unique_ptr<PoolHolder>> m_holders;
    std::vector<std::string> m_endedHolders;
    std::unique_ptr<AdmissionControl> m_admission; ///< nullptr where admission is not limited
    CallerService m_callers;
    TableFollower m_operatorRows;
    TableFollower m_controlRows;
    TableFollower m_jobRows;
    TableFollower m_vmRows;
    PoolElection m_election;
    NodePolls m_polls;
    HttpServer m_callerServer;
    HttpServer m_readyServer;
    HttpServer m_metricsServer;
    Timer m_tickTimer;
    Timer m_stopTimer;
    SignalWatch m_onTerminate;
    SignalWatch m_onInterrupt;
    SignalWatch m_onHangup;
    bool m_followsVms = false;
    bool m_wasReady = false;
    bool m_wereViewsFresh = true; ///< result of the last call of areViewsFresh()
    TimePoint m_viewsChangedAt {};
    bool m_stopping = false;
    TimePoint m_stopStartedAt {};
};

} // namespace damask::fleet
