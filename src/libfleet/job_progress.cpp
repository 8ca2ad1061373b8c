#include <damaskworks/job_directory.h>
#include <damaskworks/job_progress.h>

#include <algorithm>

namespace damask::fleet {
namespace {

constexpr int rowsPerPage = 500;
constexpr std::chrono::milliseconds retryDelay { 100 };

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
