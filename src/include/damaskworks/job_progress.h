/// \file
/// Rows that record the progress of jobs. Every node follows the states of jobs. The progress of tasks
/// changes far more often; it has a table of its own, which only the next holder of the pool reads.
#pragma once

#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/pool_ledger.h>
#include <damaskworks/pool_state.h>
#include <damaskworks/shared_table.h>
#include <damaskworks/table_limits.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace damask::fleet {

/// Table that holds the progress of the tasks of unfinished jobs, in the parts of their pools.
inline constexpr std::string_view progressTable = "progress";

/// What appendRecord() has added to a batch.
enum class RecordOutcome {
    Complete, ///< the batch completes the job's record
    BatchFull, ///< the batch has no room for the rest of it
    RowTooLong, ///< a task needs more than a row holds; the rows before it are not written
};

/// Adds the rows of the job's record that have changed to the batch, in the order of falling positions: its
/// state if that differs from JobEntry::recorded, and the progress of its tasks, or the deletions of these
/// rows once the job has ended. Rows that have become too long are divided. JobEntry::dirty is reset if the
/// record is complete and contains all changes. \p number is that of the transaction.
RecordOutcome appendRecord(
    PoolState& state, JobEntry& job, std::uint64_t number, const LedgerLimits& limits, LedgerBatch& batch);

/// Prepares the jobs of a transaction that has failed for being recorded again. Returns their ids.
std::set<std::string> restoreFailedRecords(PoolState& state, const LedgerBatch& batch);

/// Jobs with rows in the batch, including those whose records it does not complete.
std::set<std::string> jobsWithRows(const LedgerBatch& batch);

/// The jobs of \p changed that differ from their durable records, in the order in which to record them: first
/// those whose starts wait for a record or whose callers wait for the end, then those recorded the longest
/// ago. At a turn's peak more jobs change than a transaction can hold.
std::vector<JobEntry*> jobsToRecord(PoolState& state, const std::set<std::string>& changed);

/// Adds the records of as many jobs of \p dirtyJobs to the batch as a transaction holds, and takes those that
/// are complete out of \p dirtyJobs. \p number is that of the transaction. Returns the jobs with a task that
/// needs more than a row holds.
std::set<std::string> collectRecords(PoolState& state, std::set<std::string>& dirtyJobs, std::uint64_t number,
    const LedgerLimits& limits, LedgerBatch& batch);

/// An end of a run that its VM has listed and that is applied to the state.
struct AppliedEnd {
    std::uint64_t number = 0; ///< see EndReport
    std::string job;
    std::uint64_t afterBatch = 0; ///< JobEntry::lastBatch at that time; only later records contain the end
};

/// Ends that are not acknowledged yet, by VM, each in the order of their numbers.
using UnacknowledgedEnds = std::map<std::string, std::deque<AppliedEnd>>;

/// Adds the ends in a report that has just been applied, above \p before.
void addAppliedEnds(const PoolState& state, const std::string& vm, const VmReport& report,
    std::uint64_t before, UnacknowledgedEnds& ends);
/// Adds the ends to the batch that are durable once it has committed. No transaction may be in flight. Where
/// a VM has many ends to acknowledge, those of jobs that the table rejects don't hold back the others: a VM
/// lists a limited number of ends.
void collectEnds(const PoolState& state, const UnacknowledgedEnds& ends, const RejectedRecords& rejected,
    LedgerBatch& batch);
/// Acknowledges the ends of a batch that has committed.
void acknowledgeEnds(PoolState& state, const LedgerBatch& batch, UnacknowledgedEnds& ends);

/// Reads the progress of all jobs of a pool that earlier holders have recorded.
class ProgressReader {
public:
    /// Encoded progress by key, see recordKey().
    using Rows = std::map<std::string, std::string>;
    using Listener = std::function<void(Rows)>;

    /// Calls \p onRead once, with all rows. Failed reads are retried without limit.
    ProgressReader(event_base* base, SharedTable& table, Metrics& metrics, std::string pool, Listener onRead);
    ~ProgressReader();
    /// Starts to read. The result contains everything committed before this call.
    void start() { read(); }

private:
    void read();
    void onRows(const TableResult<TableRows>& rows);

    SharedTable& m_table;
    Metrics& m_metrics;
    std::string m_part;
    Listener m_onRead;
    Timer m_timer;
    std::string m_nextKey; ///< first key of the next page
    Rows m_rows;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
