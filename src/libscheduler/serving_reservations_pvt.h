/// \file
/// Reservations of room on VMs for long-running tasks. Load pattern: a queue's peak fills every VM with short
/// tasks, while maintenance or a move takes VMs away under long-running tasks that need much of a VM.
#pragma once

#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// One planning pass that makes reservations.
struct ReservationPass {
    int attempts = 0; ///< that are left; each may look at all runs of the pool
    std::set<StepId> failedSteps; ///< steps for whose tasks, all alike, no VM was found in this pass
};

/// Drops the reservations of tasks that need none any more or whose VM may not run them.
void dropStaleReservations(PoolState& state, TimePoint now);

/// VM with a reservation for the task, which is made if there is none: on the VM
/// whose short tasks leave enough room the soonest by their estimates. nullptr if no VM can have it.
const VmState* reserveForServing(
    PoolState& state, const JobEntry& job, const TaskId& id, ReservationPass& pass, TimePoint now);

/// Drops the reservation for the task, if there is one.
void dropReservation(PoolState& state, const TaskId& id);

/// Reservations on the VM for other tasks of the step.
int countReservedSiblings(const PoolState& state, const std::string& vm, const TaskId& id);

/// Room that reservations of other tasks leave on the VM.
Resources freeBesideReservations(const PoolState& state, const VmState& vm, const TaskId& id);

/// Whether the VM is to be emptied for maintenance or a move, or drains by itself.
inline bool isLeaving(const VmState& vm) { return vm.isEvacuating || vm.entry.draining; }

} // namespace damask::fleet
