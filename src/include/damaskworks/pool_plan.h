/// \file
/// Which waiting task starts next, and on which VM.
#pragma once

#include <damaskworks/fleet_plan.h>
#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// Chooses starts for waiting tasks and records them as runs. The caller sends the orders.
/// \p wallNow decides which occurrences of scheduled jobs are due.
std::vector<StartAction> planStarts(PoolState& state, TimePoint now, WallTime wallNow);

/// Earliest occurrence that is not yet due; nothing if there is none.
std::optional<WallTime> nextDue(const PoolState& state);

/// Stops tasks on VMs that are emptied or leave, long-running ones within their step's budget.
void planEvacuations(PoolState& state, TimePoint now);
/// What the coordinator of machines needs to know of the pool.
PoolLoad loadOf(const PoolState& state, TimePoint now);

/// A change of the share of its processors that a task may use.
struct PaceAction {
    std::string vm;
    TaskId task;
    std::uint32_t run = 0;
    int percent = 100;
};

/// Slows fillers beside tasks that serve users too slowly, and releases them again.
std::vector<PaceAction> planPaces(PoolState& state, std::string_view vm, TimePoint now);

} // namespace damask::fleet
