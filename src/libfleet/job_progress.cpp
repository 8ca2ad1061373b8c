#include <damaskworks/job_directory.h>
#include <damaskworks/job_progress.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace damask::fleet {
namespace {

constexpr int rowsPerPage = 500;
constexpr std::chrono::milliseconds retryDelay { 100 };

/// The write of the job's state, if its row does not show it.
std::optional<TableWrite> stateWrite(const JobEntry& job)
{
    // The job's own row shows it as queued, and every node reads the rows of states.
    const bool isShownByItsRow = !job.recorded && job.state == JobState::Queued;
    if (job.recorded == job.state || isShownByItsRow)
        return std::nullopt;
    return TableWrite { std::string(jobTable), rows::stateKey(job.spec.id), encodeState(job.state) };
}

TableWrite recordWrite(const JobEntry& job, std::int64_t position, std::optional<std::string> text)
{
    return { std::string(progressTable), recordKey(job.spec.id, position), std::move(text) };
}

/// Adds the final state of a job, and deletes its record.
RecordOutcome appendEnd(JobEntry& job, std::string_view part, const LedgerLimits& limits, LedgerBatch& batch)
{
    const auto state = stateWrite(job);
    const auto deletion = recordWrite(job, 0, std::nullopt);
    const auto bytes = encodedSize(deletion, part) + (state ? encodedSize(*state, part) : 0);
    if (!hasRoomFor(batch, 1 + state.has_value(), bytes, limits))
        return RecordOutcome::BatchFull;
    if (state)
        addWrite(batch, *state, part);
    job.recorded = job.state;
    if (job.hasRecord)
        addWrite(batch, deletion, part);
    auto& rows = job.record.rows;
    for (auto it = std::next(rows.begin()); it != rows.end(); it = rows.erase(it)) {
        if (it->second.isStored
            && !addWriteIfRoom(batch, recordWrite(job, it->first, std::nullopt), part, limits))
            return RecordOutcome::BatchFull;
    }
    return RecordOutcome::Complete;
}

/// Divides the row in two and returns the position of the new one; nothing if the row has a single task.
std::optional<std::int64_t> divideRow(JobEntry& job, std::int64_t position)
{
    const auto range = rangeOf(job.record, position);
    const auto end = std::min(range.end, countPositions(job.spec));
    if (end - range.first < 2)
        return std::nullopt;
    const auto middle = range.first + (end - range.first) / 2;
    job.record.rows[middle] = {};
    return middle;
}

/// Adds the rows of an unfinished job that remain to be written. A row that is divided is written after the
/// new ones, so that the table has each task's progress at any time.
RecordOutcome appendRows(JobEntry& job, std::string_view part, const LedgerLimits& limits, LedgerBatch& batch)
{
    auto& record = job.record;
    auto remaining = record.remainingBefore.value_or(TaskRange {}.end);
    while (true) {
        const auto it = std::prev(record.rows.lower_bound(remaining));
        auto& [position, row] = *it;
        auto text = encodeProgress(job, rangeOf(record, position));
        if (text.size() > limits.dividedRowBytes) {
            if (const auto added = divideRow(job, position)) {
                remaining = *added + 1;
                continue;
            }
            if (text.size() > limits.maxRowBytes)
                return RecordOutcome::RowTooLong;
        }
        const bool isFirst = position == 0;
        const auto hash = hashOf(text);
        const bool isUnchanged = !isFirst && (row.isStored ? row.hash == hash : text.empty());
        if (isUnchanged) {
            remaining = position;
            continue;
        }
        const auto state = isFirst ? stateWrite(job) : std::nullopt;
        const bool isEmpty = text.empty();
        auto write = recordWrite(job, position, isEmpty ? std::nullopt : std::optional(std::move(text)));
        const auto bytes = encodedSize(write, part) + (state ? encodedSize(*state, part) : 0);
        if (!hasRoomFor(batch, 1 + state.has_value(), bytes, limits)) {
            record.remainingBefore = position + 1;
            return RecordOutcome::BatchFull;
        }
        if (state) {
            addWrite(batch, *state, part);
            job.recorded = job.state;
        }
        addWrite(batch, std::move(write), part);
        row = { hash, !isEmpty };
        if (isFirst)
            return RecordOutcome::Complete;
        remaining = position;
    }
}

} // namespace

