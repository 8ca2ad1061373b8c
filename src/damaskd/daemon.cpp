#include "daemon_pvt.h"

#include <damaskworks/log.h>
#include <damaskworks/registry.h>

#include <algorithm>
#include <csignal>

namespace damask {
namespace {

constexpr std::chrono::milliseconds fleetViewPeriod { 1000 };
constexpr std::chrono::milliseconds peerPeriod { 1000 };
constexpr std::chrono::milliseconds stopCheckPeriod { 20 };
/// A peer whose heartbeat is older does not count as running, and its loads do not count as demand.
constexpr std::chrono::milliseconds maxHeartbeatAge { 5000 };
/// Time that a graceful stop waits for the release of leases and for the outcomes of keyed requests.
constexpr std::chrono::milliseconds releaseTimeout { 3000 };
/// Time for which a stop refuses requests on callers' keep-alive connections before it closes them.
constexpr std::chrono::milliseconds connectionLingerTime { 500 };
/// Time between the withdrawal from the balancer and the refusal of new requests, so that the balancer can
/// send connections elsewhere first.
constexpr std::chrono::milliseconds balancerUpdateDelay { 500 };

constexpr std::string_view anyAddress = "0.0.0.0";

/// Limits of the caller and the admin server. Platform adapters, whose responses may be longer, have their
/// own.
HttpLimits serverLimits() { return HttpLimits {}; }

std::unique_ptr<Platform> makePlatform(const DaemonSettings& settings, event_base* base)
{
    const auto* factory = Registry<PlatformFactory>::instance().find(settings.platformAdapter);
    return (*factory)({ base, settings.platform, settings.platformTimeout, "damaskd/" + settings.node });
}

std::unique_ptr<TraceExporter> makeTraceExporter(const DaemonSettings& settings, event_base* base)
{
    if (settings.traceExporter.empty())
        return nullptr;
    return (*Registry<TraceExporterFactory>::instance().find(settings.traceExporter))(
        { base, settings.traceTarget });
}

/// The start time in microseconds, so that a later process of the node has a higher incarnation.
std::uint64_t makeIncarnation(const Clock& clock)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(clock.wallNow().time_since_epoch()).count());
}

controller::RunnerSettings runnerSettings(const DaemonSettings& settings)
{
    controller::RunnerSettings out;
    out.reportPeriod = settings.reportPeriod;
    out.leasePollPeriod = settings.pollPeriod;
    const Duration leaseLength = settings.leaseLength;
    out.lease.length = leaseLength;
    out.lease.renewPeriod = leaseLength / 3;
    out.lease.safetyMargin = leaseLength / 6;
    out.lease.rankDelay = leaseLength / 6;
    out.lease.maxContactAge = leaseLength / 2;
    out.lease.minimumHold = leaseLength * 2;
    return out;
}

} // namespace

