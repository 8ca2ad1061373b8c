/// \file
/// Log and metrics of where tasks that are slower outside a rack were placed.
#pragma once

#include <damaskworks/metrics.h>
#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// Counts PoolState::localityPlacements, logs those outside their rack or after a wait, and drops them all.
void reportLocality(PoolState& state, Metrics& metrics);

} // namespace damask::fleet
