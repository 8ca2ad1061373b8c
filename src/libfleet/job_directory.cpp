#include <damaskworks/job_directory.h>
#include <damaskworks/log.h>
#include <damaskworks/pool_state.h>

#include <utility>

namespace damask::fleet {
namespace {

constexpr std::size_t keyPrefixLength = 2; // "j/", "c/" or "s/"

} // namespace

namespace rows {

std::string jobPart(std::string_view queue, std::string_view job)
{
    // Two bits of the id's first hexadecimal digit select one of the queue's four parts.
    const char digit = job.empty() ? '0' : job.front();
    const int value = digit <= '9' ? digit - '0' : (digit | 0x20) - 'a' + 10;
    return "queue/" + std::string(queue) + "/" + std::to_string(value & 3);
}

std::string poolPart(std::string_view pool) { return "pool/" + std::string(pool); }
std::string jobKey(std::string_view job) { return "j/" + std::string(job); }
std::string cancelKey(std::string_view job) { return "c/" + std::string(job); }
std::string stateKey(std::string_view job) { return "s/" + std::string(job); }

} // namespace rows

JobState JobRecord::visibleState() const
{
    if (isCancelled() && state != JobState::Completed && state != JobState::Failed)
        return JobState::Cancelled;
    return state;
}

void JobDirectory::updateCounts(const JobRecord& record, int amount)
{
    if (!record.isAccepted())
        return;
    if (record.visibleState() == JobState::Queued)
        m_pending[record.queue] += static_cast<std::size_t>(amount);
    // A cancelled job is unfinished until its holder has stopped its tasks and recorded its end.
    if (!isFinal(record.state))
        m_unfinished[record.pool] += static_cast<std::size_t>(amount);
    if (m_workload)
        m_workload->count(
            record.pool, record.queue, record.organisation, record.visibleState(), record.work, amount);
}

void JobDirectory::recordChange(const JobRecord& record, std::optional<JobState> before)
{
    if (!m_workload || m_isReset || !record.isAccepted())
        return;
    if (!before)
        m_workload->recordAcceptance(record.organisation);
    if (before != JobState::Completed && record.state == JobState::Completed)
        m_workload->recordCompletion(record.pool, record.work);
}

void JobDirectory::applyTo(JobRecord& record, const TableRow& row)
{
    switch (row.key.front()) {
    case 'j': {
        const auto job = decodeJob(row.value);
        if (!job || job->id != std::string_view(row.key).substr(keyPrefixLength)) {
            logEvent(LogLevel::Error, "job_row_unreadable", { { "key", row.key } });
            return;
        }
        record.encodedJob = row.value;
        record.queue = job->queue;
        record.pool = job->pool;
        record.organisation = job->organisation;
        record.work = workOf(*job);
        record.version = row.version;
        record.isFenced = m_fences.contains(row.part, rows::cancelFenceKey(job->id, job->organisation));
        return;
    }
    case 'c':
        record.cancelled = true;
        return;
    case 's':
        record.hasStateRow = true;
        record.state = decodeState(row.value);
        return;
    default:
        logEvent(LogLevel::Error, "job_row_unknown", { { "key", row.key } });
    }
}

void JobDirectory::applyFence(const TableRow& row)
{
    m_fences.apply(row);
    const auto fence = parseCancelFenceKey(row.key);
    const auto found = m_records.find(std::string(fence.job));
    if (found == m_records.end())
        return;
    auto& record = found->second;
    const bool isOfItsJob = record.isAccepted() && record.organisation == fence.organisation
        && rows::jobPart(record.queue, fence.job) == row.part;
    if (!isOfItsJob)
        return;
    updateCounts(record, -1);
    record.isFenced = !row.deleted;
    updateCounts(record, 1);
    if (m_listener)
        m_listener(found->first, record);
}

void JobDirectory::apply(const TableRow& row)
{
    if (isCancelFenceRow(row.key))
        return applyFence(row);
    if (row.key.size() <= keyPrefixLength)
        return;
    const auto id = row.key.substr(keyPrefixLength);
    if (row.deleted) {
        // All rows of a job are deleted together, long after its end.
        auto found = m_records.find(id);
        if (found == m_records.end())
            return;
        updateCounts(found->second, -1);
        m_records.erase(found);
        return;
    }
    auto& record = m_records[id];
    const auto before = record.isAccepted() ? std::optional(record.state) : std::nullopt;
    updateCounts(record, -1);
    applyTo(record, row);
    updateCounts(record, 1);
    recordChange(record, before);
    const bool isFromCaller = row.key.front() != 's';
    if (isFromCaller && record.isAccepted() && m_listener)
        m_listener(id, record);
}

void JobDirectory::reset(const std::vector<TableRow>& rows)
{
    m_records.clear();
    m_fences.clear();
    m_pending.clear();
    m_unfinished.clear();
    if (m_workload)
        m_workload->clear();
    m_isReset = true;
    // The rows of a job come in any order, so the listener is called only after all rows are applied.
    const auto listener = std::exchange(m_listener, nullptr);
    for (const auto& row : rows)
        apply(row);
    m_listener = listener;
    m_isReset = false;
    if (!m_listener)
        return;
    for (const auto& [id, record] : m_records) {
        if (record.isAccepted())
            m_listener(id, record);
    }
}

const JobRecord* JobDirectory::find(const std::string& id) const
{
    auto found = m_records.find(id);
    return found == m_records.end() || !found->second.isAccepted() ? nullptr : &found->second;
}

std::size_t JobDirectory::pendingJobs(std::string_view queue) const
{
    auto found = m_pending.find(queue);
    return found == m_pending.end() ? 0 : found->second;
}

std::set<std::string> JobDirectory::poolsWithUnfinishedJobs() const
{
    std::set<std::string> out;
    for (const auto& [pool, jobs] : m_unfinished) {
        if (jobs > 0)
            out.insert(pool);
    }
    return out;
}

} // namespace damask::fleet
