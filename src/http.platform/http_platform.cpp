/// \file
/// Platform adapter "http": calls the platform's API with JSON over HTTP.
#include <damaskworks/platform.h>
#include <damaskworks/registry.h>

#include <nlohmann/json.hpp>

namespace damask {
namespace {

using nlohmann::json;

/// Converts a failure to get a response. A write has an unknown outcome once any byte of the request may have
/// left.
PlatformError fromClientError(const HttpClientError& error, bool isWrite)
{
    const bool isOutcomeUnknown = isWrite && error.mayHaveBeenSent;
    return { isOutcomeUnknown ? PlatformFailure::OutcomeUnknown : PlatformFailure::Unavailable,
        "no response from the platform", "", 0 };
}

/// Converts a response other than 200. A write has an unknown outcome after a status that the platform's API
/// does not define.
PlatformError fromStatus(const HttpResponse& response, bool isWrite)
{
    PlatformError error;
    error.detail = "HTTP status " + std::to_string(response.status);
    const auto body = json::parse(response.body, nullptr, false);
    switch (response.status) {
    case 404:
        error.failure = PlatformFailure::NotFound;
        break;
    case 409:
        error.failure = PlatformFailure::Conflict;
        if (body.is_object()) {
            error.key = body.value("key", "");
            error.presentVersion = body.value("version", TableVersion { 0 });
        }
        break;
    case 410:
        error.failure = PlatformFailure::HistoryTruncated;
        break;
    case 400:
        error.failure = PlatformFailure::Invalid;
        break;
    case 503:
        error.failure = PlatformFailure::Unavailable;
        break;
    default:
        error.failure = isWrite ? PlatformFailure::OutcomeUnknown : PlatformFailure::Unavailable;
        break;
    }
    return error;
}

Row parseRow(const json& value)
{
    Row row;
    row.key = value.value("key", "");
    row.version = value.value("version", TableVersion { 0 });
    row.deleted = value.value("deleted", false);
    row.value = value.value("value", "");
    return row;
}

Changes parseChanges(const json& value)
{
    Changes changes;
    changes.version = value.value("version", TableVersion { 0 });
    for (const auto& row : value.value("rows", json::array()))
        changes.rows.push_back(parseRow(row));
    return changes;
}

ListedVm parseListedVm(const json& value)
{
    ListedVm vm;
    vm.id = value.value("id", "");
    vm.role = valueOf(vmRoleNames, value.value("role", "")).value_or(VmRole::Worker);
    vm.state = valueOf(listedStateNames, value.value("state", "")).value_or(ListedState::Gone);
    vm.dataCentre = value.value("dataCentre", "");
    vm.rack = value.value("rack", "");
    vm.address = http::parseAddress(value.value("address", "")).value_or(Address {});
    vm.incarnation = value.value("incarnation", std::uint64_t { 0 });
    return vm;
}

VmReport parseVmReport(const json& value)
{
    VmReport report;
    report.id = value.value("id", "");
    report.reachable = value.value("reachable", false);
    report.healthy = value.value("healthy", false);
    report.draining = value.value("draining", false);
    report.runningRequests = value.value("runningRequests", 0u);
    report.runningTasks = value.value("runningTasks", 0u);
    report.incarnation = value.value("incarnation", std::uint64_t { 0 });
    return report;
}

TaskReport parseTaskReport(const json& value)
{
    TaskReport report;
    report.task = value.value("task", "");
    report.job = value.value("job", "");
    report.vm = value.value("vm", "");
    report.state = valueOf(taskStateNames, value.value("state", "")).value_or(TaskState::Unknown);
    report.cpuUsed = value.value("cpuUsed", 0.0);
    report.memoryUsedMb = value.value("memoryUsedMb", 0.0);
    report.checkpointed = value.value("checkpointed", false);
    return report;
}

json toJson(const Transaction& transaction)
{
    json conditions = json::array();
    for (const auto& condition : transaction.conditions)
        conditions.push_back({ { "key", condition.key }, { "version", condition.version } });
    json writes = json::array();
    for (const auto& write : transaction.writes)
        writes.push_back(
            { { "key", write.key }, { "value", write.value ? json(*write.value) : json(nullptr) } });
    return { { "conditions", conditions }, { "writes", writes } };
}

class HttpPlatform final : public Platform {
public:
    explicit HttpPlatform(const PlatformContext& context)
        : m_context(context)
        , m_httpClient(context.base, HttpLimits { .maxBodyBytes = maxResponseBytes })
    {
    }

    void readRow(std::string_view key, PlatformCallback<Row> callback) override
    {
        call<Row>(
            "GET", "/table/row", "key=" + http::percentEncode(key), "", false, parseRow, std::move(callback));
    }

    void readRows(std::string_view prefix, PlatformCallback<Changes> callback) override
    {
        call<Changes>("GET", "/table/rows", "prefix=" + http::percentEncode(prefix), "", false, parseChanges,
            std::move(callback));
    }

