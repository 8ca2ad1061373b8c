/// \file
/// Clients of the endpoint VMs, the advice service and the machine control service. VM clocks count
/// milliseconds; processors are counted in thousandths of a core.
#pragma once

#include <damaskworks/http.h>
#include <damaskworks/job.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace damask::fleet {

/// A VM as it registered itself.
struct VmRegistration {
    std::string id; ///< differs for each boot of a machine
    std::string machine; ///< machine that the VM runs on
    std::string pool;
    Address address;
    std::string dataCentre;
    Resources capacity;
    std::vector<std::string> labels;
    std::string rack; ///< empty if no label names it
    bool draining = false;
    std::int64_t bootTime = 0; ///< time of boot, milliseconds since the Unix epoch; 0: unknown
};

/// A run of a task on a VM, as the VM reports it.
struct RunReport {
    TaskId task;
    std::uint32_t run = 0; ///< rises with each run of the task
    std::string checkpoint;
    int percent = 0; ///< progress; for a long-running task its readiness, 100 when it is serving
    std::int64_t load = 0; ///< long-running task: tail latency, ms; else thousandths of a core in use
};

/// How a run ended.
enum class EndKind {
    Done,
    Failed,
    Stopped, ///< by a stop command
    LeaseExpired, ///< the VM's lease expired
    GangMemberEnded, ///< another task of its gang ended
    GangIncomplete, ///< the other tasks of its gang did not start in time
};

inline constexpr NameTable<EndKind, 6> endKindNames { {
    { EndKind::Done, "done" },
    { EndKind::Failed, "failed" },
    { EndKind::Stopped, "stopped" },
    { EndKind::LeaseExpired, "lapsed" },
    { EndKind::GangMemberEnded, "broken" },
    { EndKind::GangIncomplete, "alone" },
} };

/// The end of a run. The VM reports it until the pool's holder acknowledges it.
struct EndReport {
    std::uint64_t number = 0; ///< sequence number; starts again at each boot of the VM
    TaskId task;
    std::uint32_t run = 0;
    EndKind kind = EndKind::Done;
    std::string checkpoint;
};

/// A VM's response to a heartbeat.
struct VmReport {
    milliseconds vmClock { 0 }; ///< steady clock of the VM
    std::int64_t bootTime = 0; ///< as in VmRegistration
    std::vector<RunReport> running;
    std::vector<EndReport> ended; ///< ends that are not yet acknowledged
};

/// The VM that a command is for, and the fencing token that authorises the command.
struct VmTarget {
    Address address;
    std::string vm; ///< id; another VM at the address refuses the command
    std::uint64_t fence = 0; ///< fencing token of the pool's holder
};

/// Starts one run.
struct StartCommand {
    TaskId task;
    std::uint32_t run = 0;
    std::string spec;
    std::string checkpoint;
    std::string ticket; ///< from the advice service; empty if the queue needs none
    milliseconds leaseUntil { 0 }; ///< end of the lease, on the VM's clock
};

/// Renews the lease of all runs on a VM, acknowledges ends and requests a report.
struct HeartbeatCommand {
    milliseconds leaseUntil { 0 }; ///< end of the lease, on the VM's clock; 0: do not renew it
    std::uint64_t acknowledged = 0; ///< the holder has stored the ends up to this number durably
    milliseconds wait { 0 }; ///< the VM responds after this time at the latest, or as soon as a run ends
};

/// Outcome of a command.
enum class CommandOutcome {
    Accepted,
    InsufficientCapacity, ///< the VM lacks the resources for the run
    Superseded, ///< the VM has seen a higher fencing token
    StaleRun, ///< this run or a later run of the task was stopped or has ended on the VM
    LeaseExpired, ///< the lease in the command had already expired
    WrongVm, ///< a VM with another id responded at the address
    InvalidTicket, ///< the VM rejected the ticket
    Refused, ///< the service is unhealthy, overloaded or busy; it did nothing
    Unreachable, ///< no byte of the command was sent
    Invalid, ///< the service rejected the command as malformed, or its response cannot be decoded
    Unknown, ///< no clear response: the command may have been executed, or may still be
};

