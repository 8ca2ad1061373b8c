/// \file
/// Tables and keys of the rows of jobs, and a directory of all jobs: accepted, cancelled and their states.
#pragma once

#include <damaskworks/cancel_fences.h>
#include <damaskworks/fleet_workload.h>
#include <damaskworks/job.h>
#include <damaskworks/shared_table.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damask::fleet {

/// Table that holds the rows of jobs.
inline constexpr std::string_view jobTable = "jobs";
/// Table that holds the specs which jobs pass to their tasks. Only the holder of a job's pool reads it, one
/// spec at a time.
inline constexpr std::string_view specTable = "specs";
/// Table that holds the leases and loads of pools, and the coordinator's machine tasks and waves.
inline constexpr std::string_view controlTable = "control";

/// Key of a pool's load in its part of the control table.
/// Loads of pools. They grow with the machines of a pool and change several times a second, so only the node
/// that coordinates machines follows them.
inline constexpr std::string_view loadTable = "loads";
inline constexpr std::string_view loadKey = "load";
/// Pool name of the machine coordinator's lease. No pool of VMs has this name.
inline constexpr std::string_view coordinatorPool = "@machines";

namespace rows {

/// Returns the part that holds a job's own rows. A queue has several parts, because the table limits the
/// transactions per second of a part.
std::string jobPart(std::string_view queue, std::string_view job);
/// Returns the part that holds a pool's lease, and the states and the progress of its jobs.
std::string poolPart(std::string_view pool);
std::string jobKey(std::string_view job);
std::string cancelKey(std::string_view job);
std::string stateKey(std::string_view job);

} // namespace rows

/// A job's rows, combined.
struct JobRecord {
    std::string encodedJob; ///< the job as accepted, see encodeJob(); empty if its row has not been read
    std::string queue;
    std::string pool;
    std::string organisation; ///< see JobSpec
    JobWork work;
    Version version = 0; ///< of the job's row
    bool cancelled = false; ///< a caller cancelled it after it was accepted
    bool isFenced = false; ///< an earlier build has stored it in spite of its fence, see CancelFences
    bool hasStateRow = false; ///< the holder of its pool has recorded a state
    JobState state = JobState::Queued;

    bool isAccepted() const { return !encodedJob.empty(); }
    /// Whether its tasks must not run.
    bool isCancelled() const { return cancelled || isFenced; }
    /// State to show to callers: a cancelled job that has not ended shows as cancelled.
    JobState visibleState() const;
};

/// All jobs, kept up to date from the changes of the table.
class JobDirectory {
public:
    using Listener = std::function<void(const std::string& id, const JobRecord& record)>;
    /// Sets a listener that is called for each job accepted or cancelled.
    void setListener(Listener listener) { m_listener = std::move(listener); }
    /// Keeps \p workload up to date with the jobs, from the next reset() on.
    void setWorkload(FleetWorkload* workload) { m_workload = workload; }
    /// Replaces everything by \p rows.
    void reset(const std::vector<TableRow>& rows);
    /// Applies one changed row.
    void apply(const TableRow& row);
    /// Returns the record of an accepted job, or nullptr.
    const JobRecord* find(const std::string& id) const;
    const std::unordered_map<std::string, JobRecord>& records() const { return m_records; }
    /// Returns the fences of jobs that were cancelled before they were accepted.
    const CancelFences& fences() const { return m_fences; }
    /// Returns the number of accepted jobs of a queue that are still queued.
    std::size_t pendingJobs(std::string_view queue) const;
    /// Returns the pools with jobs that have not ended. After a queue is routed to another pool, its earlier
    /// jobs stay with the old one.
    std::set<std::string> poolsWithUnfinishedJobs() const;

private:
    /// Applies a fence or an epoch, and cancels the fence's job if there is one.
    void applyFence(const TableRow& row);
    void applyTo(JobRecord& record, const TableRow& row);
    /// Tells the workload what has happened to a job; \p before is its state until then, if it was accepted.
    void recordChange(const JobRecord& record, std::optional<JobState> before);
    /// Adds \p amount (1 or -1) to the counts that include \p record.
    void updateCounts(const JobRecord& record, int amount);

    std::unordered_map<std::string, JobRecord> m_records;
    CancelFences m_fences;
    std::map<std::string, std::size_t, std::less<>> m_pending; ///< number of queued jobs by queue
    std::map<std::string, std::size_t> m_unfinished; ///< number of jobs by pool
    Listener m_listener;
    FleetWorkload* m_workload = nullptr;
    bool m_isReset = false; ///< rows are being replaced: they tell nothing about rates
};

} // namespace damask::fleet
