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
    const auto& run = *runOn(*findTask(state, start.command.task), start.vm);
    return run.trial.count() > 0 && job.committedBatch <= run.recordedAfterBatch;
}

/// Whether the run of the start is still to be started.
bool isWanted(PoolState& state, const StartAction& start)
{
    const auto* task = findTask(state, start.command.task);
    const auto* run = task ? runOn(*task, start.vm) : nullptr;
    return run && run->number == start.command.run && run->phase == RunPhase::Starting
        && state.vms.contains(start.vm);
}

/// Whether a start of the job may be sent as far as the job and the VM are concerned.
bool isSendable(PoolState& state, const JobEntry& job, const StartAction& start, TimePoint now)
{
    return !isFinal(job.state) && !findTask(state, start.command.task)->done
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
            releaseRunAs(state, id, *findTask(state, id), start.vm, RunEventKind::Withdrawn);
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
    runOn(*findTask(state, start.command.task), start.vm)->sentAt = vm.lastStartAt = now;
}

/// Sum of the change counts of the job and of the VMs of its starts.
std::uint64_t sumChanges(const PoolState& state, const JobEntry* job, const std::vector<StartAction>& starts)
{
    std::uint64_t sum = job ? job->changeCount : 0;
    for (const auto& start : starts) {
        const auto vm = state.vms.find(start.vm);
        sum += vm == state.vms.end() ? 0 : vm->second.changeCount;
    }
    return sum;
}

/// Whether the job's starts may be sent as far as its record and spec are concerned.
bool isJobReady(PoolState& state, const JobEntry& job, const std::vector<StartAction>& starts)
{
    if (!job.hasRecord || !job.hasSpec)
        return false;
    return std::none_of(starts.begin(), starts.end(), [&](const StartAction& start) {
        return isWanted(state, start) && waitsForRecord(state, job, start);
    });
}

/// Moves the job's starts to \p out if they may be sent now. Returns whether it has none left.
bool takeStarts(
    PoolState& state, const std::string& id, HeldStarts& held, TimePoint now, std::vector<StartAction>& out)
{
    const auto job = state.jobs.find(id);
    const bool isKnown = job != state.jobs.end();
    const bool isReady = isKnown && isJobReady(state, job->second, held.starts);
    const auto changes = sumChanges(state, isKnown ? &job->second : nullptr, held.starts);
    if (isKnown && !isReady && held.checkedChanges == changes)
        return false;
    removeUnsendable(state, held.starts, now);
    held.checkedChanges = sumChanges(state, isKnown ? &job->second : nullptr, held.starts);
    if (held.starts.empty())
        return true;
    if (!isReady)
        return false;
    for (auto& start : held.starts) {
        prepareCommand(state, job->second, start, now);
        out.push_back(std::move(start));
    }
    return true;
}

} // namespace

std::vector<StartAction> takeReadyStarts(
    PoolState& state, WaitingStarts& waiting, std::vector<StartAction> planned, TimePoint now)
{
    for (auto& start : planned) {
        auto& held = waiting.byJob[start.command.task.job];
        held.checkedChanges.reset();
        held.starts.push_back(std::move(start));
    }
    std::vector<StartAction> out;
    waiting.count = 0;
    for (auto it = waiting.byJob.begin(); it != waiting.byJob.end();) {
        if (takeStarts(state, it->first, it->second, now, out)) {
            it = waiting.byJob.erase(it);
            continue;
        }
        waiting.count += it->second.starts.size();
        ++it;
    }
    return out;
}

HeldBackStarts countHeldBack(PoolState& state, const WaitingStarts& waiting)
{
    HeldBackStarts out;
    for (const auto& [id, held] : waiting.byJob) {
        const auto job = state.jobs.find(id);
        if (job == state.jobs.end())
            continue;
        const auto count = static_cast<int>(held.starts.size());
        if (!job->second.hasRecord)
            out.record += count;
        else if (!job->second.hasSpec)
            out.spec += count;
        else
            out.trial += count;
    }
    return out;
}

void putBackStart(PoolState& state, WaitingStarts& waiting, const StartAction& start)
{
    runOn(*findTask(state, start.command.task), start.vm)->sentAt = TimePoint {};
    auto& held = waiting.byJob[start.command.task.job];
    held.checkedChanges.reset();
    held.starts.push_back(start);
    ++waiting.count;
}

int countWaiting(const WaitingStarts& waiting) { return static_cast<int>(waiting.count); }

} // namespace damask::fleet
