/// \file
/// Internal functions shared by the placement sources.
#pragma once

#include <damaskworks/placement.h>

namespace damask::placement {

/// Adds a job to its pool's queue and marks the pool for the next pass.
void enqueue(State& state, Job& job);
/// Removes a job from its pool's queue and its set of unschedulable jobs.
void dequeue(State& state, Job& job);
/// Reserves \p size on the job's worker and in its team's quota.
void reserve(State& state, Job& job, const Resources& size);
/// Releases the job's reservation and marks the pools that may use it for the next pass.
void release(State& state, Job& job);
/// Handles a task that stopped without a result: requeues the job, or marks it as cancelled if a
/// cancellation was requested.
void requeueOrCancel(State& state, Job& job);
/// Marks a pool for the next pass and requeues its unschedulable jobs.
void markPoolDirty(State& state, const std::string& pool);

} // namespace damask::placement
