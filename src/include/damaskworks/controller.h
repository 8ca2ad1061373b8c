/// \file
/// Controllers: planning functions without side effects that read a view of the fleet and return the
/// actions to execute next. A controller registers itself by name. The runner in each daemon acquires a
/// lease for each of the controller's keys, calls its plan function while it holds the lease, and adds
/// the lease's fencing condition to every transaction.
#pragma once

#include <damaskworks/catalogue.h>
#include <damaskworks/clock.h>
#include <damaskworks/platform.h>

#include <any>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace damask::controller {

/// Demand on one pool, summed over all reachable entry VMs.
struct PoolDemand {
    double arrivals = 0; ///< requests per second, smoothed
    std::uint32_t inFlight = 0; ///< requests being served
    std::uint32_t queued = 0; ///< requests waiting
};

/// Input of a plan function. Any part of it may be stale. Each transaction states the row versions that
/// it was planned on, so a plan made on stale rows fails to commit and changes nothing.
struct View {
    const Catalogue& catalogue;
    const std::map<std::string, VmReport>& vmReports; ///< by VM
    const std::map<std::string, ListedVm>& listedVms; ///< by VM
    const std::map<std::string, TaskReport>& taskReports; ///< by task
    const std::map<std::string, PoolDemand>& demand; ///< by pool
    TimePoint now;
    std::uint64_t epoch = 0; ///< of the lease under which the plan function runs
};

/// Commit a transaction; the runner adds the lease's fencing condition.
struct Commit {
    Transaction transaction;
    std::string reason; ///< for logs and metrics
};

/// Send a command to a VM. The command may be sent more than once and must be idempotent.
struct CommandVm {
    std::string vm;
    VmCommand command = VmCommand::Drain;
};

/// Send a command to a task.
struct CommandTask {
    TaskRequest request;
};

using Action = std::variant<Commit, CommandVm, CommandTask>;

/// A controller plug-in, registered in Registry<Definition>.
struct Definition {
    /// Keys that each need a lease holder, for example the names of the pools.
    std::function<std::vector<std::string>(const Catalogue&)> keys;
    /// Next actions for \p key. \p plannerState is kept in memory between the calls of one lease holder
    /// and is empty for the next holder.
    std::function<std::vector<Action>(const View& view, std::string_view key, std::any& plannerState)> plan;
};

} // namespace damask::controller
