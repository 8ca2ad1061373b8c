/// \file
/// Builds the request kernel's view of pools, endpoints and other entry VMs.
#include "entry_pvt.h"

#include <damaskworks/log.h>

#include <algorithm>

namespace damask {
namespace {

/// Assumed additional round trip to an endpoint in another data centre.
constexpr std::chrono::milliseconds remoteExtraLatency { 2 };
/// Time for which an endpoint gets no requests after it has declined one.
constexpr std::chrono::milliseconds declineBackoff { 1000 };

} // namespace

void EntryProxy::applyCatalogue(const Catalogue& catalogue)
{
    updateRoutes(catalogue);
    updatePools(catalogue);
}

void EntryProxy::updateRoutes(const Catalogue& catalogue)
{
    const auto* configuration = catalogue.find(Kind::Configuration, currentConfigurationName);
    // The version of the row always increases; its generation is what the writer put into it.
    if (!configuration || configuration->version <= m_configurationVersion)
        return;
    m_configurationVersion = configuration->version;
    m_configurationGeneration = configuration->generation;
    m_routes.clear();
    for (const auto& route : configuration->spec.value("routes", nlohmann::json::array()))
        m_routes.push_back({ route.value("prefix", ""), route.value("pool", ""),
            route.value("idempotent", false), route.value("urgent", false) });
    std::stable_sort(m_routes.begin(), m_routes.end(),
        [](const Route& a, const Route& b) { return a.prefix.size() > b.prefix.size(); });
    logEvent(LogLevel::Info, "configuration_applied",
        { { "generation", std::to_string(m_configurationGeneration) } });
}

void EntryProxy::updatePools(const Catalogue& catalogue)
{
    auto& pools = m_declaredPools;
    pools.clear();
    for (const auto* pool : catalogue.list(Kind::Pool)) {
        auto& declared = pools[pool->name];
        declared.pool = pool->name;
        declared.settings.queueLimit = pool->spec.value("queueLimit", 256u);
        declared.settings.slotsPerVm = pool->spec.value("slotsPerVm", 8u);
        declared.settings.requestTimeout
            = std::chrono::milliseconds(pool->spec.value("requestTimeoutMs", 10'000));
    }
    for (const auto* vm : catalogue.list(Kind::Vm)) {
        const auto pool = vm->status.value("pool", vm->spec.value("pool", ""));
        auto found = pools.find(pool);
        const auto address = http::parseAddress(vm->spec.value("address", ""));
        if (found == pools.end() || !address)
            continue;
        m_endpointAddresses[vm->name] = *address;
        const bool inService = vm->status.value("phase", "in_service") == "in_service";
        request::Endpoint endpoint { vm->name, found->second.settings.slotsPerVm, 0, inService };
        if (vm->spec.value("dataCentre", "") != m_dataCentre)
            endpoint.extraLatency = remoteExtraLatency;
        found->second.endpoints.push_back(std::move(endpoint));
    }
    sendPoolsToKernel();
}

void EntryProxy::sendPoolsToKernel()
{
    auto changes = m_declaredPools;
    for (auto& [name, change] : changes) {
        for (auto& endpoint : change.endpoints)
            endpoint.accepting = endpoint.accepting && !isUnavailable(endpoint.id);
        handle(change);
    }
}

bool EntryProxy::isUnavailable(const std::string& endpoint) const
{
    const auto declined = m_declinedUntil.find(endpoint);
    if (declined != m_declinedUntil.end() && m_clock.now() < declined->second)
        return true;
    // The platform's list lags, so a VM that has never been listed may be new.
    return m_everListed.contains(endpoint) && !m_liveVms.contains(endpoint);
}

void EntryProxy::setListedVms(const std::vector<ListedVm>& listed)
{
    std::set<std::string> live;
    for (const auto& vm : listed) {
        m_everListed.insert(vm.id);
        if (vm.state == ListedState::Live)
            live.insert(vm.id);
    }
    if (live == m_liveVms)
        return;
    m_liveVms = std::move(live);
    sendPoolsToKernel();
}

void EntryProxy::onEndpointDeclined(const std::string& endpoint)
{
    const auto now = m_clock.now();
    std::erase_if(m_declinedUntil, [now](const auto& entry) { return entry.second <= now; });
    m_declinedUntil[endpoint] = now + declineBackoff;
    m_declineTimer.startOnce(declineBackoff);
    sendPoolsToKernel();
}

void EntryProxy::setEntryVmLoads(
    const std::string& self, const std::map<std::string, std::vector<PoolLoad>>& loads)
{
    std::map<std::string, request::EntryVmsChanged> changes;
    for (const auto& [pool, state] : m_state.pools)
        changes[pool] = { pool, self, {} };
    for (const auto& [node, nodeLoads] : loads) {
        for (auto& [pool, change] : changes)
            change.live.push_back({ node, 0 });
        for (const auto& load : nodeLoads) {
            if (auto found = changes.find(load.pool); found != changes.end())
                found->second.live.back().demand = load.arrivals;
        }
    }
    for (const auto& [pool, change] : changes)
        handle(change);
}

std::vector<PoolLoad> EntryProxy::poolLoads() const
{
    std::vector<PoolLoad> out;
    for (const auto& [name, pool] : m_state.pools) {
        const auto load = request::loadOf(pool, m_clock.now());
        out.push_back({ name, load.inFlight, load.queued, float(load.arrivals) });
    }
    return out;
}

void EntryProxy::refreshGauges()
{
    m_metrics.gauge("damask_listed_vms", static_cast<double>(m_liveVms.size()));
    for (const auto& [name, pool] : m_state.pools) {
        const std::string labels = "{pool=\"" + name + "\"}";
        const auto set = [this, &labels](std::string_view gauge, double value) {
            m_metrics.gauge("damask_pool_" + std::string(gauge) + labels, value);
        };
        set("slots", pool.usableSlots);
        set("endpoints", double(pool.usableCount));
        set("retries", double(pool.counters.retries));
        set("retries_denied", double(pool.counters.retriesDenied));
        set("ejections", double(pool.counters.ejections));
        set("evictions", double(pool.counters.evictions));
        set("spills", double(pool.counters.spills));
    }
}

void EntryProxy::stop() { handle(request::StopRequested {}); }

} // namespace damask
