/// \file
/// Control of the tasks on endpoint VMs, and of the VMs themselves.
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

/// A VM as its own registration describes it.
struct VmEntry {
    std::string id; ///< one life of a machine
    std::string machine; ///< that the VM runs on
    std::string pool;
    Address address;
    std::string dataCentre;
    Resources capacity;
    std::vector<std::string> labels;
    std::string rack; ///< the label that names the rack
    bool draining = false;
    std::int64_t born = 0; ///< start of this boot, milliseconds since 1970; 0: not said
};

/// A run of a task on a VM.
struct RunReport {
    TaskId task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 0; ///< progress; of a long-running task its readiness, 100 when at work
    std::int64_t load = 0; ///< long-running: tail latency, ms; else thousandths of a core in use
};

/// How a run ended.
enum class EndKind {
    Done,
    Failed,
    Stopped, ///< by our order
    Lapsed, ///< the VM's lease ran out
    Broken, ///< another member of the gang ended
    Alone, ///< the other members of the gang did not come in time
};

inline constexpr NameTable<EndKind, 6> endKindNames { {
    { EndKind::Done, "done" },
    { EndKind::Failed, "failed" },
    { EndKind::Stopped, "stopped" },
    { EndKind::Lapsed, "lapsed" },
    { EndKind::Broken, "broken" },
    { EndKind::Alone, "alone" },
} };

/// The end of a run, listed by the VM until it is acknowledged.
struct EndReport {
    std::uint64_t number = 0; ///< rises within one boot of the VM
    TaskId task;
    std::uint32_t run = 0;
    EndKind kind = EndKind::Done;
    std::string checkpoint;
};

/// What a VM says it runs.
struct VmReport {
    milliseconds vmClock { 0 }; ///< steady clock of the VM
    std::int64_t born = 0;
    std::vector<RunReport> running;
    std::vector<EndReport> ended;
};

/// Identifies the VM that a call is meant for, and the caller's right to give orders.
struct VmTarget {
    Address address;
    std::string vm;
    std::uint64_t fence = 0; ///< fencing token of the pool's holder
};

/// Order to start one run.
struct StartOrder {
    TaskId task;
    std::uint32_t run = 0;
    std::string spec;
    std::string checkpoint;
    std::string ticket; ///< of the advice service; empty where the queue has none
    milliseconds leaseUntil { 0 }; ///< on the VM's clock
};

/// Renews the lease of all that runs on a VM, acknowledges ends and asks for the lists.
struct HoldOrder {
    milliseconds leaseUntil { 0 }; ///< on the VM's clock; 0: the lease is left as it is
    std::uint64_t acknowledged = 0; ///< ends up to this number are durable
    milliseconds wait { 0 }; ///< longest wait for an end
};

/// Outcome of an order.
enum class OrderOutcome {
    Accepted,
    NoRoom,
    Superseded, ///< a holder with a higher token has given orders
    OldRun, ///< the run was stopped or has ended there, or a later one has
    Late, ///< the lease in the order was over
    WrongVm, ///< another boot answers at the address
    BadTicket,
    Refused, ///< the VM is unhealthy; nothing was done
    Unreachable, ///< no byte of the order left
    Invalid,
    Unknown, ///< no answer: the order may still be carried out
};

inline constexpr NameTable<OrderOutcome, 11> orderOutcomeNames { {
    { OrderOutcome::Accepted, "accepted" },
    { OrderOutcome::NoRoom, "no_room" },
    { OrderOutcome::Superseded, "superseded" },
    { OrderOutcome::OldRun, "old_run" },
    { OrderOutcome::Late, "late" },
    { OrderOutcome::WrongVm, "wrong_vm" },
    { OrderOutcome::BadTicket, "bad_ticket" },
    { OrderOutcome::Refused, "refused" },
    { OrderOutcome::Unreachable, "unreachable" },
    { OrderOutcome::Invalid, "invalid" },
    { OrderOutcome::Unknown, "unknown" },
} };

/// Client of the endpoint VMs. Callbacks are called exactly once, on the loop.
class EndpointControl {
public:
    using OrderCallback = std::function<void(OrderOutcome)>;
    using ReportCallback = std::function<void(tl::expected<VmReport, OrderOutcome>)>;
    virtual ~EndpointControl() = default;
    virtual void start(const VmTarget& vm, const StartOrder& order, OrderCallback callback) = 0;
    virtual void stop(const VmTarget& vm, const TaskId& task, std::uint32_t run, OrderCallback callback) = 0;
    virtual void hold(const VmTarget& vm, const HoldOrder& order, ReportCallback callback) = 0;
    /// Lets a task use \p percent of its processors.
    virtual void pace(
        const VmTarget& vm, const TaskId& task, std::uint32_t run, int percent, OrderCallback callback)
        = 0;
};

/// What the advice service answers about a step.
struct Advice {
    std::map<std::string, std::string> tickets; ///< by VM; the others asked about may not run the step
    milliseconds validFor { 0 };
};

/// Client of the service that knows which VMs may run a step.
class AdviceControl {
public:
    using AdviceCallback = std::function<void(tl::expected<Advice, OrderOutcome>)>;
    virtual ~AdviceControl() = default;
    /// Asks about at most 100 VMs; \p expected is how long the service works on the answer.
    virtual void ask(const StepId& step, const std::vector<std::string>& vms, milliseconds expected,
        AdviceCallback callback)
        = 0;
};

/// States of a machine.
enum class MachineState { Up, Moving, Maintenance, Down };

/// A machine; its VM changes with each move and each maintenance.
struct Machine {
    std::string id;
    std::string pool;
    MachineState state = MachineState::Down;
    std::string vm;
};

/// Client of the platform's control of machines.
class MachineControl {
public:
    virtual ~MachineControl() = default;
    virtual void list(std::function<void(tl::expected<std::vector<Machine>, OrderOutcome>)> callback) = 0;
    virtual void move(const std::string& machine, const std::string& pool, std::uint64_t fence,
        EndpointControl::OrderCallback callback)
        = 0;
    virtual void maintain(const std::string& machine, std::int64_t wave, std::uint64_t fence,
        EndpointControl::OrderCallback callback)
        = 0;
};

} // namespace damask::fleet
