/// \file
/// Leases of pools. The lease row of a pool names its holder, the node that runs the pool.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/shared_table.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damask::fleet {

/// Content of a pool's lease row.
struct LeaseRow {
    std::string node; ///< name of the holder; empty: the lease is released
    std::string session; ///< identifies the holder's process
    std::uint64_t term = 0; ///< number of earlier holders
    std::uint64_t renewals = 0; ///< counter; each renewal or acquisition changes the row
    bool operator==(const LeaseRow&) const = default;
};

inline constexpr std::string_view leaseKey = "lease";
/// Highest term of a readable row. Run numbers, see runNumberBase(), fit into 32 bits up to it.
inline constexpr std::int64_t maxTerm = 4'000'000;

/// Timing of leases.
struct LeaseTiming {
    /// Other nodes may acquire a lease that its holder has not renewed for this long. After a holder
    /// stops, another node replaces it within this time plus one election.
    std::chrono::milliseconds expiry { 2000 };
    /// Three renewals fit into the expiry, so that one of them may fail.
    std::chrono::milliseconds renewalInterval { 600 };
    /// The holder stops sending commands this long before other nodes may acquire its lease.
    std::chrono::milliseconds safetyMargin { 300 };
};

/// Row text of a lease; decodeLease() returns nothing for malformed text and numbers out of range.
std::string encodeLease(const LeaseRow& lease);
std::optional<LeaseRow> decodeLease(std::string_view text);

/// A pool's lease as seen by one node.
struct ObservedLease {
    LeaseRow row;
    Version version = 0; ///< of the row; 0: there is no row
    TimePoint changedAt {}; ///< when the node last saw the row change
};

/// Returns whether \p node may acquire the lease: it is released, expired, or still names \p node. In the
/// last case the holder was an earlier process of the same node, which has ended.
bool isAcquirable(
    const ObservedLease& lease, std::string_view node, const LeaseTiming& timing, TimePoint now);

/// Processor and network capacity of a node.
struct NodeCapacity {
    double cpuShare = 1; ///< in cores
    double linkMbps = 1000; ///< in Mbit/s
};

/// Returns how long a node waits before it tries to acquire a free lease. Nodes that hold fewer pools or have
/// more capacity wait for a shorter time, which balances the pools over the nodes. \p jitter (0 to 1) times
/// \p window separates nodes of equal load and capacity.
std::chrono::milliseconds electionDelay(std::size_t heldPools, const NodeCapacity& node, double jitter,
    std::chrono::milliseconds window = std::chrono::milliseconds(100));

} // namespace damask::fleet
