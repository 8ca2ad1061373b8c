#include "placement_pvt.h"

#include <algorithm>

namespace damask::placement {
namespace {

/// Number of distinct jobs that must fail on a worker, without a success in between, to quarantine it.
constexpr std::size_t failuresToQuarantine = 3;
constexpr std::chrono::minutes quarantineTime { 10 };

void updateEstimate(State& state, const Job& job, const TaskReport& report)
{
    auto& estimate = state.estimates[jobClassOf(job.spec)];
    estimate.peak.cpu = std::max(estimate.peak.cpu, report.cpuUsed);
    estimate.peak.memoryMb = std::max(estimate.peak.memoryMb, report.memoryUsedMb);
    ++estimate.samples;
}

/// A job that failed on two workers is itself the likely cause, so its failures count against no
/// worker. Lifts the quarantine of a worker that falls below the limit.
void clearWorkerFailures(State& state, const Job& job)
{
    for (const auto& vm : job.progress.failedOn) {
        auto worker = state.workers.find(vm);
        if (worker == state.workers.end() || worker->second.jobsFailedOnlyHere.erase(job.spec.name) == 0)
            continue;
        if (worker->second.jobsFailedOnlyHere.size() >= failuresToQuarantine)
            continue;
        worker->second.quarantinedUntil = {};
        state.dirtyPools.insert(worker->second.pool);
    }
}

void recordWorkerFailure(State& state, const Job& job, TimePoint now)
{
    const auto& failedOn = job.progress.failedOn;
    const auto isOtherVm = [&](const std::string& vm) { return vm != failedOn.back(); };
    if (std::any_of(failedOn.begin(), failedOn.end(), isOtherVm))
        return clearWorkerFailures(state, job);
    auto worker = state.workers.find(failedOn.back());
    if (worker == state.workers.end())
        return;
    worker->second.jobsFailedOnlyHere.insert(job.spec.name);
    if (worker->second.jobsFailedOnlyHere.size() >= failuresToQuarantine)
        worker->second.quarantinedUntil = now + quarantineTime;
}

void endJob(State& state, Job& job, Phase phase, std::string condition)
{
    release(state, job);
    job.progress.phase = phase;
    job.progress.stopReason = StopReason::None;
    job.progress.condition = std::move(condition);
    state.changedJobs.insert(job.spec.name);
}

void handleFailure(State& state, Job& job, TimePoint now)
{
    const bool isCancelled = job.progress.stopReason == StopReason::Cancel;
    job.progress.failedOn.push_back(job.progress.vm);
    recordWorkerFailure(state, job, now);
    if (isCancelled)
        return requeueOrCancel(state, job);
    if (job.progress.failedOn.size() >= job.spec.maxAttempts)
        return endJob(
            state, job, Phase::Failed, "failed " + std::to_string(job.progress.failedOn.size()) + " times");
    requeueOrCancel(state, job);
}

void handleSuccess(State& state, Job& job, const TaskReport& report)
{
    updateEstimate(state, job, report);
    auto worker = state.workers.find(job.progress.vm);
    if (worker != state.workers.end())
        worker->second.jobsFailedOnlyHere.clear();
    endJob(state, job, Phase::Succeeded, "");
}

/// Marks the job as running and raises its reservation if it uses more than it reserved.
void handleRunning(State& state, Job& job, const TaskReport& report)
{
    if (job.progress.phase == Phase::Placed) {
        job.progress.phase = Phase::Running;
        state.changedJobs.insert(job.spec.name);
    }
    auto size = job.reserved;
    size.cpu = std::max(size.cpu, report.cpuUsed);
    size.memoryMb = std::max(size.memoryMb, report.memoryUsedMb);
    if (size == job.reserved)
        return;
    release(state, job);
    reserve(state, job, size);
}

} // namespace

void observe(State& state, const TaskReport& report, TimePoint now)
{
    auto found = state.jobs.find(report.job);
    if (found == state.jobs.end())
        return;
    auto& job = found->second;
    if (!holdsWorker(job.progress.phase) || job.progress.task != report.task)
        return;
    switch (report.state) {
    case TaskState::Unknown:
        return;
    case TaskState::Running:
        return handleRunning(state, job, report);
    case TaskState::Succeeded:
        return handleSuccess(state, job, report);
    case TaskState::Failed:
        return handleFailure(state, job, now);
    case TaskState::Stopped:
        return requeueOrCancel(state, job);
    }
}

void requestStop(State& state, const std::string& name, StopReason stopReason)
{
    auto& job = state.jobs.at(name);
    if (!holdsWorker(job.progress.phase) || job.progress.stopReason == StopReason::Cancel
        || job.progress.stopReason == stopReason)
        return;
    job.progress.stopReason = stopReason;
    job.progress.condition = "ending: " + std::string(nameOf(stopReasonNames, stopReason));
    state.changedJobs.insert(name);
}

} // namespace damask::placement
