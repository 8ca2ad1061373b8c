/// \file
/// What the holder of a pool logs about its state.
#include <damaskworks/log.h>
#include <damaskworks/pool_holder.h>
#include <damaskworks/pool_plan.h>

#include <algorithm>
#include <utility>

namespace damask::fleet {
namespace {

constexpr milliseconds loadLogInterval { 1000 };
/// Most steps with waiting long-running tasks that are logged at a time.
constexpr std::size_t maxLoggedWaitingSteps = 4;
/// Most VMs that are logged by name while a recovery waits for them.
constexpr std::size_t maxLoggedAwaitedVms = 8;

std::string toMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

/// Numbers of VMs by obstacle, such as "memory:12,max_per_vm:3".
std::string formatObstacles(const std::map<PlacementObstacle, int>& vms)
{
    std::string out;
    for (const auto& [obstacle, count] : vms)
        out += (out.empty() ? "" : ",") + std::string(nameOf(placementObstacleNames, obstacle)) + ":"
            + std::to_string(count);
    return out;
}

} // namespace

void PoolHolder::logAwaitedVms()
{
    const auto awaited = findAwaitedVms(m_state);
    std::string names;
    for (std::size_t i = 0; i < std::min(awaited.size(), maxLoggedAwaitedVms); ++i)
        names += (names.empty() ? "" : ",") + awaited[i];
    logEvent(LogLevel::Info, "recovery_list",
        { { "pool", m_state.pool }, { "vms", std::to_string(m_state.platformVms->size()) },
            { "awaited", std::to_string(awaited.size()) }, { "first_awaited", names } });
}

void PoolHolder::logRecovery(TimePoint now)
{
    if (!m_isRecovering || !isRecoveryComplete(m_state, now))
        return;
    m_isRecovering = false;
    const auto silent = std::count_if(m_state.vms.begin(), m_state.vms.end(),
        [](const auto& entry) { return entry.second.isRegistered && !entry.second.hasReported; });
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - m_begunAt);
    logEvent(LogLevel::Info, "recovery_complete",
        { { "pool", m_state.pool }, { "after_ms", std::to_string(elapsed.count()) },
            { "silent_vms", std::to_string(silent) } });
}

void PoolHolder::logRunEvents()
{
    for (const auto& event : m_state.runEvents) {
        const bool isOfCopy = event.kind == RunEventKind::Copied || event.kind == RunEventKind::CopyEndedFirst
            || event.kind == RunEventKind::CopySuperseded;
        if (isOfCopy)
            m_context.metrics.count(
                "task_copies_total{event=\"" + std::string(nameOf(runEventKindNames, event.kind)) + "\"}");
        logEvent(LogLevel::Info, "task_run",
            { { "task", toString(event.task) }, { "run", std::to_string(event.run) }, { "vm", event.vm },
                { "event", std::string(nameOf(runEventKindNames, event.kind)) } });
    }
    m_state.runEvents.clear();
}

void PoolHolder::logRecordedEnds(const LedgerBatch& batch) const
{
    if (batch.ends.empty())
        return;
    std::string ends;
    for (const auto& [vm, durable] : batch.ends)
        ends += (ends.empty() ? "" : ",") + vm + ":" + std::to_string(durable.lastNumber);
    logEvent(LogLevel::Info, "ends_recorded", { { "pool", m_state.pool }, { "ends", ends } });
}

