/// What an entry VM knows of pools, endpoints and other entry VMs, as it hands it to the request kernel.
#include "entry_pvt.h"

#include <damaskworks/log.h>

#include <algorithm>

namespace damask {
namespace {

/// Round trip between two data centres.
constexpr std::chrono::milliseconds remoteExtraLatency { 2 };
/// Time for which an endpoint gets no work after it has said that it takes none.
constexpr std::chrono::milliseconds declinePause { 1000 };

} // namespace

void Entry::update(const Catalogue& catalogue)
{
    updateRoutes(catalogue);
    updatePools(catalogue);
}

void Entry::updateRoutes(const Catalogue& catalogue)
{
    const auto* configuration = catalogue.find(Kind::Configuration, currentConfiguration);
    if (!configuration || configuration->generation <= m_configurationGeneration)
        return;
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

void Entry::updatePools(const Catalogue& catalogue)
{
    auto& changes = m_pools;
    changes.clear();
    for (const auto* pool : catalogue.list(Kind::Pool)) {
        auto& change = changes[pool->name];
        change.pool = pool->name;
        change.settings.queueLimit = pool->spec.value("queueLimit", 256u);
        change.settings.slotsPerVm = pool->spec.value("slotsPerVm", 8u);
        change.settings.requestTimeout
            = std::chrono::milliseconds(pool->spec.value("requestTimeoutMs", 10'000));
    }
    for (const auto* vm : catalogue.list(Kind::Vm)) {
        const auto pool = vm->status.value("pool", vm->spec.value("pool", ""));
        auto found = changes.find(pool);
        const auto address = http::parseAddress(vm->spec.value("address", ""));
        if (found == changes.end() || !address)
            continue;
        m_addresses[vm->name] = *address;
        const bool inService = vm->status.value("phase", "in_service") == "in_service";
        request::Endpoint endpoint { vm->name, found->second.settings.slotsPerVm, 0, inService };
        if (vm->spec.value("dataCentre", "") != m_dataCentre)
            endpoint.extraLatency = remoteExtraLatency;
        found->second.endpoints.push_back(std::move(endpoint));
    }
    publishPools();
}

void Entry::publishPools()
{
    auto changes = m_pools;
    for (auto& [name, change] : changes) {
        for (auto& endpoint : change.endpoints)
            endpoint.accepting = endpoint.accepting && !isLeaving(endpoint.id);
        handle(change);
    }
}

bool Entry::isLeaving(const std::string& endpoint) const
{
    const auto declined = m_declinedUntil.find(endpoint);
    if (declined != m_declinedUntil.end() && m_clock.now() < declined->second)
        return true;
    // The list lags: a VM that it has not shown yet may be new.
    return m_everListed.contains(endpoint) && !m_live.contains(endpoint);
}

void Entry::setListed(const std::vector<ListedVm>& listed)
{
    std::set<std::string> live;
    for (const auto& vm : listed) {
        m_everListed.insert(vm.id);
        if (vm.state == ListedState::Live)
            live.insert(vm.id);
    }
    if (live == m_live)
        return;
    m_live = std::move(live);
    publishPools();
}

void Entry::declined(const std::string& endpoint)
{
    const auto now = m_clock.now();
    std::erase_if(m_declinedUntil, [now](const auto& entry) { return entry.second <= now; });
    m_declinedUntil[endpoint] = now + declinePause;
    m_declineEnd.startOnce(declinePause);
    publishPools();
}

void Entry::setEntryVms(const std::string& self, const std::map<std::string, std::vector<PoolLoad>>& loads)
{
    std::map<std::string, request::EntryVmsChanged> changes;
    for (const auto& [pool, state] : m_state.pools)
        changes[pool] = { pool, self, {} };
    for (const auto& [node, ofNode] : loads) {
        for (auto& [pool, change] : changes)
            change.live.push_back({ node, 0 });
        for (const auto& load : ofNode) {
            if (auto found = changes.find(load.pool); found != changes.end())
                found->second.live.back().demand = load.arrivals;
        }
    }
    for (const auto& [pool, change] : changes)
        handle(change);
}

std::vector<PoolLoad> Entry::loads() const
{
    std::vector<PoolLoad> out;
    for (const auto& [name, pool] : m_state.pools) {
        const auto load = request::loadOf(pool, m_clock.now());
        out.push_back({ name, load.inFlight, load.queued, float(load.arrivals) });
    }
    return out;
}

void Entry::refreshGauges()
{
    m_metrics.gauge("damask_listed_vms", static_cast<double>(m_live.size()));
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

void Entry::stop() { handle(request::StopRequested {}); }

} // namespace damask
