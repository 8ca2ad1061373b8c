/// \file
/// Random faults against real processes of the fleet role, with a platform in memory. What callers and VMs
/// see is checked all the while, and that all work is finished once the faults have ended.
#include "checker.h"

#include "../harness/process.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <unistd.h>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the first run.");
ABSL_FLAG(int, runs, 1, "Number of runs, each with the next seed.");
ABSL_FLAG(int, seconds, 10, "Seconds of faults and traffic in a run.");
ABSL_FLAG(int, nodes, 4, "Processes of the fleet role, 2 to 60.");
ABSL_FLAG(std::string, logs, "", "Folder for the processes' logs; empty: a temporary one, kept on failure.");

namespace damask::soak {
namespace {

using namespace fleet::standin;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A new job comes this often, on average.
constexpr milliseconds jobInterval { 40 };
constexpr milliseconds shortestFaultGap { 150 };
constexpr int faultGapSpread = 500; ///< ms
/// All work has to be finished this long after the last fault: takeovers of 2 s, leases of 4.5 s, 16 s for
/// which a VM may be set aside, and the work itself on an unloaded fleet.
constexpr seconds settleLimit { 45 };
constexpr int submitAttempts = 5;
constexpr milliseconds retryPause { 300 };
constexpr milliseconds callTimeout { 4000 };
constexpr int machinesPerPool = 4;
constexpr std::uint16_t callerPort = 7001;
constexpr std::uint16_t readyPort = 7002;

/// A process of the fleet role and the relay before its table.
struct Node {
    NodeAddresses place;
    std::string settings;
    std::string log;
    std::unique_ptr<harness::Process> process;
    std::size_t relay = 0;
    bool paused = false;
};

class Soak {
public:
    Soak(std::uint64_t seed, int nodes, std::string folder);
    /// Plays the run; returns whether all promises were kept.
    bool play(seconds length);

private:
    void startNode(Node& node);
    void setRelay(const Node& node, const nlohmann::json& state);
    void sendJob();
    void submit(const std::string& id, int attempt, bool mayBeKnown);
    void cancel(const std::string& id);
    void askStates();
    void fault();
    void nodeFault(Node& node, int kind);
    void tableFault(int kind);
    void vmFault(int kind);
    void heal();
    bool isDone();
    void later(milliseconds delay, std::function<void()> action);
    int pick(int below) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(below)); }
    Node& anyNode() { return m_nodes[static_cast<std::size_t>(pick(static_cast<int>(m_nodes.size())))]; }
    void say(const std::string& what) const;

    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    std::string m_folder;
    std::chrono::steady_clock::time_point m_beganAt = std::chrono::steady_clock::now();
    Loop m_loop;
    Checker m_checker;
    Platform m_platform;
    HttpClient m_client;
    std::vector<QueueSpec> m_queues { { "quotes", "pricing", 3 }, { "renders", "designer", 3 } };
    harness::Process m_relays;
    Address m_relayAdmin;
    std::vector<Node> m_nodes;
    std::vector<std::unique_ptr<Timer>> m_timers;
    std::int64_t m_waves = 0;
    int m_jobs = 0;
    int m_faults = 0;
};

