/// \file
/// Stand-in for the platform: table, object store, VM list, VM control and task control. Tests inject faults
/// through `/admin`.
#include "table_model.h"

#include <damaskworks/log.h>
#include <damaskworks/loop.h>

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

using namespace damask;
using nlohmann::json;

namespace {

enum class TableFault { None, Down, LoseAnswers, Slow };
constexpr NameTable<TableFault, 4> tableFaultNames { {
    { TableFault::None, "ok" },
    { TableFault::Down, "down" },
    { TableFault::LoseAnswers, "lose_answers" },
    { TableFault::Slow, "slow" },
} };

constexpr std::chrono::milliseconds reportPeriod { 50 };
constexpr std::chrono::milliseconds controlTimeout { 1000 };

class PlatformStandin {
public:
    PlatformStandin(Loop& loop, std::chrono::milliseconds vmListDelay)
        : m_loop(loop)
        , m_vmListDelay(vmListDelay)
        , m_client(loop.base(), {})
        , m_server(loop.base(), HttpLimits { .maxBodyBytes = 64 << 20 },
              [this](auto exchange) { serve(std::move(exchange)); })
        , m_reportTimer(loop.base(), [this] { collectReports(); })
    {
        m_reportTimer.startPeriodic(reportPeriod);
    }

    std::uint16_t listen() { return *m_server.listen({ "127.0.0.1", 0 }); }

private:
    using Exchange = std::shared_ptr<HttpExchange>;

    struct ListSnapshot {
        TimePoint publishedAt;
        json items;
    };

    static void reply(const Exchange& exchange, int status, const json& body)
    {
        exchange->reply({ status, { { "Content-Type", "application/json" } }, body.dump() });
    }

    static void replyError(const Exchange& exchange, const PlatformError& error)
    {
        switch (error.failure) {
        case PlatformFailure::Conflict:
            return reply(exchange, 409, { { "key", error.key }, { "version", error.presentVersion } });
        case PlatformFailure::NotFound:
            return reply(exchange, 404, json::object());
        case PlatformFailure::HistoryTruncated:
            return reply(exchange, 410, json::object());
        default:
            return reply(exchange, 503, json::object());
        }
    }

    static json toJson(const Row& row)
    {
        return { { "key", row.key }, { "version", row.version }, { "value", row.value },
            { "deleted", row.deleted } };
    }

    static json toJson(const Changes& changes)
    {
        json rows = json::array();
        for (const auto& row : changes.rows)
            rows.push_back(toJson(row));
        return { { "version", changes.version }, { "rows", rows } };
    }

    void serve(const Exchange& exchange)
    {
        const auto& request = exchange->request();
        if (request.path.starts_with("/admin/"))
            return serveAdmin(exchange);
        const std::string client(http::header(request.headers, "User-Agent").value_or(""));
        ++m_requests[client];
        if (m_cutClients.contains(client))
            return m_unansweredRequests.push_back(exchange);
        if (request.path.starts_with("/table/") || request.path.starts_with("/objects/"))
            return serveStore(exchange);
        if (request.path == "/vms")
            return reply(exchange, 200, { { "items", listedVms() } });
        if (request.path == "/reports/vms")
            return reply(exchange, 200, { { "items", reports("report") } });
        if (request.path == "/reports/tasks")
            return reply(exchange, 200, { { "items", taskReports() } });
        if (request.path.starts_with("/vms/"))
            return commandVm(exchange, request.path.substr(5));
        if (request.path.starts_with("/tasks/"))
            return commandTask(exchange, request.path.substr(7));
        if (request.path.starts_with("/balancer/")) {
            m_announcements[request.path.substr(10)] = json::parse(request.body).value("accepting", true);
            return reply(exchange, 200, json::object());
        }
        reply(exchange, 404, json::object());
    }

    void serveStore(const Exchange& exchange)
    {
        if (m_tableFault == TableFault::Down)
            return reply(exchange, 503, json::object());
        if (m_tableFault != TableFault::Slow)
            return replyFromStore(exchange);
        auto timer = std::make_shared<std::unique_ptr<Timer>>();
        *timer = std::make_unique<Timer>(m_loop.base(), [this, exchange, timer] {
            replyFromStore(exchange);
            m_finishedTimers.push_back(std::move(*timer));
        });
        (*timer)->startOnce(m_storeDelay);
    }

