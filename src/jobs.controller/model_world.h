/// \file
/// Simulated platform for the property tests of the jobs controller: a table whose commits may fail,
/// workers whose reports lag, commands that arrive late and out of order, and successive lease holders. It
/// records a violation when a job runs twice, or when a worker's capacity or a team's quota is exceeded.
#pragma once

#include "jobs_plan.h"

#include <damaskworks/catalogue.h>

#include <deque>

namespace damask::jobs::model {

/// State of a task on its worker.
struct Task {
    std::string job;
    TaskState state = TaskState::Running;
    bool checkpointed = false;
};

/// A worker VM.
struct Worker {
    double cpu = 4;
    bool failsAllTasks = false;
    std::map<std::string, Task> tasks;
    std::map<std::string, std::uint64_t> epochs; ///< highest seen, by job
};

/// The simulated platform, and the planner of the present lease holder.
class World {
public:
    World();

    void declare(const std::string& job, double cpu, const std::string& priority, bool alwaysFails = false);
    void cancel(const std::string& job);
    /// The present holder plans on the newest rows and on the reports as last refreshed. A command whose bit
    /// in \p delayMask is set is delayed until deliverDelayedCommand(). With \p failCommits, no commit takes
    /// effect.
    void plan(unsigned delayMask, bool failCommits);
    /// Replaces the lease holder by one that knows only the table. Commands of the old holder may still
    /// arrive.
    void replaceHolder();
    void deliverDelayedCommand(std::size_t index);
    void refreshTaskReports();
    /// Ends one running task of a worker: it fails if the worker or the job always fails, else it succeeds.
    void endTask(std::size_t worker);
    /// Reboots a worker; its running tasks are gone.
    void reboot(std::size_t worker);
    void advance(Duration step) { m_now += step; }
    /// Runs \p rounds rounds of one second without delays, failed commits, reboots or holder changes.
    void runWithoutFaults(int rounds);

    std::string phase(const std::string& job) const;
    std::string condition(const std::string& job) const;
    const std::vector<std::string>& violations() const { return m_violations; }
    Worker& worker(std::size_t index);
    const PlannerState& plannerState() const { return m_plannerState; }

private:
    void write(const std::string& key, const std::string& value);
    bool commit(const Transaction& transaction);
    void executeCommand(const TaskRequest& request);
    void startTask(const std::string& vm, Worker& worker, const TaskRequest& request);
    void checkLimits();

    Catalogue m_catalogue;
    std::map<std::string, TableVersion> m_rowVersions;
    TableVersion m_tableVersion = 0;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, double> m_declaredCpu;
    std::set<std::string> m_alwaysFailingJobs;
    std::set<std::string> m_succeededJobs;
    std::map<std::string, VmReport> m_vmReports;
    std::map<std::string, ListedVm> m_listedVms;
    std::map<std::string, TaskReport> m_taskReports;
    std::deque<TaskRequest> m_delayedCommands;
    PlannerState m_plannerState;
    std::uint64_t m_epoch = 1;
    TimePoint m_now { std::chrono::hours(1) };
    std::vector<std::string> m_violations;
};

} // namespace damask::jobs::model
