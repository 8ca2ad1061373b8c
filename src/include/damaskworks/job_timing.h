/// \file
/// Completion-time objectives of jobs, and whether jobs meet them.
#pragma once

#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// Actual or earliest possible end of a job, compared with its objective.
enum class Timeliness {
    InTime,
    Late, ///< misses the objective, but the result still has some value
    Overdue, ///< the result has almost no value, but the job still has to be finished
};

inline constexpr NameTable<Timeliness, 3> timelinessNames { {
    { Timeliness::InTime, "in_time" },
    { Timeliness::Late, "late" },
    { Timeliness::Overdue, "overdue" },
} };

/// Multiple of its objective after which a job is overdue instead of late.
inline constexpr int overdueFactor = 3;

/// Due time of an occurrence. A job that is not scheduled is due when it is accepted.
WallTime dueAt(const JobEntry& job, int occurrence);
/// Time from dueAt() until the job should have ended: the critical path, stretched and extended as the queue
/// sets it. With nullptr for \p queue it is the critical path alone.
milliseconds objectiveDuration(const JobEntry& job, const Queue* queue);
/// The same for a job of \p queue with this critical path.
milliseconds objectiveDuration(milliseconds criticalPath, const Queue& queue);
/// Compares the time \p took, counted from dueAt(), with the objective.
Timeliness timelinessOf(milliseconds took, milliseconds objective);
/// Timeliness of an occurrence if all its tasks that are not done started at \p wallNow. \p queue may be
/// nullptr.
Timeliness earliestTimeliness(
    const JobEntry& job, int number, const OccurrenceState& occurrence, const Queue* queue, WallTime wallNow);
/// When an occurrence whose tasks don't start gets the timeliness, Late or Overdue, by earliestTimeliness().
WallTime startOf(Timeliness timeliness, const JobEntry& job, int number, const OccurrenceState& occurrence,
    const Queue* queue);
/// Whether a single objective covers the job: it is not scheduled and has no long-running tasks.
bool hasOneObjective(const JobSpec& job);

} // namespace damask::fleet
