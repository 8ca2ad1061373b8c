/// \file
/// Settings of damaskd, from flags and environment variables.
#pragma once

#include <damaskworks/http.h>
#include <damaskworks/log.h>
#include <damaskworks/settings.h>

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace damask {

/// Validated settings of one daemon.
struct DaemonSettings {
    std::string node;
    std::string cluster;
    std::string dataCentre;
    Address listen; ///< for callers
    Address adminListen; ///< for operators, metrics and health checks
    Address peerListen; ///< for other entry VMs
    Address peerAdvertise; ///< sent in heartbeats; port 0: peerListen, or the platform's list
    std::vector<Address> peers; ///< seed addresses, used when the platform's list can't be read
    std::chrono::milliseconds snapshotPeriod { 60'000 };
    Address platform; ///< the platform's service
    std::string platformAdapter; ///< a name in Registry<PlatformFactory>
    std::chrono::milliseconds platformTimeout { 2000 };
    std::chrono::milliseconds pollPeriod { 1000 }; ///< of the platform's table
    std::chrono::milliseconds leaseLength { 6000 }; ///< of controller leases
    std::chrono::milliseconds reportPeriod { 1000 }; ///< of the reports on VMs and tasks
    std::chrono::milliseconds stopTimeout { 30'000 }; ///< for requests in flight during a stop
    std::string traceExporter; ///< a name in Registry<TraceExporterFactory>; empty: tracing is off
    std::string traceTarget; ///< a file or ip:port
    LogLevel logLevel = LogLevel::Info;
};

namespace daemon_settings {

/// Names of all settings, in the order of the help text.
std::span<const std::string_view> names();
/// The text of `damaskd --help`.
std::string help();
/// Validates the current flag values; returns the settings, or one error for each invalid value.
tl::expected<DaemonSettings, std::vector<SettingError>> check();

} // namespace daemon_settings
} // namespace damask
