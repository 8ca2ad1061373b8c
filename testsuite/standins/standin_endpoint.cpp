/// \file
/// Stand-in for endpoints. Each argument names one VM, which listens on a port of its own, answers requests,
/// runs tasks, executes the platform's control commands and records what it ran.
#include <damaskworks/http.h>
#include <damaskworks/log.h>
#include <damaskworks/loop.h>

#include <csignal>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace damask;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds rebootDuration { 150 };

class Endpoint {
public:
    Endpoint(Loop& loop, std::string id)
        : m_loop(loop)
        , m_id(std::move(id))
        , m_rebootTimer(loop.base(), [this] { finishReboot(); })
    {
        listen();
    }

    std::uint16_t port() const { return m_port; }

private:
    using Exchange = std::shared_ptr<HttpExchange>;

    void listen()
    {
        m_server = std::make_unique<HttpServer>(
            m_loop.base(), HttpLimits {}, [this](auto exchange) { serve(std::move(exchange)); });
        m_port = *m_server->listen({ "127.0.0.1", m_port });
    }

    static void reply(const Exchange& exchange, int status, const json& body)
    {
        exchange->reply({ status, { { "Content-Type", "application/json" } }, body.dump() });
    }

    void serve(const Exchange& exchange)
    {
        const auto& path = exchange->request().path;
        if (path.starts_with("/_control/"))
            return serveControl(exchange, path.substr(10));
        if (m_mode == "refuse" || m_isDraining || m_isRebooting) {
            exchange->reply({ 503, { { "Damask-Outcome", "not-run" } }, "leaving" });
            return;
        }
        if (m_mode == "hang") {
            m_unansweredRequests.push_back(exchange);
            recordRun(exchange);
            return;
        }
        recordRun(exchange);
        if (m_delay.count() == 0)
            return finish(exchange);
        auto timer = std::make_shared<std::unique_ptr<Timer>>();
        *timer = std::make_unique<Timer>(m_loop.base(), [this, exchange, timer] {
            finish(exchange);
            m_finishedTimers.push_back(std::move(*timer));
        });
        (*timer)->startOnce(m_delay);
    }

