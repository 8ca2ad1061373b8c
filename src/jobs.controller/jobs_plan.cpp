#include "jobs_plan.h"

#include "job_rows.h"

#include <algorithm>

namespace damask::jobs {
namespace {

using placement::Phase;
using placement::StopReason;

constexpr std::size_t maxRowsPerCommit = 50;
constexpr std::size_t maxCommitsPerPlan = 8;
/// A task gets this long to checkpoint before it is stopped.
constexpr std::chrono::milliseconds checkpointTime { 1000 };
/// A command that shows no effect in the reports is repeated after this time.
constexpr std::chrono::milliseconds repeatPeriod { 1000 };
/// A running task absent from the reports of its reachable VM for this long is lost.
constexpr std::chrono::seconds lostTime { 5 };

bool isReachable(const controller::View& view, const std::string& vm)
{
    const auto report = view.vms.find(vm);
    return report != view.vms.end() && report->second.reachable;
}

ListedState listedState(const controller::View& view, const std::string& vm)
{
    const auto listed = view.listed.find(vm);
    return listed == view.listed.end() ? ListedState::Leaving : listed->second.state;
}

void readWorkers(const controller::View& view, placement::State& state)
{
    for (const auto* vm : view.catalogue.list(Kind::Vm)) {
        if (listedState(view, vm->name) == ListedState::Gone) {
            removeWorker(state, vm->name);
            continue;
        }
        auto worker = readWorker(*vm);
        const bool isHealthy = isReachable(view, vm->name) && view.vms.at(vm->name).healthy;
        worker.accepting = worker.accepting && isHealthy && listedState(view, vm->name) == ListedState::Live;
        setWorker(state, vm->name, worker);
    }
}

void readTeams(const controller::View& view, placement::State& state)
{
    for (const auto* team : view.catalogue.list(Kind::Team))
        setQuota(state, team->name, readQuota(*team));
}

void readJob(const controller::View& view, Scratch& scratch, const Resource& job)
{
    auto [it, isNew] = scratch.seen.try_emplace(job.name);
    auto& seen = it->second;
    const auto statusVersion = view.catalogue.statusVersion(Kind::Job, job.name);
    const bool isSpecNew = seen.specVersion != job.version;
    if (isSpecNew)
        declareJob(scratch.state, readSpec(job));
    const bool isStatusNew = seen.statusVersion != statusVersion;
    if (!isNew && !isSpecNew && !isStatusNew && !scratch.written.contains(job.name))
        return;
    seen.specVersion = job.version;
    seen.statusVersion = statusVersion;
    auto progress = readProgress(job);
    if (progress.stopReason != seen.progress.stopReason || progress.task != seen.progress.task)
        seen.endingSince = view.now;
    if (progress.task != seen.progress.task)
        seen.commanded.reset();
    seen.progress = std::move(progress);
    scratch.unwritten.erase(job.name);
    restoreProgress(scratch.state, job.name, seen.progress);
}

void readJobs(const controller::View& view, Scratch& scratch)
{
    for (const auto* job : view.catalogue.list(Kind::Job))
        readJob(view, scratch, *job);
    scratch.written.clear();
    std::erase_if(scratch.seen, [&](const auto& entry) {
        if (view.catalogue.find(Kind::Job, entry.first))
            return false;
        removeJob(scratch.state, entry.first);
        scratch.unwritten.erase(entry.first);
        return true;
    });
}

/// Whether the worker's state of the task can no longer be told: it ran, and its VM knows nothing of it.
void findLostTasks(const controller::View& view, Scratch& scratch)
{
    for (auto& [name, seen] : scratch.seen) {
        const bool isMissing = seen.progress.phase == Phase::Running && isReachable(view, seen.progress.vm)
            && !view.tasks.contains(seen.progress.task);
        if (!isMissing)
            seen.missingSince = {};
        else if (seen.missingSince == TimePoint {})
            seen.missingSince = view.now;
        else if (view.now - seen.missingSince >= lostTime)
            requestStop(scratch.state, name, StopReason::Lost);
    }
}

void commitChanges(const controller::View& view, Scratch& scratch, std::vector<controller::Action>& actions)
{
    scratch.unwritten.merge(takeChangedJobs(scratch.state));
    controller::Commit commit { {}, "jobs" };
    std::set<std::string> vmsStated;
    std::size_t commits = 0;
    while (!scratch.unwritten.empty() && commits < maxCommitsPerPlan) {
        const auto name = scratch.unwritten.extract(scratch.unwritten.begin()).value();
        const auto* job = view.catalogue.find(Kind::Job, name);
        if (!job)
            continue;
        const auto key = resource::statusKey(Kind::Job, name);
        auto& transaction = commit.transaction;
        transaction.conditions.push_back({ key, scratch.seen.at(name).statusVersion });
        transaction.conditions.push_back({ resource::specKey(Kind::Job, name), job->version });
        const auto& progress = scratch.state.jobs.at(name).progress;
        // A VM whose state changed meanwhile, for example by a drain, takes no new job.
        if (progress.phase == Phase::Placed && vmsStated.insert(progress.vm).second)
            transaction.conditions.push_back({ resource::statusKey(Kind::Vm, progress.vm),
                view.catalogue.statusVersion(Kind::Vm, progress.vm) });
        transaction.writes.push_back({ key, progressRow(*job, progress) });
        scratch.written.insert(name);
        if (transaction.writes.size() < maxRowsPerCommit)
            continue;
        actions.push_back(std::exchange(commit, { {}, "jobs" }));
        vmsStated.clear();
        ++commits;
    }
    if (!commit.transaction.writes.empty())
        actions.push_back(std::move(commit));
}

/// The command that the job's row asks for, given what the reports say of its task.
std::optional<TaskCommand> neededCommand(const controller::View& view, const SeenJob& seen)
{
    const auto& progress = seen.progress;
    if (!placement::holdsWorker(progress.phase))
        return std::nullopt;
    const auto report = view.tasks.find(progress.task);
    const bool isKnown = report != view.tasks.end();
    if (isKnown && report->second.state != TaskState::Running)
        return std::nullopt;
    if (progress.stopReason == StopReason::None) {
        // A running task is never started again: its VM may have lost it and would run it twice.
        const bool mayStart = !isKnown && progress.phase == Phase::Placed;
        return mayStart ? std::optional(TaskCommand::Start) : std::nullopt;
    }
    const bool wantsCheckpoint
        = progress.stopReason == StopReason::Preempt || progress.stopReason == StopReason::Drain;
    if (wantsCheckpoint && isKnown && !report->second.checkpointed
        && view.now - seen.endingSince < checkpointTime)
        return TaskCommand::Checkpoint;
    return TaskCommand::Stop;
}

void commandTasks(const controller::View& view, Scratch& scratch, std::vector<controller::Action>& actions)
{
    for (auto& [name, seen] : scratch.seen) {
        const auto command = neededCommand(view, seen);
        // What is being written now may change what the row asks for.
        if (!command || scratch.written.contains(name))
            continue;
        if (seen.commanded == command && view.now - seen.commandedAt < repeatPeriod)
            continue;
        seen.commanded = command;
        seen.commandedAt = view.now;
        const auto* job = view.catalogue.find(Kind::Job, name);
        actions.push_back(controller::CommandTask {
            { *command, seen.progress.task, seen.progress.vm, view.epoch, name, job->spec.dump() } });
    }
}

/// Stops tasks that run for no job or for an attempt that is over.
void stopStrays(const controller::View& view, Scratch& scratch, std::vector<controller::Action>& actions)
{
    for (const auto& [task, report] : view.tasks) {
        if (report.state != TaskState::Running)
            continue;
        const auto seen = scratch.seen.find(report.job);
        if (seen != scratch.seen.end() && seen->second.progress.task == task)
            continue;
        auto& stoppedAt = scratch.strayStops[task];
        if (stoppedAt != TimePoint {} && view.now - stoppedAt < repeatPeriod)
            continue;
        stoppedAt = view.now;
        actions.push_back(
            controller::CommandTask { { TaskCommand::Stop, task, report.vm, view.epoch, report.job, "{}" } });
    }
    std::erase_if(scratch.strayStops, [&](const auto& entry) { return !view.tasks.contains(entry.first); });
}

} // namespace

std::vector<controller::Action> plan(const controller::View& view, Scratch& scratch)
{
    std::vector<controller::Action> actions;
    readWorkers(view, scratch.state);
    readTeams(view, scratch.state);
    readJobs(view, scratch);
    for (const auto& [task, report] : view.tasks)
        observe(scratch.state, report, view.now);
    findLostTasks(view, scratch);
    pass(scratch.state, view.epoch, view.now);
    commitChanges(view, scratch, actions);
    commandTasks(view, scratch, actions);
    stopStrays(view, scratch, actions);
    return actions;
}

} // namespace damask::jobs
