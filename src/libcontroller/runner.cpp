#include <damaskworks/controller_runner.h>
#include <damaskworks/log.h>
#include <damaskworks/registry.h>

#include <algorithm>

namespace damask::controller {
namespace {

/// Calls of planSoon() within this time result in one plan.
constexpr std::chrono::milliseconds planSoonDelay { 1 };

/// The two parts of a lease key `<definition>/<key>`.
struct SplitKey {
    std::string_view definition;
    std::string_view key;
};

SplitKey splitLeaseKey(std::string_view leaseKey)
{
    const auto slash = leaseKey.find('/');
    return { leaseKey.substr(0, slash), leaseKey.substr(slash + 1) };
}

/// Map of \p items by their member \p name.
template <typename T, typename Name> std::map<std::string, T> indexBy(const std::vector<T>& items, Name name)
{
    std::map<std::string, T> out;
    for (const auto& item : items)
        out.emplace(item.*name, item);
    return out;
}

} // namespace

Runner::Runner(const RunnerContext& context, const RunnerSettings& settings)
    : m_context(context)
    , m_settings(settings)
    , m_leaseRows(context.base, context.store.platform(), context.clock, context.metrics,
          { std::string(lease::leasePrefix), settings.leasePollPeriod, {}, {} }, context.seed)
    , m_planTimer(context.base, [this] { planAll(); })
    , m_planSoonTimer(context.base, [this] { planAll(); })
    , m_reportTimer(context.base, [this] { refreshReports(); })
{
    m_leases.node = context.node;
    m_members = { context.node };
    m_leaseRows.addListener([this](const Row& row) { lease::observe(m_leases, row, m_context.clock.now()); });
}

void Runner::start()
{
    m_leaseRows.start();
    m_planTimer.startPeriodic(m_settings.planPeriod);
    m_reportTimer.startPeriodic(m_settings.reportPeriod);
    refreshReports();
}

void Runner::setListedVms(const std::vector<ListedVm>& vms) { m_listedVms = indexBy(vms, &ListedVm::id); }

void Runner::planSoon() { m_planSoonTimer.startOnce(planSoonDelay); }

void Runner::stop()
{
    m_isStopping = true;
    planAll();
}

bool Runner::isStopped() const
{
    const auto isBusy = [](const auto& entry) { return entry.second.held || entry.second.pending; };
    return m_isStopping && std::none_of(m_leases.leases.begin(), m_leases.leases.end(), isBusy);
}

std::size_t Runner::heldLeaseCount() const
{
    const auto isHeld = [](const auto& entry) { return entry.second.held; };
    return static_cast<std::size_t>(std::count_if(m_leases.leases.begin(), m_leases.leases.end(), isHeld));
}

std::vector<std::string> Runner::leaseKeys() const
{
    std::vector<std::string> out;
    for (const auto& [name, definition] : Registry<Definition>::instance().entries()) {
        for (const auto& key : definition.keys(m_context.catalogue))
            out.push_back(name + "/" + key);
    }
    return out;
}

void Runner::planAll()
{
    if (!m_leaseRows.isComplete() || !m_context.resources.isComplete())
        return;
    updateLeases();
    if (m_isStopping)
        return;
    for (const auto& [key, lease] : m_leases.leases) {
        if (lease.held)
            plan(key);
    }
}

void Runner::updateLeases()
{
    const lease::ClusterView cluster { leaseKeys(), m_members, m_leaseRows.lastContact(), m_isStopping };
    for (const auto& attempt :
        lease::planAttempts(m_leases, m_settings.lease, cluster, m_context.clock.now()))
        commitAttempt(attempt);
}

void Runner::commitAttempt(const lease::Attempt& attempt)
{
    m_context.store.commit(attempt.transaction, [this, attempt](PlatformResult<TableVersion> result) {
        lease::applyResult(m_leases, attempt, result, m_context.clock.now());
        m_context.metrics.gauge("damask_leases_held", static_cast<double>(heldLeaseCount()));
        if (!result) {
            m_context.metrics.count("damask_lease_attempts_failed_total");
            return;
        }
        if (attempt.kind == lease::AttemptKind::Renew)
            return;
        for (const auto& key : attempt.keys)
            logEvent(LogLevel::Info,
                attempt.kind == lease::AttemptKind::Acquire ? "lease_taken" : "lease_released",
                { { "lease", key }, { "epoch", std::to_string(m_leases.leases[key].content.epoch) } });
        planSoon();
    });
}

void Runner::refreshReports()
{
    const auto now = m_context.clock.now();
    if (now - m_vmReportsRequestedAt > m_settings.maxReportAge)
        m_vmReports.clear();
    if (now - m_taskReportsRequestedAt > m_settings.maxReportAge)
        m_taskReports.clear();
    if (heldLeaseCount() == 0)
        return;
    // The age of a report counts from the request: the platform may have read the state at any time since.
    if (!std::exchange(m_isVmReportPending, true)) {
        m_context.store.platform().readVmReports([this, now](PlatformResult<std::vector<VmReport>> result) {
            m_isVmReportPending = false;
            if (!result)
                return;
            m_vmReports = indexBy(*result, &VmReport::id);
            m_vmReportsRequestedAt = now;
            planSoon();
        });
    }
    if (std::exchange(m_isTaskReportPending, true))
        return;
    m_context.store.platform().readTaskReports([this, now](PlatformResult<std::vector<TaskReport>> result) {
        m_isTaskReportPending = false;
        if (!result)
            return;
        m_taskReports = indexBy(*result, &TaskReport::task);
        m_taskReportsRequestedAt = now;
        planSoon();
    });
}

bool Runner::mayAct(std::string_view leaseKey) const
{
    const auto lastContact = std::min(m_leaseRows.lastContact(), m_context.resources.lastContact());
    return !m_isStopping
        && lease::mayAct(m_leases, m_settings.lease, leaseKey, lastContact, m_context.clock.now());
}

void Runner::plan(const std::string& leaseKey)
{
    auto& keyState = m_keyStates[leaseKey];
    // Plan only on rows that include every commit of this holder and of earlier ones.
    const auto& lease = m_leases.leases[leaseKey];
    const auto requiredVersion = std::max(keyState.committedVersion, lease.fenceVersion);
    if (!mayAct(leaseKey) || keyState.pendingActions > 0 || requiredVersion > m_context.resources.version())
        return;
    const auto [definitionName, key] = splitLeaseKey(leaseKey);
    const auto* definition = Registry<Definition>::instance().find(definitionName);
    if (!definition)
        return;
    const auto epoch = lease.content.epoch;
    if (std::exchange(keyState.epoch, epoch) != epoch)
        keyState.plannerState.reset();
    const View view { m_context.catalogue, m_vmReports, m_listedVms, m_taskReports, m_demand,
        m_context.clock.now(), epoch };
    for (auto& action : definition->plan(view, key, keyState.plannerState))
        std::visit([&](auto& typed) { execute(leaseKey, std::move(typed)); }, action);
}

void Runner::execute(const std::string& leaseKey, Commit action)
{
    action.transaction.conditions.push_back(lease::fenceCondition(m_leases, leaseKey));
    ++m_keyStates[leaseKey].pendingActions;
    m_context.metrics.count("damask_controller_commits_total");
    m_context.store.commit(std::move(action.transaction),
        [this, leaseKey, reason = action.reason](PlatformResult<TableVersion> result) {
            auto& keyState = m_keyStates[leaseKey];
            --keyState.pendingActions;
            if (result)
                keyState.committedVersion = std::max(keyState.committedVersion, *result);
            else
                m_context.metrics.count("damask_controller_commits_failed_total");
            m_context.resources.pollNow();
        });
}

PlatformCallback<bool> Runner::commandCallback(const std::string& leaseKey)
{
    return [this, leaseKey](const PlatformResult<bool>&) { --m_keyStates[leaseKey].pendingActions; };
}

void Runner::execute(const std::string& leaseKey, const CommandVm& action)
{
    if (!mayAct(leaseKey))
        return;
    ++m_keyStates[leaseKey].pendingActions;
    m_context.metrics.count("damask_vm_commands_total");
    m_context.store.platform().sendVmCommand(action.vm, action.command, commandCallback(leaseKey));
}

void Runner::execute(const std::string& leaseKey, const CommandTask& action)
{
    if (!mayAct(leaseKey))
        return;
    ++m_keyStates[leaseKey].pendingActions;
    m_context.metrics.count("damask_task_commands_total");
    m_context.store.platform().sendTaskCommand(action.request, commandCallback(leaseKey));
}

} // namespace damask::controller
