/// \file
/// Upkeep of the index of waiting steps, and the order in which a pass plans them.
#pragma once

#include <damaskworks/pool_state.h>

#include <vector>

namespace damask::fleet {

/// What keeps tasks from being started in one pass of planStarts().
struct StartBlocks {
    bool isRecoveryComplete = false;
    std::set<TaskId> orphanTasks; ///< a VM still runs them, without being expected to
};

/// Whether an earlier holder may have started tasks of the step on a VM that has not reported.
bool mayHaveUnknownRuns(
    const JobEntry& job, const OccurrenceState& occurrence, int step, const StartBlocks& blocks);
/// Whether the task waits for a VM and may be started. \p mayHaveUnknownRuns is that of its step.
bool isWaiting(const TaskState& task, bool mayHaveUnknownRuns);
/// Whether only the lack of room can keep a task of the step from a VM.
bool isUnconstrained(const PoolState& state, const JobEntry& job, const StepSpec& step);

/// Updates the entries of the jobs that have changed, and of those for which time alone changes them.
void updateWaitingSteps(PoolState& state, const StartBlocks& blocks, WallTime wallNow);
/// The steps that the job has in the index at \p wallNow.
std::vector<IndexedStep> findWaitingSteps(
    const PoolState& state, const JobEntry& job, const StartBlocks& blocks, WallTime wallNow);
/// Removes the job's entries.
void removeWaitingSteps(PoolState& state, JobEntry& job);

/// The waiting steps in the order of planning.
class WaitingStepCursor {
public:
    explicit WaitingStepCursor(const WaitingStepsByNeed& steps);
    /// The next step of a class whose smallest need is at most \p freeCpu; nullptr after the last. The
    /// classes that need more are left out from then on.
    const WaitingStep* next(std::int64_t freeCpu);

private:
    using Position = std::set<WaitingStep>::const_iterator;
    struct Head {
        Position position;
        Position end;
        std::int64_t smallestNeed = 0;
    };
    static bool isLater(const Head& a, const Head& b) { return *b.position < *a.position; }

    std::vector<Head> m_heads; ///< a heap with the earliest step first
};

} // namespace damask::fleet
