/// \file
/// Attribution of VM crashes to tasks. A task may crash each VM that starts it. A crash ends all runs on the
/// VM, so one crash alone does not show which of them caused it. Each task that may have caused one starts
/// next on trial: for some time its VM gets no other starts, and a crash in that time is its own.
#pragma once

#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// Length of the trial with which the next run of the task begins; zero if the task is not suspect.
milliseconds trialLength(const TaskState& task, const PoolLimits& limits);
/// Whether the task's next trial may be shared: several tasks start on a VM at once, and a crash counts for
/// each of them without showing which one caused it.
bool mayShareTrial(const TaskState& task, const PoolLimits& limits, TimePoint now);
/// Whether the trial of the run has not ended. It ends with the first response of the VM after its length.
bool isOnTrial(const VmState& vm, const RunState& run);
/// Ends the trials that are over, so that their VMs get other starts again.
void endTrials(PoolState& state);
/// Marks the runs of a VM that has stopped responding as at risk. A later holder then counts a crash of the
/// VM, even if it takes over before the VM is back.
void markAtRisk(PoolState& state, VmState& vm);
/// Counts the crashes that ended the job's runs of earlier holders. Requires that all VMs have reported that
/// are to.
void attributeEarlierCrashes(PoolState& state, JobEntry& job);
/// Attributes the crash of a VM to its runs: to the run on trial, if there is one, else to all that may have
/// caused it. Fails jobs whose task has crashed too many VMs in its trials, see PoolLimits. Runs in
/// \p survivors, and those whose start was sent at \p before or later, may have been started after the crash.
/// \p isProven: the VM is known to have crashed, and not only silent and unregistered.
void attributeCrash(
    PoolState& state, VmState& vm, const std::set<TaskId>& survivors, TimePoint before, bool isProven);
/// Notes that a VM with runs at risk has responded in the same boot.
void clearRisk(PoolState& state, VmState& vm);
/// Clears the suspicion of a long-running task once its run has outlived the long trial.
void clearSuspicion(
    JobEntry& job, const StepSpec& step, TaskState& task, const PoolLimits& limits, TimePoint now);

} // namespace damask::fleet
