#include "daemon_settings_pvt.h"

#include <damaskworks/names.h>
#include <damaskworks/platform.h>
#include <damaskworks/registry.h>
#include <damaskworks/trace.h>

#include <absl/flags/flag.h>
#include <array>

ABSL_FLAG(std::string, node, "", "Name of this entry VM, unique in the cluster: a-z, 0-9 and '-'.");
ABSL_FLAG(std::string, cluster, "default", "Name of the cluster; peers of another cluster are refused.");
ABSL_FLAG(std::string, data_centre, "", "Data centre of this entry VM: a-z, 0-9 and '-'.");
ABSL_FLAG(std::string, listen, "0.0.0.0:8080", "ip:port for callers; port 0 takes a free port.");
ABSL_FLAG(std::string, admin_listen, "0.0.0.0:8081",
    "ip:port for the resource API, /metrics, /healthz and /readyz.");
ABSL_FLAG(std::string, peer_listen, "0.0.0.0:8082", "ip:port for other entry VMs.");
ABSL_FLAG(std::string, peer_advertise, "",
    "ip:port under which other entry VMs reach this one; empty: peer_listen, or the platform's list.");
ABSL_FLAG(std::string, peers, "", "ip:port,... of entry VMs to ask when the platform's list can't be read.");
ABSL_FLAG(
    int, snapshot_period_ms, 60000, "Milliseconds between snapshots in the object store, 100 to 3600000.");
ABSL_FLAG(std::string, platform, "", "ip:port of the platform's service.");
ABSL_FLAG(std::string, platform_adapter, "http", "Platform adapter plug-in.");
ABSL_FLAG(
    int, platform_timeout_ms, 2000, "Milliseconds to wait for a response of the platform, 10 to 60000.");
ABSL_FLAG(int, poll_period_ms, 1000, "Milliseconds between polls of the table, 10 to 5000.");
ABSL_FLAG(int, lease_ms, 6000,
    "Milliseconds after which a controller lease expires unless it is renewed, 300 to 600000; "
    "the same on every node.");
ABSL_FLAG(
    int, report_period_ms, 1000, "Milliseconds between reads of the reports on VMs and tasks, 10 to 60000.");
ABSL_FLAG(int, stop_timeout_ms, 30000,
    "Milliseconds that a graceful stop waits for requests in flight, 0 to 600000.");
ABSL_FLAG(std::string, trace_exporter, "", "Trace exporter plug-in; empty disables tracing.");
ABSL_FLAG(std::string, trace_target, "", "File or ip:port that the trace exporter writes to.");
ABSL_FLAG(std::string, log_level, "info", "Lowest severity that is logged: debug, info, warning or error.");

