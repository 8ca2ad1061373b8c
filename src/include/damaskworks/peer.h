/// \file
/// Exchange of heartbeats and table rows between entry VMs over Cap'n Proto RPC.
#pragma once

#include <damaskworks/loop.h>
#include <damaskworks/membership.h>
#include <damaskworks/metrics.h>
#include <damaskworks/rpc.h>
#include <damaskworks/store.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace damask {

/// An error of the peer layer.
struct PeerError {
    std::string detail;
};

/// Limits and timeouts of PeerService.
struct PeerLimits {
    std::size_t outgoingConnections = 8; ///< connections that this node keeps open to peers
    std::size_t peersPerHint = 3; ///< peers that get the own heartbeat from one call of sendHints()
    std::size_t acceptedConnections = 256; ///< open at the same time; further ones are refused
    std::size_t servedFetches = 4; ///< peers that may fetch rows at the same time
    std::size_t chunkBytes = 32 * 1024; ///< rows of one message; the row that reaches the limit is still sent
    std::size_t maxFetchedBytes = 64 * 1024 * 1024; ///< a fetch fails if its rows take more memory
    std::chrono::milliseconds minHintInterval { 250 }; ///< sendHints() does nothing if it is called sooner
    /// Time limit for a response, and for the first valid call on an accepted connection.
    std::chrono::milliseconds callTimeout { 5'000 };
    std::chrono::milliseconds idleTimeout { 60'000 }; ///< closes an accepted connection without a valid call
    std::chrono::milliseconds retryDelay { 5'000 }; ///< until a failed address is tried again
};

/// Exchanges heartbeats with the other entry VMs in messages of bounded size, and serves table rows to
/// peers that can't reach the table.
class PeerService {
public:
    struct Callbacks {
        std::function<Heartbeat()> ownHeartbeat; ///< makes the current heartbeat of this node
        std::function<void(const Heartbeat&)> onHeartbeat; ///< called for each accepted heartbeat of a peer
        std::function<RowSet(TableVersion)> rowsNewerThan; ///< reads the rows to serve to a peer
        std::function<void(const RowSet&)> onRowsFetched; ///< called with the rows of a complete fetch
    };

    PeerService(event_base* base, const Clock& clock, Metrics& metrics, Callbacks callbacks,
        std::uint64_t seed = 1, PeerLimits limits = {});
    ~PeerService();
    PeerService(const PeerService&) = delete;
    PeerService& operator=(const PeerService&) = delete;

    /// Listens for connections from peers; port 0 picks a free port. Returns the bound port.
    tl::expected<std::uint16_t, NetError> listen(const Address& address);
    /// Replaces the list of entry VMs that the platform reports.
    void setPeers(const std::vector<ListedVm>& peers);
    /// Sets the addresses to try in addition to those of the listed VMs and the known members.
    void setSeeds(const std::vector<Address>& seeds);
    /// Starts an exchange of heartbeats with one peer. Closes connections that have timed out and removes
    /// expired members. The daemon calls it periodically.
    void tick();
    /// Sends the own heartbeat at once to a few connected peers that don't have the newest spec row yet.
    void sendHints();
    /// Fetches the rows newer than \p newerThan from a peer. Does nothing if a fetch is in progress or no
    /// live peer has newer rows.
    void fetch(TableVersion newerThan);
    /// The last known heartbeat of each peer, by node name.
    const std::map<std::string, PeerView>& views() const;
    /// The membership state of the entry VMs.
    const membership::State& membership() const;

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace damask
