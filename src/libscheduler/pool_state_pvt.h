/// \file
/// Resource accounting of runs, shared by the sources of the pool's state.
#pragma once

#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// Resources that a task of the step reserves on a VM; no CPU for fillers.
Resources reservedBy(const StepSpec& step);
/// Records a run, as the copy if the task has one already, and reserves its resources.
void placeRun(PoolState& state, VmState& vm, const TaskId& id, TaskState& task, RunState run);
/// Removes the task's run on the VM, if it has one there, and frees its resources.
void releaseRun(PoolState& state, const TaskId& id, TaskState& task, std::string_view vm);
/// The same after recording a RunEvent.
void releaseRunAs(
    PoolState& state, const TaskId& id, TaskState& task, std::string_view vm, RunEventKind kind);
/// Marks the VMs that have runs of the job as changed, after the job has ended or a step is done.
void markRunsChanged(PoolState& state, const JobEntry& job);
/// Removes the VM's entry in PoolState::visitTimes.
void removeVisits(PoolState& state, VmState& vm);
/// Whether the registration is of the boot that has reported last. Another boot may have another capacity and
/// other labels.
bool isEntryCurrent(const VmState& vm);

} // namespace damask::fleet
