#include "fleet_model.h"

#include <damaskworks/registry.h>

#include <algorithm>

namespace damask::fleet_model {
namespace {

using nlohmann::json;

constexpr std::size_t maxReportHistory = 64;

lease::Settings leaseSettings() { return { 3s, 1s, 500ms, 500ms, 20s, 1500ms }; }

} // namespace

Model::Model(const Times& times, std::uint64_t seed, int nodes)
    : m_times(times)
    , m_random(seed)
    , m_nodes(static_cast<std::size_t>(nodes))
    , m_routes { { times.tick }, { times.maxRouteAge } }
{
    for (auto& node : m_nodes) {
        node.leases.node = std::string(1, static_cast<char>('a' + m_members.size()));
        m_members.push_back(node.leases.node);
    }
    const json policy { { "rebootTimeoutMs", 10'000u }, { "verifyTimeoutMs", 3'000u },
        { "reportLagMs", 1'500u }, { "drainNoticeMs", 500u }, { "routeLagMs", 5'000u } };
    declare(Kind::Configuration, "current",
        json { { "routes", json::array() }, { "policy", { { "maintenance", policy } } } });
}

void Model::addVm(const std::string& name, const std::string& pool, const std::string& rack)
{
    if (m_vms.contains(name))
        return;
    m_vms[name].rack = rack;
    m_vms[name].servedPool = pool;
    declare(Kind::Vm, name, json { { "pool", pool }, { "dataCentre", "east" }, { "rack", rack } });
}

void Model::declare(Kind kind, const std::string& name, const std::optional<json>& spec)
{
    Resource resource;
    resource.spec = spec.value_or(json());
    if (kind == Kind::Budget)
        m_budgetHistory[resource.spec.at("pool")].emplace_back(m_now, resource.spec.at("maxUnavailable"));
    m_table.commit({ {},
        { { resource::specKey(kind, name),
            spec ? std::optional(resource::encodeSpecRow(resource)) : std::nullopt } } });
}

json Model::status(Kind kind, const std::string& name) const
{
    const auto row = m_table.row(resource::statusKey(kind, name));
    return row ? json::parse(row->value) : json::object();
}

void Model::setMoveTo(const std::string& vm, const std::string& pool)
{
    auto changed = status(Kind::Vm, vm);
    if (pool.empty())
        changed.erase("moveTo");
    else
        changed["moveTo"] = pool;
    m_table.commit({ {}, { { resource::statusKey(Kind::Vm, vm), changed.dump() } } });
}

std::vector<std::string> Model::vmNames() const
{
    std::vector<std::string> out;
    for (const auto& [name, vm] : m_vms)
        out.push_back(name);
    return out;
}

void Model::run(Duration time)
{
    runUntil([] { return false; }, time);
}

Duration Model::runUntil(const std::function<bool()>& done, Duration limit)
{
    const auto start = m_now;
    while (m_now - start < limit && m_violation.empty() && !done())
        tick();
    return m_now - start;
}

void Model::pause(std::size_t node, Duration time) { m_nodes[node].pausedUntil = m_now + time; }

void Model::restart(std::size_t index)
{
    auto& node = m_nodes[index];
    std::erase_if(m_events, [&node](const auto& entry) { return entry.second.owner == &node; });
    const auto name = node.leases.node;
    node = Node {};
    node.leases.node = name;
}

void Model::fail(const std::string& name)
{
    auto& vm = m_vms[name];
    if (!std::exchange(vm.isUp, false))
        return;
    vm.downSince = m_now;
}

void Model::repairAll()
{
    for (auto& [name, vm] : m_vms) {
        vm.isUnhealthy = false;
        vm.rebootsToFail = 0;
        if (!vm.isUp)
            ++vm.incarnation;
        vm.isDraining = vm.isDraining && vm.isUp;
        vm.isUp = true;
    }
}

void Model::schedule(Duration delay, Node* owner, std::function<void()> action)
{
    m_events.emplace(m_now + delay, Event { owner, std::move(action) });
}

Duration Model::randomDelay(Duration maxDelay)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, maxDelay.count())(m_random));
}

void Model::tick()
{
    const auto end = m_now + m_times.tick;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto event = m_events.extract(m_events.begin());
        m_now = std::max(m_now, event.key());
        auto* owner = event.mapped().owner;
        // A paused process runs its pending actions when it resumes.
        if (owner && owner->pausedUntil > m_now)
            m_events.emplace(owner->pausedUntil, std::move(event.mapped()));
        else
            event.mapped().action();
    }
    m_now = end;
    auto& reports = m_reportHistory.emplace_back();
    for (const auto& [name, vm] : m_vms) {
        const bool isReachable = vm.isUp && !vm.isRebooting;
        reports[name] = { name, isReachable, isReachable && !vm.isUnhealthy, vm.isDraining,
            vm.runningRequests, 0, vm.incarnation };
    }
    if (m_reportHistory.size() > maxReportHistory) {
        m_reportHistory.pop_front();
        ++m_droppedReports;
    }
    for (auto& node : m_nodes) {
        if (node.pausedUntil <= m_now)
            tickNode(node);
    }
    sendRequests();
}

void Model::readTable(Node& node)
{
    if (isTableDown() || chance(m_times.failedReadRatio))
        return;
    const auto resources = m_table.changes(resource::rowPrefix, node.resourceVersion);
    for (const auto& row : resources->rows)
        node.catalogue.apply(row);
    node.resourceVersion = resources->version;
    const auto leases = m_table.changes(lease::leasePrefix, node.leaseVersion);
    for (const auto& row : leases->rows)
        lease::observe(node.leases, row, m_now);
    node.leaseVersion = leases->version;
    node.lastContact = m_now;
}

