/// \file
/// Choice of a VM for tasks that are slower outside a rack: the one with their data, or one that all tasks of
/// their step share.
#pragma once

#include <damaskworks/locality_wait.h>
#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// Which rack a pass prefers for the tasks of a step.
struct StepLocality {
    /// decideLocality() decides for the step: it prefers a rack, the pool's settings name a slowdown
    /// elsewhere, and its tasks need no ticket.
    bool isDecided = false;
    bool isGroup = false; ///< the tasks share a rack, so a decision is for all of them
    bool waits = false; ///< a gang starts in no VM in this pass
    std::string rack; ///< empty: none; the tasks of a group run in more than one
    std::optional<LocalityReason> reason; ///< why a group is spread
};

/// Plans the rack for the tasks of the step that wait.
StepLocality planLocality(
    PoolState& state, JobEntry& job, const WaitingStep& waiting, TimePoint now, WallTime wallNow);

/// VM on which a task should start now.
struct RackChoice {
    VmState* vm = nullptr; ///< nullptr: none has room, or the task waits for its rack
    bool waits = false; ///< for its rack, with room elsewhere
    std::optional<LocalityReason> reason; ///< why it runs elsewhere
};

/// Chooses by planLocality() and decideLocality(), or by chooseVm() if the former leaves the step undecided.
RackChoice chooseByLocality(PoolState& state, const StepLocality& locality, JobEntry& job, const TaskId& id,
    TimePoint now, WallTime wallNow);

/// Records that the task starts on the chosen VM, for the log and the metrics, and ends its wait.
void recordLocality(PoolState& state, const StepLocality& locality, const RackChoice& choice,
    const TaskId& id, TimePoint now);

} // namespace damask::fleet
