/// \file
/// Which VMs and jobs a pass of the pool's holder visits.
#include "pool_load_pvt.h"
#include "pool_state_pvt.h"
#include "serving_reservations_pvt.h"
#include "vm_room_pvt.h"
#include "waiting_steps_pvt.h"

#include <algorithm>
#include <utility>

namespace damask::fleet {
namespace {

/// How often a VM is visited for which something may become due by other VMs or jobs.
constexpr milliseconds unsettledVisitInterval { 50 };
/// The same for any other VM. One that runs tasks reports more often, and is visited then.
constexpr milliseconds settledVisitInterval { 5000 };

/// The same time for all VMs, so that one pass visits them.
TimePoint nextUnsettledVisit(TimePoint now)
{
    const auto sinceEpoch = now.time_since_epoch();
    return TimePoint(sinceEpoch - sinceEpoch % Duration(unsettledVisitInterval) + unsettledVisitInterval);
}

/// Whether the VM responds, stays in the pool and carries out nothing but what the holder expects.
bool isSettled(const VmState& vm)
{
    return vm.isRegistered && vm.hasReported && !vm.isUnresponsive && !isLeaving(vm) && !vm.hasEnded
        && vm.fencing == Fencing::NotRequired && vm.orphanRuns.empty() && isEntryCurrent(vm);
}

} // namespace

void markChanged(PoolState& state, VmState& vm)
{
    ++vm.changeCount;
    addChanged(state.changedVms, vm.entry.id, vm.pendingReaders);
}

void markChanged(PoolState& state, JobEntry& job)
{
    ++job.changeCount;
    addChanged(state.changedJobs, job.spec.id, job.pendingReaders);
}

void markAllJobsChanged(PoolState& state)
{
    for (auto& [id, job] : state.jobs)
        markChanged(state, job);
}

void markRunsChanged(PoolState& state, const JobEntry& job)
{
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& step : occurrence.steps) {
            for (const auto& task : step.tasks) {
                for (const auto* run : { &task.run, &task.copy }) {
                    const auto vm = *run ? state.vms.find((*run)->vm) : state.vms.end();
                    if (vm != state.vms.end())
                        markChanged(state, vm->second);
                }
            }
        }
    }
}

void removeJob(PoolState& state, std::string_view id)
{
    const auto job = state.jobs.find(id);
    if (job == state.jobs.end())
        return;
    removeWaitingSteps(state, job->second);
    removeLoad(state, job->second);
    state.jobs.erase(job);
}

void removeVisits(PoolState& state, VmState& vm)
{
    if (vm.nextVisitAt)
        state.visitTimes.erase({ *vm.nextVisitAt, vm.entry.id });
    vm.nextVisitAt.reset();
}

std::vector<std::string> takeVmVisits(PoolState& state, TimePoint now)
{
    while (earliestVisit(state) <= now) {
        auto& vm = state.vms.find(state.visitTimes.begin()->second)->second;
        removeVisits(state, vm);
        addChanged(state.changedVms, vm.entry.id, vm.pendingReaders);
    }
    auto out = takeChanged(state.changedVms, state.vms, ChangeReader::Visits);
    state.work.vmVisits += out.size();
    return out;
}

std::vector<std::string> takeJobVisits(PoolState& state)
{
    return takeChanged(state.changedJobs, state.jobs, ChangeReader::Visits);
}

void scheduleVisit(PoolState& state, VmState& vm, TimePoint at)
{
    if (vm.nextVisitAt == at)
        return;
    removeVisits(state, vm);
    state.visitTimes.emplace(at, vm.entry.id);
    vm.nextVisitAt = at;
}

TimePoint nextVisit(const PoolState& state, const VmState& vm, TimePoint now)
{
    if (!isSettled(vm))
        return nextUnsettledVisit(now);
    auto next = now + settledVisitInterval;
    for (const auto at :
        { vm.clockReportedAt + state.limits.idleReportInterval, vm.reservedUntil, vm.nextStopAt }) {
        if (at > now)
            next = std::min(next, at);
    }
    return vm.nextStopAt <= now ? std::min(next, nextUnsettledVisit(now)) : next;
}

TimePoint earliestVisit(const PoolState& state)
{
    return state.visitTimes.empty() ? TimePoint::max() : state.visitTimes.begin()->first;
}

} // namespace damask::fleet
