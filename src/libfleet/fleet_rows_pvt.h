/// \file
/// Keys and texts of the coordinator's rows.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace damask::fleet {

inline constexpr std::string_view machinePrefix = "machine/";
inline constexpr std::string_view wavePrefix = "wave/";

namespace rows {
std::string machineKey(std::string_view machine);
std::string waveKey(std::int64_t wave);
}

/// Row text of the machines of a wave that had their maintenance.
std::string encodeWaveDone(const std::set<std::string>& done);

} // namespace damask::fleet
