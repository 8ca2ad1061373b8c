/// \file
/// Membership of the entry VMs: which nodes are known, how recent their heartbeats are, and which
/// heartbeats the next gossip message carries. The functions have no state of their own; the caller passes
/// in the time and the random numbers. Sizes are in bytes.
///
/// Heartbeats spread by gossip in messages of bounded size (as in SWIM, Das et al. 2002). Heartbeats that
/// have not been forwarded yet go first, then those forwarded longest ago.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/http.h>
#include <damaskworks/names.h>
#include <damaskworks/platform.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace damask {

/// Version of the protocol between entry VMs. A node refuses peers with any other version.
inline constexpr std::uint32_t peerProtocolVersion = 2;

/// Load of one pool as seen by one entry VM.
struct PoolLoad {
    std::string pool;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    float arrivals = 0; ///< requests per second, smoothed
};

/// State that an entry VM publishes about itself, and that its peers forward.
struct Heartbeat {
    std::string cluster;
    std::uint32_t protocol = peerProtocolVersion;
    std::string node;
    std::uint64_t incarnation = 0; ///< increases with each restart or replacement
    std::string dataCentre;
    bool leaving = false;
    std::uint64_t configurationVersion = 0;
    TableVersion tableVersion = 0; ///< table version that the node's rows reflect
    TableVersion specVersion = 0; ///< version of the newest spec row that the node has
    std::vector<PoolLoad> loads;
    std::uint64_t sequence = 0; ///< increases with each heartbeat of one incarnation
    Address address; ///< address of the peer port; port 0: unknown
    /// Time since the node created it, as summed over the forwarding nodes.
    std::chrono::milliseconds age { 0 };
};

/// Newest known heartbeat of a peer, received directly or forwarded.
struct PeerView {
    Heartbeat heartbeat;
    TimePoint lastHeard; ///< when the peer created the heartbeat
    bool hasUnsentUpdate = true; ///< no digest has carried this heartbeat yet
    TimePoint lastForwarded {}; ///< when a digest last carried a heartbeat of this peer
    std::size_t nextLoad = 0; ///< index of the first load in the next digest, when not all fit
};

namespace membership {

/// Liveness of a member.
enum class Phase { Live, Leaving, Suspected };

inline constexpr NameTable<Phase, 3> phaseNames { {
    { Phase::Live, "live" },
    { Phase::Leaving, "leaving" },
    { Phase::Suspected, "suspected" },
} };

/// Result of applying a heartbeat.
enum class HeartbeatResult {
    Newer, ///< applied
    Stale, ///< not applied: not newer than the known one, from a replaced process, too old, or no space
    Superseded, ///< from a newer process that runs under this node's name
};

/// Time and size limits.
struct Limits {
    std::chrono::milliseconds suspectAfter { 15'000 }; ///< minimum silence before suspicion
    /// Silence allowed per member, because heartbeats spread more slowly in a larger cluster. The larger of
    /// the two limits applies.
    std::chrono::milliseconds suspectAfterPerMember { 1000 };
    std::chrono::milliseconds forgetAfter { 120'000 }; ///< silence after which a member is removed
    std::size_t digestBytes = 280; ///< of the forwarded heartbeats in one message
    std::size_t ownLoadBytes = 120; ///< of the pool loads in the node's own heartbeat
    /// Of the pool loads in the first forwarded heartbeat; the others carry none.
    std::size_t forwardedLoadBytes = 60;
    std::size_t members = 1024; ///< most members to keep
};

/// What one node knows of the cluster.
struct State {
    std::string self;
    std::uint64_t incarnation = 0;
    Limits limits;
    std::map<std::string, PeerView> members; ///< by node name, without this node
    bool superseded = false; ///< a newer process runs under this node's name
    std::size_t nextOwnLoad = 0; ///< index of the first load in the node's next own heartbeat
};

/// Applies a heartbeat if it is newer than the known one. A heartbeat is stale if its incarnation is lower
/// or if a later process uses the node's address. A heartbeat may carry the loads of only some pools; the
/// known loads of the other pools stay.
HeartbeatResult observe(State& state, const Heartbeat& heartbeat, TimePoint now);
/// Silence after which a member is suspected.
std::chrono::milliseconds suspicionTimeout(const State& state);
/// Phase of a member. After a long pause of this process, every member is suspected until its next heartbeat.
Phase phase(const State& state, const PeerView& view, TimePoint now);
/// Removes members that have been silent for Limits::forgetAfter.
void removeExpired(State& state, TimePoint now);
/// Truncates the loads of the node's own heartbeat to Limits::ownLoadBytes. Successive calls keep different
/// pools in turn.
void limitOwnLoads(State& state, Heartbeat& self);
/// The heartbeats to forward in one message, within Limits::digestBytes. Omits suspected members.
std::vector<Heartbeat> digest(State& state, TimePoint now);
/// Chooses up to \p count of \p candidates in random order.
std::vector<std::string> choosePartners(
    std::vector<std::string> candidates, std::size_t count, std::mt19937_64& random);
/// Approximate encoded size of a heartbeat, in bytes.
std::size_t encodedSize(const Heartbeat& heartbeat);

} // namespace membership
} // namespace damask
