/// \file
/// The command `damaskd fleet`: an entry VM of a fleet whose platform has an adapter.
#pragma once

#include <span>
#include <string_view>

namespace damask {

inline constexpr std::string_view fleetCommand = "fleet";

/// Runs until a planned stop; returns the exit code. \p arguments are those after the command.
int runFleetCommand(std::span<char* const> arguments);

} // namespace damask
