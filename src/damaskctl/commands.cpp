#include "commands_pvt.h"

#include <damaskworks/json_input.h>
#include <damaskworks/names.h>
#include <damaskworks/resource.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace damask::ctl {
namespace {

using nlohmann::json;

struct CommandHelp {
    std::string_view name;
    std::string_view usage;
    std::string_view text;
};

constexpr CommandHelp commandTable[] = {
    { "create", "create KIND NAME [--spec=JSON | --file=PATH]",
        "Creates a resource. Fails with exit code 4 if it already exists." },
    { "get", "get KIND NAME", "Shows one resource." },
    { "list", "list KIND", "Shows all resources of one kind." },
    { "replace", "replace KIND NAME [--spec=JSON | --file=PATH] [--resource_version=N]",
        "Replaces a resource's spec. Without --resource_version the current version is read first." },
    { "delete", "delete KIND NAME [--resource_version=N]", "Deletes a resource." },
    { "move", "move VM POOL", "Requests the move of a VM to another pool; watch the VM to follow it." },
    { "wave", "wave NAME",
        "Shows the progress of a maintenance wave until it ends. Exit code 1 if it is cancelled or fails." },
    { "watch", "watch [KIND] [--since=N] [--limit=N]",
        "Shows changes as they happen; resumes at another server if the connection is lost." },
    { "rollout", "rollout", "Shows the configuration generation that each node has applied." },
    { "status", "status", "Shows the state of each server." },
    { "help", "help [COMMAND]", "Shows this overview, or the help of one command." },
};

/// Exit code for an HTTP status; 0: no response.
ExitCode exitCodeFor(int status)
{
    switch (status) {
    case 200:
    case 201:
        return Ok;
    case 404:
        return NotFound;
    case 409:
        return Conflict;
    case 400:
    case 413:
    case 422:
        return Invalid;
    case 0:
    case 503:
    case 504:
        return Unavailable;
    default:
        return Failure;
    }
}

/// A server's response.
struct Response {
    int status = 0; ///< 0: none
    json body;
};

/// Sends each request to the servers in turn until one responds. A request that may change something goes
/// to the next server only if no byte of it has been sent, so that it is never applied twice.
class Client {
public:
    explicit Client(const Options& options)
        : m_options(options)
        , m_client(m_loop.base(), HttpLimits { .maxBodyBytes = 64 << 20 })
    {
    }

    Response call(const std::string& method, const std::string& path, const std::string& query = "",
        const json& body = nullptr)
    {
        Response response;
        response.body = { { "error", "no server can be reached" } };
        for (const auto& server : m_options.servers) {
            std::optional<HttpResult> result;
            m_client.send(server, { method, path, query, {}, body.is_null() ? "" : body.dump() },
                m_options.timeout, [&](HttpResult received) { result = std::move(received); });
            m_loop.runUntil([&] { return result.has_value(); }, m_options.timeout * 2);
            if (result && *result)
                return { (*result)->status, parseJson((*result)->body) };
            const bool mayHaveRun = !result || result->error().mayHaveBeenSent;
            if (mayHaveRun && method != "GET") {
                response.body = { { "error", "no response: the change may or may not have taken effect" } };
                return response;
            }
        }
        return response;
    }

