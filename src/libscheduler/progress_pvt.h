/// \file
/// Restoring a job from its durable record.
#pragma once

#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// Applies a durable record to the job. Returns false if a part of it is malformed; the other parts are
/// applied.
bool decodeProgress(JobEntry& job, std::string_view progress);
/// The occurrence \p number, which has not ended, created if it does not exist yet.
OccurrenceState& openOccurrence(JobEntry& job, int number);
/// Marks the job as completed if all its occurrences have begun and all their tasks are done.
void completeIfDone(PoolState& state, JobEntry& job);

} // namespace damask::fleet
