#include <damaskworks/job_timing.h>

#include <algorithm>

namespace damask::fleet {
namespace {

/// Multiple of its objective after which a job is overdue instead of late.
constexpr int overdueFactor = 3;

milliseconds remainingCriticalPath(const JobEntry& job, const OccurrenceState& occurrence)
{
    auto steps = job.spec.steps;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        if (occurrence.steps[i].doneTasks == static_cast<int>(occurrence.steps[i].tasks.size()))
            steps[i].estimate = milliseconds(0);
    }
    return criticalPathLength(steps);
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
    if (!queue)
        return job.criticalPath;
    return milliseconds(
               static_cast<std::int64_t>(static_cast<double>(job.criticalPath.count()) * queue->stretch))
        + queue->latencyTarget;
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

bool hasOneObjective(const JobSpec& job)
{
    return job.occurrences == 0 && std::none_of(job.steps.begin(), job.steps.end(), [](const StepSpec& step) {
        return step.longRunning;
    });
}

} // namespace damask::fleet
