#include <damaskworks/start_gate.h>

#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace damask::fleet {
namespace {

/// Whether the start has to wait for a durable record of its run's trial.
bool waitsForRecord(PoolState& state, const JobEntry& job, const StartAction& start)
{
    const auto& run = *findTask(state, start.command.task)->run;
    return run.trial.count() > 0 && job.committedBatch <= run.recordedAfterBatch;
}

/// Whether the run of the start is still to be started.
bool isWanted(PoolState& state, const StartAction& start)
{
    const auto* task = findTask(state, start.command.task);
    return task && task->run && task->run->vm == start.vm && task->run->number == start.command.run
        && task->run->phase == RunPhase::Starting && state.vms.contains(start.vm);
}

/// Whether a start of the job may be sent as far as the job and the VM are concerned.
bool isSendable(const PoolState& state, const JobEntry& job, const StartAction& start, TimePoint now)
{
    return !isFinal(job.state)
        && canStillHost(state, state.vms.find(start.vm)->second, job, start.command.task, now);
}

/// One run of a gang: occurrence, step and run number.
using GangRun = std::tuple<int, int, std::uint32_t>;

GangRun gangRunOf(const StartCommand& command)
{
    return { command.task.occurrence, command.task.step, command.run };
}

/// Gangs among the job's \p starts with a member that may no longer be sent.
std::set<GangRun> incompleteGangs(PoolState& state, const std::vector<StartAction>& starts, TimePoint now)
{
    std::set<GangRun> out;
    for (const auto& start : starts) {
        const auto job = state.jobs.find(start.command.task.job);
        if (job == state.jobs.end() || !stepOf(job->second, start.command.task.step).gang)
            continue;
        if (!isWanted(state, start) || !isSendable(state, job->second, start, now))
            out.insert(gangRunOf(start.command));
    }
    return out;
}

/// Removes the starts that may no longer be sent, and the other members of their gangs. Except for runs that
/// were released or stopped already, they release their run, so that it is planned again if its job has not
/// ended.
void removeUnsendable(PoolState& state, std::vector<StartAction>& starts, TimePoint now)
{
    const auto incomplete = incompleteGangs(state, starts, now);
    std::vector<StartAction> sendable;
    for (auto& start : starts) {
        if (!isWanted(state, start))
            continue;
        const auto& id = start.command.task;
        const auto& job = state.jobs.find(id.job)->second;
        if (incomplete.contains(gangRunOf(start.command)) || !isSendable(state, job, start, now)) {
            releaseRunAs(state, id, *findTask(state, id), RunEventKind::Withdrawn);
            continue;
        }
        sendable.push_back(std::move(start));
    }
    starts = std::move(sendable);
}

/// Fills the spec, the newest ticket and a fresh lease into the start command.
void prepareCommand(PoolState& state, const JobEntry& job, StartAction& start, TimePoint now)
{
    start.command.spec = job.spec.spec;
    start.command.ticket = ticketFor(job, start.command.task, start.vm);
    auto& vm = state.vms.find(start.vm)->second;
    start.command.leaseUntil = extendLease(vm, state.limits, now);
    findTask(state, start.command.task)->run->sentAt = vm.lastStartAt = now;
}

} // namespace

std::vector<StartAction> takeReadyStarts(
    PoolState& state, WaitingStarts& waiting, std::vector<StartAction> planned, TimePoint now)
{
    for (auto& start : planned)
        waiting[start.command.task.job].push_back(std::move(start));
    std::vector<StartAction> out;
    for (auto it = waiting.begin(); it != waiting.end();) {
        auto& starts = it->second;
        removeUnsendable(state, starts, now);
        if (starts.empty()) {
            it = waiting.erase(it);
            continue;
        }
        const auto& job = state.jobs.find(it->first)->second;
        const bool isTrialUnrecorded = std::any_of(starts.begin(), starts.end(),
            [&](const StartAction& start) { return waitsForRecord(state, job, start); });
        if (!job.hasRecord || !job.hasSpec || isTrialUnrecorded) {
            ++it;
            continue;
        }
        for (auto& start : starts) {
            prepareCommand(state, job, start, now);
            out.push_back(std::move(start));
        }
        it = waiting.erase(it);
    }
    return out;
}

HeldBackStarts countHeldBack(PoolState& state, const WaitingStarts& waiting)
{
    HeldBackStarts out;
    for (const auto& [id, starts] : waiting) {
        const auto job = state.jobs.find(id);
        if (job == state.jobs.end())
            continue;
        const auto count = static_cast<int>(starts.size());
        if (!job->second.hasRecord)
            out.record += count;
        else if (!job->second.hasSpec)
            out.spec += count;
        else
            out.trial += count;
    }
    return out;
}

int countWaiting(const WaitingStarts& waiting)
{
    std::size_t count = 0;
    for (const auto& [job, starts] : waiting)
        count += starts.size();
    return static_cast<int>(count);
}

} // namespace damask::fleet
