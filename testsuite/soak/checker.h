/// \file
/// What must hold for callers and VMs, whatever happens to the processes between them.
#pragma once

#include "../../platform/standin/platform.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace damask::soak {

using fleet::TaskId;

/// How the handing in of a job ended, as its caller saw it.
enum class Handed { Unknown, Accepted, Refused };

/// A task as the VMs saw it.
struct TaskCheck {
    std::set<std::uint32_t> live;
    bool done = false;
    bool doneNoted = false;
    std::set<std::uint32_t> failedNoted;
};

/// A job as its caller and the VMs saw it.
struct JobCheck {
    fleet::JobSpec spec;
    fleet::standin::QueueSpec queue;
    Handed handed = Handed::Unknown;
    bool alwaysFails = false;
    bool cancelAsked = false;
    std::chrono::steady_clock::time_point cancelledAt {}; ///< acknowledged; zero: not cancelled
    int starts = 0;
    std::map<TaskId, TaskCheck> tasks;
    std::string finalState; ///< as shown to the caller

    bool lasts() const { return spec.steps.front().longRunning; }
    bool isCancelled() const { return cancelledAt != std::chrono::steady_clock::time_point {}; }
};

/// Collects what is broken.
class Checker final : public fleet::standin::RunObserver {
public:
    std::map<std::string, JobCheck> jobs;
    std::vector<std::string> faults;
    int runs = 0;

    void started(const std::string& vm, const std::string& pool, const TaskId& task, std::uint32_t run,
        const std::string& spec) override;
    void ended(const std::string& vm, const TaskId& task, std::uint32_t run, const std::string& how) override;
    void acknowledged(const TaskId& task, std::uint32_t run, const std::string& how) override;
    void reportViolation(const std::string& what) override;
    /// The caller was told for good that the job is not accepted.
    void refused(const std::string& job);
    /// The caller was shown a final state.
    void shown(const std::string& job, const std::string& state);
    /// Whether the job needs no more work.
    bool isSettled(const JobCheck& job) const;
    /// Runs that have not ended.
    int liveRuns() const;

private:
    void checkStart(const JobCheck& job, const std::string& vm, const std::string& pool, const TaskId& task);
};

} // namespace damask::soak
