/// \file
/// Rows that record the progress of jobs. Every node follows the states of jobs. The progress of tasks
/// changes far more often; it has a table of its own, which only the next holder of the pool reads.
#pragma once

#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/pool_ledger.h>
#include <damaskworks/pool_state.h>
#include <damaskworks/shared_table.h>

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

/// Largest number of writes that appendProgress() appends.
inline constexpr std::size_t maxWritesPerJob = 2;

/// Appends the writes that record the current progress of the job: its state if that differs from
/// JobEntry::recorded, and the progress of its tasks, or the deletion of that row once the job has ended.
/// Updates JobEntry::recorded.
void appendProgress(JobEntry& job, std::vector<TableWrite>& writes);

/// The jobs of \p changed that differ from their durable records, in the order in which to record them: first
/// those whose starts wait for a record or whose callers wait for the end, then those recorded the longest
/// ago. At a turn's peak more jobs change than a transaction can hold.
std::vector<JobEntry*> jobsToRecord(PoolState& state, const std::set<std::string>& changed);

/// Adds the records of as many jobs of \p dirtyJobs to the batch as a transaction holds, and takes these out
/// of \p dirtyJobs. \p number is that of the transaction.
void collectRecords(
    PoolState& state, std::set<std::string>& dirtyJobs, std::uint64_t number, LedgerBatch& batch);

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
/// Adds the ends to the batch that are durable once it has committed. No transaction may be in flight.
void collectEnds(const PoolState& state, const UnacknowledgedEnds& ends, LedgerBatch& batch);
/// Acknowledges the ends of a batch that has committed.
void acknowledgeEnds(PoolState& state, const LedgerBatch& batch, UnacknowledgedEnds& ends);

/// Reads the progress of all jobs of a pool that earlier holders have recorded.
class ProgressReader {
public:
    /// Encoded progress by job id.
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
