#include <damaskworks/job_timing.h>

#include <absl/container/inlined_vector.h>
#include <algorithm>

namespace damask::fleet {
namespace {

/// A time by the estimates, as the job's queue has taken in the past.
milliseconds scaled(const JobEntry& job, milliseconds estimate)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(estimate.count()) * job.timeFactor));
}

/// Most jobs have fewer steps, for which no memory is allocated.
constexpr std::size_t usualStepCount = 16;

milliseconds remainingCriticalPath(const JobEntry& job, const OccurrenceState& occurrence)
{
    const auto& steps = job.spec.steps;
    absl::InlinedVector<milliseconds, usualStepCount> ends(steps.size());
    milliseconds longest { 0 };
    for (std::size_t i = 0; i < steps.size(); ++i) {
        for (int before : steps[i].after)
            ends[i] = std::max(ends[i], ends[static_cast<std::size_t>(before)]);
        const auto& step = occurrence.steps[i];
        if (step.doneTasks < static_cast<int>(step.tasks.size()))
            ends[i] += steps[i].estimate;
        longest = std::max(longest, ends[i]);
    }
    return scaled(job, longest);
}

} // namespace

WallTime dueAt(const JobEntry& job, int occurrence)
{
    if (job.spec.occurrences == 0)
        return job.spec.acceptedAt;
    return job.spec.firstDue + job.spec.period * occurrence;
}

milliseconds objectiveDuration(const JobEntry& job, const Queue* queue)
{
    const auto path = scaled(job, job.criticalPath);
    return queue ? objectiveDuration(path, *queue) : path;
}

milliseconds objectiveDuration(milliseconds criticalPath, const Queue& queue)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(criticalPath.count()) * queue.stretch))
        + queue.latencyTarget;
}

Timeliness timelinessOf(milliseconds took, milliseconds objective)
{
    if (took <= objective)
        return Timeliness::InTime;
    return took <= objective * overdueFactor ? Timeliness::Late : Timeliness::Overdue;
}

Timeliness earliestTimeliness(
    const JobEntry& job, int number, const OccurrenceState& occurrence, const Queue* queue, WallTime wallNow)
{
    const auto took = wallNow + remainingCriticalPath(job, occurrence) - dueAt(job, number);
    return timelinessOf(took, objectiveDuration(job, queue));
}

WallTime startOf(Timeliness timeliness, const JobEntry& job, int number, const OccurrenceState& occurrence,
    const Queue* queue)
{
    const auto remaining = remainingCriticalPath(job, occurrence);
    const auto objective = objectiveDuration(job, queue);
    const auto limit = timeliness == Timeliness::Overdue ? objective * overdueFactor : objective;
    return dueAt(job, number) + limit - remaining + WallTime(1);
}

bool hasOneObjective(const JobSpec& job)
{
    return job.occurrences == 0 && std::none_of(job.steps.begin(), job.steps.end(), [](const StepSpec& step) {
        return step.longRunning;
    });
}

} // namespace damask::fleet
