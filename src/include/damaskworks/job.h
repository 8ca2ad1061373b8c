/// \file
/// Jobs of a pool: steps in order, each with tasks that run on VMs.
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
/// A calendar instant in milliseconds since 1970.
using WallTime = milliseconds;

/// Resources of a VM, or of one task.
struct Resources {
    std::int64_t cpu = 0; ///< thousandths of a core
    std::int64_t memoryMb = 0;
    std::int64_t gpu = 0;
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

/// One step of a job: a number of equal tasks.
struct StepSpec {
    int count = 1;
    Resources need; ///< of each task
    milliseconds estimate { 0 }; ///< rough run time of a task
    std::vector<int> after; ///< steps whose tasks must all be done first
    bool checkpoints = false; ///< tasks save their progress
    bool gang = false; ///< all tasks start together and end together
    bool sameRack = false; ///< tasks are much slower when spread over racks
    bool speculative = false; ///< several copies of a task may run
    bool longRunning = false; ///< tasks run until the job is cancelled
    bool filler = false; ///< uses processor time that others leave; its processors are not reserved
    std::string requiredLabel;
    std::string preferredRack; ///< where the step's data is
    std::string image;
    int maxPerVm = 0; ///< 0: no limit
    milliseconds latencyTarget { 0 }; ///< of the users that a long-running task serves; 0: none
    int maxUnavailable = 0; ///< tasks that may be unavailable at once through our own actions
};

/// A job as its caller submitted it.
struct JobSpec {
    std::string id;
    std::string queue;
    std::string pool; ///< that the queue was routed to at the time of acceptance
    std::string spec; ///< passed to the tasks unread; kept in a row of its own, see specBytes
    std::size_t specBytes = 0; ///< size of spec, also where spec itself has not been read
    std::vector<StepSpec> steps;
    int occurrences = 0; ///< of a scheduled job; 0: the job runs once
    WallTime firstDue { 0 };
    milliseconds period { 0 };
    WallTime acceptedAt { 0 };
    int maxAttempts = 1; ///< of the queue at the time of acceptance; counts once the queue is gone
};

/// Names one step of an occurrence of a job.
struct StepId {
    std::string job;
    int occurrence = 0;
    int step = 0;
    auto operator<=>(const StepId&) const = default;
};

/// `JOB.OCCURRENCE.STEP`.
std::string toString(const StepId& step);

/// Names one task of a job.
struct TaskId {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;
    auto operator<=>(const TaskId&) const = default;
};

/// `JOB.OCCURRENCE.STEP.INDEX`.
std::string toString(const TaskId& task);
/// Inverse of toString(); nothing if malformed.
std::optional<TaskId> parseTaskId(std::string_view text);

/// States of a job as its caller sees them.
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

inline constexpr NameTable<JobState, 5> jobStateNames { {
    { JobState::Queued, "queued" },
    { JobState::Running, "running" },
    { JobState::Completed, "completed" },
    { JobState::Failed, "failed" },
    { JobState::Cancelled, "cancelled" },
} };

constexpr bool isFinal(JobState state) { return state >= JobState::Completed; }

/// Longest chain of estimated run times through the steps.
milliseconds longestChain(const std::vector<StepSpec>& steps);

/// Row text of a job, without its spec; decodeJob() gives nothing for text that encodeJob() did not make.
std::string encodeJob(const JobSpec& job);
std::optional<JobSpec> decodeJob(std::string_view text);

} // namespace damask::fleet
