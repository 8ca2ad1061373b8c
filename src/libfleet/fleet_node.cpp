#include <damaskworks/fleet_node.h>
#include <damaskworks/log.h>
#include <damaskworks/timed_table.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace damask::fleet {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds loadTablePause { 50 };
/// A holder starts no tasks if the table of jobs or that of VMs has not responded for this long. Requests for
/// changes return within 1 s. A cancelled job's tasks must not start 3 s after the cancellation, and a VM
/// must get no new tasks 2 s after it has reported that it leaves.
constexpr milliseconds maxViewAge { 2000 };
constexpr milliseconds tickInterval { 250 };
/// A node without a response from the table for this long is not ready for callers.
constexpr milliseconds maxContactAgeToServe { 2500 };
/// A node without a response from the table for this long acquires no leases.
constexpr milliseconds maxContactAgeToAcquire { 1500 };
/// Time until the balancer sends no more callers to a stopping node. The balancer probes readiness once a
/// second and removes a node after two failed probes; the rest allows for its own delay.
constexpr milliseconds balancerRemovalTime { 2300 };
/// Part of the time before SIGKILL that is left for the exit itself.
constexpr milliseconds exitMargin { 500 };
constexpr milliseconds stopCheckInterval { 50 };

FollowSettings operatorTableSettings(const Codec& codec)
{
    FollowSettings out;
    out.table = codec.operatorTable();
    out.readsRowsWhenBehind = true;
    out.confirmsChanges = true;
    return out;
}

Adapter openAdapter(const AdapterPlugin& plugin, Loop& loop, const NodeSettings& settings, const Clock& clock,
    Metrics& metrics, TableContact& contact)
{
    auto adapter = plugin.open(loop.base(), settings);
    adapter.table = std::make_unique<TimedTable>(std::move(adapter.table), clock, metrics, contact);
    return adapter;
}

} // namespace

FleetNode::FleetNode(Loop& loop, const Clock& clock, const AdapterPlugin& plugin, NodeOptions options,
    NodeSettings settings, std::uint64_t seed)
    : m_loop(loop)
    , m_clock(clock)
    , m_plugin(plugin)
    , m_options(std::move(options))
    , m_settings(std::move(settings))
    , m_seed(seed)
    , m_session(m_settings.node + "-" + std::to_string(seed))
    , m_adapter(openAdapter(plugin, loop, m_settings, clock, m_metrics, m_tableContact))
    , m_admission(m_settings.limitsAdmission ? std::make_unique<AdmissionControl>(clock, m_metrics, seed + 8)
                                             : nullptr)
    , m_callers({ loop.base(), clock, m_metrics, *m_adapter.table, *m_adapter.codec, m_directory,
          [this] { return m_jobRows.currentAsOf(); }, [this] { return m_operatorRows.currentAsOf(); },
          m_settings.configApplyTime, m_tableContact, m_settings.maxRowBytes, m_settings.keyRevocationTime,
          m_admission.get(), m_settings.endedJobRetention })
    , m_operatorRows(
          loop.base(), *m_adapter.table, clock, m_metrics, operatorTableSettings(*m_adapter.codec), seed + 1)
    , m_controlRows(
          loop.base(), *m_adapter.table, clock, m_metrics, { std::string(controlTable), true }, seed + 2)
    , m_jobRows(loop.base(), *m_adapter.table, clock, m_metrics, { std::string(jobTable), true }, seed + 3)
    , m_vmRows(loop.base(), *m_adapter.table, clock, m_metrics, { m_adapter.codec->vmTable() }, seed + 4)
    , m_election(loop.base(), *m_adapter.table, clock, m_settings.node, m_session,
          NodeCapacity { m_settings.cpuShare, m_settings.linkMbps }, seed + 5, m_leaseTiming,
          { [this] { return canServe() && hasRecentContact(maxContactAgeToAcquire); },
              [this] { return m_holders.size() + (m_coordinator ? 1 : 0); },
              [this](const std::string& pool) {
                  return pool == coordinatorPool ? m_coordinator != nullptr : m_holders.contains(pool);
              },
              [this](const std::string& pool, const AcquiredLease& lease) { onLeaseAcquired(pool, lease); } })
    , m_polls(loop.base(), *m_adapter.table, clock, m_metrics, m_settings,
          { m_operatorRows, m_controlRows, m_jobRows, m_vmRows, m_election }, seed + 7)
    , m_callerServer(loop.base(), {},
          [this](std::shared_ptr<HttpExchange> exchange) { m_callers.handle(std::move(exchange)); })
    , m_readyServer(loop.base(), {},
          [this](const std::shared_ptr<HttpExchange>& exchange) { serveReadiness(exchange); })
    , m_metricsServer(
          loop.base(), {}, [this](const std::shared_ptr<HttpExchange>& exchange) { serveMetrics(exchange); })
    , m_tickTimer(loop.base(), [this] { tick(); })
    , m_stopTimer(loop.base(), [this] { continueStop(); })
    , m_onTerminate(loop.base(), SIGTERM, [this] { beginStop(); })
    , m_onInterrupt(loop.base(), SIGINT, [this] { beginStop(); })
    , m_onHangup(loop.base(), SIGHUP, [this] { reload(); })
{
}

