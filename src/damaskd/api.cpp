#include "api_pvt.h"

#include <damaskworks/json_input.h>
#include <damaskworks/move.h>
#include <damaskworks/registry.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace damask {
namespace {

using nlohmann::json;

constexpr std::string_view retryAfterSeconds = "1";
/// Changes are refused if the last successful poll of the table is older than this.
constexpr std::chrono::milliseconds maxTableAge { 5000 };

void reply(const std::shared_ptr<HttpExchange>& exchange, int status, const json& body)
{
    HttpResponse response { status, { { "Content-Type", "application/json" } },
        body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n" };
    if (status == 503)
        response.headers.emplace_back("Retry-After", retryAfterSeconds);
    exchange->reply(std::move(response));
}

void replyError(const std::shared_ptr<HttpExchange>& exchange, int status, std::string_view error,
    json details = json::object())
{
    details["error"] = error;
    reply(exchange, status, details);
}

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty()) {
        const auto slash = path.find('/');
        if (slash != 0)
            parts.emplace_back(path.substr(0, slash));
        if (slash == std::string_view::npos)
            break;
        path.remove_prefix(slash + 1);
    }
    return parts;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Parses the body as a JSON object that has only members in \p allowed. Otherwise replies with an error and
/// returns nothing.
std::optional<json> parseBody(
    const std::shared_ptr<HttpExchange>& exchange, std::initializer_list<std::string_view> allowed)
{
    auto body = parseJson(exchange->request().body);
    if (!body.is_object()) {
        replyError(exchange, 400, "the body is not a JSON object, or it nests too deeply");
        return std::nullopt;
    }
    for (const auto& [name, value] : body.items()) {
        if (std::find(allowed.begin(), allowed.end(), name) != allowed.end())
            continue;
        replyError(exchange, 400, "unknown member", { { "field", name } });
        return std::nullopt;
    }
    return body;
}

void replyInvalid(const std::shared_ptr<HttpExchange>& exchange, const std::vector<FieldError>& errors)
{
    replyError(exchange, 422, "invalid", { { "fields", resource::toJson(errors) } });
}

} // namespace

