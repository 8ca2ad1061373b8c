/// \file
/// Settings from command-line flags (Abseil) and environment variables. A flag takes
/// precedence over the environment. All invalid values are reported together, before the process starts work.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// An invalid setting.
struct SettingError {
    std::string setting; ///< flag or environment variable that set it
    std::string value;
    std::string allowed; ///< what the setting may be
};

/// Result of reading the settings.
struct SettingsResult {
    std::vector<SettingError> errors;
    std::vector<std::string> positional; ///< arguments that are not flags
    bool helpRequested = false;
};

namespace settings {

/// Reads the settings named in \p names from the environment (`<prefix><NAME>` in upper case) and
/// then from \p arguments (`--name=value`, `--name value` or a bare boolean `--name`).
/// Unknown flags and values that cannot be parsed become errors.
SettingsResult read(std::span<char* const> arguments, std::string_view environmentPrefix,
    std::span<const std::string_view> names);

/// One line that names the setting, its value and what is allowed.
std::string describe(const SettingError& error);

/// Current values, one `name=value` line each.
std::string print(std::span<const std::string_view> names);

/// Help text: each setting, its environment variable, its meaning and its default.
std::string help(
    std::string_view usage, std::string_view environmentPrefix, std::span<const std::string_view> names);

} // namespace settings
} // namespace damask
