/// \file
/// Holds back planned starts until their job has a durable record and its spec is loaded.
#pragma once

#include <damaskworks/pool_state.h>

#include <map>
#include <string>
#include <vector>

namespace damask::fleet {

/// Planned starts that are held back, by job. Their resources stay reserved.
///
/// Because a job's record is durable before its first start command, the next holder of the pool may start a
/// job without a record at once. Otherwise it would have to wait until no VM can still run a task that the
/// earlier holder started.
using WaitingStarts = std::map<std::string, std::vector<StartAction>, std::less<>>;

/// Adds \p planned to \p waiting, then removes and returns the starts that may be sent now. Drops starts
/// whose run was released or stopped in the meantime, and releases the runs of starts whose job has ended or
/// that their VM may no longer take. If that holds for one member of a gang, no member that is still held
/// back is sent.
std::vector<StartAction> takeReadyStarts(
    PoolState& state, WaitingStarts& waiting, std::vector<StartAction> planned, TimePoint now);

/// Numbers of starts that are held back, by what they wait for first.
struct HeldBackStarts {
    int record = 0; ///< of their job
    int spec = 0;
    int trial = 0; ///< the record of a trial of their job
};

HeldBackStarts countHeldBack(PoolState& state, const WaitingStarts& waiting);
/// Number of starts that are held back.
int countWaiting(const WaitingStarts& waiting);

} // namespace damask::fleet