Soak::Soak(std::uint64_t seed, int nodes, std::string folder)
    : m_seed(seed)
    , m_random(seed)
    , m_folder(std::move(folder))
    , m_platform(m_loop.base(), m_checker, seed + 1)
    , m_client(m_loop.base(), {})
    , m_relays({ harness::binary("standin_relay"), std::to_string(nodes) })
{
    m_platform.configure(m_queues, { "pricing", "designer" });
    for (const char* pool : { "pricing", "designer" }) {
        for (int i = 0; i < machinesPerPool; ++i)
            m_platform.addMachine("m-" + std::string(pool) + std::to_string(i), pool, 2000);
    }
    const auto line = m_relays.waitForEvent("listening");
    m_relayAdmin
        = { "127.0.0.1", static_cast<std::uint16_t>(std::stoi(harness::Process::field(line, "port"))) };
    std::stringstream ports(harness::Process::field(line, "ports"));
    // Addresses of this process's own in 127/8, so that runs side by side do not meet.
    const auto prefix
        = "127." + std::to_string(64 + (getpid() >> 8) % 128) + "." + std::to_string(getpid() % 256) + ".";
    for (int i = 0; i < nodes; ++i) {
        std::string port;
        std::getline(ports, port, ',');
        auto& node = m_nodes.emplace_back();
        const auto ip = prefix + std::to_string(i + 1);
        const Address table { "127.0.0.1", static_cast<std::uint16_t>(std::stoi(port)) };
        node.relay = static_cast<std::size_t>(i);
        node.place = { "n" + std::to_string(i), ip, { ip, callerPort }, { ip, readyPort }, table };
        node.settings = m_folder + "/" + node.place.node + ".toml";
        node.log = m_folder + "/" + node.place.node + ".log";
        m_platform.writeSettings(node.place, node.settings);
        setRelay(node, nlohmann::json::object());
        startNode(node);
    }
}

void Soak::say(const std::string& what) const
{
    const auto at = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_beganAt);
    std::cout << "seed " << m_seed << " " << at.count() << " ms: " << what << std::endl;
}

void Soak::startNode(Node& node)
{
    node.paused = false;
    node.process = std::make_unique<harness::Process>(std::vector<std::string> { harness::binary("damaskd"),
                                                          "fleet", "--deployment_settings=" + node.settings },
        node.log);
}

void Soak::setRelay(const Node& node, const nlohmann::json& state)
{
    auto body = state;
    body["relay"] = node.relay;
    body["target"] = http::toString(m_platform.table().address());
    m_client.send(m_relayAdmin, { "POST", "/admin/relays", "", {}, body.dump() }, callTimeout,
        [this](const HttpResult& result) {
            if (!result)
                say("the relay does not answer");
        });
}

void Soak::later(milliseconds delay, std::function<void()> action)
{
    m_timers.push_back(std::make_unique<Timer>(m_loop.base(), std::move(action)));
    m_timers.back()->startOnce(delay);
}

void Soak::sendJob()
{
    auto id = std::to_string(m_jobs++);
    id.insert(0, 16 - id.size(), '0');
    auto& job = m_checker.jobs[id];
    job.queue = m_queues[static_cast<std::size_t>(pick(static_cast<int>(m_queues.size())))];
    job.alwaysFails = pick(25) == 0;
    const bool lasts = pick(40) == 0;
    const TaskBehaviour work { 40 + pick(160), job.alwaysFails ? 1.0 : 0.0, lasts, 100 + 100 * pick(5) };
    job.spec.id = id;
    job.spec.spec = encodeBehaviour(work);
    const int steps = lasts ? 1 : 1 + pick(3);
    for (int i = 0; i < steps; ++i) {
        fleet::StepSpec step;
        step.count = 1 + pick(4);
        step.need.cpu = work.cpu;
        step.estimate = milliseconds(work.milliseconds);
        step.longRunning = lasts;
        if (i > 0)
            step.after = { i - 1 };
        job.spec.steps.push_back(step);
    }
    submit(id, 1, false);
    if (pick(10) == 0 || lasts)
        later(milliseconds(pick(lasts ? 4000 : 600)), [this, id] { cancel(id); });
}

void Soak::submit(const std::string& id, int attempt, bool mayBeKnown)
{
    const auto& job = m_checker.jobs.at(id);
    m_client.send(anyNode().place.callers, submission(job.queue, job.spec), callTimeout,
        [this, id, attempt, mayBeKnown](const HttpResult& result) {
            auto& job = m_checker.jobs.at(id);
            if (result && result->status == 200) {
                job.handed = Handed::Accepted;
                return;
            }
            const bool refused
                = result ? result->status == 503 || result->status == 429 : !result.error().mayHaveBeenSent;
            const bool unknown = mayBeKnown || !refused;
            // A caller that can't know asks until it does.
            if (attempt < submitAttempts || unknown)
                return later(retryPause, [this, id, attempt, unknown] { submit(id, attempt + 1, unknown); });
            if (!unknown)
                m_checker.refused(id);
        });
}