FleetNode::~FleetNode() = default;

tl::expected<void, NodeError> FleetNode::start()
{
    const auto listen = [](HttpServer& server, const Address& address) -> tl::expected<void, NodeError> {
        auto port = server.listen(address);
        if (!port)
            return tl::make_unexpected(NodeError { http::toString(address) + ": " + port.error().detail });
        return {};
    };
    if (auto result = listen(m_callerServer, m_settings.callers); !result)
        return result;
    if (auto result = listen(m_readyServer, m_settings.readiness); !result)
        return result;
    if (m_options.metricsPort > 0) {
        if (auto result = listen(m_metricsServer, { m_settings.ip, m_options.metricsPort }); !result)
            return result;
    }
    logEvent(LogLevel::Info, "started",
        { { "callers", http::toString(m_settings.callers) }, { "data_centre", m_settings.dataCentre },
            { "table", http::toString(m_settings.table) }, { "session", m_session } });
    m_viewsChangedAt = m_clock.now();
    m_polls.start();
    startFollowers();
    m_tickTimer.startPeriodic(tickInterval);
    return {};
}

void FleetNode::run() { m_loop.run(); }

void FleetNode::startFollowers()
{
    m_operatorRows.setListeners(
        [this](const std::vector<TableRow>& rows) {
            for (const auto& row : rows)
                m_newOperatorRows[row.key] = row;
        },
        [this](const TableRow& row) { m_newOperatorRows[row.key] = row; },
        [this] {
            for (const auto& [key, row] : std::exchange(m_newOperatorRows, {}))
                applyOperatorRow(row);
        });
    m_controlRows.setListeners(
        [this](const std::vector<TableRow>& rows) {
            m_election.reset(rows);
            m_fleetRows.reset(rows);
            for (const auto& row : rows)
                m_polls.applyRow(row);
        },
        [this](const TableRow& row) {
            m_election.applyRow(row);
            m_fleetRows.apply(row);
            m_polls.applyRow(row);
        },
        [this] { onControlRowsApplied(); });
    if (m_admission)
        m_directory.setWorkload(&m_admission->workload());
    m_directory.setListener([this](const std::string& id, const JobRecord& record) {
        const auto holder = m_holders.find(record.pool);
        if (holder != m_holders.end())
            holder->second->applyJob(id, record);
    });
    m_jobRows.setListeners([this](const std::vector<TableRow>& rows) { m_directory.reset(rows); },
        [this](const TableRow& row) { m_directory.apply(row); },
        [this] {
            m_callers.setDirectoryLoaded(m_jobRows.isLoaded());
            updatePools();
            beginReadyHolders();
        });
    m_vmRows.setListeners([this](const std::vector<TableRow>& rows) { applyVmReset(rows); },
        [this](const TableRow& row) { applyVmRow(row); }, [this] { beginReadyHolders(); });
    for (auto* follower : { &m_operatorRows, &m_controlRows, &m_jobRows })
        follower->start();
}

void FleetNode::onControlRowsApplied()
{
    for (auto& [pool, holder] : m_holders)
        holder->setEvacuations(m_fleetRows.evacuations());
    beginReadyHolders();
    if (m_coordinator)
        m_coordinator->reconcile();
    m_election.check();
}

void FleetNode::followVms()
{
    if (m_followsVms)
        return;
    m_followsVms = true;
    m_vmRows.start();
}

