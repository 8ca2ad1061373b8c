/// \file
/// Interface to the platform that hosts the fleet: a transactional table, an object store, the list of VMs,
/// and the control of VMs and tasks. Adapters are plug-ins that Registry finds by name.
///
/// All calls are asynchronous; errors are PlatformError values in the callbacks.
#pragma once

#include <damaskworks/http.h>
#include <damaskworks/names.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

struct event_base;

namespace damask {

/// Version of the table. Each commit increases it by one. As the version of a row, 0 means that the row does
/// not exist.
using TableVersion = std::uint64_t;

/// One row of the table.
struct Row {
    std::string key;
    TableVersion version = 0; ///< table version of the commit that last wrote the row
    std::string value; ///< JSON text
    bool deleted = false; ///< in a list of changes: the commit deleted the row
};

/// Condition of a transaction: the row must have exactly this version at the commit; 0: it must not exist.
struct RowCondition {
    std::string key;
    TableVersion version = 0;
};

/// Write of one row; without a value it deletes the row.
struct RowWrite {
    std::string key;
    std::optional<std::string> value;
};

/// Writes that commit atomically if all conditions hold.
struct Transaction {
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
};

/// Rows as read from the table at one version: all of them, or the changes after an earlier version.
struct Changes {
    TableVersion version = 0; ///< table version at the read
    std::vector<Row> rows;
};

/// Kinds of errors of the platform.
enum class PlatformFailure {
    Unavailable, ///< no usable response; nothing was written
    OutcomeUnknown, ///< the response was lost; a write may or may not have taken effect
    Conflict, ///< a condition of the transaction did not hold; nothing was written
    NotFound, ///< the row or object does not exist
    HistoryTruncated, ///< the table no longer keeps the requested changes; the caller must read all rows
    Invalid, ///< the platform refused the request as malformed
};

inline constexpr NameTable<PlatformFailure, 6> platformFailureNames { {
    { PlatformFailure::Unavailable, "unavailable" },
    { PlatformFailure::OutcomeUnknown, "outcome_unknown" },
    { PlatformFailure::Conflict, "conflict" },
    { PlatformFailure::NotFound, "not_found" },
    { PlatformFailure::HistoryTruncated, "history_gone" },
    { PlatformFailure::Invalid, "invalid" },
} };

/// Error of a call to the platform.
struct PlatformError {
    PlatformFailure failure = PlatformFailure::Unavailable;
    std::string detail; ///< description for people
    std::string key; ///< for Conflict: key of the row whose condition failed
    TableVersion presentVersion = 0; ///< for Conflict: current version of that row
};

template <typename T> using PlatformResult = tl::expected<T, PlatformError>;
template <typename T> using PlatformCallback = std::function<void(PlatformResult<T>)>;

/// State of a VM in the platform's list. The list lags behind the VM's actual state.
enum class ListedState { Live, Leaving, Gone };

inline constexpr NameTable<ListedState, 3> listedStateNames { {
    { ListedState::Live, "live" },
    { ListedState::Leaving, "leaving" },
    { ListedState::Gone, "gone" },
} };

/// Role of a VM: an entry VM takes callers' requests and forwards them to the endpoints of worker VMs.
enum class VmRole { Entry, Worker };

inline constexpr NameTable<VmRole, 2> vmRoleNames { {
    { VmRole::Entry, "entry" },
    { VmRole::Worker, "worker" },
} };

/// A VM in the platform's list.
struct ListedVm {
    std::string id;
    VmRole role = VmRole::Worker;
    ListedState state = ListedState::Live;
    std::string dataCentre;
    std::string rack;
    Address address; ///< of a worker's endpoint, or of an entry VM's peer port
    std::uint64_t incarnation = 0; ///< increases with each restart or replacement of the VM
};

/// Commands that the platform passes to a VM.
enum class VmCommand { Drain, Reboot, Attach };

inline constexpr NameTable<VmCommand, 3> vmCommandNames { {
    { VmCommand::Drain, "drain" },
    { VmCommand::Reboot, "reboot" },
    { VmCommand::Attach, "attach" },
} };

/// Report of a VM through the platform's control interface.
struct VmReport {
    std::string id;
    bool reachable = false;
    bool healthy = false;
    bool draining = false;
    std::uint32_t runningRequests = 0;
    std::uint32_t runningTasks = 0;
    std::uint64_t incarnation = 0;
};

/// Commands that the platform passes to the worker of a task.
enum class TaskCommand { Start, Checkpoint, Throttle, Stop };

inline constexpr NameTable<TaskCommand, 4> taskCommandNames { {
    { TaskCommand::Start, "start" },
    { TaskCommand::Checkpoint, "checkpoint" },
    { TaskCommand::Throttle, "throttle" },
    { TaskCommand::Stop, "stop" },
} };

/// State of a task as the platform reports it.
enum class TaskState { Unknown, Running, Succeeded, Failed, Stopped };

inline constexpr NameTable<TaskState, 5> taskStateNames { {
    { TaskState::Unknown, "unknown" },
    { TaskState::Running, "running" },
    { TaskState::Succeeded, "succeeded" },
    { TaskState::Failed, "failed" },
    { TaskState::Stopped, "stopped" },
} };

/// A command to run, checkpoint, throttle or stop a task on a VM.
struct TaskRequest {
    TaskCommand command = TaskCommand::Start;
    std::string task; ///< task name, unique for each attempt at a job
    std::string vm;
    /// Fencing token: the worker refuses a lower epoch than it has seen for the task's job.
    std::uint64_t leaseEpoch = 0;
    std::string job;
    std::string spec; ///< JSON text that the worker receives
};

/// Report of a task by the platform. It lags behind the task's actual state.
struct TaskReport {
    std::string task;
    std::string job;
    std::string vm;
    TaskState state = TaskState::Unknown;
    double cpuUsed = 0; ///< in processors
    double memoryUsedMb = 0;
    bool checkpointed = false;
};

/// Adapter to one kind of platform. It calls each callback exactly once, on the event loop and never before
/// the call has returned.
class Platform {
public:
    virtual ~Platform() = default;
    /// Reads one row; NotFound if it does not exist.
    virtual void readRow(std::string_view key, PlatformCallback<Row> callback) = 0;
    /// Reads all rows whose key starts with \p prefix, and the table's version.
    virtual void readRows(std::string_view prefix, PlatformCallback<Changes> callback) = 0;
    /// Reads every write after \p since to rows whose key starts with \p prefix, in commit order. Fails with
    /// HistoryTruncated if the table no longer keeps all of them.
    virtual void readChanges(std::string_view prefix, TableVersion since, PlatformCallback<Changes> callback)
        = 0;
    /// Commits a transaction; the result is the table version of the commit.
    virtual void commit(const Transaction& transaction, PlatformCallback<TableVersion> callback) = 0;
    /// Reads an object from the object store; NotFound if it does not exist.
    virtual void readObject(std::string_view name, PlatformCallback<std::string> callback) = 0;
    /// Creates or replaces an object in the object store. Here and below, the value of a bool result means
    /// nothing; only success or error counts.
    virtual void writeObject(std::string_view name, std::string value, PlatformCallback<bool> callback) = 0;
    /// Reads the platform's list of VMs, which lags behind their actual state.
    virtual void listVms(PlatformCallback<std::vector<ListedVm>> callback) = 0;
    /// Sends a command to a VM.
    virtual void sendVmCommand(std::string_view vm, VmCommand command, PlatformCallback<bool> callback) = 0;
    /// Reads the latest reports of the VMs.
    virtual void readVmReports(PlatformCallback<std::vector<VmReport>> callback) = 0;
    /// Sends a command to the worker of a task.
    virtual void sendTaskCommand(const TaskRequest& request, PlatformCallback<bool> callback) = 0;
    /// Reads the latest reports of the tasks.
    virtual void readTaskReports(PlatformCallback<std::vector<TaskReport>> callback) = 0;
    /// Tells the platform's load balancer whether the entry VM \p vm accepts new connections.
    virtual void setAcceptingConnections(std::string_view vm, bool accepting, PlatformCallback<bool> callback)
        = 0;
};

/// Parameters for the creation of a platform adapter.
struct PlatformContext {
    event_base* base = nullptr;
    Address address; ///< of the platform
    std::chrono::milliseconds timeout { 2000 }; ///< for each request to the platform
    std::string clientName; ///< name by which the platform identifies this process
};

/// Factory of a platform adapter plug-in, registered in Registry<PlatformFactory>.
using PlatformFactory = std::function<std::unique_ptr<Platform>(const PlatformContext&)>;

} // namespace damask