void PoolHolder::logLoad(TimePoint now)
{
    if (now - m_loadLoggedAt < loadLogInterval)
        return;
    m_loadLoggedAt = now;
    const auto heldBack = countHeldBack(m_state, m_waitingStarts);
    logEvent(LogLevel::Info, "pool_load",
        { { "pool", m_state.pool }, { "jobs", std::to_string(m_state.jobs.size()) },
            { "vms", std::to_string(m_state.vms.size()) },
            { "capacity", std::to_string(m_pendingLoad->capacityCpu) },
            { "used", std::to_string(m_pendingLoad->usedCpu) },
            { "serving", std::to_string(m_pendingLoad->servingCpu) },
            { "waiting_serving", std::to_string(m_pendingLoad->waitingServingCpu) },
            { "waiting", std::to_string(m_pendingLoad->waitingCpu) },
            { "waiting_work", std::to_string(m_pendingLoad->waitingWork) },
            { "overdue", std::to_string(m_pendingLoad->overdueCpu) },
            { "window", std::to_string(static_cast<int>(m_commandWindow.size)) },
            { "outstanding", std::to_string(outstandingStarts()) },
            { "command_ms", std::to_string(static_cast<int>(m_commandWindow.responseTime.count())) },
            { "starts_limited", m_state.areStartsLimited ? "yes" : "no" },
            { "above_share", std::to_string(organisationsAboveShare(m_state.shares).size()) },
            { "excess_jobs", std::to_string(m_state.shares.excessJobs) },
            { "held_for_record", std::to_string(heldBack.record) },
            { "held_for_spec", std::to_string(heldBack.spec) },
            { "held_for_trial", std::to_string(heldBack.trial) },
            { "unrecorded_jobs", std::to_string(m_dirtyJobs.size()) },
            { "transactions",
                std::to_string(m_batchCount - std::exchange(m_loggedBatchCount, m_batchCount)) },
            { "incomplete_transactions", std::to_string(std::exchange(m_incompleteBatches, 0)) },
            { "unacknowledged_vms", std::to_string(m_unacknowledgedEnds.size()) },
            { "passes", std::to_string(std::exchange(m_passes, 0)) },
            { "longest_pass_delay_ms", toMilliseconds(std::exchange(m_longestPassDelay, Duration {})) },
            { "vm_visits", std::to_string(m_state.work.vmVisits) },
            { "job_updates", std::to_string(m_state.work.jobUpdates) },
            { "steps_considered", std::to_string(m_state.work.steps) },
            { "vms_considered", std::to_string(m_state.work.vmChoices) },
            { "load_updates", std::to_string(m_state.work.loadUpdates) },
            { "passes_ms", toMilliseconds(std::exchange(m_timeInPasses, Duration {})) },
            { "longest_pass_ms", toMilliseconds(std::exchange(m_longestPass, Duration {})) },
            { "planning_ms", toMilliseconds(std::exchange(m_timePlanningStarts, Duration {})) },
            { "load_ms", toMilliseconds(std::exchange(m_timeSummingLoad, Duration {})) } });
    m_state.work = {};
    const auto label = "{pool=\"" + m_state.pool + "\"}";
    m_context.metrics.gauge("organisations_above_share" + label,
        static_cast<double>(organisationsAboveShare(m_state.shares).size()));
    m_context.metrics.gauge("excess_jobs" + label, static_cast<double>(m_state.shares.excessJobs));
}

void PoolHolder::logWaitingTasks(TimePoint now)
{
    if (now - m_waitingLoggedAt < loadLogInterval)
        return;
    m_waitingLoggedAt = now;
    for (const auto& waiting : findWaitingServingSteps(m_state, now, maxLoggedWaitingSteps))
        logEvent(LogLevel::Info, "serving_tasks_wait",
            { { "step", toString(waiting.step) }, { "pool", m_state.pool },
                { "tasks", std::to_string(waiting.tasks) },
                { "suspect", std::to_string(waiting.suspectTasks) },
                { "cpu", std::to_string(waiting.need.cpu) },
                { "memory_mb", std::to_string(waiting.need.memoryMb) },
                { "vms", formatObstacles(waiting.vms) } });
    logWaitingSuspects(now);
}

void PoolHolder::logWaitingSuspects(TimePoint now)
{
    const auto waiting = findWaitingSuspects(m_state, now);
    if (waiting.tasks == 0)
        return;
    logEvent(LogLevel::Info, "suspect_tasks_wait",
        { { "pool", m_state.pool }, { "tasks", std::to_string(waiting.tasks) },
            { "long_trials", std::to_string(waiting.longTrials) },
            { "longest_ms", std::to_string(waiting.longest.count()) },
            { "longest_task", toString(waiting.longestTask) }, { "vms", formatObstacles(waiting.vms) } });
}

} // namespace damask::fleet
