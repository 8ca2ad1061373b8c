/// \file
/// What jobs ask of the pools and what the pools get done, as far as a node sees it in the table. Kept
/// incrementally: a change of a job costs the same however many there are.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/deployment.h>
#include <damaskworks/job.h>
#include <damaskworks/sliding_sum.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace damask::fleet {

/// Work of a job that a single objective covers. Scheduled and long-running jobs, and tasks that use idle CPU
/// time only, have none.
struct JobWork {
    std::int64_t cpuTime = 0; ///< of all tasks, in core-milliseconds, by their estimates
    milliseconds criticalPath { 0 }; ///< see criticalPathLength()
};

JobWork workOf(const JobSpec& job);

/// Jobs that wait for their first start.
struct WaitingJobs {
    std::int64_t jobs = 0;
    std::int64_t cpuTime = 0; ///< core-milliseconds
};

/// Work of one pool.
struct PoolWorkload {
    /// Waiting jobs by queue and organisation.
    std::map<std::string, std::map<std::string, WaitingJobs, std::less<>>, std::less<>> waiting;
    /// Cores that running jobs use on average, in thousandths.
    std::int64_t runningCpu = 0;
    SlidingSum completedCpuTime { std::chrono::seconds(
        2) }; ///< core-milliseconds of jobs that have completed
};

/// How much of its entitlement an organisation has used: a leaky bucket (Turner, "New Directions in
/// Communications", 1986) that each accepted job fills by one and that empties by `weight` a second.
struct Entitlement {
    double weight = 0; ///< jobs a second; 0: none is set, and nothing is counted
    double used = 0; ///< jobs, at updatedAt
    TimePoint updatedAt {};
};

/// Size of the bucket in bursts; what was accepted while there was room is soon forgotten.
inline constexpr double burstsInBucket = 3;

/// Jobs that an organisation may have accepted at once: those of a second.
double burstOf(const Entitlement& entitlement);
/// Jobs in the bucket at \p now.
double usedAt(const Entitlement& entitlement, TimePoint now);
/// Adds a job, unless the bucket is full.
void recordUse(Entitlement& entitlement, TimePoint now);

/// Work of all pools.
class FleetWorkload {
public:
    explicit FleetWorkload(const Clock& clock)
        : m_clock(clock)
    {
    }
    /// Adds (\p amount 1) or removes (-1) a job as it is recorded: \p state as shown to callers.
    void count(std::string_view pool, std::string_view queue, std::string_view organisation, JobState state,
        const JobWork& work, int amount);
    /// Records that a job was accepted or has completed just now, for the rates.
    void recordAcceptance(std::string_view organisation);
    void recordCompletion(std::string_view pool, const JobWork& work);
    /// Forgets all jobs, but not the rates.
    void clear();
    /// Work of a pool; nullptr if it has had no job.
    const PoolWorkload* pool(std::string_view name) const;
    /// CPU time that the pool gets done, in cores: of the jobs that have completed in the last seconds, or of
    /// those that run if that is more, since their completions lag. 0 if neither is known.
    double throughput(const PoolWorkload& workload) const;
    /// Sets the organisations' weights.
    void setWeights(const FleetConfig& config);
    /// What the organisation has used, from what all nodes have accepted; without one, no weight is set.
    Entitlement entitlement(std::string_view organisation) const;

private:
    const Clock& m_clock;
    std::map<std::string, PoolWorkload, std::less<>> m_pools;
    std::map<std::string, Entitlement, std::less<>> m_entitlements; ///< by organisation
};

} // namespace damask::fleet
