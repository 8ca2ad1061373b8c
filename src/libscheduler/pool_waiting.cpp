/// \file
/// Which tasks of a pool wait for what, for the log.
#include <damaskworks/pool_plan.h>

#include "crash_attribution_pvt.h"
#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"
#include "waiting_steps_pvt.h"

#include <algorithm>

namespace damask::fleet {
namespace {

WaitingServingStep describeWaiting(
    const PoolState& state, const JobEntry& job, const StepId& id, TimePoint now)
{
    WaitingServingStep out { .step = id, .need = reservedBy(stepOf(job, id.step)) };
    const auto& tasks = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].done || tasks[i].run)
            continue;
        out.suspectTasks += tasks[i].isSuspect;
        if (++out.tasks > 1)
            continue;
        const TaskId task { id.job, id.occurrence, id.step, static_cast<int>(i) };
        for (const auto& [name, vm] : state.vms)
            ++out.vms[findObstacle(state, vm, job, task, now)];
    }
    return out;
}

/// Adds the waiting suspect tasks of a step.
void addWaitingSuspects(
    const JobEntry& job, const StepId& id, const PoolLimits& limits, TimePoint now, WaitingSuspects& out)
{
    const auto& tasks = job.occurrences.at(id.occurrence).steps[static_cast<std::size_t>(id.step)].tasks;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const auto& task = tasks[i];
        if (task.done || task.run || !task.isSuspect)
            continue;
        out.longTrials += trialLength(task, limits) == limits.longTrial;
        const auto waited = task.waitsForTrialSince == TimePoint {}
            ? milliseconds(0)
            : std::chrono::duration_cast<milliseconds>(now - task.waitsForTrialSince);
        if (++out.tasks > 1 && waited <= out.longest)
            continue;
        out.longest = waited;
        out.longestTask = { job.spec.id, id.occurrence, id.step, static_cast<int>(i) };
    }
}

} // namespace

std::vector<WaitingServingStep> findWaitingServingSteps(
    const PoolState& state, TimePoint now, std::size_t limit)
{
    std::vector<WaitingServingStep> out;
    for (const auto& [id, job] : state.jobs) {
        if (isFinal(job.state))
            continue;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (int s = 0; s < static_cast<int>(occurrence.steps.size()); ++s) {
                if (!stepOf(job, s).longRunning || !isStepReady(job, occurrence, s))
                    continue;
                auto waiting = describeWaiting(state, job, { id, number, s }, now);
                if (waiting.tasks > 0)
                    out.push_back(std::move(waiting));
                if (out.size() >= limit)
                    return out;
            }
        }
    }
    return out;
}

WaitingSuspects findWaitingSuspects(PoolState& state, TimePoint now)
{
    WaitingSuspects out;
    for (const auto& [id, job] : state.jobs) {
        if (isFinal(job.state))
            continue;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (int s = 0; s < static_cast<int>(occurrence.steps.size()); ++s) {
                if (isStepReady(job, occurrence, s))
                    addWaitingSuspects(job, { id, number, s }, state.limits, now, out);
            }
        }
    }
    if (out.tasks == 0)
        return out;
    const auto& job = state.jobs.find(out.longestTask.job)->second;
    for (const auto& [name, vm] : state.vms)
        ++out.vms[findTrialObstacle(state, vm, job, out.longestTask, now)];
    return out;
}

} // namespace damask::fleet
