/// \file
/// Scheduling of a pool: which waiting tasks start on which VMs, evacuation, CPU limits and reported load.
#pragma once

#include <damaskworks/fleet_plan.h>
#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// Chooses VMs for waiting tasks and records the starts as runs. The caller sends the commands.
/// \p wallNow decides which occurrences of scheduled jobs are due.
std::vector<StartAction> planStarts(PoolState& state, TimePoint now, WallTime wallNow);

/// Due time of the earliest occurrence that is not due yet, if any.
std::optional<WallTime> nextDue(const PoolState& state);

/// Marks tasks to be stopped on VMs that are evacuated or draining. Long-running tasks are stopped within
/// their step's disruption budget (maxUnavailable).
void planEvacuations(PoolState& state, TimePoint now);
/// Load of the pool, as reported to the machine coordinator.
PoolLoad computeLoad(const PoolState& state, TimePoint now);

/// A command that sets the share of its CPU that a task may use.
struct ThrottleAction {
    std::string vm;
    TaskId task;
    std::uint32_t run = 0;
    int percent = 100;
};

/// Lowers the CPU limit of the filler tasks on a VM while a task beside them approaches or exceeds its
/// latency target, and raises it again once there is room.
std::vector<ThrottleAction> planThrottling(PoolState& state, std::string_view vm, TimePoint now);

} // namespace damask::fleet
