#include "daemon_pvt.h"

#include <damaskworks/log.h>
#include <damaskworks/registry.h>

#include <algorithm>
#include <csignal>

namespace damask {
namespace {

constexpr std::chrono::milliseconds listPeriod { 1000 };
constexpr std::chrono::milliseconds peerPeriod { 1000 };
constexpr std::chrono::milliseconds stopCheckPeriod { 20 };
/// The loads of peers not heard for this long do not count.
constexpr std::chrono::milliseconds memberLimit { 5000 };
/// Time that a planned stop waits for its leases to be given up.
constexpr std::chrono::milliseconds releaseLimit { 3000 };
/// Time for which kept connections of callers are served with refusals before they are closed.
constexpr std::chrono::milliseconds connectionLinger { 500 };
/// Time between telling the balancer and refusing new requests.
constexpr std::chrono::milliseconds balancerNotice { 500 };

constexpr std::string_view anyAddress = "0.0.0.0";

/// Callers' bodies are small; answers of the table may be long.
HttpLimits callerLimits() { return HttpLimits {}; }

std::unique_ptr<Platform> makePlatform(const DaemonSettings& settings, event_base* base)
{
    const auto* factory = Registry<PlatformFactory>::instance().find(settings.platformAdapter);
    return (*factory)({ base, settings.platform, settings.platformTimeout, "damaskd/" + settings.node });
}

std::unique_ptr<TraceExporter> makeExporter(const DaemonSettings& settings, event_base* base)
{
    if (settings.traceExporter.empty())
        return nullptr;
    return (*Registry<TraceExporterFactory>::instance().find(settings.traceExporter))(
        { base, settings.traceTarget });
}

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
    const Duration length = settings.leaseLength;
    out.lease.length = length;
    out.lease.renewPeriod = length / 3;
    out.lease.safetyMargin = length / 6;
    out.lease.rankDelay = length / 6;
    out.lease.maxContactAge = length / 2;
    out.lease.minimumHold = length * 2;
    return out;
}

} // namespace

Daemon::Daemon(const DaemonSettings& settings, const Clock& clock)
    : m_settings(settings)
    , m_clock(clock)
    , m_startedAt(clock.now())
    , m_incarnation(makeIncarnation(clock))
    , m_kjLoop(m_loop.base())
    , m_exporter(makeExporter(settings, m_loop.base()))
    , m_platform(makePlatform(settings, m_loop.base()))
    , m_store(m_loop.base(), *m_platform, clock, m_metrics, settings.node, m_incarnation)
    , m_mirror(m_loop.base(), *m_platform, clock, m_metrics,
          { std::string(resource::rowPrefix), settings.pollPeriod, settings.cluster,
              std::string(snapshot::objectName) },
          m_incarnation + 1)
    , m_snapshots(*m_platform, m_mirror, clock, m_metrics, settings.cluster, settings.snapshotPeriod)
    , m_keyed(m_loop.base(), m_store, clock, m_metrics, settings.node, m_incarnation,
          [this](const auto& node, auto incarnation) { return isLive(node, incarnation); })
    , m_freshness(m_loop.base(), clock, m_metrics, m_mirror)
    , m_entry(m_loop.base(), clock, m_metrics, m_exporter.get(), m_keyed, m_freshness, settings.dataCentre,
          m_incarnation + 2)
    , m_peers(m_loop.base(), clock, m_metrics,
          { [this] { return heartbeat(); }, [this](const Heartbeat& heard) { onPeer(heard); },
              [this](TableVersion since) { return m_mirror.rowsSince(since); },
              [this](const RowSet& rows) { onPeerRows(rows); } },
          m_incarnation + 3)
    , m_controllers({ m_loop.base(), m_store, m_mirror, m_catalogue, clock, m_metrics, settings.node,
                        m_incarnation + 4 },
          runnerSettings(settings))
    , m_watches(m_loop.base(), *m_platform, m_mirror)
    , m_api({ m_store, m_mirror, m_catalogue, m_metrics, m_watches, m_peers, clock,
          [this] { return status(); }, [this] { refreshGauges(); } })
    , m_callerServer(
          m_loop.base(), callerLimits(), [this](auto exchange) { m_entry.serve(std::move(exchange)); })
    , m_adminServer(
          m_loop.base(), callerLimits(), [this](auto exchange) { m_api.serve(std::move(exchange)); })
    , m_listTimer(m_loop.base(), [this] { refreshList(); })
    , m_peerTimer(m_loop.base(), [this] { tickPeers(); })
    , m_applyTimer(m_loop.base(), [this] { applyChanges(); })
    , m_stopTimer(m_loop.base(), [this] { continueStop(); })
    , m_onTerminate(m_loop.base(), SIGTERM, [this] { beginStop(); })
    , m_onInterrupt(m_loop.base(), SIGINT, [this] { beginStop(); })
{
    m_mirror.addListener([this](const Row& row) { onRow(row); });
}

