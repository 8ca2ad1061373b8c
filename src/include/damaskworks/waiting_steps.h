/// \file
/// Steps with tasks that wait for a VM, in the order in which they are planned. The index is updated with
/// each change of a job, so that the cost of a planning pass follows the changes and starts and not the
/// backlog.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/fair_share.h>
#include <damaskworks/job.h>

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace damask::fleet {

/// Scheduling class of a waiting step, most urgent first.
enum class Urgency {
    Serving, ///< long-running tasks: users notice any time without them
    InTime, ///< see Timeliness
    Late,
    Overdue,
};

/// A step with tasks that wait for a VM, ordered by the time at which it is planned.
struct WaitingStep {
    bool isExcess = false; ///< see JobEntry; never set for long-running tasks
    Urgency urgency = Urgency::InTime;
    int priority = 0; ///< of the queue, see Queue
    WallTime objective { 0 }; ///< time by which the occurrence should have ended
    std::string job;
    int step = 0;
    int occurrence = 0;
    auto operator<=>(const WaitingStep&) const = default;
};

/// Class of the steps of an organisation whose tasks need similar resources: the classes of their CPU and
/// memory by sizeClass().
struct NeedClass {
    int cpu = 0;
    int memory = 0;
    PartyNumber party = noParty;
    auto operator<=>(const NeedClass&) const = default;
};

/// Class of the steps that are planned whatever room there is: without a VM, their tasks reserve one or wait
/// for a trial.
inline constexpr NeedClass roomIndependent {};

/// Waiting steps of one class.
struct WaitingStepsOfClass {
    std::set<WaitingStep> steps;
    std::multiset<std::int64_t> cpu; ///< that a task of each step needs
    std::multiset<std::int64_t> memoryMb; ///< the same
};

/// Waiting steps grouped by what each of their tasks needs.
using WaitingStepsByNeed = std::map<NeedClass, WaitingStepsOfClass>;

/// An entry of WaitingStepsByNeed.
struct IndexedStep {
    NeedClass needClass;
    Resources need; ///< of a task
    WaitingStep step;
    Resources waiting; ///< needs of all its waiting tasks, if they count in FairShares
};

/// Index of the waiting steps of a pool.
struct WaitingSteps {
    WaitingStepsByNeed byNeed;
    /// Jobs whose entries change at a certain time without an event: a step becomes late or overdue, or the
    /// next occurrence becomes due.
    std::set<std::pair<WallTime, std::string>> jobsByTime;
    // Of the steps that are not excess:
    int inTimeSteps = 0; ///< with Urgency::InTime
    int lateSteps = 0; ///< with Urgency::Late
    WallTime updatedAt { 0 }; ///< of the last update
    bool wasRecoveryComplete = false; ///< at the last update
};

/// Class of a size, at least 1. The sizes of a class differ by less than a quarter of the smallest.
int sizeClass(std::int64_t size);

} // namespace damask::fleet
