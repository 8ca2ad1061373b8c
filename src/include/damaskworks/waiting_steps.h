/// \file
/// Steps with tasks that wait for a VM, in the order in which they are planned. The index is kept up to date
/// with each change of a job, so that a planning pass costs what has changed and what it starts, and not what
/// waits.
#pragma once

#include <damaskworks/clock.h>
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
    Urgency urgency = Urgency::InTime;
    int priority = 0; ///< of the queue, see Queue
    WallTime objective { 0 }; ///< time by which the occurrence should have ended
    std::string job;
    int step = 0;
    int occurrence = 0;
    auto operator<=>(const WaitingStep&) const = default;
};

/// Steps grouped by the CPU that each of their tasks needs, see needClass().
using WaitingStepsByNeed = std::map<int, std::set<WaitingStep>>;

/// An entry of WaitingStepsByNeed.
struct IndexedStep {
    int needClass = 0;
    WaitingStep step;
};

/// Index of the waiting steps of a pool.
struct WaitingSteps {
    WaitingStepsByNeed byNeed;
    /// Jobs whose entries change at a certain time without an event: a step becomes late or overdue, or the
    /// next occurrence becomes due.
    std::set<std::pair<WallTime, std::string>> jobsByTime;
    WallTime updatedAt { 0 }; ///< of the last update
    bool wasRecoveryComplete = false; ///< at the last update
};

/// Class of the steps whose tasks need \p cpu thousandths of a core; 0 for steps that other things than room
/// may keep from a VM. The needs of a class differ by less than an eighth.
int needClass(std::int64_t cpu);
/// Least CPU of a task in the class; -1 for class 0, whose steps are planned whatever room there is.
std::int64_t smallestNeed(int needClass);

} // namespace damask::fleet
