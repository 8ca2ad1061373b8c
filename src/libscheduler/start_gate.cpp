#include <damaskworks/start_gate.h>

#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"

#include <utility>

namespace damask::fleet {
namespace {

/// Whether the run of the start is still to be started.
bool isWanted(PoolState& state, const StartAction& start)
{
    const auto* task = findTask(state, start.command.task);
    return task && task->run && task->run->vm == start.vm && task->run->number == start.command.run
        && task->run->phase == RunPhase::Starting && state.vms.contains(start.vm);
}

/// Removes the starts that may no longer be sent. Those of ended jobs and those that the VM may no longer
/// take release their run, so that they are planned again if their job has not ended.
void removeUnsendable(PoolState& state, std::vector<StartAction>& starts, TimePoint now)
{
    std::vector<StartAction> sendable;
    for (auto& start : starts) {
        if (!isWanted(state, start))
            continue;
        const auto& id = start.command.task;
        const auto& job = state.jobs.find(id.job)->second;
        if (isFinal(job.state) || !canStillHost(state, state.vms.find(start.vm)->second, job, id, now)) {
            releaseRun(state, id, *findTask(state, id));
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
    start.command.leaseUntil = extendLease(state.vms.find(start.vm)->second, state.limits, now);
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
        if (!job.hasRecord || !job.hasSpec) {
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

int countWaiting(const WaitingStarts& waiting)
{
    std::size_t count = 0;
    for (const auto& [job, starts] : waiting)
        count += starts.size();
    return static_cast<int>(count);
}

} // namespace damask::fleet
