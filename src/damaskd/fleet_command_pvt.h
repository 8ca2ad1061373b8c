/// \file
/// The command `damaskd fleet`, which runs an entry VM on the platform that the deployment adapter serves.
#pragma once

#include <span>
#include <string_view>

namespace damask {

inline constexpr std::string_view fleetCommand = "fleet";

/// Runs until a graceful stop; returns the process's exit code. \p arguments are those after the command.
int runFleetCommand(std::span<char* const> arguments);

} // namespace damask
