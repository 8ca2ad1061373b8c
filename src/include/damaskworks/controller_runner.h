/// \file
/// Runs the registered controllers on one daemon: acquires leases for their keys, calls their plan
/// functions while it holds the leases, and executes the planned actions. Every transaction carries the
/// lease's fencing condition.
#pragma once

#include <damaskworks/controller.h>
#include <damaskworks/lease.h>
#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/store.h>

#include <any>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace damask::controller {

/// Periods and time limits of one runner.
struct RunnerSettings {
    lease::Settings lease;
    std::chrono::milliseconds planPeriod { 250 };
    std::chrono::milliseconds leasePollPeriod { 500 };
    std::chrono::milliseconds reportPeriod { 1000 };
    std::chrono::milliseconds maxReportAge { 5000 }; ///< the runner drops older reports
};

/// Dependencies of a runner.
struct RunnerContext {
    event_base* base = nullptr;
    Store& store;
    Mirror& resources;
    const Catalogue& catalogue;
    const Clock& clock;
    Metrics& metrics;
    std::string node;
    std::uint64_t seed = 0;
};

/// Runs the controllers of one daemon.
class Runner {
public:
    Runner(const RunnerContext& context, const RunnerSettings& settings);

    /// Starts polling the lease rows and the reports.
    void start();
    /// Sets the entry VMs that are reachable and not leaving, this one included.
    void setMembers(std::vector<std::string> members) { m_members = std::move(members); }
    /// Sets the VMs from the platform's list.
    void setListedVms(const std::vector<ListedVm>& vms);
    /// Sets the demand by pool, summed over all reachable entry VMs.
    void setDemand(std::map<std::string, PoolDemand> demand) { m_demand = std::move(demand); }
    /// Plans shortly rather than at the next period, for example after rows have changed.
    void planSoon();
    /// Releases the leases and acquires no more.
    void stop();
    /// Whether stop() was called and no lease is held and no lease transaction is pending.
    bool isStopped() const;
    /// Number of leases held.
    std::size_t heldLeaseCount() const;

private:
    /// State of one controller key while this daemon holds its lease.
    struct KeyState {
        std::any plannerState;
        std::uint64_t epoch = 0; ///< of the lease that plannerState belongs to
        int pendingActions = 0; ///< sent actions without a reply
        TableVersion committedVersion = 0; ///< newest commit; plans wait until the mirror has read it
    };

    void planAll();
    void updateLeases();
    void commitAttempt(const lease::Attempt& attempt);
    void refreshReports();
    std::vector<std::string> leaseKeys() const;
    void plan(const std::string& leaseKey);
    bool mayAct(std::string_view leaseKey) const;
    void execute(const std::string& leaseKey, Commit action);
    void execute(const std::string& leaseKey, const CommandVm& action);
    void execute(const std::string& leaseKey, const CommandTask& action);
    PlatformCallback<bool> commandCallback(const std::string& leaseKey);

    RunnerContext m_context;
    RunnerSettings m_settings;
    Mirror m_leaseRows;
    lease::State m_leases;
    std::vector<std::string> m_members;
    std::map<std::string, ListedVm> m_listedVms;
    std::map<std::string, PoolDemand> m_demand;
    std::map<std::string, VmReport> m_vmReports;
    std::map<std::string, TaskReport> m_taskReports;
    std::map<std::string, KeyState> m_keyStates;
    Timer m_planTimer;
    Timer m_planSoonTimer;
    Timer m_reportTimer;
    TimePoint m_vmReportsRequestedAt {}; ///< of the request that m_vmReports responds to
    TimePoint m_taskReportsRequestedAt {}; ///< of the request that m_taskReports responds to
    bool m_isVmReportPending = false;
    bool m_isTaskReportPending = false;
    bool m_isStopping = false;
};

} // namespace damask::controller
