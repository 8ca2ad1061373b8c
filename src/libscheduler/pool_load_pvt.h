/// \file
/// Removal of entries from the sums of a pool's load.
#pragma once

#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// Subtracts the VM's part from the sums.
void removeLoad(PoolState& state, VmState& vm);
/// Subtracts the job's part from the sums.
void removeLoad(PoolState& state, JobEntry& job);

} // namespace damask::fleet
