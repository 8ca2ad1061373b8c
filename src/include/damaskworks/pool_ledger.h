/// \file
/// Writes of a pool's holder: its lease and the progress of its jobs, one transaction at a time.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/pool_lease.h>
#include <damaskworks/shared_table.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace damask::fleet {

/// Ends of one boot of a VM, up to a number.
struct CoveredEnds {
    std::int64_t born = 0;
    std::uint64_t number = 0;
};

/// Rows that are written together, and the ends that they cover.
struct LedgerBatch {
    std::vector<TableWrite> writes;
    std::set<std::string> jobs; ///< whose progress is among the rows
    /// Ends of each VM that are contained in the rows written up to this batch.
    std::map<std::string, CoveredEnds> ends;
};

/// A lease that was just taken.
struct TakenLease {
    LeaseRow row;
    Version version = 0;
    TimePoint sentAt {}; ///< when the transaction that took it was sent
};

/// Keeps the lease and writes progress under the condition that the lease is unchanged, so that a
/// holder that was replaced writes nothing. A transaction whose answer was lost may still commit;
/// the lease row is rewritten before anything else is written, after which it can't.
class PoolLedger {
public:
    struct Events {
        /// Gives what is to be written now; empty if nothing is.
        std::function<LedgerBatch()> collect;
        std::function<void(const LedgerBatch&)> committed;
        /// The rows were not written, or it is not known whether they were.
        std::function<void(const LedgerBatch&)> failed;
        /// The lease was renewed: orders may be given again.
        std::function<void()> renewed;
        /// Another node holds the lease.
        std::function<void()> lost;
        /// The lease was given back.
        std::function<void()> released;
    };

    PoolLedger(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics, std::string pool,
        TakenLease lease, LeaseLimits limits, Events events);

    ~PoolLedger();

    /// Something is to be written.
    void markDirty();
    /// Gives the lease back once the transaction under way has ended.
    void release();
    /// Takes a higher fencing token with the next renewal, which is made at once.
    void raiseFence();
    /// Whether the lease is certainly still this node's.
    bool mayOrder() const;
    /// Fencing token of orders.
    Version fence() const { return m_fence; }
    std::uint64_t term() const { return m_lease.term; }

private:
    enum class Call { None, Renew, Progress, Release, Read };
    void pump();
    void send(Call call, TableTransaction transaction, TableCallback<Version> callback);
    TableTransaction leaseTransaction(const LeaseRow& row) const;
    void renew();
    void writeProgress();
    void sendRelease();
    /// Finds out who holds the lease after a conflict.
    void readLease();
    void lose();
    void pumpAfter(std::chrono::milliseconds delay);

    SharedTable& m_table;
    const Clock& m_clock;
    Metrics& m_metrics;
    std::string m_pool;
    LeaseRow m_lease;
    Version m_version;
    Version m_fence;
    LeaseLimits m_limits;
    Events m_events;
    Timer m_timer;
    Call m_call = Call::None;
    TimePoint m_validUntil;
    TimePoint m_nextRenewal;
    TimePoint m_dirtySince {};
    bool m_dirty = false;
    bool m_mustRenew = false; ///< an earlier transaction may still commit
    bool m_raiseFence = false;
    bool m_releasing = false;
    bool m_ended = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