void Model::tickNode(Node& node)
{
    readTable(node);
    const auto lag = static_cast<std::size_t>(randomDelay(m_times.maxReportLag) / m_times.tick);
    const auto newest = m_droppedReports + m_reportHistory.size() - 1;
    node.reportIndex = std::max({ node.reportIndex, newest - std::min(lag, newest), m_droppedReports });
    node.vmReports = m_reportHistory[node.reportIndex - m_droppedReports];
    if (node.resourceVersion == 0)
        return;
    updateLeases(node);
    for (const auto& [key, lease] : node.leases.leases) {
        if (lease.held)
            plan(node, key);
    }
}

void Model::updateLeases(Node& node)
{
    lease::ClusterView cluster { {}, m_members, node.lastContact, false };
    for (const auto& key : Registry<controller::Definition>::instance().find("pool")->keys(node.catalogue))
        cluster.keys.push_back("pool/" + key);
    for (const auto& attempt : lease::planAttempts(node.leases, leaseSettings(), cluster, m_now))
        commit(node, attempt.transaction, [this, &node, attempt](const PlatformResult<TableVersion>& result) {
            lease::applyResult(node.leases, attempt, result, m_now);
        });
}

void Model::plan(Node& node, const std::string& key)
{
    auto& keyState = node.keyStates[key];
    const auto& lease = node.leases.leases[key];
    if (keyState.pendingActions > 0
        || std::max(keyState.committedVersion, lease.fenceVersion) > node.resourceVersion
        || !lease::mayAct(node.leases, leaseSettings(), key, node.lastContact, m_now))
        return;
    if (std::exchange(keyState.epoch, lease.content.epoch) != lease.content.epoch)
        keyState.plannerState.reset();
    static const std::map<std::string, ListedVm> listed;
    static const std::map<std::string, TaskReport> tasks;
    static const std::map<std::string, controller::PoolDemand> demand;
    const controller::View view { node.catalogue, node.vmReports, listed, tasks, demand, m_now,
        keyState.epoch };
    const auto& definition = *Registry<controller::Definition>::instance().find("pool");
    for (auto& action : definition.plan(view, key.substr(key.find('/') + 1), keyState.plannerState)) {
        if (const auto* typed = std::get_if<controller::CommandVm>(&action)) {
            sendCommand(node, key, *typed);
            continue;
        }
        auto transaction = std::get<controller::Commit>(action).transaction;
        transaction.conditions.push_back(lease::fenceCondition(node.leases, key));
        ++keyState.pendingActions;
        commit(node, transaction, [&keyState](const PlatformResult<TableVersion>& result) {
            --keyState.pendingActions;
            keyState.committedVersion
                = result ? std::max(keyState.committedVersion, *result) : keyState.committedVersion;
        });
    }
}

void Model::commit(Node& node, const Transaction& transaction, const Callback& callback)
{
    schedule(randomDelay(m_times.maxLatency), &node, [this, &node, transaction, callback] {
        auto result = isTableDown()
            ? tl::make_unexpected(PlatformError { PlatformFailure::Unavailable, "", "", 0 })
            : m_table.commit(transaction);
        checkInvariants();
        auto delay = randomDelay(m_times.maxLatency);
        if (chance(m_times.lostReplyRatio)) {
            // The store looks the outcome up again after a lost reply; sometimes it cannot determine it.
            delay += 1s;
            if (chance(0.2))
                result = tl::make_unexpected(PlatformError { PlatformFailure::OutcomeUnknown, "", "", 0 });
        }
        schedule(delay, &node, [callback, result] { callback(result); });
    });
}

void Model::sendCommand(Node& node, const std::string& key, const controller::CommandVm& command)
{
    ++node.keyStates[key].pendingActions;
    schedule(randomDelay(m_times.maxLatency), nullptr, [this, &node, key, command] {
        applyCommand(command);
        schedule(
            randomDelay(m_times.maxLatency), &node, [&node, key] { --node.keyStates[key].pendingActions; });
    });
}

void Model::applyCommand(const controller::CommandVm& command)
{
    auto& vm = m_vms[command.vm];
    if (!vm.isUp || vm.isRebooting)
        return;
    if (command.command == VmCommand::Attach) {
        vm.isDraining = false;
        return;
    }
    if (vm.phase == "in_service")
        reportViolation("P1: " + command.vm + " disrupted without a permit");
    if (command.command == VmCommand::Drain) {
        if (!vm.isDraining)
            checkDrain(command.vm);
        vm.isDraining = true;
        return;
    }
    if (vm.runningRequests > 0)
        reportViolation("P7: reboot interrupts requests on " + command.vm);
    vm.isRebooting = true;
    schedule(m_times.reboot, nullptr, [this, &vm] { finishReboot(vm); });
}

void Model::finishReboot(SimulatedVm& vm)
{
    vm.isRebooting = false;
    vm.isDraining = false;
    ++vm.incarnation;
    vm.isUnhealthy = vm.rebootsToFail > 0;
    vm.rebootsToFail -= vm.rebootsToFail > 0;
}

void Model::reportViolation(const std::string& what)
{
    if (m_violation.empty())
        m_violation = what;
}

} // namespace damask::fleet_model
