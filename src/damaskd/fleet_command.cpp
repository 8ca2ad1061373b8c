#include "fleet_command_pvt.h"

#include <damaskworks/fleet_node.h>
#include <damaskworks/log.h>
#include <damaskworks/log_output.h>
#include <damaskworks/registry.h>
#include <damaskworks/settings.h>

#include <absl/flags/flag.h>
#include <array>
#include <iostream>
#include <random>
#include <unistd.h>

ABSL_FLAG(std::string, deployment_adapter, "fleet", "Adapter plug-in for the platform of the deployment.");
ABSL_FLAG(std::string, deployment_settings, "",
    "Path of the platform's settings file; empty: the path that the platform provides.");
ABSL_FLAG(int, metrics_port, 0, "Port for /metrics on the node's address, 0 to 65535; 0 serves none.");

namespace damask {
namespace {

constexpr std::array<std::string_view, 3> fleetSettings { "deployment_adapter", "deployment_settings",
    "metrics_port" };
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int maxPort = 65535;
constexpr std::string_view environmentPrefix = "DAMASKD_";

std::uint64_t randomSeed()
{
    // Uses the kernel's generator, not the processor's, so that a simulated run can be repeated.
    std::random_device device("/dev/urandom");
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace

int runFleetCommand(std::span<char* const> arguments)
{
    auto parsed = settings::read(arguments, environmentPrefix, fleetSettings);
    if (parsed.helpRequested) {
        std::cout << settings::help("damaskd fleet [flags]", environmentPrefix, fleetSettings);
        return 0;
    }
    fleet::NodeOptions options;
    options.settingsPath = absl::GetFlag(FLAGS_deployment_settings);
    options.adapter = absl::GetFlag(FLAGS_deployment_adapter);
    const int port = absl::GetFlag(FLAGS_metrics_port);
    if (port < 0 || port > maxPort)
        parsed.errors.push_back({ "metrics_port", std::to_string(port), "0 to 65535" });
    const auto& plugins = Registry<fleet::AdapterPlugin>::instance();
    const auto* plugin = plugins.find(options.adapter);
    if (!plugin)
        parsed.errors.push_back({ "deployment_adapter", options.adapter, plugins.names() });
    if (!parsed.errors.empty()) {
        for (const auto& error : parsed.errors)
            std::cerr << settings::describe(error) << "\n";
        return exitUsage;
    }
    options.metricsPort = static_cast<std::uint16_t>(port);
    auto deployment = plugin->readSettings(options.settingsPath);
    if (!deployment) {
        for (const auto& error : deployment.error())
            std::cerr << fleet::describe(error) << "\n";
        return exitUsage;
    }
    initializeLogging(LogLevel::Info, deployment->node);
    Loop loop;
    LogOutput output(loop.base(), STDOUT_FILENO);
    const BootClock clock;
    fleet::FleetNode node(loop, clock, *plugin, options, *deployment, randomSeed());
    if (auto started = node.start(); !started) {
        logEvent(LogLevel::Error, "start_failed", { { "detail", started.error().detail } });
        return exitFailure;
    }
    node.run();
    return 0;
}

} // namespace damask
