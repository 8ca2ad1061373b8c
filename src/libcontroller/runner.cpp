#include <damaskworks/controller_runner.h>
#include <damaskworks/log.h>
#include <damaskworks/registry.h>

#include <algorithm>

namespace damask::controller {
namespace {

constexpr std::chrono::milliseconds soon { 1 };

/// Definition and key of `<definition>/<key>`.
struct SplitKey {
    std::string_view definition;
    std::string_view key;
};

SplitKey split(std::string_view leaseKey)
{
    const auto slash = leaseKey.find('/');
    return { leaseKey.substr(0, slash), leaseKey.substr(slash + 1) };
}

template <typename T, typename Name> std::map<std::string, T> byName(const std::vector<T>& items, Name name)
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
    , m_tick(context.base, [this] { tick(); })
    , m_soon(context.base, [this] { tick(); })
    , m_reports(context.base, [this] { refreshReports(); })
{
    m_leases.node = context.node;
    m_members = { context.node };
    m_leaseRows.addListener([this](const Row& row) { lease::observe(m_leases, row, m_context.clock.now()); });
}

void Runner::start()
{
    m_leaseRows.start();
    m_tick.startPeriodic(m_settings.planPeriod);
    m_reports.startPeriodic(m_settings.reportPeriod);
    refreshReports();
}

void Runner::setListed(const std::vector<ListedVm>& vms) { m_listed = byName(vms, &ListedVm::id); }

void Runner::planSoon() { m_soon.startOnce(soon); }

void Runner::stop()
{
    m_stopping = true;
    tick();
}

bool Runner::isStopped() const
{
    const auto isBusy = [](const auto& entry) { return entry.second.held || entry.second.pending; };
    return m_stopping && std::none_of(m_leases.leases.begin(), m_leases.leases.end(), isBusy);
}

std::size_t Runner::leasesHeld() const
{
    const auto isHeld = [](const auto& entry) { return entry.second.held; };
    return static_cast<std::size_t>(std::count_if(m_leases.leases.begin(), m_leases.leases.end(), isHeld));
}

std::vector<std::string> Runner::wantedKeys() const
{
    std::vector<std::string> out;
    for (const auto& [name, definition] : Registry<Definition>::instance().entries()) {
        for (const auto& key : definition.keys(m_context.catalogue))
            out.push_back(name + "/" + key);
    }
    return out;
}

void Runner::tick()
{
    if (!m_leaseRows.isComplete() || !m_context.resources.isComplete())
        return;
    renewLeases();
    if (m_stopping)
        return;
    for (const auto& [key, lease] : m_leases.leases) {
        if (lease.held)
            plan(key);
    }
}

void Runner::renewLeases()
{
    const lease::ClusterView around { wantedKeys(), m_members, m_leaseRows.lastContact(), m_stopping };
    for (const auto& attempt : lease::planAttempts(m_leases, m_settings.lease, around, m_context.clock.now()))
        this->attempt(attempt);
}

void Runner::attempt(const lease::Attempt& attempt)
{
    m_context.store.commit(attempt.transaction, [this, attempt](PlatformResult<TableVersion> result) {
        lease::applyResult(m_leases, attempt, result, m_context.clock.now());
        m_context.metrics.gauge("damask_leases_held", static_cast<double>(leasesHeld()));
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
    if (now - m_vmsAt > m_settings.reportLimit)
        m_vms.clear();
    if (now - m_tasksAt > m_settings.reportLimit)
        m_tasks.clear();
    if (leasesHeld() == 0)
        return;
    // Reports count from when they were asked for.
    if (!std::exchange(m_vmsPending, true)) {
        m_context.store.platform().reportVms([this, now](PlatformResult<std::vector<VmReport>> result) {
            m_vmsPending = false;
            if (!result)
                return;
            m_vms = byName(*result, &VmReport::id);
            m_vmsAt = now;
            planSoon();
        });
    }
    if (std::exchange(m_tasksPending, true))
        return;
    m_context.store.platform().reportTasks([this, now](PlatformResult<std::vector<TaskReport>> result) {
        m_tasksPending = false;
        if (!result)
            return;
        m_tasks = byName(*result, &TaskReport::task);
        m_tasksAt = now;
        planSoon();
    });
}

bool Runner::mayAct(std::string_view leaseKey) const
{
    const auto contact = std::min(m_leaseRows.lastContact(), m_context.resources.lastContact());
    return !m_stopping && lease::mayAct(m_leases, m_settings.lease, leaseKey, contact, m_context.clock.now());
}

void Runner::plan(const std::string& leaseKey)
{
    auto& work = m_work[leaseKey];
    // A plan starts only from rows that show all that this and earlier holders have committed.
    const auto& lease = m_leases.leases[leaseKey];
    const auto needed = std::max(work.committed, lease.fenceVersion);
    if (!mayAct(leaseKey) || work.pending > 0 || needed > m_context.resources.version())
        return;
    const auto [definitionName, key] = split(leaseKey);
    const auto* definition = Registry<Definition>::instance().find(definitionName);
    if (!definition)
        return;
    const auto epoch = lease.content.epoch;
    if (std::exchange(work.epoch, epoch) != epoch)
        work.scratch.reset();
    const View view { m_context.catalogue, m_vms, m_listed, m_tasks, m_demand, m_context.clock.now(), epoch };
    for (auto& action : definition->plan(view, key, work.scratch))
        std::visit([&](auto& typed) { carryOut(leaseKey, std::move(typed)); }, action);
}

void Runner::carryOut(const std::string& leaseKey, Commit action)
{
    action.transaction.conditions.push_back(lease::fenceCondition(m_leases, leaseKey));
    ++m_work[leaseKey].pending;
    m_context.metrics.count("damask_controller_commits_total");
    m_context.store.commit(std::move(action.transaction),
        [this, leaseKey, reason = action.reason](PlatformResult<TableVersion> result) {
            auto& work = m_work[leaseKey];
            --work.pending;
            if (result)
                work.committed = std::max(work.committed, *result);
            else
                m_context.metrics.count("damask_controller_commits_failed_total");
            m_context.resources.pollNow();
        });
}

PlatformCallback<bool> Runner::commandDone(const std::string& leaseKey)
{
    return [this, leaseKey](const PlatformResult<bool>&) { --m_work[leaseKey].pending; };
}

void Runner::carryOut(const std::string& leaseKey, const CommandVm& action)
{
    if (!mayAct(leaseKey))
        return;
    ++m_work[leaseKey].pending;
    m_context.metrics.count("damask_vm_commands_total");
    m_context.store.platform().commandVm(action.vm, action.command, commandDone(leaseKey));
}

void Runner::carryOut(const std::string& leaseKey, const CommandTask& action)
{
    if (!mayAct(leaseKey))
        return;
    ++m_work[leaseKey].pending;
    m_context.metrics.count("damask_task_commands_total");
    m_context.store.platform().commandTask(action.request, commandDone(leaseKey));
}

} // namespace damask::controller