Daemon::Daemon(const DaemonSettings& settings, const Clock& clock)
    : m_settings(settings)
    , m_clock(clock)
    , m_startedAt(clock.now())
    , m_incarnation(makeIncarnation(clock))
    , m_kjLoop(m_loop.base())
    , m_traceExporter(makeTraceExporter(settings, m_loop.base()))
    , m_platform(makePlatform(settings, m_loop.base()))
    , m_store(m_loop.base(), *m_platform, clock, m_metrics, settings.node, m_incarnation)
    , m_mirror(m_loop.base(), *m_platform, clock, m_metrics,
          { std::string(resource::rowPrefix), settings.pollPeriod, settings.cluster,
              std::string(snapshot::objectName) },
          m_incarnation + 1)
    , m_snapshots(*m_platform, m_mirror, clock, m_metrics, settings.cluster, settings.snapshotPeriod)
    , m_keyClaims(m_loop.base(), m_store, clock, m_metrics, settings.node, m_incarnation,
          [this](const auto& node, auto incarnation) { return isProcessLive(node, incarnation); })
    , m_freshnessGuard(m_loop.base(), clock, m_metrics, m_mirror)
    , m_entryProxy(m_loop.base(), clock, m_metrics, m_traceExporter.get(), m_keyClaims, m_freshnessGuard,
          settings.dataCentre, m_incarnation + 2)
    , m_peers(m_loop.base(), clock, m_metrics,
          { [this] { return makeHeartbeat(); },
              [this](const Heartbeat& heartbeat) { onHeartbeat(heartbeat); },
              [this](TableVersion since) { return m_mirror.rowsSince(since); },
              [this](const RowSet& rows) { onPeerRows(rows); } },
          m_incarnation + 3)
    , m_controllers({ m_loop.base(), m_store, m_mirror, m_catalogue, clock, m_metrics, settings.node,
                        m_incarnation + 4 },
          runnerSettings(settings))
    , m_watchHub(m_loop.base(), *m_platform, m_mirror)
    , m_api({ m_store, m_mirror, m_catalogue, m_metrics, m_watchHub, m_peers, clock,
          [this] { return status(); }, [this] { refreshGauges(); } })
    , m_callerServer(
          m_loop.base(), serverLimits(), [this](auto exchange) { m_entryProxy.serve(std::move(exchange)); })
    , m_adminServer(
          m_loop.base(), serverLimits(), [this](auto exchange) { m_api.serve(std::move(exchange)); })
    , m_fleetViewTimer(m_loop.base(), [this] { refreshFleetView(); })
    , m_peerTimer(m_loop.base(), [this] { onPeerTimer(); })
    , m_applyTimer(m_loop.base(), [this] { applyChanges(); })
    , m_stopTimer(m_loop.base(), [this] { continueStop(); })
    , m_terminateSignal(m_loop.base(), SIGTERM, [this] { beginStop(); })
    , m_interruptSignal(m_loop.base(), SIGINT, [this] { beginStop(); })
{
    m_mirror.addListener([this](const Row& row) { onRow(row); });
}

Daemon::~Daemon() = default;

tl::expected<void, DaemonError> Daemon::start()
{
    const auto toDaemonError
        = [](const NetError& error) { return tl::make_unexpected(DaemonError { error.detail }); };
    if (!m_settings.traceExporter.empty() && !m_traceExporter)
        return tl::make_unexpected(DaemonError { "trace_target " + m_settings.traceTarget
            + " is not valid for trace_exporter " + m_settings.traceExporter });
    const auto callerPort = m_callerServer.listen(m_settings.listen);
    if (!callerPort)
        return toDaemonError(callerPort.error());
    const auto adminPort = m_adminServer.listen(m_settings.adminListen);
    if (!adminPort)
        return toDaemonError(adminPort.error());
    const auto peerPort = m_peers.listen(m_settings.peerListen);
    if (!peerPort)
        return toDaemonError(peerPort.error());
    m_peerAddress = m_settings.peerAdvertise;
    if (m_peerAddress.port == 0 && m_settings.peerListen.ip != anyAddress)
        m_peerAddress = { m_settings.peerListen.ip, *peerPort };
    m_peers.setSeeds(m_settings.peers);
    logEvent(LogLevel::Info, "listening",
        { { "caller_port", std::to_string(*callerPort) }, { "admin_port", std::to_string(*adminPort) },
            { "peer_port", std::to_string(*peerPort) } });
    m_mirror.start();
    refreshFleetView();
    m_fleetViewTimer.startPeriodic(fleetViewPeriod);
    m_controllers.start();
    m_peerTimer.startPeriodic(peerPeriod);
    onPeerTimer();
    return {};
}

bool Daemon::run()
{
    m_loop.run();
    logEvent(LogLevel::Info, "stopped", { { "cut_requests", m_hasCutRequests ? "yes" : "no" } });
    return !m_hasCutRequests;
}

Heartbeat Daemon::makeHeartbeat()
{
    Heartbeat out;
    out.cluster = m_settings.cluster;
    out.node = m_settings.node;
    out.incarnation = m_incarnation;
    out.dataCentre = m_settings.dataCentre;
    out.leaving = m_isStopping;
    out.configurationVersion = m_entryProxy.configurationGeneration();
    out.tableVersion = m_mirror.version();
    out.specVersion = m_specVersion;
    out.address = m_peerAddress;
    out.loads = m_entryProxy.poolLoads();
    out.sequence = ++m_heartbeatSequence;
    return out;
}

