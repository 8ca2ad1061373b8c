#include <damaskworks/log.h>
#include <damaskworks/machine_coordinator.h>

#include "fleet_rows_pvt.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace damask::fleet {

using nlohmann::json;

namespace rows {

std::string machineKey(std::string_view machine) { return std::string(machinePrefix) + std::string(machine); }
std::string waveKey(std::int64_t wave) { return std::string(wavePrefix) + std::to_string(wave); }

} // namespace rows

std::string encodeWave(const WaveRecord& wave)
{
    return json({ { "begunAt", wave.begunAt.count() }, { "done", wave.done } }).dump();
}

namespace {

std::optional<WaveRecord> decodeWave(std::string_view text)
{
    const auto value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    try {
        return WaveRecord { WallTime(value.at("begunAt").get<std::int64_t>()),
            value.at("done").get<std::set<std::string>>() };
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

void FleetRows::reset(const std::vector<TableRow>& rows)
{
    auto loads = std::move(m_loads);
    *this = FleetRows();
    m_loads = std::move(loads);
    for (const auto& row : rows)
        apply(row);
}

void FleetRows::resetLoads(const std::vector<TableRow>& rows)
{
    m_loads.clear();
    for (const auto& row : rows)
        apply(row);
}

void FleetRows::apply(const TableRow& row)
{
    const auto poolPart = rows::poolPart("");
    if (!row.part.starts_with(poolPart))
        return;
    const auto pool = row.part.substr(poolPart.size());
    if (row.key == loadKey) {
        if (auto load = decodeLoad(row.value); load && !row.deleted)
            m_loads[pool] = std::move(*load);
        return;
    }
    if (row.key.starts_with(machinePrefix)) {
        const auto machine = row.key.substr(machinePrefix.size());
        m_tasks.erase(machine);
        m_evacuations.erase(machine);
        const auto task = row.deleted ? std::nullopt : decodeTask(row.value);
        if (!task)
            return;
        m_tasks.emplace(machine, *task);
        m_evacuations.emplace(machine, task->id);
        return;
    }
    if (row.key.starts_with(wavePrefix)) {
        std::int64_t wave = 0;
        const auto digits = std::string_view(row.key).substr(wavePrefix.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), wave);
        if (auto record = decodeWave(row.value))
            m_waves[wave] = std::move(*record);
        else
            logEvent(LogLevel::Error, "wave_row_unreadable", { { "key", row.key } });
    }
}

} // namespace damask::fleet