    Loop& loop() { return m_loop; }

private:
    const Options& m_options;
    Loop m_loop;
    HttpClient m_client;
};

std::string unexpectedResponse(const json::exception& error)
{
    return std::string("the server sent an unexpected response: ") + error.what();
}

/// Prints the error in \p response; returns the exit code.
int reportFailure(const Response& response)
{
    std::cerr << "error (status " << response.status
              << "): " << (response.body.is_object() ? response.body.value("error", "") : "") << "\n";
    if (!response.body.is_object())
        return exitCodeFor(response.status);
    for (const auto& field : response.body.value("fields", json::array()))
        std::cerr << "  " << field.value("field", "") << ": value " << field.value("value", "")
                  << "; allowed: " << field.value("allowed", "") << "\n";
    if (response.body.contains("presentVersion"))
        std::cerr << "  current resourceVersion: " << response.body.at("presentVersion") << "\n";
    return exitCodeFor(response.status);
}

/// Prints \p problem and the help of \p command; returns the exit code.
int reportUsageError(const std::string& command, const std::string& problem)
{
    std::cerr << problem << "\n" << help(command);
    return Usage;
}

void printResource(const json& item, const Options& options)
{
    if (options.printsJson)
        std::cout << item.dump(2) << "\n";
    else
        std::cout << resourceTable(json::array({ item }));
}

/// Reads the spec from the file or the flag; nothing if the file can't be opened, a discarded value if the
/// text is not JSON.
std::optional<json> readSpec(const Options& options)
{
    if (options.file.empty())
        return parseJson(options.spec.empty() ? "{}" : options.spec);
    std::stringstream text;
    if (options.file == "-") {
        text << std::cin.rdbuf();
    } else {
        std::ifstream file(options.file);
        if (!file)
            return std::nullopt;
        text << file.rdbuf();
    }
    return parseJson(text.str());
}

std::string pathFor(Kind kind, const std::string& name = "")
{
    const auto collection = "/v1/" + std::string(nameOf(kindPlurals, kind));
    return name.empty() ? collection : collection + "/" + http::percentEncode(name);
}

/// Accepts the singular and the plural name of a kind.
std::optional<Kind> parseKind(const std::string& word)
{
    const auto plural = valueOf(kindPlurals, word);
    return plural ? plural : valueOf(kindNames, word);
}

int create(Client& client, Kind kind, const std::string& name, const Options& options)
{
    const auto spec = readSpec(options);
    if (!spec || !spec->is_object())
        return reportUsageError("create", "the spec is not a JSON object");
    const auto response = client.call("POST", pathFor(kind), "", { { "name", name }, { "spec", *spec } });
    if (response.status != 201)
        return reportFailure(response);
    printResource(response.body, options);
    return Ok;
}

int get(Client& client, Kind kind, const std::string& name, const Options& options)
{
    const auto response = client.call("GET", pathFor(kind, name));
    if (response.status != 200)
        return reportFailure(response);
    printResource(response.body, options);
    return Ok;
}

int list(Client& client, Kind kind, const Options& options)
{
    const auto response = client.call("GET", pathFor(kind));
    if (response.status != 200)
        return reportFailure(response);
    std::cout << (options.printsJson ? response.body.dump(2) + "\n"
                                     : resourceTable(response.body.at("items")));
    return Ok;
}

/// The resource version to replace or delete: the one given, or the current one. If that can't be read, the
/// server's response.
tl::expected<std::uint64_t, Response> versionToChange(
    Client& client, Kind kind, const std::string& name, const Options& options)
{
    if (options.resourceVersion)
        return options.resourceVersion;
    auto current = client.call("GET", pathFor(kind, name));
    if (current.status != 200)
        return tl::make_unexpected(current);
    return current.body.at("resourceVersion").get<std::uint64_t>();
}

int replace(Client& client, Kind kind, const std::string& name, const Options& options)
{
    const auto spec = readSpec(options);
    if (!spec || !spec->is_object())
        return reportUsageError("replace", "the spec is not a JSON object");
    const auto version = versionToChange(client, kind, name, options);
    if (!version)
        return reportFailure(version.error());
    const auto response
        = client.call("PUT", pathFor(kind, name), "", { { "resourceVersion", *version }, { "spec", *spec } });
    if (response.status != 200)
        return reportFailure(response);
    printResource(response.body, options);
    return Ok;
}

int remove(Client& client, Kind kind, const std::string& name, const Options& options)
{
    const auto version = versionToChange(client, kind, name, options);
    if (!version)
        return reportFailure(version.error());
    const auto response
        = client.call("DELETE", pathFor(kind, name), "resourceVersion=" + std::to_string(*version));
    if (response.status != 200)
        return reportFailure(response);
    std::cout << "deleted " << nameOf(kindNames, kind) << " " << name << "\n";
    return Ok;
}

int move(Client& client, const std::string& vm, const std::string& pool, const Options& options)
{
    const auto response = client.call("POST", pathFor(Kind::Vm, vm) + "/move", "", { { "pool", pool } });
    if (response.status != 202)
        return reportFailure(response);
    printResource(response.body, options);
    return Ok;
}

/// One line with a progress bar, the counts, the phase and the conditions of a wave.
std::string progressLine(const json& wave)
{
    constexpr int width = 30;
    const auto& status = wave.at("status");
    const auto total = status.value("total", std::uint64_t { 0 });
    const auto done = status.value("done", std::uint64_t { 0 });
    const double doneShare = total > 0 ? static_cast<double>(done) / static_cast<double>(total) : 0;
    const int filled = static_cast<int>(width * std::min(doneShare, 1.0));
    const std::string bar = std::string(static_cast<std::size_t>(filled), '#')
        + std::string(static_cast<std::size_t>(width - filled), '.');
    std::string line = "[" + bar + "] " + std::to_string(done) + "/" + std::to_string(total);
    line += " failed=" + std::to_string(status.value("failed", std::uint64_t { 0 }));
    line += " phase=" + status.value("phase", "waiting");
    for (const auto& condition : status.value("conditions", json::array()))
        line += " (" + (condition.is_string() ? condition.get<std::string>() : condition.dump()) + ")";
    return line;
}

bool hasEnded(const json& wave)
{
    const auto phase = wave.at("status").value("phase", "");
    return phase == "finished" || phase == "cancelled" || phase == "failed";
}

int wave(Client& client, const std::string& name, const Options& options)
{
    constexpr std::chrono::milliseconds refreshPeriod { 200 };
    std::string lastLine;
    for (;;) {
        const auto response = client.call("GET", pathFor(Kind::Wave, name));
        if (response.status != 200)
            return reportFailure(response);
        const auto line = options.printsJson ? response.body.dump() : progressLine(response.body);
        if (line != lastLine)
            std::cout << line << std::endl;
        lastLine = line;
        if (hasEnded(response.body))
            return response.body.at("status").at("phase") == "finished" ? Ok : Failure;
        client.loop().runUntil([] { return false; }, refreshPeriod);
    }
}

int rollout(Client& client, const Options& options)
{
    const auto response = client.call("GET", "/v1/configurations/current/rollout");
    if (response.status != 200)
        return reportFailure(response);
    if (options.printsJson) {
        std::cout << response.body.dump(2) << "\n";
        return Ok;
    }
    std::vector<std::vector<std::string>> rows { { "NODE", "DATA CENTRE", "GENERATION", "HEARD MS AGO" } };
    for (const auto& node : response.body.at("nodes"))
        rows.push_back({ node.at("node"), node.at("dataCentre"), node.at("generation").dump(),
            node.at("lastHeardMs").dump() });
    std::cout << "configuration generation " << response.body.at("generation") << "\n" << formatTable(rows);
    return Ok;
}

int status(const Options& options)
{
    std::vector<std::vector<std::string>> rows { { "SERVER", "NODE", "DATA CENTRE", "READY", "GENERATION",
        "TABLE AGE MS" } };
    int code = Ok;
    for (const auto& server : options.servers) {
        Options serverOptions = options;
        serverOptions.servers = { server };
        Client client(serverOptions);
        const auto response = client.call("GET", "/v1/status");
        if (response.status != 200) {
            rows.push_back({ http::toString(server), "unreachable" });
            code = Unavailable;
            continue;
        }
        const auto& body = response.body;
        rows.push_back({ http::toString(server), body.at("node"), body.at("dataCentre"),
            body.at("ready") == true ? "yes" : "no: " + body.at("reason").get<std::string>(),
            body.at("configurationGeneration").dump(), body.at("tableAgeMs").dump() });
    }
    std::cout << formatTable(rows);
    return code;
}

/// Prints changes until the limit is reached. After a connection is lost, the watch resumes at the next
/// server from the last version received.
class Watcher {
public:
    Watcher(std::string path, const Options& options)
        : m_path(std::move(path))
        , m_options(options)
        , m_since(options.since)
        , m_reconnectTimer(m_loop.base(), [this] { connect(); })
    {
    }

