/// \file
/// Commands of damaskctl.
#pragma once

#include <damaskworks/http.h>
#include <damaskworks/loop.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace damask::ctl {

/// Exit codes of damaskctl.
enum ExitCode : int {
    Ok = 0,
    Failure = 1,
    Usage = 2,
    NotFound = 3,
    Conflict = 4,
    Invalid = 5,
    Unavailable = 6,
};

/// Options shared by all commands.
struct Options {
    std::vector<Address> servers; ///< tried in turn
    bool printsJson = false; ///< instead of tables
    std::string spec; ///< JSON text
    std::string file; ///< path of a file with a spec, "-" for standard input; overrides spec
    std::uint64_t resourceVersion = 0; ///< to replace or delete; 0: the current version
    std::uint64_t since = 0; ///< version after which a watch starts; 0: now
    int limit = 0; ///< number of changes after which a watch ends; 0: no limit
    std::chrono::milliseconds timeout { 10'000 }; ///< of one request
};

/// Runs a command, given with its arguments in \p commandLine; returns the exit code.
int run(const std::vector<std::string>& commandLine, const Options& options);
/// Help for one command; the overview of all if \p command is empty or unknown.
std::string help(const std::string& command);

/// Formats rows as a text table with aligned columns; the first row is the header.
std::string formatTable(const std::vector<std::vector<std::string>>& rows);
/// Formats resources of one kind as a text table, with one column for each spec and status field.
std::string resourceTable(const nlohmann::json& items);

} // namespace damask::ctl
