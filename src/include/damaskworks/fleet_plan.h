/// \file
/// Planning of machine maintenance and of moves between pools. One node, the machine coordinator, plans for
/// the whole fleet; the holder of each pool evacuates its machines. CPU is in thousandths of a core.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/deployment.h>
#include <damaskworks/endpoint_control.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace damask::fleet {

/// Bound of each amount of CPU or work in a PoolLoad. Sums of a few of them fit into 64 bits.
inline constexpr std::int64_t maxPoolLoad = 1'000'000'000'000'000;

/// Load of a pool, as its holder reports it to the coordinator.
struct PoolLoad {
    /// Needed by ready tasks that no VM runs, without long-running and overdue ones.
    std::int64_t waitingCpu = 0;
    std::int64_t waitingWork = 0; ///< estimated work of these tasks, core-milliseconds
    std::int64_t overdueCpu = 0; ///< as waitingCpu, of occurrences that can only end overdue, see Timeliness
    std::int64_t overdueWork = 0; ///< estimated work of these tasks, core-milliseconds
    std::int64_t overdueUsedCpu = 0; ///< part of usedCpu that is reserved by such occurrences
    std::int64_t arrivingCpu
        = 0; ///< needed to finish new jobs at the rate at which they are forecast to arrive
    std::int64_t usedCpu = 0; ///< reserved on all VMs
    std::int64_t servingCpu = 0; ///< part of usedCpu that is reserved by long-running tasks
    std::int64_t waitingServingCpu = 0; ///< needed by ready long-running tasks that no VM runs
    /// Part of waitingCpu and overdueCpu that fits on no VM beside its long-running tasks.
    std::int64_t unfitCpu = 0;
    int missingServingMachines
        = 0; ///< for long-running tasks that wait or have to leave, and fit on no VM beside others
    int minMachines = 0; ///< fewest machines that satisfy maxPerVm of every long-running step
    std::int64_t capacityCpu = 0; ///< of the VMs that accept work
    int workingMachines = 0; ///< number of these VMs
    std::map<std::string, int> runs; ///< number of runs by machine; machines without runs are left out
    std::set<std::string> serving; ///< machines that run long-running tasks or have not reported yet
    /// Evacuated machines, which run nothing and get no tasks, with the MachineTask::id that they were
    /// evacuated for. The id is needed because the row may be seconds old: a machine may have been evacuated
    /// for an earlier task and run tasks again since.
    std::map<std::string, std::string> empty;
    bool operator==(const PoolLoad&) const = default;
};

/// Row text of a load; decodeLoad() returns nothing for malformed text.
std::string encodeLoad(const PoolLoad& load);
std::optional<PoolLoad> decodeLoad(std::string_view text);

/// What the coordinator does with a machine.
enum class MachineAction { Maintain, Move };

inline constexpr NameTable<MachineAction, 2> machineActionNames { {
    { MachineAction::Maintain, "maintain" },
    { MachineAction::Move, "move" },
} };

/// Progress of a machine task.
enum class MachineTaskState {
    Emptying, ///< the holder of its pool evacuates the machine
    Ordered, ///< the platform has accepted the command
};

inline constexpr NameTable<MachineTaskState, 2> machineTaskStateNames { {
    { MachineTaskState::Emptying, "emptying" },
    { MachineTaskState::Ordered, "ordered" },
} };

/// A maintenance or move of one machine. It is made durable before the coordinator acts on it.
struct MachineTask {
    std::string machine;
    MachineAction action = MachineAction::Maintain;
    std::int64_t wave = 0; ///< Maintain only
    std::string toPool; ///< Move only
    /// The machine's last known VM before the platform accepted the command; until then, its VM when the task
    /// began. The command has ended it, unless it repeated one that was carried out before. Empty: none.
    std::string oldVm;
    MachineTaskState state = MachineTaskState::Emptying;
    std::string id; ///< unique among all tasks
    bool operator==(const MachineTask&) const = default;
};

/// Row text of a task; decodeTask() returns nothing for malformed text.
std::string encodeTask(const MachineTask& task);
std::optional<MachineTask> decodeTask(std::string_view text);

/// A maintenance wave and its progress.
struct WaveState {
    WaveRequest request;
    TimePoint startedAt {}; ///< when the wave began; its duration counts from here
    std::set<std::string> done; ///< machines whose maintenance is finished
};

