/// \file
/// Holds back planned starts until their job has a durable record and its spec is loaded.
#pragma once

#include <damaskworks/pool_state.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace damask::fleet {

/// Planned starts of one job that are held back.
struct HeldStarts {
    std::vector<StartAction> starts;
    /// Sum of the change counts of the job and the VMs when the starts were last checked; empty: never.
    std::optional<std::uint64_t> checkedChanges;
};

/// Planned starts that are held back. Their resources stay reserved.
///
/// Because a job's record is durable before its first start command, the next holder of the pool may start a
/// job without a record at once. Otherwise it would have to wait until no VM can still run a task that the
/// earlier holder started.
struct WaitingStarts {
    std::map<std::string, HeldStarts, std::less<>> byJob;
    std::size_t count = 0; ///< of all starts

    bool empty() const { return byJob.empty(); }
    void clear() { *this = {}; }
};

/// Adds \p planned to \p waiting, then removes and returns the starts that may be sent now. Drops starts
/// whose run was released or stopped in the meantime, and releases the runs of starts whose job has ended or
/// that their VM may no longer take. If that holds for one member of a gang, no member that is still held
/// back is sent. Starts that still have to wait are checked only after a change of their job or VMs.
std::vector<StartAction> takeReadyStarts(
    PoolState& state, WaitingStarts& waiting, std::vector<StartAction> planned, TimePoint now);

/// Numbers of starts that are held back, by what they wait for first.
struct HeldBackStarts {
    int record = 0; ///< of their job
    int spec = 0;
    int trial = 0; ///< the record of a trial of their job
};

HeldBackStarts countHeldBack(PoolState& state, const WaitingStarts& waiting);

/// Holds back again a start that takeReadyStarts() has returned and that was not sent.
void putBackStart(PoolState& state, WaitingStarts& waiting, const StartAction& start);

/// Number of starts that are held back.
int countWaiting(const WaitingStarts& waiting);

} // namespace damask::fleet
