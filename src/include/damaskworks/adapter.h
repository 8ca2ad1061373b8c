/// \file
/// What damaskworks needs to know of a deployment's platform. Adapters are plug-ins found by name.
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

/// Something that a text from outside holds and that can't be used.
struct FormatError {
    std::string field;
    std::string value;
    std::string allowed;
};

/// `field=<field> value=<value>: <allowed>`.
std::string describe(const FormatError& error);

/// What a caller asks for.
enum class CallerAction { Submit, ReadState, Cancel, CountPending, Unsupported };

/// Translation of callers' requests and of the rows that others write into the table.
class Codec {
public:
    virtual ~Codec() = default;
    /// Action and job id of a request whose path goes on with \p rest after the queue's prefix.
    virtual CallerAction action(std::string_view method, std::string_view rest) const = 0;
    /// The job in the body of a submission; id, queue, pool and time of acceptance are left empty.
    virtual tl::expected<JobSpec, FormatError> decodeSubmission(std::string_view body) const = 0;
    /// How long the caller waits for an answer; nothing if it does not say.
    virtual std::optional<milliseconds> callerDeadline(const HttpRequest& request) const = 0;
    virtual std::string encodeState(JobState state) const = 0;
    virtual std::string encodePending(std::size_t jobs) const = 0;
    /// A VM's registration.
    virtual tl::expected<VmEntry, FormatError> decodeVm(const TableRow& row) const = 0;
    virtual tl::expected<FleetConfig, FormatError> decodeConfig(const TableRow& row) const = 0;
    virtual tl::expected<WaveRequest, FormatError> decodeWave(const TableRow& row) const = 0;
    /// Text by which operators see how far a wave is.
    virtual std::string encodeWaveState(std::int64_t wave, bool completed) const = 0;
    /// Names of tables and rows that others write.
    virtual const std::string& vmTable() const = 0;
    virtual const std::string& operatorTable() const = 0;
    virtual const std::string& statusTable() const = 0;
    virtual bool isConfigKey(std::string_view key) const = 0;
    virtual bool isWaveKey(std::string_view key) const = 0;
    virtual std::string waveStatusKey(std::int64_t wave) const = 0;
};

/// Access to one deployment's platform.
struct Adapter {
    std::unique_ptr<Codec> codec;
    std::unique_ptr<SharedTable> table;
    std::unique_ptr<EndpointControl> endpoints;
    std::unique_ptr<MachineControl> machines;
    std::unique_ptr<AdviceControl> advice;
};

/// An adapter plug-in.
struct AdapterPlugin {
    /// Reads the settings from a file; all errors at once.
    std::function<tl::expected<NodeSettings, std::vector<FormatError>>(const std::string& path)> readSettings;
    std::function<Adapter(event_base* base, const NodeSettings& settings)> open;
};

} // namespace damask::fleet