/// State of the fleet as the coordinator knows it.
struct FleetState {
    FleetConfig config;
    std::map<std::string, Machine> machines; ///< by id
    std::map<std::string, TimePoint> omittedSince; ///< machines that the last machine list lacks, by id
    std::map<std::string, PoolLoad> loads; ///< by pool
    std::map<std::string, MachineTask> tasks; ///< by machine
    std::map<std::int64_t, WaveState> waves; ///< by number
    std::map<std::string, TimePoint> lastTaskEndedAt; ///< by machine, end of its last task
    std::set<std::pair<std::string, std::string>> refusedMoves; ///< machine and target pool
};

/// Limits of the coordinator.
struct FleetLimits {
    /// Time to evacuate one machine and carry out its maintenance.
    milliseconds timePerMachine { 6000 };
    /// Share of a pool's machines that may be unavailable at once for maintenance.
    double maxUnavailableShare = 0.34;
    /// Waves are planned to finish this long before their deadline, so that one slow machine does not make
    /// the wave late.
    milliseconds waveSafetyMargin { 5000 };
    /// Time in which a pool should finish its backlog; about the slack of a short job.
    milliseconds backlogDrainTime { 1000 };
    /// Factor on the CPU in use or arriving, which leaves capacity for the next jobs.
    double headroomFactor = 1.25;
    /// Idle machines that a pool keeps for its next jobs.
    int minIdleMachines = 1;
    /// Time that a machine stays in its pool after its last task.
    milliseconds minStayTime { 3000 };
    /// A machine counts as removed once all machine lists have lacked it for this time.
    milliseconds removalDelay { 3000 };
};

/// Machines that a pool has and needs.
struct PoolDemand {
    std::string name;
    int machineCount = 0; ///< machines in the pool or moving to it
    int mustStayCount = 0; ///< of these, those with long-running tasks or without a report
    int servingMachines = 0; ///< required by long-running tasks alone
    int minMachines = 0; ///< kept also when long-running tasks of other pools lack machines
    int requiredMachines = 0; ///< without overdue work
    int machinesForOverdueWork = 0; ///< further machines
    std::vector<const Machine*> removable; ///< machines that may be moved away, least loaded first
};

/// Demand of each pool with a known load, without standby pools.
std::vector<PoolDemand> computeDemands(const FleetState& state, const FleetLimits& limits, TimePoint now);
/// Replaces the machines by \p listed. Keeps those that were listed within the removal delay: the pages of a
/// list are read one after the other, so a list may lack a machine while others change their pools.
void updateMachines(
    FleetState& state, std::map<std::string, Machine> listed, const FleetLimits& limits, TimePoint now);
/// New tasks for machines whose maintenance begins now.
std::vector<MachineTask> planMaintenance(const FleetState& state, const FleetLimits& limits, TimePoint now);
/// New moves of machines to pools that need them: standby machines first, then the least loaded machines of
/// pools with a surplus. Machines with long-running tasks are not moved. Pools whose long-running tasks lack
/// machines come first and may get machines that other work needs. Pools get machines for overdue work
/// only from what remains once every pool has what its other work needs.
std::vector<MachineTask> planMoves(const FleetState& state, const FleetLimits& limits, TimePoint now);
/// The pools of machines that have to be evacuated. Each needs a holder, which alone can do that, although it
/// may have neither a queue nor unfinished jobs.
std::set<std::string> poolsToEvacuate(const FleetState& state);
/// Whether the machine is evacuated, so that the coordinator may send the command for the task.
bool maySendCommand(const FleetState& state, const MachineTask& task);
/// Whether the registration is that of the VM which an accepted machine task has ended. Such a VM's last
/// write may arrive after the response to the command, and its entry may stay for some heartbeat intervals.
bool wasVmBeforeItsTask(const FleetState& state, const VmRegistration& vm);
/// Whether the registration can be that of its machine's VM: its pool exists, and is the one in which a
/// machine task that the platform has accepted leaves the machine. Others write entries into the registry,
/// too.
bool canBeVmOfItsMachine(const FleetState& state, const VmRegistration& vm);
/// Whether the task is finished: the machine is up in the right pool and runs a new VM, or is in a standby
/// pool, whose VMs are off.
bool hasMachineReturned(const FleetState& state, const MachineTask& task);
/// Whether the task can't be finished or has become pointless: its machine is down or was removed, or it
/// came up with another VM before the command was sent.
bool isAbandoned(const FleetState& state, const MachineTask& task);
/// Whether maintenance is finished for every machine of the wave that still exists.
bool isComplete(const FleetState& state, const WaveState& wave);

} // namespace damask::fleet