    int run()
    {
        connect();
        m_loop.run();
        return m_exitCode;
    }

private:
    static constexpr std::chrono::milliseconds reconnectDelay { 200 };
    static constexpr int maxConsecutiveFailures = 50;

    void connect()
    {
        const auto& server = m_options.servers[m_nextServer++ % m_options.servers.size()];
        std::string target = m_path;
        if (m_since)
            target
                += (target.find('?') == std::string::npos ? "?since=" : "&since=") + std::to_string(m_since);
        m_stream = std::make_unique<HttpLineStream>(
            m_loop.base(), server, target, [this](auto line) { onLine(line); },
            [this](int code) { onStreamEnded(code); });
    }

    /// The event loop is in C, so that no exception may leave this function.
    void onLine(std::string_view line)
    {
        try {
            onEvent(line);
        } catch (const json::exception& error) {
            std::cerr << unexpectedResponse(error) << "\n";
        }
    }

    void onEvent(std::string_view line)
    {
        const auto event = parseJson(line);
        if (!event.is_object())
            return;
        m_consecutiveFailures = 0;
        if (event.value("type", "") == "error" && event.value("error", "") == "history_gone") {
            std::cerr << "the change history since version " << m_since
                      << " is no longer available: list the resources and watch again\n";
            m_exitCode = Failure;
            m_loop.stop();
            return;
        }
        if (event.contains("version"))
            m_since = std::max(m_since, event.at("version").get<std::uint64_t>());
        if (!event.contains("kind") || m_hasReachedLimit)
            return;
        print(event);
        if (m_options.limit && ++m_printedCount >= m_options.limit) {
            m_hasReachedLimit = true;
            m_loop.stop();
        }
    }

