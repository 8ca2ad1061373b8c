/// \file
/// Records of a pool's jobs and its load as the holder writes them.
#include <damaskworks/job_timing.h>
#include <damaskworks/log.h>
#include <damaskworks/pool_holder.h>
#include <damaskworks/pool_plan.h>

#include <algorithm>

namespace damask::fleet {
namespace {

bool hasRuns(const JobEntry& job)
{
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& step : occurrence.steps) {
            if (std::any_of(step.tasks.begin(), step.tasks.end(),
                    [](const TaskState& task) { return task.run.has_value(); }))
                return true;
        }
    }
    return false;
}

bool hasLoad(const LedgerBatch& batch)
{
    return std::any_of(batch.writes.begin(), batch.writes.end(),
        [](const TableWrite& write) { return write.table == loadTable; });
}

} // namespace

void PoolHolder::collectLoad(LedgerBatch& batch, TimePoint now)
{
    if (!m_pendingLoad || isSetAside(m_rejectedRecords, std::string(loadKey), now))
        return;
    m_publishedLoad = *m_pendingLoad;
    m_pendingLoad.reset();
    auto text = encodeLoad(m_publishedLoad);
    if (text.size() > m_ledgerLimits.maxRowBytes)
        return rejectRecords({ std::string(loadKey) }, "row too long");
    addWrite(batch, { std::string(loadTable), std::string(loadKey), std::move(text) },
        rows::poolPart(m_state.pool));
}

LedgerBatch PoolHolder::collectBatch()
{
    LedgerBatch batch;
    const auto now = m_context.clock.now();
    ++m_batchCount;
    visitJobs();
    std::erase_if(m_dirtyJobs, [&](const std::string& id) {
        const auto job = m_state.jobs.find(id);
        return job == m_state.jobs.end() || !job->second.dirty;
    });
    auto alone = nextAlone(m_rejectedRecords, m_dirtyJobs, now);
    if (!alone && m_pendingLoad)
        alone = nextAlone(m_rejectedRecords, { std::string(loadKey) }, now);
    if (!alone || *alone == loadKey)
        collectLoad(batch, now);
    std::set<std::string> jobs;
    if (alone)
        jobs.insert(*alone);
    const auto tooLong
        = collectRecords(m_state, alone ? jobs : m_dirtyJobs, m_batchCount, m_ledgerLimits, batch);
    if (alone && !jobs.contains(*alone))
        m_dirtyJobs.erase(*alone);
    batch.isComplete = batch.isComplete && !alone;
    for (const auto& id : tooLong)
        rejectRecords({ id }, "row too long");
    m_incompleteBatches += !batch.isComplete;
    m_jobsInTransaction.insert(batch.jobs.begin(), batch.jobs.end());
    collectEnds(m_state, m_unacknowledgedEnds, m_rejectedRecords, batch);
    return batch;
}

void PoolHolder::onCommitted(const LedgerBatch& batch)
{
    m_jobsInTransaction.clear();
    noteWritten(m_rejectedRecords, batch.jobs);
    if (hasLoad(batch))
        noteWritten(m_rejectedRecords, { std::string(loadKey) });
    logRecordedEnds(batch);
    acknowledgeEnds(m_state, batch, m_unacknowledgedEnds);
    for (const auto& id : batch.jobs) {
        const auto found = m_state.jobs.find(id);
        if (found == m_state.jobs.end())
            continue;
        found->second.hasRecord = true;
        found->second.committedBatch = found->second.lastBatch;
        found->second.hasUnrecordedTrial = false;
        if (isFinal(found->second.state) && !found->second.dirty)
            recordJobEnd(found->second);
    }
    visitJobs();
    markDirtyIfNeeded();
    scheduleReconcile(std::chrono::microseconds(0));
}

