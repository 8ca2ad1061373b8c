/// \file
/// Platform adapter "http": calls the platform's API with JSON over HTTP.
#include <damaskworks/json_input.h>
#include <damaskworks/log.h>
#include <damaskworks/platform.h>
#include <damaskworks/registry.h>
#include <damaskworks/row_fields.h>

#include <nlohmann/json.hpp>

namespace damask {
namespace {

using nlohmann::json;

constexpr IntegerRange runCountRange { 0, 1'000'000 };
constexpr std::size_t maxLoggedEntryBytes = 200;

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
    const auto body = parseJson(response.body);
    switch (response.status) {
    case 404:
        error.failure = PlatformFailure::NotFound;
        break;
    case 409:
        error.failure = PlatformFailure::Conflict;
        if (RowFields fields(body); fields.isValid()) {
            error.key = fields.text("key", "");
            error.presentVersion = static_cast<TableVersion>(fields.integer("version", anyCount, 0));
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

std::optional<Row> parseRow(const json& value)
{
    RowFields fields(value);
    Row row;
    row.key = fields.text("key", "");
    row.version = static_cast<TableVersion>(fields.integer("version", anyCount, 0));
    row.deleted = fields.flag("deleted", false);
    row.value = fields.text("value", "");
    return fields.isValid() ? std::optional(row) : std::nullopt;
}

std::optional<Changes> parseChanges(const json& value)
{
    RowFields fields(value);
    Changes changes;
    changes.version = static_cast<TableVersion>(fields.integer("version", anyCount, 0));
    for (const auto& entry : fields.array("rows", true)) {
        auto row = parseRow(entry);
        if (!row)
            return std::nullopt;
        changes.rows.push_back(std::move(*row));
    }
    return fields.isValid() ? std::optional(changes) : std::nullopt;
}

std::optional<TableVersion> parseVersion(const json& value)
{
    RowFields fields(value);
    const auto version = fields.integer("version", anyCount, 0);
    return fields.isValid() ? std::optional(static_cast<TableVersion>(version)) : std::nullopt;
}

std::optional<std::string> parseObjectValue(const json& value)
{
    RowFields fields(value);
    auto text = fields.text("value", "");
    return fields.isValid() ? std::optional(std::move(text)) : std::nullopt;
}

std::optional<bool> alwaysTrue(const json&) { return true; }

std::optional<ListedVm> parseListedVm(const json& value)
{
    RowFields fields(value);
    ListedVm vm;
    vm.id = fields.text("id", "");
    vm.role = valueOf(vmRoleNames, fields.text("role", "")).value_or(VmRole::Worker);
    vm.state = valueOf(listedStateNames, fields.text("state", "")).value_or(ListedState::Gone);
    vm.dataCentre = fields.text("dataCentre", "");
    vm.rack = fields.text("rack", "");
    vm.address = http::parseAddress(fields.text("address", "")).value_or(Address {});
    vm.incarnation = static_cast<std::uint64_t>(fields.integer("incarnation", anyCount, 0));
    return fields.isValid() ? std::optional(vm) : std::nullopt;
}

std::optional<VmReport> parseVmReport(const json& value)
{
    RowFields fields(value);
    VmReport report;
    report.id = fields.text("id", "");
    report.reachable = fields.flag("reachable", false);
    report.healthy = fields.flag("healthy", false);
    report.draining = fields.flag("draining", false);
    report.runningRequests = static_cast<std::uint32_t>(fields.integer("runningRequests", runCountRange, 0));
    report.runningTasks = static_cast<std::uint32_t>(fields.integer("runningTasks", runCountRange, 0));
    report.incarnation = static_cast<std::uint64_t>(fields.integer("incarnation", anyCount, 0));
    return fields.isValid() ? std::optional(report) : std::nullopt;
}

/// The number in a member; 0 if there is none.
double numberOrZero(const json& object, const char* name)
{
    const auto member = object.find(name);
    return member != object.end() && member->is_number() ? member->get<double>() : 0;
}

/// What a task uses may be unreadable; its identity and state may not.
std::optional<TaskReport> parseTaskReport(const json& value)
{
    RowFields fields(value);
    TaskReport report;
    report.task = fields.text("task", "");
    report.job = fields.text("job", "");
    report.vm = fields.text("vm", "");
    report.state = valueOf(taskStateNames, fields.text("state", "")).value_or(TaskState::Unknown);
    report.checkpointed = fields.flag("checkpointed", false);
    if (!fields.isValid())
        return std::nullopt;
    report.cpuUsed = numberOrZero(value, "cpuUsed");
    report.memoryUsedMb = numberOrZero(value, "memoryUsedMb");
    return report;
}

/// Converts the response text; nothing if it is malformed.
template <typename T> using ResponseParser = std::optional<T> (*)(std::string_view);

template <typename T, std::optional<T> (*convert)(const json&)>
std::optional<T> parseResponse(std::string_view text)
{
    const auto value = parseJson(text);
    return value.is_object() ? convert(value) : std::nullopt;
}

/// The entries of a list, without those that are malformed: one VM must not hide the others.
template <typename T, std::optional<T> (*convert)(const json&)>
std::optional<std::vector<T>> parseItems(std::string_view text)
{
    const auto list = parseJsonWithList(text, "items");
    if (!list.object.is_object())
        return std::nullopt;
    std::vector<T> out;
    for (const auto entry : list.entries) {
        if (auto item = parseResponse<T, convert>(entry))
            out.push_back(std::move(*item));
        else
            logEvent(LogLevel::Warning, "list_entry_malformed",
                { { "entry", std::string(entry.substr(0, maxLoggedEntryBytes)) } });
    }
    return out;
}

/// The reports on all tasks; nothing if one is malformed, since a task without a report counts as lost and is
/// run again.
std::optional<std::vector<TaskReport>> parseTaskReports(std::string_view text)
{
    const auto list = parseJsonWithList(text, "items");
    if (!list.object.is_object())
        return std::nullopt;
    std::vector<TaskReport> out;
    for (const auto entry : list.entries) {
        const auto value = parseReadableMembers(entry);
        auto report = value.is_object() ? parseTaskReport(value) : std::nullopt;
        if (!report)
            return std::nullopt;
        out.push_back(std::move(*report));
    }
    return out;
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
        call<Row>("GET", "/table/row", "key=" + http::percentEncode(key), "", false,
            parseResponse<Row, parseRow>, std::move(callback));
    }
    void readRows(std::string_view prefix, PlatformCallback<Changes> callback) override
    {
        call<Changes>("GET", "/table/rows", "prefix=" + http::percentEncode(prefix), "", false,
            parseResponse<Changes, parseChanges>, std::move(callback));
    }
    void readChanges(std::string_view prefix, TableVersion since, PlatformCallback<Changes> callback) override
    {
        const auto query = "prefix=" + http::percentEncode(prefix) + "&since=" + std::to_string(since);
        call<Changes>("GET", "/table/changes", query, "", false, parseResponse<Changes, parseChanges>,
            std::move(callback));
    }
    void commit(const Transaction& transaction, PlatformCallback<TableVersion> callback) override
    {
        call<TableVersion>("POST", "/table/commit", "", toJson(transaction).dump(), true,
            parseResponse<TableVersion, parseVersion>, std::move(callback));
    }
    void readObject(std::string_view name, PlatformCallback<std::string> callback) override
    {
        call<std::string>("GET", "/objects/" + http::percentEncode(name), "", "", false,
            parseResponse<std::string, parseObjectValue>, std::move(callback));
    }
    void writeObject(std::string_view name, std::string value, PlatformCallback<bool> callback) override
    {
        const json body = { { "value", value } };
        call<bool>("PUT", "/objects/" + http::percentEncode(name), "", body.dump(), true, acknowledge,
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
        call<bool>("POST", path, "", "{}", true, acknowledge, std::move(callback));
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
        call<bool>("POST", path, "", body.dump(), true, acknowledge, std::move(callback));
    }

    void readTaskReports(PlatformCallback<std::vector<TaskReport>> callback) override
    {
        call<std::vector<TaskReport>>(
            "GET", "/reports/tasks", "", "", false, parseTaskReports, std::move(callback));
    }

    void setAcceptingConnections(
        std::string_view vm, bool accepting, PlatformCallback<bool> callback) override
    {
        const json body = { { "accepting", accepting } };
        call<bool>("POST", "/balancer/" + http::percentEncode(vm), "", body.dump(), true, acknowledge,
            std::move(callback));
    }

private:
    static constexpr std::size_t maxResponseBytes = 64 * 1024 * 1024;

    static constexpr ResponseParser<bool> acknowledge = parseResponse<bool, alwaysTrue>;

    template <typename T>
    void call(std::string method, std::string path, std::string query, std::string body, bool isWrite,
        ResponseParser<T> parse, PlatformCallback<T> callback)
    {
        HttpRequest request { std::move(method), std::move(path), std::move(query),
            { { "User-Agent", m_context.clientName } }, std::move(body) };
        auto onResult = [isWrite, parse, callback = std::move(callback)](HttpResult result) {
            if (!result)
                return callback(tl::make_unexpected(fromClientError(result.error(), isWrite)));
            if (result->status != 200)
                return callback(tl::make_unexpected(fromStatus(*result, isWrite)));
            auto parsed = parse(result->body);
            if (!parsed)
                return callback(tl::make_unexpected(
                    PlatformError { isWrite ? PlatformFailure::OutcomeUnknown : PlatformFailure::Unavailable,
                        "malformed response from the platform", "", 0 }));
            callback(std::move(*parsed));
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
