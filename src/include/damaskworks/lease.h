/// \file
/// Leases of controllers: which node works on which key. This part only plans the transactions; the
/// controller runner commits them.
///
/// A lease has two rows. The holder rewrites `l/<definition>/<key>` to renew the lease. The fencing row
/// `e/<definition>/<key>` changes only when a node acquires the lease. Each transaction of a holder is
/// conditional on the fencing row's version, so a holder that was paused beyond its lease can change
/// nothing. Clocks need not be synchronised: each node regards a lease as expired when it has seen the
/// row unchanged for the lease's length on its own monotonic clock (Gray and Cheriton, "Leases", SOSP
/// 1989).
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/platform.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace damask::lease {

/// Key prefix of the lease rows, which holders renew.
inline constexpr std::string_view leasePrefix = "l/";
/// Key prefix of the fencing rows, which change only when a node acquires the lease.
inline constexpr std::string_view fencePrefix = "e/";

/// Timing of all leases of a cluster; must be the same on every node.
struct Settings {
    Duration length = std::chrono::seconds(6); ///< a lease whose row is unchanged for this long has expired
    Duration renewPeriod = std::chrono::seconds(2);
    Duration safetyMargin = std::chrono::seconds(1); ///< the holder stops acting this long before the expiry
    /// Wait per rank before a node acquires a free or expired lease.
    Duration rankDelay = std::chrono::seconds(1);
    Duration minimumHold = std::chrono::seconds(15); ///< minimum time before a handover to the preferred node
    /// A node whose last read of the table is older does not act.
    Duration maxContactAge = std::chrono::seconds(3);
};

/// Contents of a lease row.
struct Content {
    std::string holder; ///< empty: released
    std::uint64_t epoch = 0; ///< increases by one with each acquisition
    std::uint64_t renewal = 0; ///< renewals and releases in this epoch
};

/// What this node knows of one lease.
struct Lease {
    TableVersion version = 0; ///< version of the lease row; 0: no row
    Content content;
    /// When this node first saw this version, or last failed to acquire the lease.
    TimePoint unchangedSince {};
    bool held = false; ///< by this node
    bool pending = false; ///< a transaction on it has no result yet
    TableVersion fenceVersion = 0; ///< version of the fencing row while this node is the holder
    TimePoint acquiredAt {};
    TimePoint renewedAt {}; ///< when the last successful renewal was sent
};

/// What this node knows of all leases.
struct State {
    std::string node;
    std::map<std::string, Lease> leases; ///< by `<definition>/<key>`
};

/// What a transaction does with its leases.
enum class AttemptKind { Acquire, Renew, Release };

/// A transaction to commit. Renewals of a node share one transaction, and so do its releases.
struct Attempt {
    AttemptKind kind = AttemptKind::Acquire;
    std::vector<std::string> keys; ///< `<definition>/<key>` of its leases
    Transaction transaction;
    TimePoint sentAt {};
};

/// What the node knows of the cluster besides the lease rows.
struct ClusterView {
    std::vector<std::string> keys; ///< `<definition>/<key>` of the leases that need a holder
    std::vector<std::string> members; ///< live entry VMs that are not leaving, this one included
    TimePoint lastContact {}; ///< last successful read of the lease rows
    bool leaving = false; ///< this node is shutting down
};

/// Rank of \p node among \p members for \p key by rendezvous hashing. 0 is the preferred holder; the
/// number of members means that the node is not a member.
std::size_t rank(std::string_view key, std::string_view node, const std::vector<std::string>& members);

/// Applies a lease row read from the table. Ignores other rows, deletions and versions not newer than the
/// known one.
void observe(State& state, const Row& row, TimePoint now);

/// Plans the transactions to commit now and marks their leases as pending. Plans none if the last contact
/// is too old.
std::vector<Attempt> planAttempts(
    State& state, const Settings& settings, const ClusterView& cluster, TimePoint now);

/// Applies the result of an attempt. An unknown outcome counts as a lost lease.
void applyResult(
    State& state, const Attempt& attempt, const PlatformResult<TableVersion>& result, TimePoint now);

/// Whether this node holds the lease safely before its expiry, with a recent read of the table.
bool mayAct(
    const State& state, const Settings& settings, std::string_view key, TimePoint lastContact, TimePoint now);

/// The condition on the fencing row that each transaction under a lease must include.
RowCondition fenceCondition(const State& state, std::string_view key);

} // namespace damask::lease