std::set<std::string> jobsWithRows(const LedgerBatch& batch)
{
    auto jobs = batch.jobs;
    for (const auto& write : batch.writes) {
        const auto key = write.table == progressTable ? parseRecordKey(write.key) : std::nullopt;
        if (key)
            jobs.insert(key->job);
    }
    return jobs;
}

RecordOutcome appendRecord(
    PoolState& state, JobEntry& job, std::uint64_t number, const LedgerLimits& limits, LedgerBatch& batch)
{
    const auto part = rows::poolPart(state.pool);
    const bool isBegun = job.record.remainingBefore.has_value();
    const auto writesBefore = batch.writes.size();
    if (!isBegun)
        closeEndedOccurrences(state, job);
    const auto outcome
        = isFinal(job.state) ? appendEnd(job, part, limits, batch) : appendRows(job, part, limits, batch);
    const bool hasWritten = batch.writes.size() > writesBefore;
    // Ends that are applied after the first transaction of a record need not be in it.
    if (!isBegun && (hasWritten || outcome == RecordOutcome::Complete))
        job.lastBatch = number;
    if (outcome == RecordOutcome::BatchFull && !isBegun && !hasWritten)
        job.record.remainingBefore.reset();
    const bool isStateWritten = isFinal(job.state) && job.recorded == job.state && hasWritten;
    if (outcome != RecordOutcome::Complete && !isStateWritten)
        return outcome;
    job.record.remainingBefore.reset();
    batch.jobs.insert(job.spec.id);
    // A record of several transactions may lack changes since the first one.
    job.dirty = outcome != RecordOutcome::Complete || (isBegun && !isFinal(job.state));
    return outcome;
}

std::set<std::string> restoreFailedRecords(PoolState& state, const LedgerBatch& batch)
{
    auto jobs = jobsWithRows(batch);
    for (const auto& id : jobs) {
        const auto job = state.jobs.find(id);
        if (job == state.jobs.end())
            continue;
        job->second.dirty = true;
        job->second.recorded.reset();
        job->second.record.remainingBefore.reset();
    }
    for (const auto& write : batch.writes) {
        const auto key = write.table == progressTable ? parseRecordKey(write.key) : std::nullopt;
        const auto job = key ? state.jobs.find(key->job) : state.jobs.end();
        // The transaction may have been performed, or not, so the table may have the row in either case.
        if (job != state.jobs.end())
            job->second.record.rows[key->position] = { 0, true };
    }
    return jobs;
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

std::set<std::string> collectRecords(PoolState& state, std::set<std::string>& dirtyJobs, std::uint64_t number,
    const LedgerLimits& limits, LedgerBatch& batch)
{
    std::set<std::string> tooLong;
    for (auto* job : jobsToRecord(state, dirtyJobs)) {
        const auto outcome = appendRecord(state, *job, number, limits, batch);
        if (!job->dirty)
            dirtyJobs.erase(job->spec.id);
        if (outcome == RecordOutcome::RowTooLong)
            tooLong.insert(job->spec.id);
        if (outcome != RecordOutcome::BatchFull)
            continue;
        batch.isComplete = false;
        break;
    }
    return tooLong;
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

/// Number of ends from which on those of rejected records don't hold back the others. A VM lists twice as
/// many.
constexpr std::size_t maxHeldBackEnds = 250;

/// Number of the last end up to which all are durable once the jobs that are not dirty are; 0 if the first is
/// not.
std::uint64_t lastDurableEnd(
    const PoolState& state, const std::deque<AppliedEnd>& ends, const RejectedRecords& rejected)
{
    std::uint64_t last = 0;
    for (const auto& end : ends) {
        const auto job = state.jobs.find(end.job);
        const bool isPassedOver = ends.size() > maxHeldBackEnds && rejected.setAside.contains(end.job);
        if (!isPassedOver && job != state.jobs.end() && job->second.dirty
            && job->second.committedBatch <= end.afterBatch)
            break;
        last = end.number;
    }
    return last;
}

} // namespace

void collectEnds(const PoolState& state, const UnacknowledgedEnds& ends, const RejectedRecords& rejected,
    LedgerBatch& batch)
{
    for (const auto& [name, applied] : ends) {
        const auto vm = state.vms.find(name);
        if (vm == state.vms.end())
            continue;
        const auto last = lastDurableEnd(state, applied, rejected);
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
