/// \file
/// Takes free leases of pools.
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

/// Observes the leases of all pools and takes those that are free.
class PoolElection {
public:
    struct Events {
        /// Whether this node may take leases now.
        std::function<bool()> mayTake;
        std::function<std::size_t()> heldPools;
        std::function<void(const std::string& pool, TakenLease lease)> taken;
    };

    PoolElection(event_base* base, SharedTable& table, const Clock& clock, std::string node,
        std::string session, NodeStrength strength, std::uint64_t seed, LeaseLimits limits, Events events);
    ~PoolElection();

    /// Pools that need a holder.
    void setPools(std::set<std::string> pools);
    void applyRow(const TableRow& row);
    void reset(const std::vector<TableRow>& rows);
    /// Looks for free leases.
    void check();
    const std::map<std::string, ObservedLease>& leases() const { return m_leases; }

private:
    void take(const std::string& pool);
    void onTaken(const std::string& pool, const LeaseRow& row, TimePoint sentAt, TableResult<Version> result);
    void readBack(const std::string& pool, const LeaseRow& row, TimePoint sentAt);

    SharedTable& m_table;
    const Clock& m_clock;
    std::string m_node;
    std::string m_session;
    NodeStrength m_strength;
    std::mt19937_64 m_random;
    LeaseLimits m_limits;
    Events m_events;
    Timer m_timer;
    std::set<std::string> m_pools;
    std::map<std::string, ObservedLease> m_leases;
    /// A lease that can be taken.
    struct FreeLease {
        TimePoint since {}; ///< when this node saw that it is free, or last failed to take it
        double spread = 0; ///< 0 to 1, of this node's delay; other for each pool, so that nodes differ
    };
    /// When the node tries for the lease if nothing changes.
    TimePoint attemptAt(const FreeLease& lease) const;
    void findFree(TimePoint now);
    std::map<std::string, FreeLease> m_free;
    std::set<std::string> m_taking;
    std::uint64_t m_takes = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
