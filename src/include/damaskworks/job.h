/// \file
/// Jobs of a pool. A job is a graph of steps; each step is a number of equal tasks that run on VMs.
#pragma once

#include <damaskworks/names.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damask::fleet {

using std::chrono::milliseconds;
/// Wall-clock time in milliseconds since 1970.
using WallTime = milliseconds;

/// Resources of a VM, or those that one task needs.
struct Resources {
    std::int64_t cpu = 0; ///< thousandths of a core
    std::int64_t memoryMb = 0;
    std::int64_t gpu = 0; ///< number of GPUs
    bool operator==(const Resources&) const = default;
};

/// Whether \p need fits into \p free.
constexpr bool fits(const Resources& need, const Resources& free)
{
    return need.cpu <= free.cpu && need.memoryMb <= free.memoryMb && need.gpu <= free.gpu;
}

constexpr Resources& operator+=(Resources& a, const Resources& b)
{
    a.cpu += b.cpu;
    a.memoryMb += b.memoryMb;
    a.gpu += b.gpu;
    return a;
}

constexpr Resources& operator-=(Resources& a, const Resources& b)
{
    a.cpu -= b.cpu;
    a.memoryMb -= b.memoryMb;
    a.gpu -= b.gpu;
    return a;
}

/// Most tasks of a job, in all its occurrences.
inline constexpr std::int64_t maxTasksPerJob = 100'000;

/// One step of a job: a number of equal tasks.
struct StepSpec {
    int count = 1;
    Resources need; ///< of each task
    milliseconds estimate { 0 }; ///< estimated run time of a task
    std::vector<int> after; ///< indices of earlier steps that must be done first
    bool checkpoints = false; ///< tasks save checkpoints and can resume from them
    bool gang = false; ///< all tasks start together and end together
    bool sameRack = false; ///< prefers one rack for all tasks; they are much slower across racks
    bool speculative = false; ///< several copies of a task may run
    bool longRunning = false; ///< tasks run until the job is cancelled
    bool filler = false; ///< uses idle CPU time only; no CPU is reserved for its tasks
    std::string requiredLabel;
    std::string preferredRack; ///< rack that has the step's data
    std::string image;
    int maxPerVm = 0; ///< most tasks of an occurrence on one VM; 0: no limit
    milliseconds latencyTarget { 0 }; ///< tail latency for users of a long-running task; 0: none
    int maxUnavailable = 0; ///< disruption budget: most tasks that we may make unavailable at once
};

/// A job as its caller submitted it, with what was fixed when it was accepted.
struct JobSpec {
    std::string id;
    std::string queue;
    std::string pool; ///< pool of the queue at the time of acceptance
    std::string organisation; ///< whose key submitted it; empty: a public queue's or an earlier version's
    std::string spec; ///< opaque, passed to the tasks; kept in a row of its own, see specBytes
    std::size_t specBytes = 0; ///< size of spec, known also before spec itself is loaded
    std::vector<StepSpec> steps;
    int occurrences = 0; ///< number of executions of a scheduled job; 0: the job runs once
    WallTime firstDue { 0 }; ///< due time of the first occurrence
    milliseconds period { 0 }; ///< between occurrences
    WallTime acceptedAt { 0 };
    int maxAttempts = 1; ///< of the queue at the time of acceptance; used if the queue is removed
};

/// Identifies a step of an occurrence of a job.
struct StepId {
    std::string job;
    int occurrence = 0;
    int step = 0;
    auto operator<=>(const StepId&) const = default;
};

/// `JOB.OCCURRENCE.STEP`.
std::string toString(const StepId& step);

/// Identifies a task of a job.
struct TaskId {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;
    auto operator<=>(const TaskId&) const = default;
};

/// `JOB.OCCURRENCE.STEP.INDEX`.
std::string toString(const TaskId& task);
/// Parses the result of toString(); returns nothing for malformed text.
std::optional<TaskId> parseTaskId(std::string_view text);

/// State of a job, as shown to its caller.
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

inline constexpr NameTable<JobState, 5> jobStateNames { {
    { JobState::Queued, "queued" },
    { JobState::Running, "running" },
    { JobState::Completed, "completed" },
    { JobState::Failed, "failed" },
    { JobState::Cancelled, "cancelled" },
} };

constexpr bool isFinal(JobState state) { return state >= JobState::Completed; }

/// Length of the critical path: the largest sum of estimates along a chain of dependent steps. Steps must
/// come after those that they depend on.
milliseconds criticalPathLength(const std::vector<StepSpec>& steps);

/// Row text of a job, without its spec. decodeJob() returns nothing for malformed text and for a job that no
/// submission can have, such as one with numbers out of range.
std::string encodeJob(const JobSpec& job);
std::optional<JobSpec> decodeJob(std::string_view text);

} // namespace damask::fleet
