/// \file
/// Bookkeeping shared by the parts of the pool's state.
#pragma once

#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// What a task of the step takes from a VM's capacity.
Resources reservedBy(const StepSpec& step);
/// Records a run and reserves its room.
void placeRun(PoolState& state, VmState& vm, const TaskId& id, TaskState& task, RunState run);
/// Ends a run and frees its room.
void releaseRun(PoolState& state, const TaskId& id, TaskState& task);
void releaseAllRuns(PoolState& state, VmState& vm);

} // namespace damask::fleet