Daemon::~Daemon() = default;

tl::expected<void, DaemonError> Daemon::start()
{
    const auto fail = [](const NetError& error) { return tl::make_unexpected(DaemonError { error.detail }); };
    if (!m_settings.traceExporter.empty() && !m_exporter)
        return tl::make_unexpected(DaemonError { "trace_target " + m_settings.traceTarget
            + " can't be used by trace_exporter " + m_settings.traceExporter });
    const auto callerPort = m_callerServer.listen(m_settings.listen);
    if (!callerPort)
        return fail(callerPort.error());
    const auto adminPort = m_adminServer.listen(m_settings.adminListen);
    if (!adminPort)
        return fail(adminPort.error());
    const auto peerPort = m_peers.listen(m_settings.peerListen);
    if (!peerPort)
        return fail(peerPort.error());
    m_peerAddress = m_settings.peerAdvertise;
    if (m_peerAddress.port == 0 && m_settings.peerListen.ip != anyAddress)
        m_peerAddress = { m_settings.peerListen.ip, *peerPort };
    m_peers.setSeeds(m_settings.peers);
    logEvent(LogLevel::Info, "listening",
        { { "caller_port", std::to_string(*callerPort) }, { "admin_port", std::to_string(*adminPort) },
            { "peer_port", std::to_string(*peerPort) } });
    m_mirror.start();
    refreshList();
    m_listTimer.startPeriodic(listPeriod);
    m_controllers.start();
    m_peerTimer.startPeriodic(peerPeriod);
    tickPeers();
    return {};
}

bool Daemon::run()
{
    m_loop.run();
    logEvent(LogLevel::Info, "stopped", { { "cut_requests", m_cutRequests ? "yes" : "no" } });
    return !m_cutRequests;
}

Heartbeat Daemon::heartbeat()
{
    Heartbeat out;
    out.cluster = m_settings.cluster;
    out.node = m_settings.node;
    out.incarnation = m_incarnation;
    out.dataCentre = m_settings.dataCentre;
    out.leaving = m_stopping;
    out.configurationVersion = m_entry.configurationGeneration();
    out.tableVersion = m_mirror.version();
    out.specVersion = m_specVersion;
    out.address = m_peerAddress;
    out.loads = m_entry.loads();
    out.sequence = ++m_heartbeatSequence;
    return out;
}

void Daemon::onPeer(const Heartbeat& heard)
{
    if (m_mirror.isCutOff() && heard.tableVersion > m_mirror.version())
        return m_peers.fetch(m_mirror.version());
    // A peer that has a newer spec tells of a change.
    if (heard.specVersion > m_specVersion)
        m_mirror.pollNow();
}

void Daemon::onPeerRows(const RowSet& rows)
{
    const bool taken = m_mirror.take(rows);
    m_metrics.count(taken ? "damask_peer_rows_taken_total" : "damask_peer_rows_refused_total");
}

void Daemon::tickPeers()
{
    m_peers.tick();
    if (m_mirror.isCutOff())
        m_peers.fetch(m_mirror.version());
    m_snapshots.consider(writesSnapshots());
    refreshEntryVms();
}

void Daemon::refreshEntryVms()
{
    std::map<std::string, std::vector<PoolLoad>> loads { { m_settings.node, m_entry.loads() } };
    const auto& known = m_peers.membership();
    for (const auto& [node, view] : known.members) {
        if (membership::phase(known, view, m_clock.now()) == membership::Phase::Live)
            loads[node] = view.heartbeat.loads;
    }
    m_entry.setEntryVms(m_settings.node, loads);
}

/// One node, the first by name of those that are live, writes the snapshots.
bool Daemon::writesSnapshots() const
{
    const auto& known = m_peers.membership();
    for (const auto& [node, view] : known.members) {
        if (node < m_settings.node
            && membership::phase(known, view, m_clock.now()) == membership::Phase::Live)
            return false;
    }
    return !m_stopping;
}

NodeStatus Daemon::status() const
{
    NodeStatus out;
    out.node = m_settings.node;
    out.dataCentre = m_settings.dataCentre;
    out.configurationGeneration = m_entry.configurationGeneration();
    const auto lastContact = std::max(m_mirror.lastContact(), m_startedAt);
    out.tableAge = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - lastContact);
    const bool superseded = m_peers.membership().superseded;
    out.ready = m_mirror.isComplete() && !m_stopping && !superseded;
    out.reason = out.ready ? ""
        : m_stopping       ? "stopping"
        : superseded       ? "a newer process has this node's name"
                           : "neither the table nor a peer's rows have been read yet";
    return out;
}

