/// \file
/// Reading of a job's durable record.
#pragma once

#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// Takes over a durable record; false if it can't be read whole.
bool decodeProgress(JobEntry& job, std::string_view progress);
/// The occurrence \p number, made if it does not exist yet.
OccurrenceState& openOccurrence(JobEntry& job, int number);
/// Sets the state that follows from the tasks.
void refreshState(PoolState& state, JobEntry& job);

} // namespace damask::fleet
