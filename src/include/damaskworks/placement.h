/// \file
/// Job scheduler: assigns jobs to workers, reports why a job waits and preempts lower-priority jobs for
/// urgent ones. All functions work in memory. The caller writes the changed jobs to the table and sends a
/// command for a task only after it has read back the job's row.
/// CPU is in processors and memory in megabytes. A function that names a job expects it in State::jobs,
/// except where its comment says otherwise.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/names.h>
#include <damaskworks/platform.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace damask::placement {

/// Amounts of the resources that a worker offers or a job needs.
struct Resources {
    double cpu = 0; ///< processors
    double memoryMb = 0;
    double accelerators = 0;
    bool operator==(const Resources&) const = default;
};

Resources operator+(const Resources& a, const Resources& b);
Resources operator-(const Resources& a, const Resources& b);
/// Whether \p demand is at most \p available in every resource, within a rounding tolerance.
bool fits(const Resources& demand, const Resources& available);

/// Scheduling priority, highest first. Only urgent jobs preempt others.
enum class Priority { Urgent, Normal, Low };

inline constexpr NameTable<Priority, 3> priorityNames { {
    { Priority::Urgent, "urgent" },
    { Priority::Normal, "normal" },
    { Priority::Low, "low" },
} };

enum class Phase { Queued, Placed, Running, Succeeded, Failed, Unschedulable, Cancelled };

inline constexpr NameTable<Phase, 7> phaseNames { {
    { Phase::Queued, "queued" },
    { Phase::Placed, "placed" },
    { Phase::Running, "running" },
    { Phase::Succeeded, "succeeded" },
    { Phase::Failed, "failed" },
    { Phase::Unschedulable, "unschedulable" },
    { Phase::Cancelled, "cancelled" },
} };

/// Why the scheduler asked for a placed job's task to stop.
enum class StopReason { None, Cancel, Preempt, Drain, Lost };

inline constexpr NameTable<StopReason, 5> stopReasonNames { {
    { StopReason::None, "none" },
    { StopReason::Cancel, "cancel" },
    { StopReason::Preempt, "preempt" },
    { StopReason::Drain, "drain" },
    { StopReason::Lost, "lost" },
} };

/// Specification of a job.
struct JobSpec {
    std::string name;
    std::string pool;
    std::string team;
    Resources declared;
    Priority priority = Priority::Normal;
    std::uint32_t maxAttempts = 3; ///< the job fails permanently after this many failures
    /// Distinguishes successive jobs of the same name.
    std::uint64_t incarnation = 0;
    bool cancelled = false;
    bool operator==(const JobSpec&) const = default;
};

/// Contents of the job's status row.
struct Progress {
    Phase phase = Phase::Queued;
    std::string vm;
    std::string task; ///< unique per attempt
    std::uint64_t epoch = 0; ///< epoch of the lease under which the scheduler placed the attempt
    std::uint32_t attempts = 0;
    StopReason stopReason = StopReason::None;
    std::vector<std::string> failedOn; ///< VM of each failed attempt
    std::string condition; ///< why the job waits, stops or cannot run
    bool operator==(const Progress&) const = default;
};

struct Job {
    JobSpec spec;
    Progress progress;
    Resources reserved; ///< non-zero while placed or running
    std::uint64_t sequence = 0; ///< creation order
};

struct Worker {
    std::string pool;
    std::string rack;
    Resources capacity;
    bool accepting = true; ///< accepts new jobs
    bool draining = false; ///< its jobs must stop and move elsewhere
    Resources used;
    std::set<std::string> jobs; ///< jobs placed or running on this worker
    std::set<std::string> jobsFailedOnlyHere; ///< failures since the last success
    TimePoint quarantinedUntil {}; ///< accepts no jobs before this time, after repeated failures
};

/// A team's resource quota and the sum of its jobs' reservations.
struct Team {
    std::optional<Resources> quota; ///< unset: no limit
    Resources used;
    std::set<std::string> waitingPools; ///< pools with jobs that wait for this quota
};

/// Sort key of a pool's queue: priority, then creation order, then name.
using QueueKey = std::tuple<Priority, std::uint64_t, std::string>;

struct Pool {
    std::set<std::string> workers;
    std::set<QueueKey> queue;
    std::set<std::string> unschedulable;
};

/// Observed resource use of a job class: the jobs of one team whose names differ only in a trailing number.
struct Estimate {
    Resources peak;
    std::uint32_t samples = 0;
};

struct State {
    std::map<std::string, Worker> workers;
    std::map<std::string, Team> teams;
    std::map<std::string, Pool> pools;
    std::map<std::string, Job> jobs;
    std::map<std::string, Estimate> estimates; ///< by jobClassOf()
    std::set<std::string> dirtyPools; ///< the next scheduling pass visits these
    std::set<std::string> changedJobs; ///< progress changed since the last takeChangedJobs()
    std::uint64_t nextSequence = 1;
};

/// Adds or updates a worker. Asks its jobs to stop if it is draining.
void setWorker(State& state, const std::string& vm, const Worker& description);
/// Removes a worker that is permanently gone. Its jobs are requeued or cancelled; an unknown VM is ignored.
void removeWorker(State& state, const std::string& vm);
/// Sets a team's quota, or removes it if \p quota is unset.
void setQuota(State& state, const std::string& team, const std::optional<Resources>& quota);
/// Adds a job or updates its specification, including a cancellation.
void declareJob(State& state, const JobSpec& spec);
/// Removes a job whose resource was deleted; an unknown job is ignored. The caller stops a task that still
/// runs.
void removeJob(State& state, const std::string& job);
/// Replaces a job's progress in memory by the progress read from the table.
void restoreProgress(State& state, const std::string& job, const Progress& progress);

/// Applies a task report. Ignores reports of unknown jobs and of earlier attempts.
void observe(State& state, const TaskReport& report, TimePoint now);
/// Asks for a job's task to stop. The job keeps its resources until a report shows that the task stopped.
void requestStop(State& state, const std::string& job, StopReason stopReason);

/// Runs a scheduling pass: places queued jobs in the pools that changed since the last pass. New attempts
/// carry \p epoch, the epoch of the caller's lease.
void pass(State& state, std::uint64_t epoch, TimePoint now);
/// Returns the jobs whose progress changed since the last call.
std::set<std::string> takeChangedJobs(State& state);

/// Key in State::estimates of the job's class: team and name without trailing digits and hyphens.
std::string jobClassOf(const JobSpec& spec);
/// Resources to reserve for a job: the declared size, corrected by the observed use of its class.
Resources estimatedSize(const State& state, const JobSpec& spec);
/// Whether the phase is terminal.
bool isFinal(Phase phase);
/// Whether a job in this phase holds resources of a worker.
bool holdsWorker(Phase phase);

} // namespace damask::placement
