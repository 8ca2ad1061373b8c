#include "checker.h"

#include <algorithm>
#include <iostream>

namespace damask::soak {
namespace {

/// A task of a cancelled job may still start within this time after the acknowledgement of the
/// cancellation. Equals cancel_ms of the deployments.
constexpr std::chrono::milliseconds maxStartAfterCancel { 3000 };
/// A task that has crashed so many VMs must not start so many times more.
constexpr int maxCrashedVms = 3;
constexpr int forbiddenStartAfterCrashes = 3;
/// The job of a task under which so many VMs have crashed may be given up.
constexpr int crashedVmsToGiveUp = 2;

bool mayBeShownAsFailed(const JobRecord& job)
{
    return std::any_of(job.tasks.begin(), job.tasks.end(), [&](const auto& entry) {
        const TaskRecord& record = entry.second;
        return static_cast<int>(record.failures.size()) >= job.queue.maxAttempts
            || (job.crashesVms && record.lostVmCount >= crashedVmsToGiveUp);
    });
}

} // namespace

void Checker::reportViolation(const std::string& what)
{
    violations.push_back(what);
    std::cout << "violation: " << what << std::endl;
}

void Checker::checkStart(
    const JobRecord& job, const std::string& vm, const std::string& pool, const TaskId& task)
{
    const auto name = toString(task) + " on " + vm;
    if (pool != job.queue.pool)
        reportViolation(name + " runs in the wrong pool " + pool);
    if (job.submissionResult == SubmissionResult::Refused)
        reportViolation(name + " runs although its job was refused");
    if (job.isCancelled() && std::chrono::steady_clock::now() - job.cancelledAt > maxStartAfterCancel)
        reportViolation(name + " starts too long after its job was cancelled");
    for (const int dependency : job.spec.steps[static_cast<std::size_t>(task.step)].after) {
        const int required = job.spec.steps[static_cast<std::size_t>(dependency)].count;
        const auto done = std::count_if(job.tasks.begin(), job.tasks.end(), [&](const auto& entry) {
            return entry.first.step == dependency && entry.first.occurrence == task.occurrence
                && entry.second.isDone;
        });
        if (done < required)
            reportViolation(name + " starts before step " + std::to_string(dependency) + " is done");
    }
}

void Checker::started(const std::string& vm, const std::string& pool, const TaskId& task, std::uint32_t run,
    const std::string& spec)
{
    ++runCount;
    const auto found = jobs.find(task.job);
    if (found == jobs.end() || spec != found->second.spec.spec)
        return reportViolation(
            toString(task) + " on " + vm + " belongs to no submitted job or has another spec");
    auto& job = found->second;
    ++job.startCount;
    checkStart(job, vm, pool, task);
    auto& record = job.tasks[task];
    for (const auto& [otherVm, otherRun] : record.activeRuns)
        reportViolation(toString(task) + " starts while another run is active, run " + std::to_string(run)
            + " on " + vm + " beside run " + std::to_string(otherRun) + " on " + otherVm);
    if (record.isDoneAcknowledged)
        reportViolation(toString(task) + " starts again after its completion was acknowledged, on " + vm);
    checkBudget(job, record, toString(task));
    record.activeRuns.insert({ vm, run });
}

void Checker::checkBudget(const JobRecord& job, TaskRecord& record, const std::string& name)
{
    if (job.isLongRunning())
        return;
    if (static_cast<int>(record.acknowledgedFailures.size()) >= job.queue.maxAttempts)
        reportViolation(name + " starts again after its last attempt");
    if (record.crashedVmCount >= maxCrashedVms && ++record.startsAfterCrashes == forbiddenStartAfterCrashes)
        reportViolation(name + " has crashed " + std::to_string(maxCrashedVms) + " VMs and was started "
            + std::to_string(forbiddenStartAfterCrashes) + " times more");
}

void Checker::ended(const std::string& vm, const TaskId& task, std::uint32_t run, const std::string& how)
{
    auto& record = jobs[task.job].tasks[task];
    record.activeRuns.erase({ vm, run });
    record.isDone = record.isDone || how == "done";
    if (how == "failed")
        record.failures.insert(run);
    if (how.empty())
        ++record.lostVmCount;
}

void Checker::crashed(const std::string&, const TaskId& task) { ++jobs[task.job].tasks[task].crashedVmCount; }

void Checker::acknowledged(const TaskId& task, std::uint32_t run, const std::string& how)
{
    auto& record = jobs[task.job].tasks[task];
    record.isDoneAcknowledged = record.isDoneAcknowledged || how == "done";
    if (how == "failed")
        record.acknowledgedFailures.insert(run);
}

void Checker::recordAcceptance(const std::string& id)
{
    auto& job = jobs.at(id);
    job.submissionResult = SubmissionResult::Accepted;
    if (job.isFenced)
        reportViolation(id + " is reported as accepted after a cancellation that knew no such job");
}

void Checker::recordCancellation(const std::string& id, bool isKnown)
{
    auto& job = jobs.at(id);
    if (job.isCancelled())
        return;
    job.cancelledAt = std::chrono::steady_clock::now();
    job.isFenced = !isKnown;
    if (isKnown && job.submissionResult == SubmissionResult::Unknown)
        job.submissionResult = SubmissionResult::Accepted;
    if (job.isFenced && job.submissionResult == SubmissionResult::Accepted)
        reportViolation(id + " was accepted, and its cancellation knows no such job");
}

void Checker::recordRefusal(const std::string& id)
{
    auto& job = jobs.at(id);
    job.submissionResult = SubmissionResult::Refused;
    if (job.startCount > 0)
        reportViolation(id + " was refused although it has run");
}

void Checker::recordFinalState(const std::string& id, const std::string& state)
{
    auto& job = jobs.at(id);
    job.finalState = state;
    if (state == "failed" && !mayBeShownAsFailed(job))
        reportViolation(id + " is reported as failed without enough failed runs or crashes of VMs");
    if (state == "cancelled" && !job.isCancelRequested)
        reportViolation(id + " is reported as cancelled without a cancellation request");
    if (state != "completed")
        return;
    std::size_t required = 0;
    for (const auto& step : job.spec.steps)
        required += static_cast<std::size_t>(step.count * std::max(job.spec.occurrences, 1));
    const auto done = std::count_if(
        job.tasks.begin(), job.tasks.end(), [](const auto& entry) { return entry.second.isDone; });
    if (static_cast<std::size_t>(done) < required)
        reportViolation(id + " is reported as completed with " + std::to_string(done) + " of "
            + std::to_string(required) + " tasks done");
}

bool Checker::isFinished(const JobRecord& job) const
{
    return job.submissionResult == SubmissionResult::Refused || job.isFenced || !job.finalState.empty();
}

int Checker::activeRunCount() const
{
    int count = 0;
    for (const auto& [id, job] : jobs) {
        for (const auto& [task, record] : job.tasks)
            count += static_cast<int>(record.activeRuns.size());
    }
    return count;
}

} // namespace damask::soak
