/// \file
/// The choice of a VM for one task.
#pragma once

#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// VM on which the task starts now; nullptr if it has to wait. \p waited is the age of its
/// occurrence.
VmState* chooseVm(
    PoolState& state, const JobEntry& job, const TaskId& id, milliseconds waited, TimePoint now);

} // namespace damask::fleet
