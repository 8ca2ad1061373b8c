/// \file
/// Assembles the components of one damaskd process on one event loop.
#pragma once

#include "api_pvt.h"
#include "daemon_settings_pvt.h"
#include "entry_pvt.h"
#include "watch_pvt.h"

#include <damaskworks/controller_runner.h>
#include <damaskworks/peer.h>
#include <damaskworks/snapshot.h>
#include <damaskworks/store.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>

namespace damask {

/// Why the daemon could not start.
struct DaemonError {
    std::string detail;
};

/// The damaskd process of one entry VM.
class Daemon {
public:
    Daemon(const DaemonSettings& settings, const Clock& clock);
    ~Daemon();

    /// Binds the caller, admin and peer addresses and starts all components.
    tl::expected<void, DaemonError> start();
    /// Runs until a graceful stop ends; returns false if requests were still in flight.
    bool run();

private:
    /// Builds the next heartbeat of this node.
    Heartbeat makeHeartbeat();
    void onHeartbeat(const Heartbeat& heartbeat);
    void onPeerRows(const RowSet& rows);
    void onPeerTimer();
    /// Passes the pool loads of all live entry VMs to the entry proxy.
    void refreshEntryVmLoads();
    /// Whether this node writes the snapshots: the live node with the first name does.
    bool isSnapshotWriter() const;
    NodeStatus status() const;
    /// Adds a changed row of the mirror to the catalogue and schedules applyChanges().
    void onRow(const Row& row);
    /// Applies the changed resources to the entry proxy and the controllers, and tells the peers of a new
    /// spec.
    void applyChanges();
    /// Requests the platform's VM list, and updates the controllers' members and demand.
    void refreshFleetView();
    /// Whether the process with this node name and incarnation is known to be running.
    bool isProcessLive(const std::string& node, std::uint64_t incarnation) const;
    /// Passes the names of the live entry VMs to the controllers.
    void refreshMembers();
    /// Passes the demand on each pool, summed over the entry VMs, to the controllers.
    void refreshDemand();
    /// Starts a graceful stop; it ends in continueStop().
    void beginStop();
    /// Checks periodically whether the stop can end, and then ends the loop.
    void continueStop();
    /// Asks the platform's balancer to send no more connections to this node.
    void withdrawFromBalancer();
    /// Whether requests, leases or claims of idempotency keys still have to be finished.
    bool hasUnfinishedWork(TimePoint now) const;
    void refreshGauges();

    DaemonSettings m_settings;
    const Clock& m_clock;
    TimePoint m_startedAt;
    std::uint64_t m_incarnation;
    Loop m_loop;
    KjLoop m_kjLoop;
    Metrics m_metrics;
    std::unique_ptr<TraceExporter> m_traceExporter;
    std::unique_ptr<Platform> m_platform;
    Catalogue m_catalogue;
    Store m_store;
    Mirror m_mirror;
    SnapshotWriter m_snapshots;
    KeyClaims m_keyClaims;
    FreshnessGuard m_freshnessGuard;
    EntryProxy m_entryProxy;
    PeerService m_peers;
    controller::Runner m_controllers;
    WatchHub m_watchHub;
    Api m_api;
    HttpServer m_callerServer;
    HttpServer m_adminServer;
    Timer m_fleetViewTimer;
    Timer m_peerTimer;
    Timer m_applyTimer;
    Timer m_stopTimer;
    SignalWatch m_terminateSignal;
    SignalWatch m_interruptSignal;
    TimePoint m_stopDeadline {};
    TimePoint m_releaseDeadline {};
    std::optional<TimePoint> m_lingerDeadline; ///< until which a stop serves keep-alive connections
    bool m_isWithdrawing = false; ///< the platform has not answered the withdrawal yet
    bool m_hasWithdrawn = false; ///< the platform has confirmed the withdrawal
    std::uint64_t m_heartbeatSequence = 0;
    Address m_peerAddress;
    TableVersion m_specVersion = 0; ///< of the newest spec row
    TableVersion m_announcedSpecVersion = 0; ///< newest that a hint to the peers has announced
    bool m_isStopping = false;
    bool m_hasCutRequests = false; ///< the stop ended with requests in flight
};

} // namespace damask
