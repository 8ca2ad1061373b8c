/// \file
/// Updates of the index of waiting steps, and the order in which a pass plans them.
#pragma once

#include <damaskworks/pool_plan.h>
#include <damaskworks/pool_state.h>

#include <optional>
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
/// Whether no earlier holder can have had the step ready, so that none has started its tasks.
bool isNewlyReady(const JobEntry& job, const OccurrenceState& occurrence, int step);
/// Sets StartAction::basis and StartAction::unfinishedPredecessor of a start planned at \p now.
void setBasis(const PoolState& state, const StartBlocks& blocks, TimePoint now, StartAction& start);
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

/// A step that a pass plans next.
struct PlannedStep {
    const WaitingStep* step = nullptr;
    bool isRoomIndependent = false; ///< is in the class roomIndependent
};

/// The waiting steps in the order of planning: that of WaitingStep, but after the class of urgency and the
/// excess, organisations above their share come after those below theirs. Without the classes of steps that
/// fit on no VM. The index of waiting steps must not change meanwhile; that of the VMs may.
class WaitingStepCursor {
public:
    WaitingStepCursor(const PoolState& state, PlanScope scope);
    /// The next step; empty after the last. A class that no VM has room for is left out from then on, as is
    /// one whose next step must leave the room to better ones.
    std::optional<PlannedStep> next();

private:
    using Position = std::set<WaitingStep>::const_iterator;
    struct Head {
        Position position;
        Position end;
        Resources smallestNeed; ///< in each dimension, of a task in the class
        bool isRoomIndependent = false;
        PartyNumber party = noParty;
        bool isAboveShare = false;
    };
    static bool isLater(const Head& a, const Head& b);
    bool mayFit(const Head& head) const;
    /// Whether the head's step may not take the last room of the pool, since better ones wait: those in time,
    /// and for excess also the late ones.
    bool mustLeaveRoom(const Head& head) const;

    const VmRoom& m_room;
    const FairShares& m_shares;
    const WaitingSteps& m_index;
    std::vector<Head> m_heads; ///< a heap with the earliest step first
};

} // namespace damask::fleet
