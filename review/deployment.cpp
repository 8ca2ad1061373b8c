#include "deployment.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <unistd.h>

namespace damask::review {
namespace {

using fleet::standin::QueueSpec;
using nlohmann::json;

constexpr milliseconds clientDeadline { 3000 };
constexpr milliseconds retryDelay { 500 };
constexpr int maxAttempts = 5;
constexpr milliseconds probeInterval { 1000 };
/// The balancer takes a process out of rotation after as many misses.
constexpr int maxMissedProbes = 2;
constexpr std::uint16_t callerPort = 8624;
constexpr std::uint16_t readinessPort = 8622;

HttpRequest makeRequest(
    const QueueSpec& queue, const std::string& method, const std::string& id, std::string body = "")
{
    return { method, "/" + queue.name + "/" + id, "",
        { { "Host", queue.name + ".test" }, { "Content-Type", "application/json" },
            { "Damaskworks-Deadline-Ms", std::to_string(clientDeadline.count()) } },
        std::move(body) };
}

constexpr std::size_t maxProcesses = 64;
/// Ids of the running processes; 0: none.
std::array<pid_t, maxProcesses> runningProcesses {};

void onEndSignal(int)
{
    for (const auto process : runningProcesses) {
        if (process > 0)
            kill(process, SIGKILL);
    }
    _exit(static_cast<int>(Verdict::CouldNotRun));
}

/// An address in 127/8 derived from the process id, so that cases beside each other do not share ports.
std::string nodeIp(int number)
{
    return "127." + std::to_string(64 + (getpid() >> 8) % 128) + "." + std::to_string(getpid() % 256) + "."
        + std::to_string(number + 1);
}

} // namespace

Deployment::Deployment(const std::string& recordPath, int nodeCount)
    : m_record(recordPath)
    , m_folder(std::filesystem::temp_directory_path() / ("damask_review_" + std::to_string(getpid())))
    , m_probeTimer(loop.base(), [this] { probe(); })
{
    std::filesystem::create_directories(m_folder);
    platform.setMaxLease(milliseconds(6000)); // hold_max_ms of the site
    platform.table().faults.delay = milliseconds(6); // txn_ms
    for (int i = 0; i < nodeCount; ++i) {
        Node node;
        node.relay = std::make_unique<SilentRelay>(loop.base(), table.address());
        const auto ip = nodeIp(i);
        node.addresses = { "front-" + std::to_string(i + 1), ip, { ip, callerPort }, { ip, readinessPort },
            node.relay->address() };
        nodes.push_back(std::move(node));
    }
}

Deployment::~Deployment()
{
    for (auto& node : nodes)
        endNode(node);
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

bool Deployment::startNodes(milliseconds limit)
{
    for (auto& node : nodes)
        startNode(node);
    m_probeTimer.startPeriodic(probeInterval);
    return runUntil(
        [&] {
            return std::all_of(nodes.begin(), nodes.end(), [](const Node& node) { return node.isReady; });
        },
        limit);
}

void Deployment::startNode(Node& node)
{
    const auto settings = (m_folder / (node.addresses.node + ".toml")).string();
    platform.writeSettings(node.addresses, settings);
    setenv("DAMASKWORKS_CONFIG", settings.c_str(), 1);
    const char* logFolder = std::getenv("REVIEW_LOGS");
    const auto log
        = (logFolder ? std::filesystem::path(logFolder) : m_folder) / (node.addresses.node + ".log");
    node.process = std::make_unique<harness::Process>(
        std::vector<std::string> { harness::binary("damaskd"), "fleet", "--metrics_port=9464" },
        log.string());
    const auto slot = std::find(std::begin(runningProcesses), std::end(runningProcesses), 0);
    if (slot != std::end(runningProcesses))
        *slot = node.process->pid();
}

void Deployment::endNode(Node& node)
{
    if (!node.process)
        return;
    std::replace(std::begin(runningProcesses), std::end(runningProcesses), node.process->pid(), 0);
    node.process.reset();
    node.isReady = false;
}

double Deployment::secondsSinceStart() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_startedAt).count();
}

void Deployment::record(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", secondsSinceStart());
    m_record << time << line << std::endl;
}

void Deployment::run(milliseconds time)
{
    loop.runUntil([] { return false; }, time);
}

bool Deployment::runUntil(const std::function<bool()>& done, milliseconds limit)
{
    return loop.runUntil(done, limit);
}

void Deployment::probe()
{
    for (auto& node : nodes) {
        if (!node.process)
            continue;
        const auto name = node.addresses.node;
        m_client.send(
            node.addresses.readiness, { "GET", "/ready" }, probeInterval, [this, name](auto result) {
                const auto found = std::find_if(nodes.begin(), nodes.end(),
                    [&](const Node& node) { return node.addresses.node == name && node.process; });
                if (found == nodes.end())
                    return;
                auto& missed = m_missedProbes[name];
                missed = result && result->status == 200 ? 0 : missed + 1;
                const bool isReady = missed == 0 || (found->isReady && missed < maxMissedProbes);
                if (isReady != found->isReady)
                    record("balancer: " + name + (isReady ? " in rotation" : " out of rotation"));
                found->isReady = isReady;
            });
    }
}

std::vector<Node*> Deployment::rotation()
{
    std::vector<Node*> out;
    for (auto& node : nodes) {
        if (node.process && node.isReady)
            out.push_back(&node);
    }
    if (!out.empty())
        return out;
    for (auto& node : nodes) {
        if (node.process)
            out.push_back(&node);
    }
    return out;
}

