#include "jobs_plan.h"

#include "job_rows.h"

#include <algorithm>

namespace damask::jobs {
namespace {

using placement::Phase;
using placement::StopReason;

constexpr std::size_t maxRowsPerCommit = 50;
constexpr std::size_t maxCommitsPerPlan = 8;
/// Time for a task to checkpoint before it is stopped.
constexpr std::chrono::milliseconds checkpointTimeout { 1000 };
/// A command whose effect the reports do not show is sent again after this time.
constexpr std::chrono::milliseconds commandRetryInterval { 1000 };
/// A running task is lost if it is absent from the reports for this long while its VM is reachable.
constexpr std::chrono::seconds lostTaskTimeout { 5 };

bool isReachable(const controller::View& view, const std::string& vm)
{
    const auto report = view.vmReports.find(vm);
    return report != view.vmReports.end() && report->second.reachable;
}

ListedState listedState(const controller::View& view, const std::string& vm)
{
    const auto listed = view.listedVms.find(vm);
    return listed == view.listedVms.end() ? ListedState::Leaving : listed->second.state;
}

void readWorkers(const controller::View& view, placement::State& state)
{
    for (const auto* vm : view.catalogue.list(Kind::Vm)) {
        if (listedState(view, vm->name) == ListedState::Gone) {
            removeWorker(state, vm->name);
            continue;
        }
        auto worker = readWorker(*vm);
        const bool isHealthy = isReachable(view, vm->name) && view.vmReports.at(vm->name).healthy;
        worker.accepting = worker.accepting && isHealthy && listedState(view, vm->name) == ListedState::Live;
        setWorker(state, vm->name, worker);
    }
}

void readTeams(const controller::View& view, placement::State& state)
{
    for (const auto* team : view.catalogue.list(Kind::Team))
        setQuota(state, team->name, readQuota(*team));
}

void readJob(const controller::View& view, PlannerState& plannerState, const Resource& job)
{
    auto [it, isNew] = plannerState.observedJobs.try_emplace(job.name);
    auto& observed = it->second;
    const auto statusVersion = view.catalogue.statusVersion(Kind::Job, job.name);
    const bool isSpecNew = observed.specVersion != job.version;
    if (isSpecNew)
        declareJob(plannerState.placementState, readSpec(job));
    const bool isStatusNew = observed.statusVersion != statusVersion;
    if (!isNew && !isSpecNew && !isStatusNew && !plannerState.submittedWrites.contains(job.name))
        return;
    observed.specVersion = job.version;
    observed.statusVersion = statusVersion;
    auto progress = readProgress(job);
    if (progress.stopReason != observed.progress.stopReason || progress.task != observed.progress.task)
        observed.stopReasonSince = view.now;
    if (progress.task != observed.progress.task)
        observed.lastCommand.reset();
    observed.progress = std::move(progress);
    plannerState.pendingWrites.erase(job.name);
    restoreProgress(plannerState.placementState, job.name, observed.progress);
}

void readJobs(const controller::View& view, PlannerState& plannerState)
{
    for (const auto* job : view.catalogue.list(Kind::Job))
        readJob(view, plannerState, *job);
    plannerState.submittedWrites.clear();
    std::erase_if(plannerState.observedJobs, [&](const auto& entry) {
        if (view.catalogue.find(Kind::Job, entry.first))
            return false;
        removeJob(plannerState.placementState, entry.first);
        plannerState.pendingWrites.erase(entry.first);
        return true;
    });
}

/// Marks running tasks as lost that their reachable VM no longer reports.
void markLostTasks(const controller::View& view, PlannerState& plannerState)
{
    for (auto& [name, observed] : plannerState.observedJobs) {
        const bool isMissing = observed.progress.phase == Phase::Running
            && isReachable(view, observed.progress.vm) && !view.taskReports.contains(observed.progress.task);
        if (!isMissing)
            observed.missingSince = {};
        else if (observed.missingSince == TimePoint {})
            observed.missingSince = view.now;
        else if (view.now - observed.missingSince >= lostTaskTimeout)
            requestStop(plannerState.placementState, name, StopReason::Lost);
    }
}

void commitChanges(
    const controller::View& view, PlannerState& plannerState, std::vector<controller::Action>& actions)
{
    plannerState.pendingWrites.merge(takeChangedJobs(plannerState.placementState));
    controller::Commit commit { {}, "jobs" };
    std::set<std::string> vmsWithCondition;
    std::size_t commits = 0;
    while (!plannerState.pendingWrites.empty() && commits < maxCommitsPerPlan) {
        const auto name = plannerState.pendingWrites.extract(plannerState.pendingWrites.begin()).value();
        const auto* job = view.catalogue.find(Kind::Job, name);
        if (!job)
            continue;
        const auto key = resource::statusKey(Kind::Job, name);
        auto& transaction = commit.transaction;
        transaction.conditions.push_back({ key, plannerState.observedJobs.at(name).statusVersion });
        transaction.conditions.push_back({ resource::specKey(Kind::Job, name), job->version });
        const auto& progress = plannerState.placementState.jobs.at(name).progress;
        // The commit fails if the VM's state changed meanwhile, for example because a drain began.
        if (progress.phase == Phase::Placed && vmsWithCondition.insert(progress.vm).second)
            transaction.conditions.push_back({ resource::statusKey(Kind::Vm, progress.vm),
                view.catalogue.statusVersion(Kind::Vm, progress.vm) });
        transaction.writes.push_back({ key, encodeProgress(*job, progress) });
        plannerState.submittedWrites.insert(name);
        if (transaction.writes.size() < maxRowsPerCommit)
            continue;
        actions.push_back(std::exchange(commit, { {}, "jobs" }));
        vmsWithCondition.clear();
        ++commits;
    }
    if (!commit.transaction.writes.empty())
        actions.push_back(std::move(commit));
}

/// The command that the job's row requires, given the report on its task.
std::optional<TaskCommand> neededCommand(const controller::View& view, const ObservedJob& observed)
{
    const auto& progress = observed.progress;
    if (!placement::holdsWorker(progress.phase))
        return std::nullopt;
    const auto report = view.taskReports.find(progress.task);
    const bool isKnown = report != view.taskReports.end();
    if (isKnown && report->second.state != TaskState::Running)
        return std::nullopt;
    if (progress.stopReason == StopReason::None) {
        // Never start a running task again: the VM may have lost track of it and would run it twice.
        const bool mayStart = !isKnown && progress.phase == Phase::Placed;
        return mayStart ? std::optional(TaskCommand::Start) : std::nullopt;
    }
    const bool wantsCheckpoint
        = progress.stopReason == StopReason::Preempt || progress.stopReason == StopReason::Drain;
    if (wantsCheckpoint && isKnown && !report->second.checkpointed
        && view.now - observed.stopReasonSince < checkpointTimeout)
        return TaskCommand::Checkpoint;
    return TaskCommand::Stop;
}

void commandTasks(
    const controller::View& view, PlannerState& plannerState, std::vector<controller::Action>& actions)
{
    for (auto& [name, observed] : plannerState.observedJobs) {
        const auto command = neededCommand(view, observed);
        // A write in progress may change the command that the row requires.
        if (!command || plannerState.submittedWrites.contains(name))
            continue;
        if (observed.lastCommand == command && view.now - observed.lastCommandAt < commandRetryInterval)
            continue;
        observed.lastCommand = command;
        observed.lastCommandAt = view.now;
        const auto* job = view.catalogue.find(Kind::Job, name);
        actions.push_back(controller::CommandTask {
            { *command, observed.progress.task, observed.progress.vm, view.epoch, name, job->spec.dump() } });
    }
}

/// Stops running tasks whose job was deleted or whose attempt is no longer the job's present one.
void stopOrphanedTasks(
    const controller::View& view, PlannerState& plannerState, std::vector<controller::Action>& actions)
{
    for (const auto& [task, report] : view.taskReports) {
        if (report.state != TaskState::Running)
            continue;
        const auto observed = plannerState.observedJobs.find(report.job);
        if (observed != plannerState.observedJobs.end() && observed->second.progress.task == task)
            continue;
        auto& stoppedAt = plannerState.orphanStopTimes[task];
        if (stoppedAt != TimePoint {} && view.now - stoppedAt < commandRetryInterval)
            continue;
        stoppedAt = view.now;
        actions.push_back(
            controller::CommandTask { { TaskCommand::Stop, task, report.vm, view.epoch, report.job, "{}" } });
    }
    std::erase_if(plannerState.orphanStopTimes,
        [&](const auto& entry) { return !view.taskReports.contains(entry.first); });
}

} // namespace

std::vector<controller::Action> plan(const controller::View& view, PlannerState& plannerState)
{
    std::vector<controller::Action> actions;
    readWorkers(view, plannerState.placementState);
    readTeams(view, plannerState.placementState);
    readJobs(view, plannerState);
    for (const auto& [task, report] : view.taskReports)
        observe(plannerState.placementState, report, view.now);
    markLostTasks(view, plannerState);
    pass(plannerState.placementState, view.epoch, view.now);
    commitChanges(view, plannerState, actions);
    commandTasks(view, plannerState, actions);
    stopOrphanedTasks(view, plannerState, actions);
    return actions;
}

} // namespace damask::jobs
