/// \file
/// Checks the guarantees that callers and VMs have, whatever faults occur in the processes between them.
#pragma once

#include "../../platform/standin/platform.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace damask::soak {

using fleet::TaskId;

/// Result of a submission, as its caller saw it.
enum class SubmissionResult { Unknown, Accepted, Refused };

/// Runs of a task, as the VMs reported them.
struct TaskRecord {
    std::set<std::pair<std::string, std::uint32_t>> activeRuns; ///< VM and number; started and not ended
    bool isDone = false; ///< a run has completed
    bool isDoneAcknowledged = false; ///< the holder acknowledged a completed run as durable
    std::set<std::uint32_t> failures; ///< failed runs
    std::set<std::uint32_t> acknowledgedFailures; ///< failed runs that the holder acknowledged
    int lostVmCount = 0; ///< VMs that crashed or restarted under the task, whatever the cause
    int crashedVmCount = 0; ///< VMs that the task has crashed
    int startsAfterCrashes = 0; ///< after the last crash that the task may cause
};

/// A job, as its caller and the VMs saw it.
struct JobRecord {
    fleet::JobSpec spec;
    fleet::standin::QueueSpec queue;
    SubmissionResult submissionResult = SubmissionResult::Unknown;
    bool crashesVms = false; ///< each run of its tasks crashes its VM
    bool isCancelRequested = false;
    std::chrono::steady_clock::time_point cancelledAt {}; ///< when acknowledged; zero if not cancelled
    bool isFenced = false; ///< the acknowledgement said that no such job exists
    int startCount = 0;
    std::map<TaskId, TaskRecord> tasks;
    std::string finalState; ///< as reported to the caller; empty until then

    bool isLongRunning() const { return spec.steps.front().longRunning; }
    bool isCancelled() const { return cancelledAt != std::chrono::steady_clock::time_point {}; }
};

/// Records runs and submissions, and collects violations of the guarantees.
class Checker final : public fleet::standin::RunObserver {
public:
    std::map<std::string, JobRecord> jobs;
    std::vector<std::string> violations;
    int runCount = 0; ///< started on any VM

    void started(const std::string& vm, const std::string& pool, const TaskId& task, std::uint32_t run,
        const std::string& spec) override;
    void ended(const std::string& vm, const TaskId& task, std::uint32_t run, const std::string& how) override;
    void acknowledged(const TaskId& task, std::uint32_t run, const std::string& how) override;
    void crashed(const std::string& vm, const TaskId& task) override;
    void reportViolation(const std::string& what) override;
    /// Records that the caller was told that the job is accepted.
    void recordAcceptance(const std::string& job);
    /// Records that the caller's cancellation was acknowledged; \p isKnown: of a job that was accepted.
    void recordCancellation(const std::string& job, bool isKnown);
    /// Records that the caller got a final refusal of the job.
    void recordRefusal(const std::string& job);
    /// Records and checks the final state that the caller was shown.
    void recordFinalState(const std::string& job, const std::string& state);
    /// Whether the job was refused, was cancelled before it was accepted, or has a final state.
    bool isFinished(const JobRecord& job) const;
    /// Whether the job is finished or, since it crashes VMs, need not be.
    bool mayRemainAsItIs(const JobRecord& job) const { return isFinished(job) || job.crashesVms; }
    /// Number of runs that have not ended.
    int activeRunCount() const;

private:
    void checkStart(const JobRecord& job, const std::string& vm, const std::string& pool, const TaskId& task);
    void checkBudget(const JobRecord& job, TaskRecord& record, const std::string& name);
};

} // namespace damask::soak