    void replyFromStore(const Exchange& exchange)
    {
        m_finishedTimers.clear();
        const auto& request = exchange->request();
        if (request.path == "/table/commit")
            return commit(exchange);
        ++m_reads;
        if (request.path == "/table/row") {
            auto row = m_table.row(http::queryValue(request.query, "key").value_or(""));
            return row ? reply(exchange, 200, toJson(*row)) : replyError(exchange, row.error());
        }
        if (request.path == "/table/rows")
            return reply(
                exchange, 200, toJson(m_table.rows(http::queryValue(request.query, "prefix").value_or(""))));
        if (request.path == "/table/changes") {
            const auto since = std::stoull(http::queryValue(request.query, "since").value_or("0"));
            auto changes = m_table.changes(http::queryValue(request.query, "prefix").value_or(""), since);
            return changes ? reply(exchange, 200, toJson(*changes)) : replyError(exchange, changes.error());
        }
        if (!request.path.starts_with("/objects/"))
            return reply(exchange, 404, json::object());
        if (request.method == "PUT") {
            m_objects[request.path] = json::parse(request.body).value("value", "");
            return reply(exchange, 200, json::object());
        }
        auto found = m_objects.find(request.path);
        if (found == m_objects.end())
            return reply(exchange, 404, json::object());
        reply(exchange, 200, { { "value", found->second } });
    }

    void commit(const Exchange& exchange)
    {
        ++m_writes;
        const auto body = json::parse(exchange->request().body, nullptr, false);
        if (!body.is_object())
            return reply(exchange, 400, json::object());
        Transaction transaction;
        for (const auto& condition : body.value("conditions", json::array()))
            transaction.conditions.push_back(
                { condition.value("key", ""), condition.value("version", TableVersion { 0 }) });
        for (const auto& write : body.value("writes", json::array())) {
            const auto& value = write.at("value");
            transaction.writes.push_back({ write.value("key", ""),
                value.is_null() ? std::nullopt : std::optional(value.get<std::string>()) });
        }
        const auto version = m_table.commit(transaction);
        if (m_tableFault == TableFault::LoseAnswers || m_answersToLose > 0) {
            m_answersToLose -= m_answersToLose > 0;
            m_unansweredRequests.push_back(exchange);
            return;
        }
        if (version)
            return reply(exchange, 200, { { "version", *version } });
        replyError(exchange, version.error());
    }

    json listedVms()
    {
        const auto newestVisible = m_clock.now() - m_vmListDelay;
        json items = json::array();
        for (const auto& snapshot : m_vmLists) {
            if (snapshot.publishedAt <= newestVisible)
                items = snapshot.items;
        }
        return items;
    }

    json reports(std::string_view member) const
    {
        json items = json::array();
        for (const auto& [vm, report] : m_vmReports) {
            if (report.contains(member))
                items.push_back(report[std::string(member)]);
        }
        return items;
    }

    json taskReports() const
    {
        json items = json::array();
        for (const auto& [vm, report] : m_vmReports) {
            for (const auto& task : report.value("tasks", json::array()))
                items.push_back(task);
        }
        return items;
    }

    const json* findVm(const std::string& id) const
    {
        if (m_vmLists.empty())
            return nullptr;
        for (const auto& vm : m_vmLists.back().items) {
            if (vm.value("id", "") == id)
                return &vm;
        }
        return nullptr;
    }

    void sendControl(
        const std::string& vm, const std::string& path, const std::string& body, HttpCallback callback)
    {
        const auto* found = findVm(vm);
        const auto address = found ? http::parseAddress(found->value("address", "")) : std::nullopt;
        if (!address) {
            callback(HttpResponse { 404, {}, "{}" });
            return;
        }
        m_client.send(
            *address, { "POST", "/_control/" + path, "", {}, body }, controlTimeout, std::move(callback));
    }

    static HttpCallback forwardStatus(const Exchange& exchange)
    {
        return
            [exchange](HttpResult result) { reply(exchange, result ? result->status : 503, json::object()); };
    }

