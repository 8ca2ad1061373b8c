/// \file
/// Second runs (copies) of stragglers: tasks of speculative steps that take far longer than others of their
/// kind. Of a task's two runs, the first that ends counts, and the other is stopped.
#pragma once

#include <damaskworks/pool_state.h>

#include <vector>

namespace damask::fleet {

/// Whether the tasks of the step may have copies.
bool isCopyable(const StepSpec& step);
/// Whether a run that the VM lists may be adopted as the task's second run.
bool mayAdoptCopy(const StepSpec& step, const TaskState& task, std::string_view vm);

/// A run that is expected to take far longer than a copy of it would.
struct Straggler {
    TaskId task;
    milliseconds remaining { 0 }; ///< expected time until the run ends
    milliseconds copyTime { 0 }; ///< expected run time of a copy, in the step's rack if it has one
};

/// The stragglers without a copy, that with the most remaining time first. Looks for them only now and then;
/// none in between, and while starts are limited.
std::vector<Straggler> findStragglers(PoolState& state, TimePoint now);

/// VM for a copy of the straggler, with room that no waiting task could use; nullptr if there is none, or if
/// enough copies run.
VmState* chooseCopyVm(PoolState& state, const Straggler& straggler, TimePoint now);

/// Records the run time of a copyable task that ends, and which of its two runs has ended first.
void recordEndOfCopied(PoolState& state, JobEntry& job, const EndReport& end, const TaskState& task,
    const RunState& run, TimePoint now);

} // namespace damask::fleet