Api::Api(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void Api::serve(std::shared_ptr<HttpExchange> exchange)
{
    const auto& path = exchange->request().path;
    m_dependencies.metrics.count("damask_api_requests_total");
    if (path == "/healthz")
        return exchange->reply({ 200, { { "Content-Type", "text/plain" } }, "ok\n" });
    if (path == "/readyz") {
        const auto status = m_dependencies.status();
        return exchange->reply({ status.ready ? 200 : 503, { { "Content-Type", "text/plain" } },
            status.ready ? "ready\n" : status.reason + "\n" });
    }
    if (path == "/metrics") {
        m_dependencies.refreshGauges();
        return exchange->reply(
            { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_dependencies.metrics.text() });
    }
    auto parts = splitPath(path);
    if (parts.size() < 2 || parts[0] != "v1")
        return replyError(exchange, 404, "no such path", { { "path", path } });
    parts.erase(parts.begin());
    serveResources(exchange, std::move(parts));
}

void Api::serveResources(const Exchange& exchange, std::vector<std::string> parts)
{
    const auto& message = exchange->request();
    if (parts[0] == "status" && parts.size() == 1) {
        const auto status = m_dependencies.status();
        return reply(exchange, 200,
            { { "node", status.node }, { "dataCentre", status.dataCentre }, { "ready", status.ready },
                { "reason", status.reason }, { "configurationGeneration", status.configurationGeneration },
                { "tableAgeMs", status.tableAge.count() },
                { "tableVersion", m_dependencies.mirror.version() } });
    }
    if (parts[0] == "watch" && parts.size() == 1) {
        std::set<Kind> kinds;
        for (const auto& [kind, name] : kindNames)
            kinds.insert(kind);
        return watch(exchange, std::move(kinds));
    }
    const auto kind = valueOf(kindPlurals, parts[0]);
    if (!kind)
        return replyError(
            exchange, 404, "no such kind", { { "value", parts[0] }, { "allowed", allNames(kindPlurals) } });
    if (parts.size() == 3 && *kind == Kind::Configuration && parts[2] == "rollout")
        return rollout(exchange);
    if (parts.size() == 3 && *kind == Kind::Vm && parts[2] == "move" && message.method == "POST")
        return moveVm(exchange, parts[1]);
    if (parts.size() > 2)
        return replyError(exchange, 404, "no such path", { { "path", message.path } });
    if (parts.size() == 1) {
        if (message.method == "GET" && http::queryValue(message.query, "watch"))
            return watch(exchange, { *kind });
        if (message.method == "GET")
            return list(exchange, *kind);
        if (message.method == "POST")
            return create(exchange, *kind);
        return replyError(exchange, 405, "method not allowed", { { "allowed", "GET, POST" } });
    }
    if (message.method == "GET")
        return read(exchange, *kind, parts[1]);
    if (message.method == "PUT")
        return replace(exchange, *kind, parts[1]);
    if (message.method == "DELETE")
        return remove(exchange, *kind, parts[1]);
    replyError(exchange, 405, "method not allowed", { { "allowed", "GET, PUT, DELETE" } });
}

void Api::list(const Exchange& exchange, Kind kind)
{
    json items = json::array();
    for (const auto* found : m_dependencies.catalogue.list(kind))
        items.push_back(resource::toJson(*found));
    reply(exchange, 200, { { "items", items }, { "resourceVersion", m_dependencies.mirror.version() } });
}

void Api::read(const Exchange& exchange, Kind kind, const std::string& name)
{
    const auto* cached = m_dependencies.catalogue.find(kind, name);
    Resource current;
    if (cached)
        current = *cached;
    current.kind = kind;
    current.name = name;
    m_dependencies.store.platform().readRow(resource::specKey(kind, name),
        [exchange, current, isCached = cached != nullptr](PlatformResult<Row> row) mutable {
            if (row && resource::decodeSpecRow(row->value, current)) {
                current.version = row->version;
                return reply(exchange, 200, resource::toJson(current));
            }
            if (!row && row.error().failure == PlatformFailure::NotFound)
                return replyError(exchange, 404, "not found", { { "name", current.name } });
            if (!isCached)
                return replyError(exchange, 503, "the table is unavailable");
            auto body = resource::toJson(current);
            body["stale"] = true; // the table is unavailable, so this is the node's own copy
            reply(exchange, 200, body);
        });
}

void Api::create(const Exchange& exchange, Kind kind)
{
    auto body = parseBody(exchange, { "name", "spec" });
    if (!body)
        return;
    Resource created;
    created.kind = kind;
    if (body->contains("name") && (*body)["name"].is_string())
        created.name = (*body)["name"];
    created.spec = body->value("spec", json::object());
    auto errors = resource::validate(kind, created.name, created.spec);
    if (errors.empty())
        errors = checkReferences(created);
    if (!errors.empty())
        return replyInvalid(exchange, errors);
    Transaction transaction;
    transaction.conditions.push_back({ resource::specKey(kind, created.name), 0 });
    transaction.writes.push_back({ resource::specKey(kind, created.name), resource::encodeSpecRow(created) });
    commit(exchange, std::move(created), std::move(transaction), 201);
}

void Api::replace(const Exchange& exchange, Kind kind, const std::string& name)
{
    auto body = parseBody(exchange, { "resourceVersion", "spec" });
    if (!body)
        return;
    if (!body->contains("resourceVersion") || !(*body)["resourceVersion"].is_number_unsigned())
        return replyInvalid(exchange,
            { { "resourceVersion", body->value("resourceVersion", json()).dump(),
                "the version that is replaced" } });
    Resource replaced;
    replaced.kind = kind;
    replaced.name = name;
    replaced.version = (*body)["resourceVersion"];
    replaced.spec = body->value("spec", json::object());
    auto errors = resource::validate(kind, name, replaced.spec);
    if (errors.empty())
        errors = checkReferences(replaced);
    if (!errors.empty())
        return replyInvalid(exchange, errors);
    // The new generation is one above that of the replaced row, so read the row first.
    m_dependencies.store.platform().readRow(
        resource::specKey(kind, name), [this, exchange, replaced](PlatformResult<Row> row) mutable {
            if (!row && row.error().failure == PlatformFailure::NotFound)
                return replyError(exchange, 404, "not found", { { "name", replaced.name } });
            Resource current;
            if (!row || !resource::decodeSpecRow(row->value, current))
                return replyError(exchange, 503, "the table is unavailable; nothing was changed");
            if (row->version != replaced.version)
                return replyError(exchange, 409, "conflict",
                    { { "field", "resourceVersion" }, { "value", replaced.version },
                        { "presentVersion", row->version } });
            replaced.generation = current.generation + 1;
            const auto key = resource::specKey(replaced.kind, replaced.name);
            Transaction transaction { { { key, replaced.version } },
                { { key, resource::encodeSpecRow(replaced) } } };
            commit(exchange, std::move(replaced), std::move(transaction), 200);
        });
}

void Api::remove(const Exchange& exchange, Kind kind, const std::string& name)
{
    const auto text = http::queryValue(exchange->request().query, "resourceVersion");
    const auto version = text ? parseNumber(*text) : std::nullopt;
    if (!version || *version == 0)
        return replyInvalid(exchange,
            { { "resourceVersion", text.value_or(""),
                "the version that is deleted, as a query parameter" } });
    if (kind == Kind::Configuration && name == currentConfigurationName)
        return replyInvalid(
            exchange, { { "name", name, "the configuration in force can only be replaced" } });
    if (!m_dependencies.catalogue.find(kind, name))
        return replyError(exchange, 404, "not found", { { "name", name } });
    Resource removed = *m_dependencies.catalogue.find(kind, name);
    Transaction transaction;
    transaction.conditions.push_back({ resource::specKey(kind, name), *version });
    transaction.writes.push_back({ resource::specKey(kind, name), std::nullopt });
    commit(exchange, std::move(removed), std::move(transaction), 200);
}

void Api::moveVm(const Exchange& exchange, const std::string& name)
{
    auto body = parseBody(exchange, { "pool" });
    if (!body)
        return;
    const auto* vm = m_dependencies.catalogue.find(Kind::Vm, name);
    if (!vm)
        return replyError(exchange, 404, "not found", { { "name", name } });
    const auto pool
        = body->contains("pool") && (*body)["pool"].is_string() ? (*body)["pool"].get<std::string>() : "";
    if (!m_dependencies.catalogue.find(Kind::Pool, pool))
        return replyInvalid(exchange, { { "pool", pool, "the name of a pool" } });
    Resource moved = *vm;
    if (!moved.status.contains("pool"))
        moved.status["pool"] = moved.spec["pool"];
    if (!moved.status.contains("phase"))
        moved.status["phase"] = "in_service";
    if (moved.status["pool"] == pool)
        return replyInvalid(exchange, { { "pool", pool, "a pool other than the VM's present one" } });
    moved.status["moveTo"] = pool;
    const auto key = resource::statusKey(Kind::Vm, name);
    Transaction transaction;
    transaction.conditions.push_back({ resource::specKey(Kind::Vm, name), vm->version });
    transaction.conditions.push_back({ key, m_dependencies.catalogue.statusVersion(Kind::Vm, name) });
    transaction.writes.push_back({ key, moved.status.dump() });
    commit(exchange, std::move(moved), std::move(transaction), 202);
}

void Api::commit(const Exchange& exchange, Resource resource, Transaction transaction, int successStatus)
{
    // Refuse at once rather than start a commit whose outcome may stay unknown.
    if (m_dependencies.status().tableAge > maxTableAge) {
        m_dependencies.mirror.pollNow();
        return replyError(exchange, 503, "the table has been silent for too long; nothing was changed",
            { { "outcome", "not_changed" } });
    }
    m_dependencies.store.commit(std::move(transaction),
        [this, exchange, resource, successStatus](PlatformResult<TableVersion> result) mutable {
            if (result) {
                m_dependencies.mirror.pollNow();
                if (successStatus != 202)
                    resource.version = *result;
                return reply(exchange, successStatus, resource::toJson(resource));
            }
            const auto& error = result.error();
            switch (error.failure) {
            case PlatformFailure::Conflict:
                return replyError(exchange, 409, "conflict",
                    { { "field", "resourceVersion" }, { "presentVersion", error.presentVersion } });
            case PlatformFailure::OutcomeUnknown:
                return replyError(exchange, 504,
                    "the table became unreachable; read the resource to see whether the change took effect",
                    { { "outcome", "unknown" } });
            default:
                return replyError(exchange, 503, "the table is unavailable; nothing was changed",
                    { { "outcome", "not_changed" } });
            }
        });
}

std::vector<FieldError> Api::checkReferences(const Resource& resource) const
{
    std::vector<FieldError> errors;
    auto requirePool = [&](const std::string& field, const json& value) {
        const auto pool = value.get<std::string>();
        if (!m_dependencies.catalogue.find(Kind::Pool, pool))
            errors.push_back({ field, pool, "the name of a pool" });
    };
    if (resource.spec.contains("pool"))
        requirePool("spec.pool", resource.spec["pool"]);
    if (resource.kind == Kind::Configuration) {
        const auto policy
            = resource.spec.value("policy", json::object()).value("move", json::object()).value("name", "");
        if (!policy.empty() && !Registry<move::Policy>::instance().find(policy))
            errors.push_back({ "spec.policy.move.name", policy, Registry<move::Policy>::instance().names() });
        std::size_t index = 0;
        for (const auto& route : resource.spec["routes"])
            requirePool("spec.routes[" + std::to_string(index++) + "].pool", route["pool"]);
    }
    if (resource.kind == Kind::Job && resource.spec["team"] != "default"
        && !m_dependencies.catalogue.find(Kind::Team, resource.spec["team"].get<std::string>()))
        errors.push_back({ "spec.team", resource.spec["team"], "the name of a team, or default" });
    if (resource.kind == Kind::Budget && errors.empty()) {
        std::int64_t poolSize = 0; // VMs
        for (const auto* vm : m_dependencies.catalogue.list(Kind::Vm))
            poolSize += vm->status.value("pool", vm->spec.value("pool", "")) == resource.spec["pool"];
        if (resource.spec["maxUnavailable"].get<std::int64_t>() > poolSize)
            errors.push_back({ "spec.maxUnavailable", resource.spec["maxUnavailable"].dump(),
                "at most the pool's size, " + std::to_string(poolSize) });
    }
    return errors;
}

void Api::watch(const Exchange& exchange, std::set<Kind> kinds)
{
    std::optional<TableVersion> since;
    if (auto text = http::queryValue(exchange->request().query, "since")) {
        since = parseNumber(*text);
        if (!since)
            return replyInvalid(exchange, { { "since", *text, "a resource version" } });
    }
    m_dependencies.watchHub.open(exchange, since, std::move(kinds));
}

void Api::rollout(const Exchange& exchange)
{
    const auto* configuration = m_dependencies.catalogue.find(Kind::Configuration, currentConfigurationName);
    const auto self = m_dependencies.status();
    json nodes = json::array();
    nodes.push_back({ { "node", self.node }, { "dataCentre", self.dataCentre },
        { "generation", self.configurationGeneration }, { "lastHeardMs", 0 } });
    for (const auto& [name, view] : m_dependencies.peers.views()) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_dependencies.clock.now() - view.lastHeard);
        nodes.push_back({ { "node", name }, { "dataCentre", view.heartbeat.dataCentre },
            { "generation", view.heartbeat.configurationVersion }, { "lastHeardMs", age.count() } });
    }
    reply(exchange, 200,
        { { "generation", configuration ? configuration->generation : 0 }, { "nodes", nodes } });
}

} // namespace damask
