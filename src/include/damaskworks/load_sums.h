/// \file
/// Sums of a pool's load, kept up to date with each change of a VM or job.
#pragma once

#include <damaskworks/fleet_plan.h>
#include <damaskworks/job.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace damask::fleet {

/// Part of a PoolLoad that one job contributes.
struct JobLoad {
    std::int64_t waitingCpu = 0;
    std::int64_t waitingWork = 0;
    std::int64_t overdueCpu = 0;
    std::int64_t overdueWork = 0;
    std::int64_t overdueUsedCpu = 0;
    std::int64_t waitingServingCpu = 0;
    std::int64_t unfitCpu = 0;
    int minMachines = 0;
};

/// Part of a PoolLoad that one VM contributes.
struct VmLoad {
    std::string machine;
    std::int64_t usedCpu = 0;
    std::int64_t servingCpu = 0;
    std::int64_t capacityCpu = 0;
    std::optional<Resources> room; ///< beside its long-running tasks, if it accepts work
    std::optional<int> runs; ///< if it counts as running something
    bool isServing = false; ///< its machine must not be moved away
    bool hasRuns = false;
    std::optional<std::string> evacuatedFor; ///< MachineTask::id, if it is evacuated and has reported
};

/// Sums of the contributions of all jobs and VMs.
struct LoadSums {
    JobLoad jobs; ///< minMachines is not used
    std::multiset<int> minMachines; ///< of the jobs that have one
    std::set<std::string> servingJobs; ///< jobs with long-running steps
    /// Jobs that become overdue at a certain time.
    std::set<std::pair<WallTime, std::string>> jobsByTime;
    std::map<std::tuple<std::int64_t, std::int64_t, std::int64_t>, int> rooms; ///< number of VMs by room
    /// The rooms that no other room contains; what fits on some VM fits into one of them.
    std::vector<Resources> largestRooms;
    std::map<std::string, std::set<std::string>> vmsByMachine;
    PoolLoad vms; ///< usedCpu, servingCpu, capacityCpu, workingMachines, runs, serving and empty
    WallTime updatedAt { 0 };
};

} // namespace damask::fleet