void PoolHolder::recordJobEnd(const JobEntry& job)
{
    const std::string state(nameOf(jobStateNames, job.state));
    if (!hasOneObjective(job.spec)) {
        logEvent(LogLevel::Info, "job_ended",
            { { "job", job.spec.id }, { "pool", m_state.pool }, { "state", state } });
        return;
    }
    const auto wallNow = std::chrono::duration_cast<WallTime>(m_context.clock.wallNow().time_since_epoch());
    const auto queue = m_state.queues.find(job.spec.queue);
    const auto objective = objectiveDuration(job, queue == m_state.queues.end() ? nullptr : &queue->second);
    const auto elapsed = wallNow - job.spec.acceptedAt;
    const std::string timeliness(nameOf(timelinessNames, timelinessOf(elapsed, objective)));
    // Zero if earlier holders started all of its tasks.
    const auto runTime = job.firstStartAt == TimePoint {}
        ? milliseconds(0)
        : std::chrono::duration_cast<milliseconds>(m_context.clock.now() - job.firstStartAt);
    m_context.metrics.count(
        "jobs_ended_total{pool=\"" + m_state.pool + "\",timeliness=\"" + timeliness + "\"}");
    logEvent(LogLevel::Info, "job_ended",
        { { "job", job.spec.id }, { "pool", m_state.pool }, { "state", state }, { "timeliness", timeliness },
            { "took_ms", std::to_string(elapsed.count()) },
            { "objective_ms", std::to_string(objective.count()) },
            { "ran_ms", std::to_string(runTime.count()) } });
}

std::set<std::string> PoolHolder::restoreRecords(const LedgerBatch& batch)
{
    m_jobsInTransaction.clear();
    m_publishedLoad = PoolLoad {}; // so that publishLoad() writes it again
    auto jobs = restoreFailedRecords(m_state, batch);
    for (const auto& id : jobs) {
        if (m_state.jobs.contains(id))
            m_dirtyJobs.insert(id);
    }
    return jobs;
}

void PoolHolder::onFailed(const LedgerBatch& batch) { restoreRecords(batch); }

void PoolHolder::onRejected(const LedgerBatch& batch)
{
    auto ids = restoreRecords(batch);
    if (hasLoad(batch))
        ids.insert(std::string(loadKey));
    rejectRecords(ids, "rejected by the table");
}

void PoolHolder::rejectRecords(const std::set<std::string>& ids, std::string_view reason)
{
    const auto now = m_context.clock.now();
    noteRejection(m_rejectedRecords, ids, now);
    std::erase_if(m_dirtyJobs, [&](const std::string& id) { return isSetAside(m_rejectedRecords, id, now); });
    m_context.metrics.count("ledger_rejections_total{pool=\"" + m_state.pool + "\"}");
    logEvent(LogLevel::Error, "record_rejected",
        { { "pool", m_state.pool }, { "records", std::to_string(ids.size()) }, { "first", *ids.begin() },
            { "reason", std::string(reason) } });
}

void PoolHolder::resumeRejectedRecords(TimePoint now)
{
    for (const auto& [id, pause] : m_rejectedRecords.setAside) {
        const auto job = m_state.jobs.find(id);
        if (now >= pause.until && job != m_state.jobs.end() && job->second.dirty)
            m_dirtyJobs.insert(id);
    }
}

void PoolHolder::removeEndedJobs()
{
    std::erase_if(m_endedJobs, [&](const std::string& id) {
        const auto job = m_state.jobs.find(id);
        if (job == m_state.jobs.end())
            return true;
        if (job->second.dirty || m_jobsInTransaction.contains(id) || hasRuns(job->second))
            return false;
        m_removedJobs.insert(id);
        removeJob(m_state, id);
        return true;
    });
    // The directory lags behind. Until it shows the end of a removed job, applyJob() must not add it again.
    std::erase_if(m_removedJobs, [&](const std::string& id) {
        const auto* record = m_context.directory.find(id);
        return !record || isFinal(record->state);
    });
}

} // namespace damask::fleet
