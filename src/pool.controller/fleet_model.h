/// \file
/// Model of a small fleet for tests: entry VMs that run the real lease kernel and pool controller, an
/// in-memory table, simulated VMs, lagging reports, and a virtual clock.
///
/// A checker records violations of three promises. It reads only the table and the true state of the VMs.
///   P1: the VMs of a pool that are out of service stay within the pool's availability budget.
///   P2: a VM serves one pool at a time and changes pools only when it is drained.
///   P7: a planned reboot interrupts no request.
#pragma once

#include "../../testsuite/standins/table_model.h"

#include <damaskworks/controller.h>
#include <damaskworks/lease.h>

#include <any>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace damask::fleet_model {

using namespace std::chrono_literals;

/// Durations and fault rates of the model.
struct Times {
    Duration tick = 250ms;
    Duration reboot = 3s;
    Duration maxLatency = 400ms; ///< one way
    Duration maxReportLag = 500ms;
    Duration maxRouteAge = 4500ms; ///< of the slowest entry VM
    double lostReplyRatio = 0; ///< share of commits whose reply is lost
    double failedReadRatio = 0; ///< share of table reads that fail
};

/// True state of a VM; the reports on it lag.
struct SimulatedVm {
    std::string rack;
    bool isUp = true;
    bool isRebooting = false;
    bool isUnhealthy = false; ///< since a failed reboot
    bool isDraining = false;
    std::uint32_t runningRequests = 0;
    std::uint64_t incarnation = 1;
    int rebootsToFail = 0; ///< this many of the next reboots fail
    TimePoint downSince {};
    std::string servedPool; ///< pool that it serves or served last; empty during a move
    std::string phase = "in_service"; ///< as in its status row
};

/// One entry VM.
struct Node {
    /// State of one controller key while this node holds its lease, as in controller::Runner.
    struct KeyState {
        std::any plannerState;
        std::uint64_t epoch = 0;
        int pendingActions = 0;
        TableVersion committedVersion = 0;
    };
    lease::State leases;
    Catalogue catalogue;
    TableVersion resourceVersion = 0; ///< newest version read of the resource rows
    TableVersion leaseVersion = 0; ///< newest version read of the lease rows
    TimePoint lastContact {};
    TimePoint pausedUntil {};
    std::size_t reportIndex = 0; ///< of the newest reports read, counted from the start of the run
    std::map<std::string, KeyState> keyStates;
    std::map<std::string, VmReport> vmReports;
};

/// The simulated fleet. Operators' calls take effect at once.
class Model {
public:
    Model(const Times& times, std::uint64_t seed, int nodes);

    /// Adds a VM; does nothing if one of that name exists.
    void addVm(const std::string& name, const std::string& pool, const std::string& rack);
    /// Writes a resource's spec, or deletes it if \p spec is empty.
    void declare(Kind kind, const std::string& name, const std::optional<nlohmann::json>& spec);
    void setMoveTo(const std::string& vm, const std::string& pool);
    void run(Duration time);
    /// Runs until \p done returns true, a promise is violated or \p limit has passed. Returns the elapsed
    /// virtual time.
    Duration runUntil(const std::function<bool()>& done, Duration limit);

    void pause(std::size_t node, Duration time);
    /// Restarts a node with empty state.
    void restart(std::size_t node);
    /// Makes the table unavailable for \p time; 0 ends an outage.
    void setTableOutage(Duration time) { m_tableOutageEnd = m_now + time; }
    void fail(const std::string& vm);
    void repairAll();

    nlohmann::json status(Kind kind, const std::string& name) const;
    std::map<std::string, SimulatedVm>& vms() { return m_vms; }
    std::vector<std::string> vmNames() const;
    Times& times() { return m_times; }
    TimePoint now() const { return m_now; }
    /// Description of the first violation; empty if there is none.
    const std::string& violation() const { return m_violation; }

private:
    using Callback = std::function<void(PlatformResult<TableVersion>)>;

    void tick();
    void tickNode(Node& node);
    void readTable(Node& node);
    void updateLeases(Node& node);
    void plan(Node& node, const std::string& key);
    void commit(Node& node, const Transaction& transaction, const Callback& callback);
    void sendCommand(Node& node, const std::string& key, const controller::CommandVm& command);
    void applyCommand(const controller::CommandVm& command);
    void finishReboot(SimulatedVm& vm);
    void sendRequests();
    void checkInvariants();
    void checkPermits(const std::map<std::string, std::uint32_t>& permits);
    void checkDrain(const std::string& name);
    std::uint32_t largestBudget(const std::string& pool, Duration age) const;
    void checkPermitEnd(const std::string& name);
    void reportViolation(const std::string& what);
    void schedule(Duration delay, Node* owner, std::function<void()> action);
    bool isTableDown() const { return m_now < m_tableOutageEnd; }
    Duration randomDelay(Duration maxDelay);
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(m_random) < probability; }

    struct Event {
        Node* owner; ///< the process that runs the action; nullptr: the network or a VM
        std::function<void()> action;
    };
    /// VMs to which an entry VM routes requests, by pool; refreshed every \p lag.
    struct Routes {
        Duration lag {};
        TimePoint readAt {};
        std::map<std::string, std::vector<std::string>> vms;
    };

    Times m_times;
    std::mt19937_64 m_random;
    TimePoint m_now { 1h };
    standin::TableModel m_table;
    std::map<std::string, SimulatedVm> m_vms;
    std::vector<Node> m_nodes;
    std::vector<std::string> m_members;
    std::multimap<TimePoint, Event> m_events;
    std::deque<std::map<std::string, VmReport>> m_reportHistory;
    std::vector<Routes> m_routes;
    std::size_t m_droppedReports = 0;
    /// Changes of each pool's budget: time and new limit.
    std::map<std::string, std::vector<std::pair<TimePoint, std::uint32_t>>> m_budgetHistory;
    TimePoint m_tableOutageEnd {};
    std::string m_violation;
};

} // namespace damask::fleet_model
