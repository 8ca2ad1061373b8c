/// \file
/// Rows of operators and VMs as a node applies them.
#include <damaskworks/fleet_node.h>
#include <damaskworks/log.h>

namespace damask::fleet {

void FleetNode::applyOperatorRow(const TableRow& row)
{
    if (row.deleted)
        return;
    if (m_adapter.codec->isConfigKey(row.key))
        applyConfig(row);
    else if (m_adapter.codec->isWaveKey(row.key))
        applyWave(row);
}

void FleetNode::applyWave(const TableRow& row)
{
    auto wave = m_adapter.codec->decodeWave(row);
    if (!wave) {
        logEvent(
            LogLevel::Error, "wave_unreadable", { { "key", row.key }, { "detail", describe(wave.error()) } });
        return;
    }
    m_waves[wave->number] = *wave;
    if (m_coordinator)
        m_coordinator->applyWave(*wave);
}

void FleetNode::applyConfig(const TableRow& row)
{
    auto config = m_adapter.codec->decodeConfig(row);
    if (!config) {
        logEvent(LogLevel::Error, "config_unreadable", { { "detail", describe(config.error()) } });
        return;
    }
    // A delayed response must not restore an older configuration. The number in the configuration would not
    // show that: after a row with a number too large, all later ones would count as older.
    if (m_config && row.version <= m_configRowVersion)
        return;
    m_configRowVersion = row.version;
    auto keys = CallerKeys::takeFrom(*config);
    config->rowVersion = row.version;
    m_config = std::make_shared<const FleetConfig>(std::move(*config));
    logEvent(LogLevel::Info, "config_applied",
        { { "version", std::to_string(m_config->version) },
            { "queues", std::to_string(m_config->queues.size()) },
            { "organisations", std::to_string(m_config->organisations.size()) },
            { "keys", std::to_string(keys.size()) } });
    m_callers.setConfig(m_config, std::move(keys));
    if (m_admission)
        m_admission->setConfig(*m_config);
    updatePools();
    for (auto& [pool, holder] : m_holders)
        holder->applyConfig(*m_config);
    if (m_coordinator)
        m_coordinator->applyConfig(*m_config);
    followCaps();
}

void FleetNode::updatePools()
{
    if (!m_config)
        return;
    auto pools = m_directory.poolsWithUnfinishedJobs();
    pools.insert(std::string(coordinatorPool));
    for (const auto& queue : m_config->queues)
        pools.insert(queue.pool);
    for (const auto& [key, names] : m_poolsOfCapRows)
        pools.insert(names.begin(), names.end());
    if (m_coordinator)
        pools.merge(m_coordinator->poolsToEvacuate());
    if (pools == m_pools)
        return;
    m_election.setPools(m_pools = std::move(pools));
    for (auto& [pool, holder] : m_holders)
        holder->onPoolsChanged();
}

void FleetNode::applyCapRow(const TableRow& row)
{
    const auto shares = decodeCapRow(row.value);
    m_poolsOfCapRows[row.key] = shares ? poolsNeedingHolders(*shares) : std::set<std::string> {};
    updatePools();
    for (auto& [pool, holder] : m_holders)
        holder->applyCapRow(row);
}

void FleetNode::removeVm(const std::string& id)
{
    auto found = m_vms.find(id);
    if (found == m_vms.end())
        return;
    const auto holder = m_holders.find(found->second.pool);
    if (m_coordinator)
        m_coordinator->removeVm(found->second);
    m_vms.erase(found);
    if (holder != m_holders.end())
        holder->second->unlistVm(id);
}

void FleetNode::applyVmRow(const TableRow& row)
{
    if (row.deleted)
        return removeVm(row.key);
    auto vm = m_adapter.codec->decodeVm(row);
    if (!vm) {
        logEvent(LogLevel::Warning, "vm_row_unreadable",
            { { "vm", row.key }, { "detail", describe(vm.error()) } });
        return removeVm(row.key);
    }
    const auto known = m_vms.find(row.key);
    if (known != m_vms.end() && known->second.pool != vm->pool)
        removeVm(row.key);
    m_vms.insert_or_assign(row.key, *vm);
    if (m_coordinator)
        m_coordinator->applyVm(*vm);
    const auto holder = m_holders.find(vm->pool);
    if (holder != m_holders.end())
        holder->second->listVm(*vm);
}

void FleetNode::applyVmReset(const std::vector<TableRow>& rows)
{
    std::set<std::string> present;
    for (const auto& row : rows) {
        present.insert(row.key);
        applyVmRow(row);
    }
    std::vector<std::string> unregistered;
    for (const auto& [id, vm] : m_vms) {
        if (!present.contains(id))
            unregistered.push_back(id);
    }
    for (const auto& id : unregistered)
        removeVm(id);
}

} // namespace damask::fleet