void Deployment::submit(const QueueSpec& queue, const std::string& id, const std::string& body)
{
    m_jobs[id].queue = queue;
    submitOnce(queue, id, body, 1);
}

void Deployment::submitOnce(
    const QueueSpec& queue, const std::string& id, const std::string& body, int attempt)
{
    const auto targets = rotation();
    if (targets.empty())
        return;
    const auto& target = targets[m_nextNode++ % targets.size()]->addresses;
    record("client: POST " + id + " to " + target.node + ", attempt " + std::to_string(attempt));
    m_client.send(target.callers, makeRequest(queue, "POST", id, body), clientDeadline,
        [this, queue, id, body, attempt](const HttpResult& result) {
            const int status = result ? result->status : 0;
            record("client: POST " + id + " answered " + std::to_string(status));
            auto& job = m_jobs[id];
            if (status == 200 && !job.isAccepted) {
                job.isAccepted = true;
                job.acceptedAt = std::chrono::steady_clock::now();
            }
            const bool mayRetry = status == 0 || status == 429 || status >= 502;
            if (mayRetry && attempt < maxAttempts)
                m_calls.add(retryDelay,
                    [this, queue, id, body, attempt] { submitOnce(queue, id, body, attempt + 1); });
        });
}

void Deployment::submitAt(
    const Node& node, const QueueSpec& queue, const std::string& id, const std::string& body)
{
    m_jobs[id].queue = queue;
    m_client.send(node.addresses.callers, makeRequest(queue, "POST", id, body), clientDeadline,
        [this, id](const HttpResult& result) {
            if (result && result->status == 200)
                m_jobs[id].isAccepted = true;
        });
}

void Deployment::requestState(const std::string& id)
{
    auto& job = m_jobs[id];
    const auto targets = rotation();
    if (job.isCallOpen || targets.empty())
        return;
    job.isCallOpen = true;
    const auto& target = targets[m_nextNode++ % targets.size()]->addresses;
    m_client.send(target.callers, makeRequest(job.queue, "GET", id), clientDeadline,
        [this, id, node = target.node](const HttpResult& result) {
            auto& job = m_jobs[id];
            job.isCallOpen = false;
            const auto answer = !result ? std::string("no answer")
                : result->status == 200 ? fleet::standin::decodeState(*result)
                                        : std::to_string(result->status);
            if (answer != job.state)
                record("client: GET " + id + " answered by " + node + ": " + answer);
            job.state = answer;
        });
}

int Deployment::countLostJobs(milliseconds idleTime)
{
    for (const auto& entry : m_jobs) {
        if (entry.second.isAccepted)
            requestState(entry.first);
    }
    run(idleTime);
    const auto now = std::chrono::steady_clock::now();
    std::set<std::string> runningJobs; // within the idle time
    for (const auto& [task, runs] : m_tasks) {
        if (runs.running > 0 || now - runs.lastEndAt < idleTime)
            runningJobs.insert(task.job);
    }
    int lost = 0;
    for (const auto& [id, job] : m_jobs) {
        if (!job.isAccepted || job.state == "completed" || runningJobs.contains(id))
            continue;
        ++lost;
        record("LOST: " + job.queue.name + " job " + id + " was accepted, is " + job.state
            + " and has had nothing running for 3 s, while all minions are up and idle");
    }
    return lost;
}

std::string Deployment::holderOf(const std::string& pool)
{
    const auto row = platform.table().find("control", "pool/" + pool, "lease");
    return row ? json::parse(*row).value("node", "") : "";
}

void Deployment::started(const std::string& vm, const std::string&, const fleet::TaskId& task,
    std::uint32_t run, const std::string&)
{
    auto& runs = m_tasks[task];
    ++runs.starts;
    ++runs.running;
    record("minion " + vm + ": start " + toString(task) + " run " + std::to_string(run));
}

void Deployment::ended(
    const std::string& vm, const fleet::TaskId& task, std::uint32_t run, const std::string& reason)
{
    auto& runs = m_tasks[task];
    --runs.running;
    runs.done += reason == "done";
    runs.lastEndAt = std::chrono::steady_clock::now();
    record("minion " + vm + ": end " + toString(task) + " run " + std::to_string(run) + " "
        + (reason.empty() ? "with its minion" : reason));
}

void Deployment::crashed(const std::string& vm, const fleet::TaskId&) { record("minion " + vm + ": crash"); }

void Deployment::reportViolation(const std::string& description) { record("stand-in: " + description); }

std::string jobBody(
    const fleet::standin::TaskBehaviour& behaviour, int count, milliseconds estimate, const json& further)
{
    json step { { "count", count }, { "cpu", behaviour.cpu }, { "mem_mb", 1 },
        { "estimate_ms", estimate.count() } };
    if (behaviour.isLongRunning)
        step["long_running"] = true;
    json body { { "spec", fleet::standin::encodeBehaviour(behaviour) }, { "steps", json::array({ step }) } };
    body.update(further);
    return body.dump();
}

std::string jobId(int group, int number)
{
    char out[17];
    std::snprintf(out, sizeof(out), "%04x%08x%04x", group & 0xffff,
        static_cast<unsigned>(number) * 2654435761U, number & 0xffff);
    return out;
}

void endProcessesOnSignal()
{
    std::signal(SIGTERM, onEndSignal);
    std::signal(SIGINT, onEndSignal);
}

bool isWithoutTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble && std::string(trouble) == "0";
}

} // namespace damask::review
