#include <damaskworks/start_gate.h>

#include <iterator>

namespace damask::fleet {
namespace {

/// Whether the start must wait for a durable record of the run's trial.
bool waitsForRecord(PoolState& state, const JobEntry& job, const StartAction& start)
{
    const auto* task = findTask(state, start.command.task);
    return task && task->run && task->run->number == start.command.run && task->run->trial.count() > 0
        && job.committedBatch <= task->run->recordedAfterBatch;
}

/// Fills the spec and a fresh lease into the start command. Returns false if the run is no longer to be
/// started.
bool prepareCommand(PoolState& state, StartAction& start, TimePoint now)
{
    auto* task = findTask(state, start.command.task);
    const auto vm = state.vms.find(start.vm);
    if (!task || !task->run || vm == state.vms.end() || task->run->vm != start.vm
        || task->run->number != start.command.run || task->run->phase != RunPhase::Starting)
        return false;
    start.command.spec = state.jobs.find(start.command.task.job)->second.spec.spec;
    start.command.leaseUntil = extendLease(vm->second, state.limits, now);
    task->run->sentAt = vm->second.lastStartAt = now;
    return true;
}

} // namespace

std::vector<StartAction> takeReadyStarts(
    PoolState& state, WaitingStarts& waiting, std::vector<StartAction> planned, TimePoint now)
{
    for (auto& start : planned)
        waiting[start.command.task.job].push_back(std::move(start));
    std::vector<StartAction> out;
    for (auto it = waiting.begin(); it != waiting.end();) {
        const auto job = state.jobs.find(it->first);
        if (job != state.jobs.end() && !(job->second.hasRecord && job->second.hasSpec)) {
            ++it;
            continue;
        }
        std::vector<StartAction> held;
        for (auto& start : it->second) {
            if (job != state.jobs.end() && waitsForRecord(state, job->second, start))
                held.push_back(std::move(start));
            else if (prepareCommand(state, start, now))
                out.push_back(std::move(start));
        }
        it->second = std::move(held);
        it = it->second.empty() ? waiting.erase(it) : std::next(it);
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
