/// \file
/// Scheduling of a pool: which waiting tasks start on which VMs, evacuation, CPU limits and reported load.
#pragma once

#include <damaskworks/fleet_plan.h>
#include <damaskworks/pool_state.h>

#include <limits>

namespace damask::fleet {

/// Which waiting steps a pass plans.
enum class PlanScope {
    Everything,
    RoomOnly, ///< without those of the class roomIndependent, which may look at all VMs though they find none
};

/// Chooses VMs for waiting tasks and records the starts as runs. The caller sends the commands.
/// \p wallNow decides which occurrences of scheduled jobs are due. Plans at most \p maxStarts starts, the
/// most urgent first, and a gang whole if one start is left for it; the other tasks wait without reserving
/// resources.
std::vector<StartAction> planStarts(PoolState& state, TimePoint now, WallTime wallNow,
    int maxStarts = std::numeric_limits<int>::max(), PlanScope scope = PlanScope::Everything);

/// Applies a list of all machines, requested after the takeover. VMs that joined after the first list have
/// run nothing for an earlier holder. A list is read page by page and may lack a VM that runs. So a VM has
/// ended only if its machine runs no VM or another one, or if two lists in a row and the registry lack it.
void applyMachineList(PoolState& state, const std::vector<Machine>& machines);

/// VMs on which runs of an earlier holder may be unknown: those of PoolState::platformVms that have not
/// reported all their ends.
std::vector<std::string> findAwaitedVms(const PoolState& state);

/// Whether every run that an earlier holder started is known or has ended, so that the tasks of recovered
/// jobs may be started.
bool isRecoveryComplete(const PoolState& state, TimePoint now);

/// Due time of the earliest occurrence that is not due yet, if any.
std::optional<WallTime> nextDue(const PoolState& state);

/// Marks tasks to be stopped on VMs that are evacuated or draining. Long-running tasks are stopped within
/// their step's disruption budget (maxUnavailable).
void planEvacuations(PoolState& state, TimePoint now);
/// The same for the VMs \p vms only.
void planEvacuations(PoolState& state, const std::vector<std::string>& vms, TimePoint now);
/// Load of the pool, as reported to the machine coordinator. \p wallNow decides which waiting work is
/// overdue.
PoolLoad computeLoad(const PoolState& state, TimePoint now, WallTime wallNow);
/// Updates PoolState::loadSums for the VMs and jobs that have changed since the last call.
void updateLoadSums(PoolState& state, WallTime wallNow);
/// The load by PoolState::loadSums; equal to computeLoad() at the time of their last update.
PoolLoad sumLoad(const PoolState& state, TimePoint now);

/// Why a VM can't take a task.
enum class PlacementObstacle {
    None,
    Unregistered,
    NotReported, ///< to this holder yet
    OtherBootRegistered, ///< its registration and its last report are of different boots
    Unresponsive,
    NotFenced, ///< it may still carry out earlier commands
    Draining,
    Evacuating,
    OrphanRuns,
    Quarantined,
    Trial, ///< it runs or awaits the trial of a suspect task
    RecentStart, ///< too soon after another start for a trial
    TrialLimit, ///< it could run a trial, but enough VMs do
    Label,
    MaxPerVm, ///< it runs as many tasks of the step as may share a VM
    TooSmall, ///< for the task even without other runs
    Memory,
    Cpu,
    Gpu,
    Ticket,
};

inline constexpr NameTable<PlacementObstacle, 20> placementObstacleNames { {
    { PlacementObstacle::None, "none" },
    { PlacementObstacle::Unregistered, "unregistered" },
    { PlacementObstacle::NotReported, "not_reported" },
    { PlacementObstacle::OtherBootRegistered, "other_boot_registered" },
    { PlacementObstacle::Unresponsive, "unresponsive" },
    { PlacementObstacle::NotFenced, "not_fenced" },
    { PlacementObstacle::Draining, "draining" },
    { PlacementObstacle::Evacuating, "evacuating" },
    { PlacementObstacle::OrphanRuns, "orphan_runs" },
    { PlacementObstacle::Quarantined, "quarantined" },
    { PlacementObstacle::Trial, "trial" },
    { PlacementObstacle::RecentStart, "recent_start" },
    { PlacementObstacle::TrialLimit, "trial_limit" },
    { PlacementObstacle::Label, "label" },
    { PlacementObstacle::MaxPerVm, "max_per_vm" },
    { PlacementObstacle::TooSmall, "too_small" },
    { PlacementObstacle::Memory, "memory" },
    { PlacementObstacle::Cpu, "cpu" },
    { PlacementObstacle::Gpu, "gpu" },
    { PlacementObstacle::Ticket, "ticket" },
} };

/// A long-running step with tasks that wait for a VM.
struct WaitingServingStep {
    StepId step;
    int tasks = 0; ///< that wait
    int suspectTasks = 0; ///< of these, those that start with a trial
    Resources need; ///< of each task
    std::map<PlacementObstacle, int> vms; ///< number of the pool's VMs by what keeps the first task from them
};

/// At most \p limit of the pool's long-running steps with waiting tasks, for the log.
std::vector<WaitingServingStep> findWaitingServingSteps(
    const PoolState& state, TimePoint now, std::size_t limit);

/// Suspect tasks that wait for their trial.
struct WaitingSuspects {
    int tasks = 0;
    int longTrials = 0; ///< of these, those whose trial is a long one
    milliseconds longest { 0 }; ///< since a planning pass first found no VM
    TaskId longestTask; ///< which has waited so long
    std::map<PlacementObstacle, int> vms; ///< number of the pool's VMs by what keeps that task from them
};

/// The suspect tasks that wait in steps that are ready, for the log.
WaitingSuspects findWaitingSuspects(PoolState& state, TimePoint now);

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