    void recordRun(const Exchange& exchange)
    {
        ++m_runningRequests;
        const auto& request = exchange->request();
        const auto id = http::header(request.headers, "X-Request-Id");
        m_runs.push_back(
            { { "id", id ? std::string(*id) : "" }, { "method", request.method }, { "path", request.path },
                { "atMs",
                    std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now().time_since_epoch())
                        .count() } });
    }

    void finish(const Exchange& exchange)
    {
        m_finishedTimers.clear();
        --m_runningRequests;
        if (m_mode == "fail")
            return reply(exchange, 500, { { "vm", m_id } });
        const auto& request = exchange->request();
        const auto id = http::header(request.headers, "X-Request-Id");
        reply(exchange, 200,
            { { "vm", m_id }, { "path", request.path }, { "id", id ? std::string(*id) : "" },
                { "bytes", request.body.size() } });
    }

    void serveControl(const Exchange& exchange, const std::string& command)
    {
        const auto body = json::parse(exchange->request().body, nullptr, false);
        if (command == "report")
            return report(exchange);
        if (command == "runs")
            return reply(exchange, 200, { { "runs", m_runs } });
        if (command == "mode") {
            m_mode = body.value("mode", "ok");
            m_delay = std::chrono::milliseconds(body.value("delayMs", 0));
            m_remainingRebootFailures = body.value("failReboots", 0);
        } else if (command == "drain") {
            m_isDraining = true;
        } else if (command == "attach") {
            m_isDraining = false;
        } else if (command == "reboot") {
            beginReboot();
        } else if (command.starts_with("task/")) {
            return commandTask(exchange, command.substr(5), body);
        } else {
            return reply(exchange, 404, json::object());
        }
        reply(exchange, 200, json::object());
    }

    void report(const Exchange& exchange)
    {
        completeDueTasks();
        json tasks = json::array();
        for (const auto& [name, task] : m_tasks)
            tasks.push_back(task);
        const json self = { { "id", m_id }, { "reachable", !m_isRebooting },
            { "healthy", !m_isRebooting && !m_isUnhealthy }, { "draining", m_isDraining },
            { "runningRequests", m_runningRequests }, { "runningTasks", runningTasks() },
            { "incarnation", m_incarnation } };
        reply(exchange, 200, { { "report", self }, { "tasks", tasks } });
    }

    void beginReboot()
    {
        if (m_isRebooting)
            return;
        m_isRebooting = true;
        m_rebootTimer.startOnce(rebootDuration);
    }

    void finishReboot()
    {
        m_isRebooting = false;
        m_isDraining = false;
        // A reboot removes running tasks only: the platform keeps the outcome of ended tasks.
        std::erase_if(m_tasks, [](const auto& entry) { return entry.second["state"] == "running"; });
        m_isUnhealthy = m_remainingRebootFailures > 0;
        m_remainingRebootFailures -= m_remainingRebootFailures > 0;
        ++m_incarnation;
    }

    void commandTask(const Exchange& exchange, const std::string& command, const json& body)
    {
        const std::string name = body.value("task", "");
        auto& epoch = m_leaseEpochs[body.value("job", "")];
        const auto requestEpoch = body.value("leaseEpoch", std::uint64_t { 0 });
        if (requestEpoch < epoch)
            return reply(exchange, 409, json::object());
        epoch = requestEpoch;
        completeDueTasks();
        if (!m_tasks.contains(name))
            addTask(name, command, body);
        auto& task = m_tasks[name];
        if (task["state"] == "running" && command == "stop")
            task["state"] = "stopped";
        if (task["state"] == "running" && command == "checkpoint")
            task["checkpointed"] = true;
        reply(exchange, 200, json::object());
    }

    /// Records a task. A stop that arrives before the start records the task as stopped, so that the late
    /// start does not run it. The job's command sets how long the task runs and how it ends: `finish MS` or
    /// `fail MS`; with any other command the task runs until it is stopped.
    void addTask(const std::string& name, const std::string& command, const json& body)
    {
        const std::string job = body.value("job", "");
        m_tasks[name] = { { "task", name }, { "job", job }, { "vm", m_id },
            { "state", command == "start" ? "running" : "stopped" }, { "cpuUsed", 1.0 },
            { "memoryUsedMb", 100 }, { "checkpointed", false } };
        if (command != "start")
            return;
        m_runs.push_back({ { "id", name }, { "method", "TASK" }, { "path", job } });
        const auto spec = json::parse(body.value("spec", "{}"), nullptr, false);
        std::istringstream commandWords(spec.is_object() ? spec.value("command", "") : "");
        std::string result;
        std::int64_t ms = 0;
        if (commandWords >> result >> ms && (result == "finish" || result == "fail"))
            m_taskEnds[name] = { m_clock.now() + std::chrono::milliseconds(ms), result };
    }

    void completeDueTasks()
    {
        for (auto& [name, end] : m_taskEnds) {
            auto task = m_tasks.find(name);
            if (task == m_tasks.end() || task->second["state"] != "running" || m_clock.now() < end.at)
                continue;
            task->second["state"] = end.result == "finish" ? "succeeded" : "failed";
        }
    }

    int runningTasks() const
    {
        int running = 0;
        for (const auto& [name, task] : m_tasks)
            running += task["state"] == "running";
        return running;
    }

    struct TaskEnd {
        TimePoint at;
        std::string result; ///< `finish` or `fail`
    };

    Loop& m_loop;
    SystemClock m_clock;
    std::string m_id;
    std::uint16_t m_port = 0;
    std::unique_ptr<HttpServer> m_server;
    Timer m_rebootTimer;
    std::string m_mode = "ok";
    std::chrono::milliseconds m_delay { 0 };
    int m_remainingRebootFailures = 0;
    int m_runningRequests = 0;
    bool m_isDraining = false;
    bool m_isRebooting = false;
    bool m_isUnhealthy = false;
    std::uint64_t m_incarnation = 1;
    json m_runs = json::array();
    std::map<std::string, json> m_tasks;
    std::map<std::string, TaskEnd> m_taskEnds;
    std::map<std::string, std::uint64_t> m_leaseEpochs;
    std::vector<Exchange> m_unansweredRequests;
    std::vector<std::unique_ptr<Timer>> m_finishedTimers;
};

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Loop loop;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::string ports;
    for (int i = 1; i < argc; ++i) {
        endpoints.push_back(std::make_unique<Endpoint>(loop, argv[i]));
        ports += (ports.empty() ? "" : ",") + std::to_string(endpoints.back()->port());
    }
    initializeLogging(LogLevel::Info, "endpoints");
    logEvent(LogLevel::Info, "listening", { { "ports", ports } });
    loop.run();
}