void FleetNode::onLeaseAcquired(const std::string& pool, const AcquiredLease& lease)
{
    followVms();
    if (pool == coordinatorPool) {
        CoordinatorContext context { m_loop.base(), m_clock, m_metrics, *m_adapter.table, *m_adapter.machines,
            *m_adapter.codec, m_fleetRows, m_settings.maxRowBytes };
        m_coordinator = std::make_unique<MachineCoordinator>(
            context, lease, m_leaseTiming, [this] { m_coordinatorEnded = true; });
        updateRole();
        followLoads();
        return beginReadyHolders();
    }
    HolderContext context { m_loop.base(), m_clock, m_metrics, *m_adapter.table, *m_adapter.endpoints,
        *m_adapter.machines, *m_adapter.advice, m_directory, [this] { return areViewsFresh(); },
        m_settings.maxRowBytes, m_settings.farSlowdown, m_settings.configApplyTime,
        [this](milliseconds time) { return m_election.poolsHeldWithin(time); } };
    m_holders[pool] = std::make_unique<PoolHolder>(
        context, pool, lease, m_leaseTiming, m_settings.maxLease, [this] { beginReadyHolders(); },
        [this, pool] { m_endedHolders.push_back(pool); });
    updateRole();
    followCaps();
    beginReadyHolders();
}

void FleetNode::followCaps()
{
    if (m_capRows || m_holders.empty() || !m_config || !hasCaps(*m_config))
        return;
    m_capRows = followCapRows(m_loop.base(), *m_adapter.table, m_clock, m_metrics, m_seed + 9,
        [this](const TableRow& row) { applyCapRow(row); });
}

bool FleetNode::areViewsFresh()
{
    const auto now = m_clock.now();
    const bool areFresh = isFresh(m_jobRows, now, maxViewAge) && isFresh(m_vmRows, now, maxViewAge);
    if (areFresh == m_wereViewsFresh)
        return areFresh;
    const auto age = [now](const TableFollower& rows) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(now - rows.lastContact()).count());
    };
    logEvent(LogLevel::Info, areFresh ? "views_fresh" : "views_stale",
        { { "after_ms",
              std::to_string(std::chrono::duration_cast<milliseconds>(now - m_viewsChangedAt).count()) },
            { "jobs_behind", m_jobRows.isBehind() ? "yes" : "no" }, { "jobs_age_ms", age(m_jobRows) },
            { "vms_behind", m_vmRows.isBehind() ? "yes" : "no" }, { "vms_age_ms", age(m_vmRows) } });
    m_wereViewsFresh = areFresh;
    m_viewsChangedAt = now;
    return areFresh;
}

void FleetNode::followLoads()
{
    m_loadRows = std::make_unique<TableFollower>(m_loop.base(), *m_adapter.table, m_clock, m_metrics,
        FollowSettings { std::string(loadTable), true, loadTablePause }, m_seed + 6);
    m_loadRows->setListeners([this](const std::vector<TableRow>& rows) { m_fleetRows.resetLoads(rows); },
        [this](const TableRow& row) { m_fleetRows.apply(row); },
        [this] {
            beginReadyHolders();
            if (m_coordinator)
                m_coordinator->reconcile();
        });
    m_loadRows->start();
}

void FleetNode::beginReadyHolders()
{
    if (!m_config)
        return;
    for (auto& [pool, holder] : m_holders) {
        const bool isCaughtUp = m_jobRows.version() >= holder->acquiredVersion()
            && m_vmRows.version() >= holder->acquiredVersion();
        if (holder->hasBegun() || !holder->isProgressLoaded() || !isCaughtUp
            || m_controlRows.version() < holder->acquiredVersion())
            continue;
        holder->setEvacuations(m_fleetRows.evacuations());
        holder->begin(*m_config, m_vms);
    }
    if (m_coordinator && !m_coordinator->hasBegun() && m_loadRows->isLoaded()
        && m_vmRows.version() >= m_coordinator->acquiredVersion()
        && m_controlRows.version() >= m_coordinator->acquiredVersion())
        m_coordinator->begin(*m_config, m_waves);
}