inline constexpr NameTable<CommandOutcome, 11> commandOutcomeNames { {
    { CommandOutcome::Accepted, "accepted" },
    { CommandOutcome::InsufficientCapacity, "no_room" },
    { CommandOutcome::Superseded, "superseded" },
    { CommandOutcome::StaleRun, "old_run" },
    { CommandOutcome::LeaseExpired, "late" },
    { CommandOutcome::WrongVm, "wrong_vm" },
    { CommandOutcome::InvalidTicket, "bad_ticket" },
    { CommandOutcome::Refused, "refused" },
    { CommandOutcome::Unreachable, "unreachable" },
    { CommandOutcome::Invalid, "invalid" },
    { CommandOutcome::Unknown, "unknown" },
} };

/// A VM's response to a command.
struct CommandResponse {
    CommandOutcome outcome = CommandOutcome::Unknown;
    milliseconds vmClock { 0 }; ///< as in VmReport; 0: the response doesn't show it, or there was none
};

/// Client of the endpoint VMs. It calls each callback exactly once, on the event loop.
class EndpointControl {
public:
    using CommandCallback = std::function<void(const CommandResponse&)>;
    using ReportCallback = std::function<void(tl::expected<VmReport, CommandOutcome>)>;
    virtual ~EndpointControl() = default;
    virtual void start(const VmTarget& vm, const StartCommand& command, CommandCallback callback) = 0;
    virtual void stop(const VmTarget& vm, const TaskId& task, std::uint32_t run, CommandCallback callback)
        = 0;
    virtual void heartbeat(const VmTarget& vm, const HeartbeatCommand& command, ReportCallback callback) = 0;
    /// Limits a task to \p percent of its processors.
    virtual void throttle(
        const VmTarget& vm, const TaskId& task, std::uint32_t run, int percent, CommandCallback callback)
        = 0;
};

/// Response of the advice service about a step.
struct Advice {
    std::map<std::string, std::string>
        tickets; ///< by VM; a VM of the question that has none may not run the step
    milliseconds validFor { 0 }; ///< lifetime of the tickets
};

/// Client of the advice service, which decides which VMs may run a step.
class AdviceControl {
public:
    using AdviceCallback = std::function<void(tl::expected<Advice, CommandOutcome>)>;
    virtual ~AdviceControl() = default;
    /// Asks which of \p vms, at most 100, may run \p step. The request times out some time after
    /// \p expectedLatency.
    virtual void requestAdvice(const StepId& step, const std::vector<std::string>& vms,
        milliseconds expectedLatency, AdviceCallback callback)
        = 0;
};

/// State of a machine.
enum class MachineState {
    Up,
    Moving,
    Maintenance,
    Down,
    Unknown, ///< a field of the machine can't be read
};

/// A machine. Each move and each maintenance replaces its VM.
struct Machine {
    std::string id;
    std::string pool;
    MachineState state = MachineState::Down;
    std::string vm; ///< id of the VM that runs on the machine
};

/// Client of the machine control service.
class MachineControl {
public:
    using CommandCallback = std::function<void(CommandOutcome)>;
    virtual ~MachineControl() = default;
    /// Lists all machines.
    virtual void list(std::function<void(tl::expected<std::vector<Machine>, CommandOutcome>)> callback) = 0;
    /// Moves \p machine to \p pool.
    virtual void move(
        const std::string& machine, const std::string& pool, std::uint64_t fence, CommandCallback callback)
        = 0;
    /// Starts the maintenance of \p machine as part of \p wave.
    virtual void startMaintenance(
        const std::string& machine, std::int64_t wave, std::uint64_t fence, CommandCallback callback)
        = 0;
};

} // namespace damask::fleet
