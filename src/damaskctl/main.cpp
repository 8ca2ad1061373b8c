/// \file
/// Entry point of damaskctl, the operators' command-line client: reads the flags and runs one command.
#include "commands_pvt.h"

#include <damaskworks/settings.h>

#include <absl/flags/flag.h>
#include <array>
#include <csignal>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, server, "",
    "ip:port of a daemon's admin address; several are separated by commas and tried in turn.");
ABSL_FLAG(std::string, output, "table", "Output format: table or json.");
ABSL_FLAG(std::string, spec, "", "Spec of a resource as JSON text.");
ABSL_FLAG(std::string, file, "", "File with a spec as JSON; - for standard input.");
ABSL_FLAG(uint64_t, resource_version, 0, "Resource version to replace or delete; 0 for the current one.");
ABSL_FLAG(uint64_t, since, 0, "Version after which a watch starts; 0 for now.");
ABSL_FLAG(int, limit, 0, "Number of changes after which a watch ends; 0 for no limit.");
ABSL_FLAG(int, timeout_ms, 10000, "Milliseconds to wait for a response, 10 to 600000.");

namespace {

using namespace damask;

constexpr std::array<std::string_view, 8> settingNames { "server", "output", "spec", "file",
    "resource_version", "since", "limit", "timeout_ms" };

/// Builds the options from the flags; adds one error for each invalid value.
ctl::Options parseOptions(std::vector<SettingError>& errors)
{
    ctl::Options options;
    std::stringstream servers(absl::GetFlag(FLAGS_server));
    for (std::string server; std::getline(servers, server, ',');) {
        const auto address = http::parseAddress(server);
        if (address && address->port != 0)
            options.servers.push_back(*address);
        else
            errors.push_back({ "--server", server, "ip:port with a port from 1 to 65535" });
    }
    const auto output = absl::GetFlag(FLAGS_output);
    if (output != "table" && output != "json")
        errors.push_back({ "--output", output, "table, json" });
    options.printsJson = output == "json";
    options.spec = absl::GetFlag(FLAGS_spec);
    options.file = absl::GetFlag(FLAGS_file);
    options.resourceVersion = absl::GetFlag(FLAGS_resource_version);
    options.since = absl::GetFlag(FLAGS_since);
    options.limit = absl::GetFlag(FLAGS_limit);
    const int timeout = absl::GetFlag(FLAGS_timeout_ms);
    if (timeout < 10 || timeout > 600'000)
        errors.push_back({ "--timeout_ms", std::to_string(timeout), "10 to 600000" });
    options.timeout = std::chrono::milliseconds(timeout);
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto parsed = settings::read(
        std::span<char* const>(argv + 1, static_cast<std::size_t>(argc - 1)), "DAMASKCTL_", settingNames);
    if (parsed.helpRequested) {
        std::cout << settings::help(ctl::help(""), "DAMASKCTL_", settingNames);
        return ctl::Ok;
    }
    const auto options = parseOptions(parsed.errors);
    for (const auto& error : parsed.errors)
        std::cerr << settings::describe(error) << "\n";
    if (!parsed.errors.empty())
        return ctl::Usage;
    return ctl::run(parsed.positional, options);
}
