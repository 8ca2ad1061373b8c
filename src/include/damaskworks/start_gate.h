/// \file
/// Starts that wait until the record of their job says that it has begun, and until its spec is read.
#pragma once

#include <damaskworks/pool_state.h>

#include <map>
#include <string>
#include <vector>

namespace damask::fleet {

/// Planned starts by job. Their room is reserved meanwhile.
///
/// The next holder of the pool takes a job without a record as not begun and starts it at once. Without
/// this it would have to wait until no VM can run anything that the earlier holder has started.
using WaitingStarts = std::map<std::string, std::vector<StartAction>, std::less<>>;

/// Adds \p planned to \p waiting and takes out the starts that may be ordered now. A start whose run was
/// released or stopped meanwhile is dropped.
std::vector<StartAction> passGate(
    PoolState& state, WaitingStarts& waiting, std::vector<StartAction> planned, TimePoint now);

} // namespace damask::fleet
