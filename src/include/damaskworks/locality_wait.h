/// \file
/// Whether a task waits for room in the rack that has its data or the other tasks of its step, or runs
/// elsewhere at once, where it takes longer. Functions over plain structs; the holder asks anew with each
/// pass.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/job.h>
#include <damaskworks/names.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace damask::fleet {

/// What a decision depends on. All times count from the decision.
struct LocalityQuestion {
    /// Expected time until the rack has room, for the last task of a group; empty: no room is expected.
    std::optional<milliseconds> untilRoom;
    milliseconds runTime { 0 }; ///< that remains of the task, in the rack
    double farSlowdown = 1; ///< factor of the remaining run time elsewhere
    milliseconds untilLate {
        0
    }; ///< latest start in the rack with which the job ends in time; may be negative
    milliseconds untilOverdue { 0 }; ///< the same for a job that ends late, but not overdue
    milliseconds waited { 0 }; ///< that the task has waited for a rack already
    milliseconds maxWait { 0 }; ///< longest wait in all
};

enum class LocalityChoice { Wait, Elsewhere };

enum class LocalityReason {
    Sooner, ///< the run in the rack is expected to end before one elsewhere would
    NoRoomExpected, ///< the rack has no VM for the task, or none gets room
    NotSooner, ///< the wait is as long as what the rack saves
    Bound, ///< the wait would exceed LocalityQuestion::maxWait
    /// The job would end in time (or late but not overdue) from elsewhere, and would not if the room failed
    /// to come and the task started elsewhere after the wait.
    Objective,
};

inline constexpr NameTable<LocalityReason, 5> localityReasonNames { {
    { LocalityReason::Sooner, "sooner" },
    { LocalityReason::NoRoomExpected, "no_room_expected" },
    { LocalityReason::NotSooner, "not_sooner" },
    { LocalityReason::Bound, "bound" },
    { LocalityReason::Objective, "objective" },
} };

struct LocalityDecision {
    LocalityChoice choice = LocalityChoice::Elsewhere;
    LocalityReason reason = LocalityReason::NotSooner;
    bool operator==(const LocalityDecision&) const = default;
};

LocalityDecision decideLocality(const LocalityQuestion& question);

/// A run, as far as its end can be foreseen.
struct RunOutlook {
    milliseconds estimate { 0 }; ///< of the run's time where it runs
    TimePoint startedAt {};
    int percent = 0; ///< reported progress; 0: none
    TimePoint progressAt {}; ///< when percent was first reported
};

/// Expected end of a run, later than \p now. Its progress over at least half the estimate and the estimate
/// are compared, and the later end counts. A run past that is expected to last as long again as it is past
/// it.
TimePoint expectedEnd(const RunOutlook& run, TimePoint now);

/// Resources that the expected end of a run frees.
struct ExpectedEnd {
    TimePoint at {};
    Resources freed;
};

/// A VM of a rack, for a task that may run on it.
struct RackVm {
    Resources free; ///< may be negative: tasks that wait in front have been promised more
    std::vector<ExpectedEnd> ends; ///< earliest first
    int openings = 0; ///< how many more tasks of the step may run on it at once
};

/// Expected room for a task.
struct ExpectedRoom {
    std::size_t vm = 0; ///< position of the VM in the rack
    milliseconds in { 0 }; ///< time until it has room
};

/// The earliest room that a VM of the rack is expected to have for a task; empty if none is expected.
std::optional<ExpectedRoom> findEarliestRoom(
    const std::vector<RackVm>& rack, const Resources& need, TimePoint now);

/// Whether the tasks of a group run only together, or a task may follow another on the same room.
enum class GroupKind { Together, InTurn };

/// Time until the last of \p count tasks of a group has room in the rack; empty if no room is expected for
/// one. \p runTime is that of a task.
std::optional<milliseconds> findGroupRoom(std::vector<RackVm> rack, const Resources& need, int count,
    GroupKind kind, milliseconds runTime, TimePoint now);

/// Number of tasks, at most \p limit, that have room in the rack now.
int countOpenings(const std::vector<RackVm>& rack, const Resources& need, int limit);

/// What is kept of a VM in the index of racks.
struct VmOutlook {
    std::vector<ExpectedEnd> ends; ///< of its runs, earliest first
    std::optional<std::uint32_t> changeCount; ///< VmState::changeCount that ends are of; empty: none yet
    Resources promised; ///< to tasks that a pass has left waiting for it
    std::uint64_t promisedIn = 0; ///< the pass, see VmRoom::passes
};

/// Where a task with a locality was placed.
enum class LocalityPlace { InRack, Elsewhere };

inline constexpr NameTable<LocalityPlace, 2> localityPlaceNames { {
    { LocalityPlace::InRack, "in_rack" },
    { LocalityPlace::Elsewhere, "elsewhere" },
} };

/// A start of such a task, for the log and the metrics.
struct LocalityPlacement {
    TaskId task;
    std::string vm;
    std::string rack; ///< that it was to run in; empty: the group was spread
    LocalityPlace place = LocalityPlace::InRack;
    std::optional<LocalityReason> reason; ///< why it runs elsewhere, if that was decided in this pass
    milliseconds waited { 0 }; ///< for a rack, with room elsewhere
};

} // namespace damask::fleet