void Daemon::onHeartbeat(const Heartbeat& heartbeat)
{
    if (m_mirror.isTableUnreachable() && heartbeat.tableVersion > m_mirror.version())
        return m_peers.fetch(m_mirror.version());
    // The table holds a newer spec, so poll it now and not only after the poll period.
    if (heartbeat.specVersion > m_specVersion)
        m_mirror.pollNow();
}

void Daemon::onPeerRows(const RowSet& rows)
{
    const bool isAccepted = m_mirror.applyIfNewer(rows);
    m_metrics.count(isAccepted ? "damask_peer_rows_taken_total" : "damask_peer_rows_refused_total");
}

void Daemon::onPeerTimer()
{
    m_peers.tick();
    if (m_mirror.isTableUnreachable())
        m_peers.fetch(m_mirror.version());
    m_snapshots.writeIfDue(isSnapshotWriter());
    refreshEntryVmLoads();
}

void Daemon::refreshEntryVmLoads()
{
    std::map<std::string, std::vector<PoolLoad>> loads { { m_settings.node, m_entryProxy.poolLoads() } };
    const auto& membershipState = m_peers.membership();
    for (const auto& [node, view] : membershipState.members) {
        if (membership::phase(membershipState, view, m_clock.now()) == membership::Phase::Live)
            loads[node] = view.heartbeat.loads;
    }
    m_entryProxy.setEntryVmLoads(m_settings.node, loads);
}

bool Daemon::isSnapshotWriter() const
{
    const auto& membershipState = m_peers.membership();
    for (const auto& [node, view] : membershipState.members) {
        if (node < m_settings.node
            && membership::phase(membershipState, view, m_clock.now()) == membership::Phase::Live)
            return false;
    }
    return !m_isStopping;
}

NodeStatus Daemon::status() const
{
    NodeStatus out;
    out.node = m_settings.node;
    out.dataCentre = m_settings.dataCentre;
    out.configurationGeneration = m_entryProxy.configurationGeneration();
    const auto lastContact = std::max(m_mirror.lastContact(), m_startedAt);
    out.tableAge = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - lastContact);
    const bool superseded = m_peers.membership().superseded;
    out.ready = m_mirror.isComplete() && !m_isStopping && !superseded;
    out.reason = out.ready ? ""
        : m_isStopping     ? "stopping"
        : superseded       ? "a newer process has this node's name"
                           : "neither the table nor a peer's rows have been read yet";
    return out;
}

void Daemon::onRow(const Row& row)
{
    m_catalogue.apply(row);
    if (std::string_view(row.key).starts_with(resource::specPrefix))
        m_specVersion = std::max(m_specVersion, row.version);
    // The timer fires after all rows of one poll have arrived, so that they are applied together.
    m_applyTimer.startOnce(std::chrono::microseconds(0));
}

void Daemon::applyChanges()
{
    m_entryProxy.applyCatalogue(m_catalogue);
    m_controllers.planSoon();
    if (m_specVersion <= m_announcedSpecVersion)
        return;
    m_announcedSpecVersion = m_specVersion;
    m_peers.sendHints();
}

bool Daemon::isProcessLive(const std::string& node, std::uint64_t incarnation) const
{
    if (node == m_settings.node)
        return incarnation == m_incarnation;
    const auto found = m_peers.views().find(node);
    return found != m_peers.views().end() && found->second.heartbeat.incarnation == incarnation
        && m_clock.now() - found->second.lastHeard <= maxHeartbeatAge;
}

void Daemon::refreshMembers()
{
    std::vector<std::string> members { m_settings.node };
    const auto& membershipState = m_peers.membership();
    for (const auto& [node, view] : membershipState.members) {
        if (membership::phase(membershipState, view, m_clock.now()) == membership::Phase::Live)
            members.push_back(node);
    }
    m_controllers.setMembers(std::move(members));
}

