/// \file
/// Entry point of damaskd: reads the settings and runs the daemon, or the command `damaskd fleet`.
#include "daemon_pvt.h"
#include "daemon_settings_pvt.h"
#include "fleet_command_pvt.h"

#include <array>
#include <csignal>
#include <iostream>
#include <span>
#include <string_view>

namespace {

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

/// Prints one line for each error; returns the exit code.
int reportErrors(const std::vector<damask::SettingError>& errors)
{
    for (const auto& error : errors)
        std::cerr << damask::settings::describe(error) << "\n";
    return exitUsage;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace damask;
    std::signal(SIGPIPE, SIG_IGN);
    if (argc > 1 && std::string_view(argv[1]) == fleetCommand)
        return runFleetCommand(std::span(argv, static_cast<std::size_t>(argc)).subspan(2));
    std::vector<char*> arguments;
    bool printsSettings = false;
    for (int i = 1; i < argc; ++i) {
        if (std::string_view(argv[i]) == "--print_settings")
            printsSettings = true;
        else
            arguments.push_back(argv[i]);
    }
    auto parsed = settings::read(arguments, "DAMASKD_", daemon_settings::names());
    if (parsed.helpRequested) {
        std::cout << daemon_settings::help();
        return exitOk;
    }
    for (const auto& argument : parsed.positional)
        parsed.errors.push_back({ "argument", argument, "only flags" });
    auto checked = daemon_settings::check();
    if (!checked)
        parsed.errors.insert(parsed.errors.end(), checked.error().begin(), checked.error().end());
    if (!parsed.errors.empty())
        return reportErrors(parsed.errors);
    if (printsSettings) {
        std::cout << settings::print(daemon_settings::names());
        return exitOk;
    }
    initializeLogging(checked->logLevel, checked->node);
    SystemClock clock;
    Daemon daemon(*checked, clock);
    if (auto started = daemon.start(); !started) {
        logEvent(LogLevel::Error, "start_failed", { { "detail", started.error().detail } });
        return exitFailure;
    }
    return daemon.run() ? exitOk : exitFailure;
}