void Daemon::onRow(const Row& row)
{
    m_catalogue.apply(row);
    if (std::string_view(row.key).starts_with(resource::specPrefix))
        m_specVersion = std::max(m_specVersion, row.version);
    // Rows of one poll are applied together, at one moment of the loop.
    m_applyTimer.startOnce(std::chrono::microseconds(0));
}

void Daemon::applyChanges()
{
    m_entry.update(m_catalogue);
    m_controllers.planSoon();
    if (m_specVersion <= m_hintedVersion)
        return;
    m_hintedVersion = m_specVersion;
    m_peers.hint();
}

bool Daemon::isLive(const std::string& node, std::uint64_t incarnation) const
{
    if (node == m_settings.node)
        return incarnation == m_incarnation;
    const auto found = m_peers.views().find(node);
    return found != m_peers.views().end() && found->second.heartbeat.incarnation == incarnation
        && m_clock.now() - found->second.lastHeard <= memberLimit;
}

void Daemon::refreshMembers()
{
    std::vector<std::string> members { m_settings.node };
    const auto& known = m_peers.membership();
    for (const auto& [node, view] : known.members) {
        if (membership::phase(known, view, m_clock.now()) == membership::Phase::Live)
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
    add(heartbeat().loads);
    for (const auto& [node, view] : m_peers.views()) {
        if (m_clock.now() - view.lastHeard <= memberLimit)
            add(view.heartbeat.loads);
    }
    m_controllers.setDemand(std::move(demand));
}

void Daemon::refreshList()
{
    m_platform->listVms([this](PlatformResult<std::vector<ListedVm>> result) {
        if (result) {
            std::vector<ListedVm> peers;
            for (const auto& vm : *result) {
                if (vm.role == VmRole::Entry && vm.state != ListedState::Gone && vm.id != m_settings.node)
                    peers.push_back(vm);
            }
            m_peers.setPeers(peers);
            m_controllers.setListed(*result);
            m_entry.setListed(*result);
        }
    });
    refreshMembers();
    refreshDemand();
}

void Daemon::beginStop()
{
    if (m_stopping)
        return;
    m_stopping = true;
    logEvent(LogLevel::Info, "stop_begun", { { "in_flight", std::to_string(m_entry.pending()) } });
    m_stopDeadline = m_clock.now() + m_settings.stopTimeout;
    m_releaseDeadline = m_clock.now() + releaseLimit;
    announceLeaving();
    m_callerServer.startDraining();
    m_peers.hint();
    m_controllers.stop();
    m_stopTimer.startOnce(balancerNotice);
}

void Daemon::announceLeaving()
{
    m_announcing = true;
    m_platform->announceEntry(m_settings.node, false, [this](const PlatformResult<bool>& result) {
        m_announcing = false;
        m_announced = result.has_value();
    });
}

/// Whether requests, leases or records of keys are still to be finished.
bool Daemon::isBusy(TimePoint now) const
{
    if (m_entry.pending() > 0 || m_callerServer.isSending())
        return true;
    // Leases and records that can't be written, for example without the table, are left as they are:
    // leases expire, and the keys' claims refuse repeats.
    const bool isReleasing = !m_controllers.isStopped() || m_keyed.unrecorded() > 0;
    return isReleasing && now < m_releaseDeadline;
}

void Daemon::continueStop()
{
    m_entry.stop();
    const auto now = m_clock.now();
    if (!m_announced && !m_announcing)
        announceLeaving();
    if (isBusy(now) && now < m_stopDeadline) {
        m_lingerUntil.reset();
        m_stopTimer.startOnce(stopCheckPeriod);
        return;
    }
    // Callers on kept connections get answers that end them, until those are closed.
    if (!m_lingerUntil)
        m_lingerUntil = now + connectionLinger;
    if (now >= *m_lingerUntil) {
        m_callerServer.stopAccepting();
        m_callerServer.closeIdle();
    }
    if ((now < *m_lingerUntil || m_callerServer.connections() > 0)
        && now < *m_lingerUntil + connectionLinger) {
        m_stopTimer.startOnce(stopCheckPeriod);
        return;
    }
    m_cutRequests = m_entry.pending() > 0;
    m_watches.closeAll();
    m_loop.stop();
}

void Daemon::refreshGauges()
{
    m_entry.refreshGauges();
    m_metrics.gauge("damask_requests_pending", static_cast<double>(m_entry.pending()));
    m_metrics.gauge("damask_watch_streams", static_cast<double>(m_watches.streams()));
    m_metrics.gauge("damask_table_version", static_cast<double>(m_mirror.version()));
    m_metrics.gauge(
        "damask_configuration_generation", static_cast<double>(m_entry.configurationGeneration()));
    m_metrics.gauge("damask_peers", static_cast<double>(m_peers.views().size()));
    m_metrics.gauge("damask_http_refused_requests", static_cast<double>(m_callerServer.refusedRequests()));
}

} // namespace damask
