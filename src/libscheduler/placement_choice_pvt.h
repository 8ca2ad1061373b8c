/// \file
/// Choice of a VM for one task.
#pragma once

#include <damaskworks/pool_plan.h>
#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// VM on which the task should start now; nullptr if it has to wait. \p waited is the time since its
/// occurrence was due.
VmState* chooseVm(
    PoolState& state, const JobEntry& job, const TaskId& id, milliseconds waited, TimePoint now);
/// The same without regard to racks.
VmState* chooseAnywhere(PoolState& state, const JobEntry& job, const TaskId& id, TimePoint now);
/// The same among the VMs of a rack.
VmState* chooseInRack(
    PoolState& state, const JobEntry& job, const TaskId& id, const std::string& rack, TimePoint now);
/// Whether a VM for which a run of the task is planned may still take it.
bool canStillHost(
    const PoolState& state, const VmState& vm, const JobEntry& job, const TaskId& id, TimePoint now);

/// Number of runs of the task's step and occurrence on the VM.
int countSiblings(const VmState& vm, const TaskId& id);
/// Whether the VM accepts starts, perhaps only those of trials.
bool isAvailable(const VmState& vm, TimePoint now);
/// Whether the VM accepts starts other than those of trials, or will without further events.
bool mayAcceptWork(const VmState& vm);
/// Whether the VM may run the task beside its runs and reservations of the step, whatever room it has.
bool mayHostBesideOthers(
    const PoolState& state, const VmState& vm, const JobEntry& job, const TaskId& id, TimePoint now);
/// Whether the task could start on the VM now.
bool canStartOn(
    const PoolState& state, const VmState& vm, const JobEntry& job, const TaskId& id, TimePoint now);
/// First reason for which the VM can't take the task now; None if it can.
PlacementObstacle findObstacle(
    const PoolState& state, const VmState& vm, const JobEntry& job, const TaskId& id, TimePoint now);

/// First reason for which the VM can't take the trial of a suspect task now.
PlacementObstacle findTrialObstacle(
    PoolState& state, const VmState& vm, const JobEntry& job, const TaskId& id, TimePoint now);

/// Ticket of the advice service for the task on the VM; empty if there is none.
std::string ticketFor(const JobEntry& job, const TaskId& id, std::string_view vm);

/// How many of the available VMs may have a trial or be reserved for one.
enum class TrialShare {
    Half, ///< tasks that are not suspect wait too
    All, ///< the same for short trials only; long ones leave VMs to tasks that come later
};

/// VM on which a suspect task should start its trial now; nullptr if it has to wait. Reserves a VM for
/// suspect tasks if none is quiet.
VmState* chooseTrialVm(
    PoolState& state, const JobEntry& job, const TaskId& id, TrialShare share, TimePoint now);

/// How the advice service responds about the job's steps; nothing if its tasks need no ticket. They need one
/// if the configuration says so of their queue, or a VM has rejected a start for want of one: the queue may
/// have been removed.
std::optional<AdviceSettings> adviceSettings(const PoolState& state, const JobEntry& job);
/// Whether the job's tasks may run only on VMs with a ticket of the advice service.
bool needsTicket(const PoolState& state, const JobEntry& job);
/// At most \p limit VMs that have room for the task and neither a valid ticket nor a denial for its step,
/// best first.
std::vector<std::string> adviceCandidates(
    const PoolState& state, const JobEntry& job, const TaskId& id, std::size_t limit, TimePoint now);

} // namespace damask::fleet
