/// \file
/// Keys and encoding of the coordinator's rows in the control table.
#pragma once

#include <damaskworks/machine_coordinator.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace damask::fleet {

inline constexpr std::string_view machinePrefix = "machine/";
inline constexpr std::string_view wavePrefix = "wave/";

namespace rows {
std::string machineKey(std::string_view machine);
std::string waveKey(std::int64_t wave);
}

std::string encodeWave(const WaveRecord& wave);

} // namespace damask::fleet