void Soak::cancel(const std::string& id)
{
    auto& job = m_checker.jobs.at(id);
    if (job.handed == Handed::Refused)
        return;
    job.cancelAsked = true;
    m_client.send(anyNode().place.callers, cancellation(job.queue, id), callTimeout,
        [this, id](const HttpResult& result) {
            auto& job = m_checker.jobs.at(id);
            if (job.isCancelled())
                return;
            if (result && result->status == 200)
                job.cancelledAt = std::chrono::steady_clock::now();
            else // also if it is not known yet: its caller may still be handing it in
                later(retryPause, [this, id] { cancel(id); });
        });
}

void Soak::askStates()
{
    for (auto& [id, job] : m_checker.jobs) {
        if (m_checker.isSettled(job) || job.handed == Handed::Unknown)
            continue;
        m_client.send(anyNode().place.callers, stateRequest(job.queue, id), callTimeout,
            [this, id = id](const HttpResult& result) {
                auto& job = m_checker.jobs.at(id);
                if (!result || m_checker.isSettled(job))
                    return;
                if (result->status == 410)
                    return m_checker.reportViolation(id + " was accepted and is not known");
                const auto state = decodeState(*result);
                if (state == "completed" || state == "failed" || state == "cancelled")
                    m_checker.shown(id, state);
            });
    }
}

void Soak::fault()
{
    ++m_faults;
    const int kind = pick(20);
    if (kind < 9)
        nodeFault(anyNode(), kind);
    else if (kind < 15)
        tableFault(kind - 9);
    else
        vmFault(kind - 15);
}

void Soak::nodeFault(Node& node, int kind)
{
    const milliseconds time(200 + pick(3000));
    const auto& name = node.place.node;
    if (node.paused)
        return;
    switch (kind) {
    case 0:
    case 1:
        say("kill " + name);
        node.process->signal(SIGKILL);
        node.process->wait();
        node.paused = true;
        return later(milliseconds(pick(1500)), [this, &node] { startNode(node); });
    case 2:
        say("stop " + name);
        node.process->signal(SIGTERM);
        node.paused = true;
        return later(milliseconds(7000), [this, &node] {
            node.process->signal(SIGKILL);
            node.process->wait();
            startNode(node);
        });
    case 3:
    case 4:
        say("pause " + name + " for " + std::to_string(time.count()));
        node.process->signal(SIGSTOP);
        node.paused = true;
        return later(time, [&node] {
            node.process->signal(SIGCONT);
            node.paused = false;
        });
    default:
        break;
    }
    static const std::array<nlohmann::json, 4> states { { { { "cut", true } }, { { "silent", "answers" } },
        { { "silent", "both" } }, { { "delayMs", 150 } } } };
    const auto& state = states.at(static_cast<std::size_t>(kind - 5));
    say("relay of " + name + " " + state.dump());
    setRelay(node, state);
    later(time, [this, &node] { setRelay(node, nlohmann::json::object()); });
}

void Soak::tableFault(int kind)
{
    auto& table = m_platform.table();
    const milliseconds time(300 + pick(2500));
    static const char* const names[]
        = { "refuses", "overloaded", "loses answers", "late", "slow", "forgets" };
    say(std::string("table ") + names[kind] + " for " + std::to_string(time.count()));
    switch (kind) {
    case 0:
        table.faults.refused = pick(2) ? 1 : 0.4;
        break;
    case 1:
        table.faults.overloaded = 0.4;
        break;
    case 2:
        table.faults.lost = 0.4;
        break;
    case 3:
        table.faults.late = 0.2;
        break;
    case 4:
        table.faults.delay = milliseconds(50 + pick(300));
        break;
    default:
        return table.truncateHistory();
    }
    later(time, [&table] { table.faults = {}; });
}

