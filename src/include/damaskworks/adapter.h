/// \file
/// Interface to the platform of a deployment: the translation of its messages and the clients of its
/// services. Adapters are plug-ins and are looked up by name.
#pragma once

#include <damaskworks/deployment.h>
#include <damaskworks/endpoint_control.h>
#include <damaskworks/shared_table.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

struct event_base;

namespace damask::fleet {

/// An invalid or missing value in a request, a table row or the settings file.
struct FormatError {
    std::string field;
    std::string value;
    std::string allowed; ///< what the field may hold
};

/// `field=<field> value=<value>: <allowed>`.
std::string describe(const FormatError& error);

/// What a caller's request does.
enum class CallerAction { Submit, ReadState, Cancel, CountPending, Unsupported };

/// Decodes callers' requests and the table rows that VMs and operators write, and encodes the responses.
class Codec {
public:
    virtual ~Codec() = default;
    /// Action of a request; \p pathSuffix is its path after the queue's prefix: a job id or nothing.
    virtual CallerAction action(std::string_view method, std::string_view pathSuffix) const = 0;
    /// Decodes the body of a submission; leaves the job's id, queue, pool and time of acceptance empty.
    virtual tl::expected<JobSpec, FormatError> decodeSubmission(std::string_view body) const = 0;
    /// How long the caller waits for a response; nothing if the request does not say or the value is invalid.
    virtual std::optional<milliseconds> callerDeadline(const HttpRequest& request) const = 0;
    /// The key that the request carries; empty if it carries none.
    virtual std::string_view callerKey(const HttpRequest& request) const = 0;
    virtual std::string encodeState(JobState state) const = 0;
    /// Encodes the number of jobs in a queue that have not ended.
    virtual std::string encodePending(std::size_t jobs) const = 0;
    /// Decodes the row by which a VM registers.
    virtual tl::expected<VmRegistration, FormatError> decodeVm(const TableRow& row) const = 0;
    virtual tl::expected<FleetConfig, FormatError> decodeConfig(const TableRow& row) const = 0;
    virtual tl::expected<WaveRequest, FormatError> decodeWave(const TableRow& row) const = 0;
    /// Encodes the status row that shows operators the state of a wave.
    virtual std::string encodeWaveState(std::int64_t wave, bool completed) const = 0;
    /// Table of the VMs' registrations.
    virtual const std::string& vmTable() const = 0;
    /// Table with the operators' configuration and wave requests.
    virtual const std::string& operatorTable() const = 0;
    /// Table with the status rows that operators read.
    virtual const std::string& statusTable() const = 0;
    /// Whether a row of operatorTable() holds the configuration.
    virtual bool isConfigKey(std::string_view key) const = 0;
    /// Whether a row of operatorTable() holds a wave request.
    virtual bool isWaveKey(std::string_view key) const = 0;
    /// Key of a wave's row in statusTable().
    virtual std::string waveStatusKey(std::int64_t wave) const = 0;
};

/// Clients of one deployment's platform.
struct Adapter {
    std::unique_ptr<Codec> codec;
    std::unique_ptr<SharedTable> table;
    std::unique_ptr<EndpointControl> endpoints;
    std::unique_ptr<MachineControl> machines;
    std::unique_ptr<AdviceControl> advice;
};

/// An adapter plug-in.
struct AdapterPlugin {
    /// Reads the settings file; returns all errors, not just the first.
    std::function<tl::expected<NodeSettings, std::vector<FormatError>>(const std::string& path)> readSettings;
    std::function<Adapter(event_base* base, const NodeSettings& settings)> open;
};

} // namespace damask::fleet
