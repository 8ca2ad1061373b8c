#include <damaskworks/json_input.h>
#include <damaskworks/log.h>
#include <damaskworks/machine_coordinator.h>
#include <damaskworks/row_fields.h>

#include "fleet_rows_pvt.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace damask::fleet {

using nlohmann::json;

namespace {

constexpr IntegerRange wallTimeRange { 0, 100'000'000'000'000 }; ///< milliseconds since 1970

} // namespace

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
    const auto value = parseJson(text);
    RowFields fields(value);
    WaveRecord wave { WallTime(fields.integer("begunAt", wallTimeRange)), {} };
    for (const auto& machine : fields.array("done")) {
        if (!machine.is_string())
            return std::nullopt;
        wave.done.insert(machine.get<std::string>());
    }
    return fields.isValid() ? std::optional(wave) : std::nullopt;
}

std::optional<std::int64_t> waveNumber(std::string_view digits)
{
    std::int64_t wave = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), wave);
    return error == std::errc() && end == digits.data() + digits.size() ? std::optional(wave) : std::nullopt;
}

void logUnreadable(std::string_view event, const TableRow& row)
{
    logEvent(LogLevel::Error, event, { { "part", row.part }, { "key", row.key } });
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
        if (row.deleted)
            return;
        if (auto load = decodeLoad(row.value))
            m_loads[pool] = std::move(*load);
        else
            logUnreadable("load_row_unreadable", row);
        return;
    }
    if (row.key.starts_with(machinePrefix)) {
        const auto machine = row.key.substr(machinePrefix.size());
        const auto task = row.deleted ? std::nullopt : decodeTask(row.value);
        if (!row.deleted && (!task || task->machine != machine))
            return logUnreadable("machine_task_row_unreadable", row);
        m_tasks.erase(machine);
        m_evacuations.erase(machine);
        if (!task)
            return;
        m_tasks.emplace(machine, *task);
        m_evacuations.emplace(machine, task->id);
        return;
    }
    if (row.key.starts_with(wavePrefix)) {
        const auto wave = waveNumber(std::string_view(row.key).substr(wavePrefix.size()));
        auto record = decodeWave(row.value);
        if (wave && record)
            m_waves[*wave] = std::move(*record);
        else
            logUnreadable("wave_row_unreadable", row);
    }
}

} // namespace damask::fleet