    void commandVm(const Exchange& exchange, const std::string& rest)
    {
        const auto slash = rest.find('/');
        if (slash == std::string::npos)
            return reply(exchange, 404, json::object());
        m_commands.push_back({ { "vm", rest.substr(0, slash) }, { "command", rest.substr(slash + 1) } });
        sendControl(rest.substr(0, slash), rest.substr(slash + 1), "{}", forwardStatus(exchange));
    }

    void commandTask(const Exchange& exchange, const std::string& command)
    {
        const auto body = json::parse(exchange->request().body, nullptr, false);
        sendControl(
            body.value("vm", ""), "task/" + command, exchange->request().body, forwardStatus(exchange));
    }

    void collectReports()
    {
        if (m_vmLists.empty())
            return;
        for (const auto& vm : m_vmLists.back().items) {
            if (vm.value("role", "") != "worker")
                continue;
            const std::string id = vm.value("id", "");
            // Control benchmarks list VMs without a process (`static`); these are reported as healthy.
            if (vm.value("static", false)) {
                m_vmReports[id] = { { "report",
                    { { "id", id }, { "reachable", true }, { "healthy", true }, { "incarnation", 1 } } } };
                continue;
            }
            if (!m_pendingReports.insert(id).second)
                continue;
            sendControl(id, "report", "{}", [this, id](HttpResult result) {
                m_pendingReports.erase(id);
                auto body
                    = result && result->status == 200 ? json::parse(result->body, nullptr, false) : json();
                if (body.is_object())
                    m_vmReports[id] = body;
                else
                    m_vmReports[id]
                        = { { "report", { { "id", id }, { "reachable", false }, { "healthy", false } } } };
            });
        }
    }

    void serveAdmin(const Exchange& exchange)
    {
        const auto& request = exchange->request();
        const auto body = request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
        if (request.path == "/admin/vms") {
            m_vmLists.push_back({ m_clock.now(), body.at("items") });
            return reply(exchange, 200, json::object());
        }
        if (request.path == "/admin/faults") {
            m_tableFault = valueOf(tableFaultNames, body.value("table", "ok")).value_or(TableFault::None);
            m_storeDelay = std::chrono::milliseconds(body.value("slowMs", 0));
            m_answersToLose = body.value("loseNext", 0);
            m_cutClients.clear();
            for (const auto& client : body.value("cut", json::array()))
                m_cutClients.insert(client.get<std::string>());
            return reply(exchange, 200, json::object());
        }
        if (request.path == "/admin/counts")
            return reply(
                exchange, 200, { { "reads", m_reads }, { "writes", m_writes }, { "requests", m_requests } });
        if (request.path == "/admin/history") {
            json rows = json::array();
            for (const auto& row : m_table.history())
                rows.push_back(toJson(row));
            return reply(exchange, 200,
                { { "reads", m_reads }, { "writes", m_writes }, { "rows", rows },
                    { "announcements", m_announcements }, { "commands", m_commands },
                    { "requests", m_requests } });
        }
        reply(exchange, 404, json::object());
    }

    Loop& m_loop;
    SystemClock m_clock;
    std::chrono::milliseconds m_vmListDelay;
    HttpClient m_client;
    HttpServer m_server;
    Timer m_reportTimer;
    standin::TableModel m_table;
    std::map<std::string, std::string> m_objects;
    std::vector<ListSnapshot> m_vmLists;
    std::map<std::string, json> m_vmReports;
    std::set<std::string> m_pendingReports;
    std::map<std::string, bool> m_announcements;
    json m_commands = json::array();
    std::map<std::string, std::uint64_t> m_requests;
    std::vector<Exchange> m_unansweredRequests;
    std::vector<std::unique_ptr<Timer>> m_finishedTimers;
    std::set<std::string> m_cutClients;
    TableFault m_tableFault = TableFault::None;
    std::chrono::milliseconds m_storeDelay { 0 };
    int m_answersToLose = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::chrono::milliseconds vmListDelay(argc > 1 ? std::stoi(argv[1]) : 200);
    Loop loop;
    PlatformStandin standin(loop, vmListDelay);
    initializeLogging(LogLevel::Info, "platform");
    logEvent(LogLevel::Info, "listening", { { "port", std::to_string(standin.listen()) } });
    loop.run();
}