    void readChanges(std::string_view prefix, TableVersion since, PlatformCallback<Changes> callback) override
    {
        const auto query = "prefix=" + http::percentEncode(prefix) + "&since=" + std::to_string(since);
        call<Changes>("GET", "/table/changes", query, "", false, parseChanges, std::move(callback));
    }

    void commit(const Transaction& transaction, PlatformCallback<TableVersion> callback) override
    {
        auto convert = [](const json& value) { return value.value("version", TableVersion { 0 }); };
        call<TableVersion>(
            "POST", "/table/commit", "", toJson(transaction).dump(), true, convert, std::move(callback));
    }

    void readObject(std::string_view name, PlatformCallback<std::string> callback) override
    {
        auto convert = [](const json& value) { return value.value("value", ""); };
        call<std::string>(
            "GET", "/objects/" + http::percentEncode(name), "", "", false, convert, std::move(callback));
    }

    void writeObject(std::string_view name, std::string value, PlatformCallback<bool> callback) override
    {
        const json body = { { "value", value } };
        call<bool>("PUT", "/objects/" + http::percentEncode(name), "", body.dump(), true, alwaysTrue,
            std::move(callback));
    }

    void listVms(PlatformCallback<std::vector<ListedVm>> callback) override
    {
        call<std::vector<ListedVm>>(
            "GET", "/vms", "", "", false, parseItems<ListedVm, parseListedVm>, std::move(callback));
    }

    void sendVmCommand(std::string_view vm, VmCommand command, PlatformCallback<bool> callback) override
    {
        const auto path
            = "/vms/" + http::percentEncode(vm) + "/" + std::string(nameOf(vmCommandNames, command));
        call<bool>("POST", path, "", "{}", true, alwaysTrue, std::move(callback));
    }

    void readVmReports(PlatformCallback<std::vector<VmReport>> callback) override
    {
        call<std::vector<VmReport>>(
            "GET", "/reports/vms", "", "", false, parseItems<VmReport, parseVmReport>, std::move(callback));
    }

    void sendTaskCommand(const TaskRequest& request, PlatformCallback<bool> callback) override
    {
        const json body = { { "task", request.task }, { "vm", request.vm },
            { "leaseEpoch", request.leaseEpoch }, { "job", request.job }, { "spec", request.spec } };
        const auto path = "/tasks/" + std::string(nameOf(taskCommandNames, request.command));
        call<bool>("POST", path, "", body.dump(), true, alwaysTrue, std::move(callback));
    }

    void readTaskReports(PlatformCallback<std::vector<TaskReport>> callback) override
    {
        call<std::vector<TaskReport>>("GET", "/reports/tasks", "", "", false,
            parseItems<TaskReport, parseTaskReport>, std::move(callback));
    }

    void setAcceptingConnections(
        std::string_view vm, bool accepting, PlatformCallback<bool> callback) override
    {
        const json body = { { "accepting", accepting } };
        call<bool>("POST", "/balancer/" + http::percentEncode(vm), "", body.dump(), true, alwaysTrue,
            std::move(callback));
    }

private:
    static constexpr std::size_t maxResponseBytes = 64 * 1024 * 1024;

    static bool alwaysTrue(const json&) { return true; }

    template <typename T, T (*convert)(const json&)> static std::vector<T> parseItems(const json& value)
    {
        std::vector<T> out;
        for (const auto& item : value.value("items", json::array()))
            out.push_back(convert(item));
        return out;
    }

    template <typename T, typename Convert>
    void call(std::string method, std::string path, std::string query, std::string body, bool isWrite,
        Convert convert, PlatformCallback<T> callback)
    {
        HttpRequest request { std::move(method), std::move(path), std::move(query),
            { { "User-Agent", m_context.clientName } }, std::move(body) };
        auto onResult = [isWrite, convert, callback = std::move(callback)](HttpResult result) {
            if (!result)
                return callback(tl::make_unexpected(fromClientError(result.error(), isWrite)));
            if (result->status != 200)
                return callback(tl::make_unexpected(fromStatus(*result, isWrite)));
            const auto value = json::parse(result->body, nullptr, false);
            if (!value.is_object())
                return callback(tl::make_unexpected(
                    PlatformError { isWrite ? PlatformFailure::OutcomeUnknown : PlatformFailure::Unavailable,
                        "malformed response from the platform", "", 0 }));
            std::optional<T> converted;
            try {
                converted = convert(value);
            } catch (const json::exception&) {
                // A member has an unexpected type; reported below as a malformed response.
            }
            if (!converted)
                return callback(tl::make_unexpected(
                    PlatformError { isWrite ? PlatformFailure::OutcomeUnknown : PlatformFailure::Unavailable,
                        "malformed response from the platform", "", 0 }));
            callback(std::move(*converted));
        };
        m_httpClient.send(m_context.address, request, m_context.timeout, std::move(onResult));
    }

    PlatformContext m_context;
    HttpClient m_httpClient;
};

[[maybe_unused]] const bool registered = Registry<PlatformFactory>::instance().add(
    "http", [](const PlatformContext& context) { return std::make_unique<HttpPlatform>(context); });

} // namespace
} // namespace damask
