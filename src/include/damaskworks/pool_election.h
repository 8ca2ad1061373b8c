/// \file
/// Acquires free leases of pools. Each node runs one election; there is no voting. The node whose
/// transaction on the lease row commits first becomes the holder.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/loop.h>
#include <damaskworks/pool_ledger.h>
#include <damaskworks/shared_table.h>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

namespace damask::fleet {

/// Tracks the leases of all pools and acquires free ones.
class PoolElection {
public:
    struct Callbacks {
        /// Returns whether this node may acquire leases now.
        std::function<bool()> mayAcquire;
        /// Returns the number of leases that this node holds.
        std::function<std::size_t()> heldPools;
        /// Returns whether this node holds the lease of \c pool. A lease row with this node's session does
        /// not show that: it may come from an acquisition that was given up and has been performed since.
        std::function<bool(const std::string& pool)> isHeld;
        /// Called when this node has acquired the lease of \c pool.
        std::function<void(const std::string& pool, AcquiredLease lease)> acquired;
    };

    PoolElection(event_base* base, SharedTable& table, const Clock& clock, std::string node,
        std::string session, NodeCapacity capacity, std::uint64_t seed, LeaseTiming timing,
        Callbacks callbacks);
    ~PoolElection();

    /// Sets the pools that need a holder.
    void setPools(std::set<std::string> pools);
    /// Sets the time over which the nodes spread their attempts, see electionWindow().
    void setWindow(std::chrono::milliseconds window) { m_window = window; }
    /// Applies one changed row of the control table; ignores rows that are not leases.
    void applyRow(const TableRow& row);
    /// Applies all rows of the control table, newer versions only.
    void reset(const std::vector<TableRow>& rows);
    /// Looks for free leases and tries to acquire those whose delay has passed.
    void check();
    const std::map<std::string, ObservedLease>& leases() const { return m_leases; }
    /// Returns the pools whose lease row this node saw change within \p time before now, or for the first
    /// time.
    std::set<std::string> poolsHeldWithin(std::chrono::milliseconds time) const;

private:
    /// The pools that need a holder, and those whose last holder was lost: it may have left runs that nobody
    /// stops, shares of caps, and a load that is out of date. A holder that ends in order releases its lease.
    std::set<std::string> wantedPools() const;
    void acquire(const std::string& pool);
    void onAcquireResult(
        const std::string& pool, const LeaseRow& row, TimePoint sentAt, TableResult<Version> result);
    /// Reads the lease row after an acquisition whose outcome is unknown.
    void verifyAcquisition(const std::string& pool, const LeaseRow& row, TimePoint sentAt);

    SharedTable& m_table;
    const Clock& m_clock;
    std::string m_node;
    std::string m_session;
    NodeCapacity m_capacity;
    std::mt19937_64 m_random;
    LeaseTiming m_timing;
    std::chrono::milliseconds m_window { 100 };
    Callbacks m_callbacks;
    Timer m_timer;
    std::set<std::string> m_pools;
    std::map<std::string, ObservedLease> m_leases;
    /// A lease that this node may acquire.
    struct FreeLease {
        TimePoint since {}; ///< when this node found it free, or last failed to acquire it
        double jitter = 0; ///< 0 to 1; drawn per pool, so that nodes try pools in different orders
    };
    /// Returns when this node tries to acquire the lease if nothing changes until then.
    TimePoint attemptTime(const FreeLease& lease) const;
    void updateFreeLeases(TimePoint now);
    std::map<std::string, FreeLease> m_freeLeases;
    std::set<std::string> m_acquiring; ///< pools with an attempt in progress
    std::uint64_t m_acquireAttempts = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
