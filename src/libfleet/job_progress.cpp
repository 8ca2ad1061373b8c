#include <damaskworks/job_directory.h>
#include <damaskworks/job_progress.h>

#include <algorithm>

namespace damask::fleet {
namespace {

constexpr int rowsPerPage = 500;
constexpr std::chrono::milliseconds retryDelay { 100 };
/// Transaction entries besides the writes: the expectation on the lease row.
constexpr std::size_t reservedEntries = 1;

} // namespace

void appendProgress(JobEntry& job, std::vector<TableWrite>& writes)
{
    const auto& id = job.spec.id;
    // The job's own row shows it as queued, and every node reads the rows of states.
    const bool isShownByItsRow = !job.recorded && job.state == JobState::Queued;
    if (job.recorded != job.state && !isShownByItsRow) {
        writes.push_back({ std::string(jobTable), rows::stateKey(id), encodeState(job.state) });
        job.recorded = job.state;
    }
    if (!isFinal(job.state))
        writes.push_back({ std::string(progressTable), id, encodeProgress(job) });
    else if (job.hasRecord)
        writes.push_back({ std::string(progressTable), id, std::nullopt });
}

std::vector<JobEntry*> jobsToRecord(PoolState& state, const std::set<std::string>& changed)
{
    std::vector<JobEntry*> jobs;
    for (const auto& id : changed) {
        const auto job = state.jobs.find(id);
        if (job != state.jobs.end() && job->second.dirty)
            jobs.push_back(&job->second);
    }
    const auto rank = [](const JobEntry* job) {
        return std::pair(job->hasRecord && !isFinal(job->state) && !job->hasUnrecordedTrial, job->lastBatch);
    };
    std::stable_sort(
        jobs.begin(), jobs.end(), [&](const JobEntry* a, const JobEntry* b) { return rank(a) < rank(b); });
    return jobs;
}

void collectRecords(
    PoolState& state, std::set<std::string>& dirtyJobs, std::uint64_t number, LedgerBatch& batch)
{
    for (auto* job : jobsToRecord(state, dirtyJobs)) {
        if (batch.writes.size() + reservedEntries + maxWritesPerJob > maxTransactionEntries) {
            batch.isComplete = false;
            return;
        }
        appendProgress(*job, batch.writes);
        batch.jobs.insert(job->spec.id);
        job->dirty = false;
        job->lastBatch = number;
        dirtyJobs.erase(job->spec.id);
    }
}

void addAppliedEnds(const PoolState& state, const std::string& vm, const VmReport& report,
    std::uint64_t before, UnacknowledgedEnds& ends)
{
    for (const auto& end : report.ended) {
        if (end.number <= before)
            continue;
        before = end.number;
        const auto job = state.jobs.find(end.task.job);
        ends[vm].push_back({ end.number, end.task.job, job == state.jobs.end() ? 0 : job->second.lastBatch });
    }
}

namespace {

/// Number of the last end up to which all are durable once the jobs that are not dirty are; 0 if the first is
/// not.
std::uint64_t lastDurableEnd(const PoolState& state, const std::deque<AppliedEnd>& ends)
{
    std::uint64_t last = 0;
    for (const auto& end : ends) {
        const auto job = state.jobs.find(end.job);
        if (job != state.jobs.end() && job->second.dirty && job->second.committedBatch <= end.afterBatch)
            break;
        last = end.number;
    }
    return last;
}

} // namespace

void collectEnds(const PoolState& state, const UnacknowledgedEnds& ends, LedgerBatch& batch)
{
    for (const auto& [name, applied] : ends) {
        const auto vm = state.vms.find(name);
        if (vm == state.vms.end())
            continue;
        const auto last = lastDurableEnd(state, applied);
        if (last > vm->second.acknowledged)
            batch.ends.emplace(name, DurableEnds { vm->second.bootTime, last });
    }
}

void acknowledgeEnds(PoolState& state, const LedgerBatch& batch, UnacknowledgedEnds& ends)
{
    for (const auto& [name, durable] : batch.ends) {
        const auto vm = state.vms.find(name);
        const auto applied = ends.find(name);
        if (vm == state.vms.end() || vm->second.bootTime != durable.bootTime || applied == ends.end())
            continue;
        vm->second.acknowledged = std::max(vm->second.acknowledged, durable.lastNumber);
        markChanged(state, vm->second);
        while (!applied->second.empty() && applied->second.front().number <= durable.lastNumber)
            applied->second.pop_front();
    }
    std::erase_if(
        ends, [&](const auto& entry) { return entry.second.empty() || !state.vms.contains(entry.first); });
}

ProgressReader::ProgressReader(
    event_base* base, SharedTable& table, Metrics& metrics, std::string pool, Listener onRead)
    : m_table(table)
    , m_metrics(metrics)
    , m_part(rows::poolPart(pool))
    , m_onRead(std::move(onRead))
    , m_timer(base, [this] { read(); })
{
}

ProgressReader::~ProgressReader() { *m_alive = false; }

void ProgressReader::read()
{
    m_table.read(std::string(progressTable), m_part, m_nextKey, rowsPerPage,
        [this, alive = m_alive](const TableResult<TableRows>& rows) {
            if (*alive)
                onRows(rows);
        });
}

void ProgressReader::onRows(const TableResult<TableRows>& rows)
{
    if (!rows) {
        m_metrics.count("progress_read_failures_total");
        return m_timer.startOnce(retryDelay);
    }
    for (const auto& row : rows->rows)
        m_rows.insert_or_assign(row.key, row.value);
    if (!rows->hasMore || rows->rows.empty())
        return m_onRead(std::move(m_rows));
    m_nextKey = rows->rows.back().key + '\x01'; // a read includes its first key
    read();
}

} // namespace damask::fleet
