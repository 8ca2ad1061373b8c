/// \file
/// The lease of a pool: a row that names the pool's holder.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/shared_table.h>

#include <optional>
#include <string>
#include <string_view>

namespace damask::fleet {

/// Row of a pool's lease.
struct LeaseRow {
    std::string node; ///< of the holder; empty: released
    std::string session; ///< of the holder's process
    std::uint64_t term = 0; ///< holders before this one
    std::uint64_t renewals = 0;
    bool operator==(const LeaseRow&) const = default;
};

inline constexpr std::string_view leaseKey = "lease";

/// Time limits of leases.
struct LeaseLimits {
    /// A lease that was not renewed for this long may be taken. A holder that was stopped is
    /// replaced within this and one election.
    std::chrono::milliseconds expiry { 2000 };
    /// Renewals fit three times into the expiry, so that one may fail.
    std::chrono::milliseconds renewal { 600 };
    /// The holder gives no orders this long before others may take its lease.
    std::chrono::milliseconds margin { 300 };
};

std::string encodeLease(const LeaseRow& lease);
std::optional<LeaseRow> decodeLease(std::string_view text);

/// What an observer knows of a pool's lease.
struct ObservedLease {
    LeaseRow row;
    Version version = 0; ///< 0: there is no row
    TimePoint changedAt {}; ///< when the observer saw the row change last
};

/// Whether the lease may be taken. The node's own earlier process has ended when a new one runs.
bool isTakeable(const ObservedLease& lease, std::string_view node, const LeaseLimits& limits, TimePoint now);

/// What a node has for the work of a holder.
struct NodeStrength {
    double cpuShare = 1; ///< of a core
    double linkMbps = 1000;
};

/// Delay before a node tries to take a free lease: the fewer pools it holds and the stronger it is the
/// shorter, so that pools spread over the nodes that can carry them; nodes that are alike differ by
/// \p spread (0 to 1).
std::chrono::milliseconds electionDelay(std::size_t heldPools, const NodeStrength& node, double spread);

} // namespace damask::fleet
