/// \file
/// Writes of a pool's holder to the table: the renewals of its lease and the progress of its jobs, one
/// transaction at a time.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/log.h>
#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/pool_lease.h>
#include <damaskworks/shared_table.h>
#include <damaskworks/table_limits.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace damask::fleet {

/// Ends of runs in one boot of a VM that are recorded in the table, up to a sequence number.
struct DurableEnds {
    std::int64_t bootTime = 0; ///< identifies the boot, milliseconds since 1970
    std::uint64_t lastNumber = 0; ///< highest recorded EndReport::number
};

/// Rows to write in one transaction, and the ends of runs that are durable once it has committed.
struct LedgerBatch {
    std::vector<TableWrite> writes;
    std::size_t bytes = 0; ///< sum of encodedSize()
    std::set<std::string> jobs; ///< jobs whose records are complete once the rows are written
    bool isComplete = true; ///< false: a transaction could not hold all changes, so the next follows at once
    /// By VM: ends of runs that the rows written up to and including this batch record.
    std::map<std::string, DurableEnds> ends;
};

/// Whether a transaction of a holder has room for so many more writes, of so many bytes in all, besides its
/// expectation on the lease row.
bool hasRoomFor(const LedgerBatch& batch, std::size_t entries, std::size_t bytes, const LedgerLimits& limits);
/// Adds the write; \p part is that of the transaction.
void addWrite(LedgerBatch& batch, TableWrite write, std::string_view part);
/// Adds the write if there is room for it; returns whether there is.
bool addWriteIfRoom(LedgerBatch& batch, TableWrite write, std::string_view part, const LedgerLimits& limits);

/// A lease that this node has just acquired.
struct AcquiredLease {
    LeaseRow row;
    Version version = 0; ///< of the lease row, and the first fencing token
    TimePoint sentAt {}; ///< when this node sent the transaction; the lease time counts from here
};

/// Renews the lease and writes progress. Every transaction expects the lease row to be unchanged, so a
/// replaced holder can write nothing. A transaction whose response was lost may still commit later. The
/// ledger therefore rewrites the lease row before it writes anything else, which invalidates the lost
/// transaction's expectation.
class PoolLedger {
public:
    struct Callbacks {
        /// Returns what to write now; an empty batch if there is nothing.
        std::function<LedgerBatch()> collect;
        /// The rows of the batch are durable.
        std::function<void(const LedgerBatch&)> committed;
        /// The transaction failed or its outcome is unknown; the rows must be written again.
        std::function<void(const LedgerBatch&)> failed;
        /// The lease was renewed; if it had expired, the holder may send commands again.
        std::function<void()> renewed;
        /// Another node has acquired the lease. The ledger makes no further calls.
        std::function<void()> lost;
        /// The lease is released. The ledger makes no further calls.
        std::function<void()> released;
        /// The table has rejected the transaction, which had no effect. Without this callback, failed is
        /// called.
        std::function<void(const LedgerBatch&)> rejected = {};
    };

    PoolLedger(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics, std::string pool,
        AcquiredLease lease, LeaseTiming timing, Callbacks callbacks);

    ~PoolLedger();

    /// Schedules a write; the ledger then asks Callbacks::collect for the batch.
    void markDirty();
    /// Writes what is left and releases the lease, after the request in flight has ended.
    void release();
    /// Renews the lease at once and uses the new row version as the fencing token.
    void raiseFencingToken();
    /// Returns whether this node certainly holds the lease, so that it may send commands.
    bool isLeaseValid() const;
    /// Returns the fencing token to put into commands.
    Version fencingToken() const { return m_fencingToken; }
    std::uint64_t term() const { return m_lease.term; }

private:
    enum class Request { None, RenewLease, WriteProgress, ReleaseLease, ReadLease };
    /// Sends the most urgent request if none is in flight: renewal, then progress, then release.
    void sendNext();
    void send(Request request, TableTransaction transaction, TableCallback<Version> callback);
    TableTransaction leaseTransaction(const LeaseRow& row) const;
    void renew();
    void writeProgress();
    void sendRelease();
    /// Reads the lease row after a conflict to find out which node holds the lease.
    void readLease();
    /// Logs and counts that the lease is lost or regained, with what tells a busy process from a slow table.
    void logLeaseChange(LogLevel level, const std::string& event) const;
    void onLeaseLost();
    void scheduleNext(std::chrono::milliseconds delay);

    SharedTable& m_table;
    const Clock& m_clock;
    Metrics& m_metrics;
    std::string m_pool;
    LeaseRow m_lease;
    Version m_leaseVersion; ///< expected by the next transaction
    Version m_fencingToken;
    LeaseTiming m_timing;
    Callbacks m_callbacks;
    Timer m_timer;
    Request m_inFlight = Request::None;
    TimePoint m_renewedAt; ///< when the last successful renewal was sent
    // Since the last successful renewal.
    int m_failedRenewals = 0;
    Duration m_longestDelay {}; ///< by which a renewal was sent later than it was due
    Duration m_longestCommit {}; ///< until the response or time-out of a transaction was handled
    TimePoint m_leaseValidUntil; ///< on this node's clock, with the safety margin taken off
    TimePoint m_nextRenewal;
    TimePoint m_dirtySince {};
    bool m_dirty = false;
    bool m_mustRenew = false; ///< an earlier transaction has an unknown outcome and may still commit
    bool m_raiseTokenOnRenewal = false;
    bool m_releasing = false;
    bool m_ended = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