    void print(const json& event) const
    {
        if (m_options.printsJson) {
            std::cout << event.dump() << std::endl;
            return;
        }
        const auto part = event.value("part", "");
        std::cout << event.at("version") << " " << event.value("type", "") << " " << event.value("kind", "")
                  << "/" << event.value("name", "") << " " << part << " "
                  << (event.contains(part) ? event.at(part).dump() : "") << std::endl;
    }

    void onStreamEnded(int code)
    {
        if (m_hasReachedLimit)
            return;
        if (code >= 400 && code < 500) {
            m_exitCode = exitCodeFor(code);
            m_loop.stop();
            return;
        }
        if (++m_consecutiveFailures > maxConsecutiveFailures) {
            std::cerr << "no server can be reached\n";
            m_exitCode = Unavailable;
            m_loop.stop();
            return;
        }
        m_reconnectTimer.startOnce(reconnectDelay);
    }

    std::string m_path;
    const Options& m_options;
    std::uint64_t m_since;
    Loop m_loop;
    Timer m_reconnectTimer;
    std::unique_ptr<HttpLineStream> m_stream;
    std::size_t m_nextServer = 0;
    int m_consecutiveFailures = 0;
    int m_printedCount = 0;
    int m_exitCode = Ok;
    bool m_hasReachedLimit = false;
};

int watch(const std::vector<std::string>& commandLine, const Options& options)
{
    if (commandLine.size() < 2)
        return Watcher("/v1/watch", options).run();
    const auto kind = parseKind(commandLine[1]);
    if (!kind)
        return reportUsageError(
            "watch", "unknown kind '" + commandLine[1] + "'; allowed: " + allNames(kindNames));
    return Watcher(pathFor(*kind) + "?watch=1", options).run();
}

} // namespace

std::string help(const std::string& command)
{
    for (const auto& entry : commandTable) {
        if (entry.name == command)
            return "Usage: damaskctl " + std::string(entry.usage) + "\n  " + std::string(entry.text) + "\n";
    }
    std::string out = "damaskctl: the operators' command line of damaskworks.\n\nCommands:\n";
    for (const auto& entry : commandTable)
        out += "  " + std::string(entry.usage) + "\n      " + std::string(entry.text) + "\n";
    out += "\nKinds: " + allNames(kindNames) + "\n";
    out += "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 not found, 4 conflict, 5 invalid, 6 unavailable\n";
    out += "Settings: damaskctl --help\n";
    return out;
}

namespace {

int runCommand(const std::vector<std::string>& commandLine, const Options& options)
{
    if (commandLine.empty())
        return reportUsageError("", "a command is required");
    const auto& command = commandLine[0];
    if (command == "help") {
        std::cout << help(commandLine.size() > 1 ? commandLine[1] : "");
        return Ok;
    }
    if (options.servers.empty())
        return reportUsageError("", "no server is set: --server=IP:PORT[,IP:PORT...]");
    if (command == "watch")
        return watch(commandLine, options);
    if (command == "status")
        return status(options);
    Client client(options);
    if (command == "rollout")
        return rollout(client, options);
    if (command == "move" && commandLine.size() == 3)
        return move(client, commandLine[1], commandLine[2], options);
    if (command == "wave" && commandLine.size() == 2)
        return wave(client, commandLine[1], options);
    const bool needsName
        = command == "create" || command == "get" || command == "replace" || command == "delete";
    if (command == "move" || command == "wave")
        return reportUsageError(command, "wrong number of arguments");
    if (!needsName && command != "list")
        return reportUsageError("", "unknown command '" + command + "'");
    if (commandLine.size() != (needsName ? 3u : 2u))
        return reportUsageError(command, needsName ? "a kind and a name are required" : "a kind is required");
    const auto kind = parseKind(commandLine[1]);
    if (!kind)
        return reportUsageError(
            command, "unknown kind '" + commandLine[1] + "'; allowed: " + allNames(kindNames));
    if (command == "list")
        return list(client, *kind, options);
    if (command == "create")
        return create(client, *kind, commandLine[2], options);
    if (command == "get")
        return get(client, *kind, commandLine[2], options);
    if (command == "replace")
        return replace(client, *kind, commandLine[2], options);
    return remove(client, *kind, commandLine[2], options);
}

} // namespace

int run(const std::vector<std::string>& commandLine, const Options& options)
{
    try {
        return runCommand(commandLine, options);
    } catch (const json::exception& error) {
        std::cerr << unexpectedResponse(error) << "\n";
        return Failure;
    }
}

} // namespace damask::ctl
