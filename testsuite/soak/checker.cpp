#include "checker.h"

#include <algorithm>
#include <iostream>

namespace damask::soak {
namespace {

/// A task of a cancelled job may start this long after the cancellation was acknowledged; cancel_ms of
/// the deployments.
constexpr std::chrono::milliseconds cancelBound { 3000 };

} // namespace

void Checker::reportViolation(const std::string& what)
{
    faults.push_back(what);
    std::cout << "broken: " << what << std::endl;
}

void Checker::checkStart(
    const JobCheck& job, const std::string& vm, const std::string& pool, const TaskId& task)
{
    const auto name = toString(task) + " on " + vm;
    if (pool != job.queue.pool)
        reportViolation(name + " runs in pool " + pool);
    if (job.handed == Handed::Refused)
        reportViolation(name + " runs though its job was refused");
    if (job.isCancelled() && std::chrono::steady_clock::now() - job.cancelledAt > cancelBound)
        reportViolation(name + " starts long after its job was cancelled");
    for (const int before : job.spec.steps[static_cast<std::size_t>(task.step)].after) {
        const int wanted = job.spec.steps[static_cast<std::size_t>(before)].count;
        const auto done = std::count_if(job.tasks.begin(), job.tasks.end(),
            [&](const auto& entry) { return entry.first.step == before && entry.second.done; });
        if (done < wanted)
            reportViolation(name + " starts before step " + std::to_string(before) + " is done");
    }
}

void Checker::started(const std::string& vm, const std::string& pool, const TaskId& task, std::uint32_t run,
    const std::string& spec)
{
    ++runs;
    const auto found = jobs.find(task.job);
    if (found == jobs.end() || spec != found->second.spec.spec)
        return reportViolation(toString(task) + " on " + vm + " was not asked for");
    auto& job = found->second;
    ++job.starts;
    checkStart(job, vm, pool, task);
    auto& check = job.tasks[task];
    if (!check.live.empty())
        reportViolation(toString(task) + " runs twice, run " + std::to_string(run) + " on " + vm);
    if (check.doneNoted)
        reportViolation(toString(task) + " runs again after its end was recorded, on " + vm);
    if (!job.lasts() && static_cast<int>(check.failedNoted.size()) >= job.queue.maxAttempts)
        reportViolation(toString(task) + " runs after all its attempts");
    check.live.insert(run);
}

void Checker::ended(const std::string&, const TaskId& task, std::uint32_t run, const std::string& how)
{
    auto& check = jobs[task.job].tasks[task];
    check.live.erase(run);
    check.done = check.done || how == "done";
}

void Checker::acknowledged(const TaskId& task, std::uint32_t run, const std::string& how)
{
    auto& check = jobs[task.job].tasks[task];
    check.doneNoted = check.doneNoted || how == "done";
    if (how == "failed")
        check.failedNoted.insert(run);
}

void Checker::refused(const std::string& id)
{
    auto& job = jobs.at(id);
    job.handed = Handed::Refused;
    if (job.starts > 0)
        reportViolation(id + " was refused though it runs");
}

void Checker::shown(const std::string& id, const std::string& state)
{
    auto& job = jobs.at(id);
    job.finalState = state;
    if (state == "failed" && !job.alwaysFails)
        reportViolation(id + " is shown as failed");
    if (state == "cancelled" && !job.cancelAsked)
        reportViolation(id + " is shown as cancelled");
    if (state != "completed")
        return;
    std::size_t wanted = 0;
    for (const auto& step : job.spec.steps)
        wanted += static_cast<std::size_t>(step.count);
    const auto done = std::count_if(
        job.tasks.begin(), job.tasks.end(), [](const auto& entry) { return entry.second.done; });
    if (static_cast<std::size_t>(done) < wanted)
        reportViolation(
            id + " is shown as completed with " + std::to_string(done) + " of " + std::to_string(wanted));
}

bool Checker::isSettled(const JobCheck& job) const
{
    return job.handed == Handed::Refused || !job.finalState.empty();
}

int Checker::liveRuns() const
{
    int live = 0;
    for (const auto& [id, job] : jobs) {
        for (const auto& [task, check] : job.tasks)
            live += static_cast<int>(check.live.size());
    }
    return live;
}

} // namespace damask::soak