void Soak::vmFault(int kind)
{
    auto& vms = m_platform.vms();
    if (vms.empty())
        return;
    auto chosen = vms.begin();
    std::advance(chosen, pick(static_cast<int>(vms.size())));
    const auto machine = chosen->first;
    switch (kind) {
    case 0:
        say("crash of " + machine);
        return m_platform.crash(machine, milliseconds(200 + pick(2000)));
    case 1:
        say(machine + " refuses");
        chosen->second->faults.refused = 0.5;
        break;
    case 2:
    case 3:
        say(machine + " carries orders out late");
        chosen->second->faults.late = 0.3;
        break;
    default: {
        std::set<std::string> due;
        for (const auto& [id, vm] : vms) {
            if (pick(3) == 0)
                due.insert(id);
        }
        if (due.empty() || m_waves >= 2)
            return;
        say("wave of " + std::to_string(due.size()));
        return m_platform.requestWave(++m_waves, due, 2, seconds(20));
    }
    }
    later(milliseconds(500 + pick(2000)), [this, machine] {
        const auto vm = m_platform.vms().find(machine);
        if (vm != m_platform.vms().end())
            vm->second->faults = {};
    });
}

void Soak::heal()
{
    say("heal");
    m_platform.table().faults = {};
    for (auto& [machine, vm] : m_platform.vms())
        vm->faults = {};
    for (auto& node : m_nodes) {
        setRelay(node, nlohmann::json::object());
        if (node.process->hasEnded() && !node.paused)
            m_checker.reportViolation(node.place.node + " has ended by itself");
    }
    for (auto& [id, job] : m_checker.jobs) {
        if (job.lasts() && !job.isCancelled())
            cancel(id);
    }
}

bool Soak::isDone()
{
    for (std::int64_t wave = 1; wave <= m_waves; ++wave) {
        if (!m_platform.isWaveCompleted(wave))
            return false;
    }
    return m_checker.liveRuns() == 0
        && std::all_of(m_checker.jobs.begin(), m_checker.jobs.end(),
            [this](const auto& entry) { return m_checker.isSettled(entry.second); });
}

bool Soak::play(seconds length)
{
    Timer traffic(m_loop.base(), [this] { sendJob(); });
    Timer faults(m_loop.base(), [this, &faults] {
        fault();
        faults.startOnce(shortestFaultGap + milliseconds(pick(faultGapSpread)));
    });
    traffic.startPeriodic(jobInterval);
    faults.startOnce(milliseconds(2000));
    m_loop.runUntil([] { return false; }, length);
    traffic.stop();
    faults.stop();
    heal();
    Timer states(m_loop.base(), [this] { askStates(); });
    states.startPeriodic(milliseconds(400));
    if (!m_loop.runUntil([this] { return isDone(); }, settleLimit)) {
        for (const auto& [id, job] : m_checker.jobs) {
            if (!m_checker.isSettled(job))
                m_checker.reportViolation(id + " has not ended, " + std::to_string(job.starts) + " starts");
        }
        m_checker.reportViolation(
            "not all work has ended; live runs: " + std::to_string(m_checker.liveRuns()));
    }
    say(std::to_string(m_jobs) + " jobs, " + std::to_string(m_checker.runs) + " runs, "
        + std::to_string(m_faults) + " faults, " + std::to_string(m_checker.faults.size()) + " broken");
    return m_checker.faults.empty();
}

} // namespace
} // namespace damask::soak

int main(int argc, char** argv)
{
    using namespace damask;
    std::signal(SIGPIPE, SIG_IGN);
    absl::ParseCommandLine(argc, argv);
    int failed = 0;
    for (int i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
        const auto seed = absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(i);
        auto folder = absl::GetFlag(FLAGS_logs);
        if (folder.empty())
            folder = std::filesystem::temp_directory_path().string();
        folder += "/damask_soak_" + std::to_string(getpid()) + "_" + std::to_string(seed);
        std::filesystem::create_directories(folder);
        bool kept = false;
        {
            soak::Soak run(seed, absl::GetFlag(FLAGS_nodes), folder);
            kept = run.play(std::chrono::seconds(absl::GetFlag(FLAGS_seconds)));
        }
        failed += !kept;
        if (kept)
            std::filesystem::remove_all(folder);
        else
            std::cout << "seed " << seed << " failed, logs in " << folder << std::endl;
    }
    std::cout << failed << " of " << absl::GetFlag(FLAGS_runs) << " runs failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