void FleetNode::dropEndedHolders()
{
    for (const auto& pool : m_endedHolders)
        m_holders.erase(pool);
    m_endedHolders.clear();
    if (m_coordinatorEnded) {
        m_coordinator.reset();
        m_loadRows.reset();
        m_coordinatorEnded = false;
    }
    if (m_holders.empty() && m_capRows) {
        m_capRows.reset();
        m_poolsOfCapRows.clear();
        updatePools();
    }
    updateRole();
}

void FleetNode::updateRole()
{
    m_polls.setRole({ !m_holders.empty(), m_coordinator != nullptr }, m_pools.size());
}

bool FleetNode::hasRecentContact(milliseconds maxAge) const
{
    const auto now = m_clock.now();
    return now - m_jobRows.lastContact() < maxAge && now - m_controlRows.lastContact() < maxAge;
}

bool FleetNode::canServe() const
{
    return !m_stopping && m_config && m_jobRows.isLoaded() && hasRecentContact(maxContactAgeToServe);
}

bool FleetNode::isReady() const
{
    return canServe() && looksReachable(m_tableContact, m_clock.now())
        && m_clock.now() - m_operatorRows.currentAsOf() <= m_settings.configApplyTime;
}

void FleetNode::tick()
{
    dropEndedHolders();
    updatePools();
    if (m_coordinator && m_jobRows.isLoaded())
        m_callers.removeExpiredFences();
    m_metrics.gauge("pools_held", static_cast<double>(m_holders.size()));
    m_metrics.gauge("config_version", m_config ? static_cast<double>(m_config->version) : 0);
    m_metrics.gauge("config_age_seconds",
        std::chrono::duration<double>(m_clock.now() - m_operatorRows.currentAsOf()).count());
    if (isReady() == m_wasReady)
        return;
    m_wasReady = isReady();
    logEvent(LogLevel::Info, "readiness",
        { { "ready", m_wasReady ? "yes" : "no" },
            { "table_failures", std::to_string(m_tableContact.failures) },
            { "table_silent_ms",
                std::to_string(
                    std::chrono::duration_cast<milliseconds>(m_clock.now() - m_tableContact.lastResponse)
                        .count()) },
            { "config_age_ms",
                std::to_string(
                    std::chrono::duration_cast<milliseconds>(m_clock.now() - m_operatorRows.currentAsOf())
                        .count()) } });
}

void FleetNode::serveReadiness(const std::shared_ptr<HttpExchange>& exchange)
{
    exchange->reply({ isReady() ? 200 : 503, {}, "" });
}

void FleetNode::serveMetrics(const std::shared_ptr<HttpExchange>& exchange)
{
    exchange->reply({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.text() });
}

void FleetNode::reload()
{
    auto settings = m_plugin.readSettings(m_options.settingsPath);
    if (!settings) {
        for (const auto& error : settings.error())
            logEvent(LogLevel::Error, "reload_failed", { { "detail", describe(error) } });
        return;
    }
    m_settings.stopGrace = settings->stopGrace;
    logEvent(LogLevel::Info, "reloaded", { { "path", m_options.settingsPath } });
}

void FleetNode::beginStop()
{
    if (m_stopping)
        return;
    m_stopping = true;
    m_stopStartedAt = m_clock.now();
    logEvent(LogLevel::Info, "stopping",
        { { "pools", std::to_string(m_holders.size()) },
            { "requests", std::to_string(m_callers.activeRequests()) } });
    for (auto& [pool, holder] : m_holders)
        holder->release();
    if (m_coordinator)
        m_coordinator->release();
    m_callerServer.startDraining();
    m_stopTimer.startPeriodic(stopCheckInterval);
}

void FleetNode::continueStop()
{
    dropEndedHolders();
    const auto elapsed = m_clock.now() - m_stopStartedAt;
    const bool isOutOfRotation = elapsed >= balancerRemovalTime;
    if (isOutOfRotation) {
        m_callerServer.stopAccepting();
        if (m_callers.activeRequests() == 0)
            m_callerServer.closeIdleConnections();
    }
    const bool idle = m_callers.activeRequests() == 0 && !m_callerServer.isSending() && m_holders.empty()
        && !m_coordinator;
    if (!(isOutOfRotation && idle) && elapsed < m_settings.stopGrace - exitMargin)
        return;
    logEvent(LogLevel::Info, "stopped", { { "requests_cut", std::to_string(m_callers.activeRequests()) } });
    m_loop.stop();
}

} // namespace damask::fleet