void Daemon::refreshDemand()
{
    std::map<std::string, controller::PoolDemand> demand;
    const auto add = [&demand](const std::vector<PoolLoad>& loads) {
        for (const auto& load : loads) {
            auto& pool = demand[load.pool];
            pool.arrivals += load.arrivals;
            pool.inFlight += load.inFlight;
            pool.queued += load.queued;
        }
    };
    add(makeHeartbeat().loads);
    for (const auto& [node, view] : m_peers.views()) {
        if (m_clock.now() - view.lastHeard <= maxHeartbeatAge)
            add(view.heartbeat.loads);
    }
    m_controllers.setDemand(std::move(demand));
}

void Daemon::refreshFleetView()
{
    m_platform->listVms([this](PlatformResult<std::vector<ListedVm>> result) {
        if (result) {
            std::vector<ListedVm> peers;
            for (const auto& vm : *result) {
                if (vm.role == VmRole::Entry && vm.state != ListedState::Gone && vm.id != m_settings.node)
                    peers.push_back(vm);
            }
            m_peers.setPeers(peers);
            m_controllers.setListedVms(*result);
            m_entryProxy.setListedVms(*result);
        }
    });
    refreshMembers();
    refreshDemand();
}

void Daemon::beginStop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    logEvent(
        LogLevel::Info, "stop_begun", { { "in_flight", std::to_string(m_entryProxy.pendingRequests()) } });
    m_stopDeadline = m_clock.now() + m_settings.stopTimeout;
    m_releaseDeadline = m_clock.now() + releaseTimeout;
    withdrawFromBalancer();
    m_callerServer.startDraining();
    m_peers.sendHints();
    m_controllers.stop();
    m_stopTimer.startOnce(balancerUpdateDelay);
}

void Daemon::withdrawFromBalancer()
{
    m_isWithdrawing = true;
    m_platform->setAcceptingConnections(m_settings.node, false, [this](const PlatformResult<bool>& result) {
        m_isWithdrawing = false;
        m_hasWithdrawn = result.has_value();
    });
}

bool Daemon::hasUnfinishedWork(TimePoint now) const
{
    if (m_entryProxy.pendingRequests() > 0 || m_callerServer.isSending())
        return true;
    // After the release deadline, for example without the table, the stop gives these writes up. The leases
    // expire, and repeats of requests whose claims have no outcome are refused.
    const bool isReleasing = !m_controllers.isStopped() || m_keyClaims.pendingWrites() > 0;
    return isReleasing && now < m_releaseDeadline;
}

void Daemon::continueStop()
{
    m_entryProxy.stop();
    const auto now = m_clock.now();
    if (!m_hasWithdrawn && !m_isWithdrawing)
        withdrawFromBalancer();
    if (hasUnfinishedWork(now) && now < m_stopDeadline) {
        m_lingerDeadline.reset();
        m_stopTimer.startOnce(stopCheckPeriod);
        return;
    }
    // Requests on keep-alive connections are refused with a reply that closes the connection. What is idle
    // after the linger time is closed.
    if (!m_lingerDeadline)
        m_lingerDeadline = now + connectionLingerTime;
    if (now >= *m_lingerDeadline) {
        m_callerServer.stopAccepting();
        m_callerServer.closeIdleConnections();
    }
    if ((now < *m_lingerDeadline || m_callerServer.connections() > 0)
        && now < *m_lingerDeadline + connectionLingerTime) {
        m_stopTimer.startOnce(stopCheckPeriod);
        return;
    }
    m_hasCutRequests = m_entryProxy.pendingRequests() > 0;
    m_watchHub.closeAll();
    m_loop.stop();
}

void Daemon::refreshGauges()
{
    m_entryProxy.refreshGauges();
    m_metrics.gauge("damask_requests_pending", static_cast<double>(m_entryProxy.pendingRequests()));
    m_metrics.gauge("damask_watch_streams", static_cast<double>(m_watchHub.streamCount()));
    m_metrics.gauge("damask_table_version", static_cast<double>(m_mirror.version()));
    m_metrics.gauge(
        "damask_configuration_generation", static_cast<double>(m_entryProxy.configurationGeneration()));
    m_metrics.gauge("damask_peers", static_cast<double>(m_peers.views().size()));
    m_metrics.gauge("damask_http_refused_requests", static_cast<double>(m_callerServer.refusedRequests()));
}

} // namespace damask