namespace damask::daemon_settings {
namespace {

constexpr std::array<std::string_view, 19> settingNames { "node", "cluster", "data_centre", "listen",
    "admin_listen", "peer_listen", "peer_advertise", "peers", "snapshot_period_ms", "platform",
    "platform_adapter", "platform_timeout_ms", "poll_period_ms", "lease_ms", "report_period_ms",
    "stop_timeout_ms", "trace_exporter", "trace_target", "log_level" };

constexpr NameTable<LogLevel, 4> logLevelNames { {
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
} };

using Errors = std::vector<SettingError>;

std::string checkName(std::string_view setting, const std::string& value, Errors& errors)
{
    if (value.empty() || value.size() > 63
        || value.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") != std::string::npos)
        errors.push_back({ std::string(setting), value, "1 to 63 characters from a-z, 0-9 and '-'" });
    return value;
}

/// An address to listen on; port 0 takes a free port.
Address checkListenAddress(std::string_view setting, const std::string& value, Errors& errors)
{
    auto address = http::parseAddress(value);
    if (!address)
        errors.push_back({ std::string(setting), value, "ip:port with a port from 0 to 65535" });
    return address.value_or(Address {});
}

/// An address to connect to.
Address checkAddress(std::string_view setting, const std::string& value, Errors& errors)
{
    auto address = http::parseAddress(value);
    if (!address || address->port == 0)
        errors.push_back({ std::string(setting), value, "ip:port with a port from 1 to 65535" });
    return address.value_or(Address {});
}

std::vector<Address> checkAddresses(std::string_view setting, std::string_view values, Errors& errors)
{
    std::vector<Address> out;
    while (!values.empty()) {
        const auto end = values.find(',');
        out.push_back(checkAddress(setting, std::string(values.substr(0, end)), errors));
        values.remove_prefix(end == std::string_view::npos ? values.size() : end + 1);
    }
    return out;
}

std::chrono::milliseconds checkRange(
    std::string_view setting, int value, int minimum, int maximum, Errors& errors)
{
    if (value < minimum || value > maximum)
        errors.push_back({ std::string(setting), std::to_string(value),
            std::to_string(minimum) + " to " + std::to_string(maximum) + " ms" });
    return std::chrono::milliseconds(value);
}

} // namespace

std::span<const std::string_view> names() { return settingNames; }

std::string help()
{
    return settings::help(
        "damaskd: the daemon of damaskworks. Serves callers, operators and peers on one entry VM.\n\n"
        "Usage: damaskd --node=NAME --data_centre=NAME --platform=IP:PORT [settings]\n"
        "       damaskd --print_settings    print the effective settings and exit",
        "DAMASKD_", settingNames);
}

tl::expected<DaemonSettings, Errors> check()
{
    Errors errors;
    DaemonSettings out;
    out.node = checkName("node", absl::GetFlag(FLAGS_node), errors);
    out.cluster = checkName("cluster", absl::GetFlag(FLAGS_cluster), errors);
    out.dataCentre = checkName("data_centre", absl::GetFlag(FLAGS_data_centre), errors);
    out.listen = checkListenAddress("listen", absl::GetFlag(FLAGS_listen), errors);
    out.adminListen = checkListenAddress("admin_listen", absl::GetFlag(FLAGS_admin_listen), errors);
    out.peerListen = checkListenAddress("peer_listen", absl::GetFlag(FLAGS_peer_listen), errors);
    if (!absl::GetFlag(FLAGS_peer_advertise).empty())
        out.peerAdvertise = checkAddress("peer_advertise", absl::GetFlag(FLAGS_peer_advertise), errors);
    out.peers = checkAddresses("peers", absl::GetFlag(FLAGS_peers), errors);
    out.snapshotPeriod
        = checkRange("snapshot_period_ms", absl::GetFlag(FLAGS_snapshot_period_ms), 100, 3'600'000, errors);
    out.platform = checkAddress("platform", absl::GetFlag(FLAGS_platform), errors);
    out.platformAdapter = absl::GetFlag(FLAGS_platform_adapter);
    if (!Registry<PlatformFactory>::instance().find(out.platformAdapter))
        errors.push_back(
            { "platform_adapter", out.platformAdapter, Registry<PlatformFactory>::instance().names() });
    out.platformTimeout
        = checkRange("platform_timeout_ms", absl::GetFlag(FLAGS_platform_timeout_ms), 10, 60'000, errors);
    out.pollPeriod = checkRange("poll_period_ms", absl::GetFlag(FLAGS_poll_period_ms), 10, 5'000, errors);
    out.leaseLength = checkRange("lease_ms", absl::GetFlag(FLAGS_lease_ms), 300, 600'000, errors);
    out.reportPeriod
        = checkRange("report_period_ms", absl::GetFlag(FLAGS_report_period_ms), 10, 60'000, errors);
    out.stopTimeout = checkRange("stop_timeout_ms", absl::GetFlag(FLAGS_stop_timeout_ms), 0, 600'000, errors);
    out.traceExporter = absl::GetFlag(FLAGS_trace_exporter);
    if (!out.traceExporter.empty() && !Registry<TraceExporterFactory>::instance().find(out.traceExporter))
        errors.push_back(
            { "trace_exporter", out.traceExporter, Registry<TraceExporterFactory>::instance().names() });
    out.traceTarget = absl::GetFlag(FLAGS_trace_target);
    if (!out.traceExporter.empty() && out.traceTarget.empty())
        errors.push_back({ "trace_target", "", "a file or ip:port, since trace_exporter is set" });
    const auto level = valueOf(logLevelNames, absl::GetFlag(FLAGS_log_level));
    if (!level)
        errors.push_back({ "log_level", absl::GetFlag(FLAGS_log_level), allNames(logLevelNames) });
    out.logLevel = level.value_or(LogLevel::Info);
    if (!errors.empty())
        return tl::make_unexpected(errors);
    return out;
}

} // namespace damask::daemon_settings
