#include "soak.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <unistd.h>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the first run.");
ABSL_FLAG(int, runs, 1, "Number of runs, each with the next seed.");
ABSL_FLAG(int, seconds, 10, "Duration of faults and traffic in a run, in seconds.");
ABSL_FLAG(int, nodes, 4, "Number of processes of the fleet role, 2 to 60.");
ABSL_FLAG(bool, silent_vms, false,
    "VMs restart, take a start and are cut off while their runs go on; no tasks crash VMs. Wants 14 s or "
    "more.");
ABSL_FLAG(int, max_command_delay_s, 4, "Longest delay of commands that VMs carry out late, up to 12 s.");
ABSL_FLAG(bool, late_across_boots, false,
    "Late commands are carried out by the next boot of their VM too. The pages are read as excluding it.");
ABSL_FLAG(bool, takeovers, false,
    "Several nodes fail or stand still at once, while the machine service, VMs or their addresses are "
    "disturbed; no tasks crash VMs.");
ABSL_FLAG(std::string, logs, "",
    "Folder for the logs of the processes; empty: a temporary folder. Logs are kept if a run fails.");

namespace damask::soak {
namespace {

/// Time between two submissions of new jobs.
constexpr milliseconds jobInterval { 40 };
constexpr milliseconds minFaultInterval { 150 };
constexpr int faultIntervalSpreadMs = 500;
constexpr milliseconds minRestartInterval { 300 };
constexpr int restartIntervalSpreadMs = 900;
constexpr milliseconds minSilenceInterval { 800 };
constexpr int silenceIntervalSpreadMs = 1600;
constexpr milliseconds minTakeoverInterval { 1500 };
constexpr int takeoverIntervalSpreadMs = 2500;
constexpr int longTaskSpreadMs = 2000;
constexpr int minOccurrences = 80;
constexpr int minLargeStep = 60;
constexpr std::size_t smallRowBytes = 2048;
constexpr std::size_t largeRowBytes = 65'536;
constexpr milliseconds largeJobInterval { 1500 };
constexpr milliseconds minSilentConnectionsInterval { 2500 };
constexpr int silentConnectionsSpreadMs = 5000;
/// Longest lease of VMs in a run of the soak, one of two.
constexpr milliseconds shortMaxLease { 6000 };
constexpr milliseconds longMaxLease { 10000 };
/// One of so many jobs crashes the VMs that start its tasks.
constexpr int crashingJobInterval = 80;
/// All work must finish within this time after the last fault. It covers a takeover (2 s), a lease (4.5 s),
/// the longest quarantine of a VM (16 s) and the work itself on an unloaded fleet.
constexpr seconds finishTimeout { 45 };
constexpr int maxSubmitAttempts = 5;
constexpr milliseconds leavingCallerInterval { 250 };
/// Callers leave if they have no answer within this time.
constexpr int minPatienceMs = 20;
constexpr int patienceSpreadMs = 400;
constexpr int stepsOfLeftJob = 4;
constexpr milliseconds retryDelay { 300 };
constexpr int machinesPerPool = 4;
constexpr std::uint16_t callerPort = 7001;
constexpr std::uint16_t readyPort = 7002;

/// Time between two counts at one node, which show its configuration.
constexpr milliseconds probeInterval { 100 };
constexpr int minConfigIntervalMs = 300;
constexpr int configIntervalSpreadMs = 4000;
/// How many versions back probes go. A node that is behind shows it in the queue of its own version.
constexpr int probedVersions = 8;
/// A configuration with so many queues more takes about 0.25 MB on the wire.
constexpr int manyQueues = 1000;

} // namespace

Soak::Soak(std::uint64_t seed, int nodes, const SoakOptions& options, std::string folder)
    : m_seed(seed)
    , m_random(seed)
    , m_configRandom(seed + 2)
    , m_restartRandom(seed + 3)
    , m_silenceRandom(seed + 4)
    , m_lateRandom(seed + 6)
    , m_takeoverRandom(seed + 7)
    , m_limitRandom(seed + 8)
    , m_leavingRandom(seed + 9)
    , m_options(options)
    , m_folder(std::move(folder))
    , m_platform(m_loop.base(), m_checker, seed + 1)
    , m_client(m_loop.base(), {})
    , m_relays({ harness::binary("standin_relay"), std::to_string(nodes) })
{
    m_platform.setMaxLease(
        m_options.hasSilentVms && randomSilenceBelow(2) == 0 ? longMaxLease : shortMaxLease);
    // In small rows the records of jobs fill them within the run.
    m_platform.table().limits.rowBytes = randomLimitBelow(3) == 0 ? largeRowBytes : smallRowBytes;
    m_platform.setLateCheck(std::nullopt);
    m_platform.setLateAcrossBoots(m_options.isLateAcrossBoots);
    configure();
    for (const char* pool : { "pricing", "designer" }) {
        for (int i = 0; i < machinesPerPool; ++i)
            m_platform.addMachine("m-" + std::string(pool) + std::to_string(i), pool, machineCpu);
    }
    const auto line = m_relays.waitForEvent("listening");
    m_relayAdmin
        = { "127.0.0.1", static_cast<std::uint16_t>(std::stoi(harness::Process::field(line, "port"))) };
    std::stringstream ports(harness::Process::field(line, "ports"));
    // Addresses in 127/8 derived from the process id, so that concurrent soaks do not share ports.
    const auto prefix
        = "127." + std::to_string(64 + (getpid() >> 8) % 128) + "." + std::to_string(getpid() % 256) + ".";
    for (int i = 0; i < nodes; ++i) {
        std::string port;
        std::getline(ports, port, ',');
        auto& node = m_nodes.emplace_back();
        const auto ip = prefix + std::to_string(i + 1);
        const Address table { "127.0.0.1", static_cast<std::uint16_t>(std::stoi(port)) };
        node.relay = static_cast<std::size_t>(i);
        node.addresses = { "n" + std::to_string(i), ip, { ip, callerPort }, { ip, readyPort }, table };
        node.settings = m_folder + "/" + node.addresses.node + ".toml";
        node.log = m_folder + "/" + node.addresses.node + ".log";
        m_platform.writeSettings(node.addresses, node.settings);
        setRelay(node, nlohmann::json::object());
        startNode(node);
    }
}

void Soak::report(const std::string& what) const
{
    const auto at = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_startTime);
    std::cout << "seed " << m_seed << " " << at.count() << " ms: " << what << std::endl;
}

void Soak::startNode(Node& node)
{
    node.isDown = false;
    ++node.boot;
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
                report("the relay did not answer a change of its faults");
        });
}

void Soak::schedule(milliseconds delay, std::function<void()> action)
{
    m_timers.push_back(std::make_unique<Timer>(m_loop.base(), std::move(action)));
    m_timers.back()->startOnce(delay);
}

void Soak::submitNewJob()
{
    auto id = std::to_string(m_jobCount++);
    id.insert(0, 16 - id.size(), '0');
    auto& job = m_checker.jobs[id];
    job.queue = m_queues[static_cast<std::size_t>(randomBelow(static_cast<int>(m_queues.size())))];
    const bool alwaysFails = randomBelow(25) == 0;
    const bool isLongRunning = randomBelow(40) == 0;
    // A VM that is cut off can't be told from one that has crashed, so a run has one or the other.
    job.crashesVms = randomRestartBelow(crashingJobInterval) == 0 && !isLongRunning && !m_options.hasSilentVms
        && !m_options.hasTakeovers;
    const TaskBehaviour work { 40 + randomBelow(160), alwaysFails ? 1.0 : 0.0, isLongRunning,
        100 + 100 * randomBelow(5), job.crashesVms ? 5 + randomRestartBelow(150) : 0 };
    job.spec.id = id;
    job.spec.spec = encodeBehaviour(work);
    const int steps = isLongRunning ? 1 : 1 + randomBelow(3);
    for (int i = 0; i < steps; ++i) {
        fleet::StepSpec step;
        step.count = 1 + randomBelow(4);
        step.need.cpu = work.cpu;
        step.estimate = milliseconds(work.milliseconds);
        step.longRunning = isLongRunning;
        if (i > 0)
            step.after = { i - 1 };
        job.spec.steps.push_back(step);
    }
    if (job.crashesVms) {
        job.spec.steps.resize(1);
        job.spec.steps.front().count = 1 + randomRestartBelow(2);
        report("job " + id + " crashes VMs");
    }
    submit(id, 1, false);
    if (randomBelow(10) == 0 || isLongRunning)
        schedule(milliseconds(randomBelow(isLongRunning ? 4000 : 600)), [this, id] { cancel(id); });
}

void Soak::submitAndLeave()
{
    auto id = std::to_string(m_leftJobCount++);
    id.insert(0, 15 - id.size(), '0');
    id.insert(0, 1, 'd');
    auto& job = m_checker.jobs[id];
    job.queue = m_queues[static_cast<std::size_t>(randomLeavingBelow(static_cast<int>(m_queues.size())))];
    // The second step starts long after the cancellation, unless that ends the job.
    const TaskBehaviour work { 1500, 0, false, 50, 0 };
    job.spec.id = id;
    job.spec.spec = encodeBehaviour(work);
    fleet::StepSpec step;
    step.need.cpu = work.cpu;
    step.estimate = milliseconds(work.milliseconds);
    for (int i = 0; i < stepsOfLeftJob; ++i) {
        if (i > 0)
            step.after = { i - 1 };
        job.spec.steps.push_back(step);
    }
    const milliseconds patience(minPatienceMs + randomLeavingBelow(patienceSpreadMs));
    const auto node = [this]() -> const Node& {
        return m_nodes[static_cast<std::size_t>(randomLeavingBelow(static_cast<int>(m_nodes.size())))];
    };
    m_client.send(node().addresses.callers, submission(job.queue, job.spec), patience,
        [this, id](const HttpResult& result) {
            if (result && result->status == 200)
                return m_checker.recordAcceptance(id);
            // Also a refused job is cancelled, which is then known to nobody.
            cancel(id);
        });
}

void Soak::submitLongJob()
{
    auto id = std::to_string(m_longJobCount++);
    id.insert(0, 15 - id.size(), '0');
    id.insert(0, 1, 'f');
    auto& job = m_checker.jobs[id];
    job.queue = m_queues[static_cast<std::size_t>(randomSilenceBelow(static_cast<int>(m_queues.size())))];
    const TaskBehaviour work { static_cast<int>(minLongTask.count()) + randomSilenceBelow(longTaskSpreadMs),
        0, false, 100, 0 };
    job.spec.id = id;
    job.spec.spec = encodeBehaviour(work);
    fleet::StepSpec step;
    step.count = 1 + randomSilenceBelow(2);
    step.need.cpu = work.cpu;
    step.estimate = milliseconds(work.milliseconds);
    job.spec.steps.push_back(step);
    submit(id, 1, false);
}

void Soak::submitLargeJob()
{
    auto id = std::to_string(m_largeJobCount++);
    id.insert(0, 15 - id.size(), '0');
    id.insert(0, 1, 'e');
    auto& job = m_checker.jobs[id];
    job.queue = m_queues[static_cast<std::size_t>(randomLimitBelow(static_cast<int>(m_queues.size())))];
    const TaskBehaviour work { 10, 0, false, 50, 0 };
    job.spec.id = id;
    job.spec.spec = encodeBehaviour(work);
    fleet::StepSpec step;
    step.need.cpu = work.cpu;
    step.estimate = milliseconds(work.milliseconds);
    const bool isScheduled = randomLimitBelow(3) != 0;
    step.count = isScheduled ? 1 : minLargeStep + randomLimitBelow(minLargeStep);
    if (isScheduled) {
        job.spec.occurrences = minOccurrences + randomLimitBelow(minOccurrences);
        job.spec.period = milliseconds(5 + randomLimitBelow(20));
        job.spec.firstDue
            = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    }
    job.spec.steps.push_back(step);
    submit(id, 1, false);
}

void Soak::submit(const std::string& id, int attempt, bool mayBeStored)
{
    const auto& job = m_checker.jobs.at(id);
    m_client.send(randomNode().addresses.callers, submission(job.queue, job.spec), callTimeout,
        [this, id, attempt, mayBeStored](const HttpResult& result) {
            if (result && result->status == 200)
                return m_checker.recordAcceptance(id);
            // A job that was cancelled before it was accepted is rejected for good.
            if (result && result->status == 410 && m_checker.jobs.at(id).isCancelRequested)
                return;
            const bool refused
                = result ? result->status == 503 || result->status == 429 : !result.error().mayHaveBeenSent;
            const bool unknown = mayBeStored || !refused;
            // A caller repeats a submission until it knows whether the job was accepted.
            if (attempt < maxSubmitAttempts || unknown)
                return schedule(
                    retryDelay, [this, id, attempt, unknown] { submit(id, attempt + 1, unknown); });
            if (!unknown)
                m_checker.recordRefusal(id);
        });
}

void Soak::cancel(const std::string& id)
{
    auto& job = m_checker.jobs.at(id);
    if (job.submissionResult == SubmissionResult::Refused)
        return;
    job.isCancelRequested = true;
    m_client.send(randomNode().addresses.callers, cancellation(job.queue, id), callTimeout,
        [this, id](const HttpResult& result) {
            if (m_checker.jobs.at(id).isCancelled())
                return;
            if (result && (result->status == 200 || result->status == 410))
                m_checker.recordCancellation(id, result->status == 200);
            else
                schedule(retryDelay, [this, id] { cancel(id); });
        });
}

void Soak::pollJobStates()
{
    for (auto& [id, job] : m_checker.jobs) {
        if (m_checker.isFinished(job) || job.submissionResult == SubmissionResult::Unknown)
            continue;
        m_client.send(randomNode().addresses.callers, stateRequest(job.queue, id), callTimeout,
            [this, id = id](const HttpResult& result) {
                auto& job = m_checker.jobs.at(id);
                if (!result || m_checker.isFinished(job))
                    return;
                if (result->status == 410)
                    return m_checker.reportViolation(id + " was accepted but the fleet does not know it");
                const auto state = decodeState(*result);
                if (state == "completed" || state == "failed" || state == "cancelled")
                    m_checker.recordFinalState(id, state);
            });
    }
}

void Soak::configure()
{
    auto queues = m_queues;
    queues.push_back({ ConfigChecker::queueOf(m_configChecker.newestVersion() + 1), "pricing" });
    const bool isLarge = randomConfigBelow(3) == 0;
    for (int i = 0; isLarge && i < manyQueues; ++i)
        queues.push_back({ "other" + std::to_string(i), "pricing" });
    m_platform.configure(queues, { "pricing", "designer" });
    m_configChecker.onAcknowledged(std::chrono::steady_clock::now());
}

void Soak::probeConfigs()
{
    const int newest = m_configChecker.newestVersion();
    for (const auto& node : m_nodes) {
        const int earlier = newest - 1 - randomConfigBelow(probedVersions);
        for (const int version : { std::max(1, earlier), newest }) {
            const auto probe = m_configChecker.startProbe(
                node.addresses.node, node.boot, version, std::chrono::steady_clock::now());
            const auto request = stateRequest({ ConfigChecker::queueOf(version), "pricing" }, "");
            m_client.send(
                node.addresses.callers, request, callTimeout, [this, &node, probe](const HttpResult& result) {
                    if (result && probe.boot == node.boot)
                        m_configChecker.onAnswer(probe, result->status, std::chrono::steady_clock::now());
                });
        }
    }
}

void Soak::clearFaults()
{
    report("all faults cleared");
    m_platform.table().faults = {};
    m_platform.machineServiceFaults = {};
    for (auto& [machine, vm] : m_platform.vms()) {
        vm->faults = {};
        vm->endCutFromHolder();
    }
    for (auto& node : m_nodes) {
        setRelay(node, nlohmann::json::object());
        if (node.process->hasEnded() && !node.isDown)
            m_checker.reportViolation(node.addresses.node + " exited unexpectedly");
    }
    for (auto& [id, job] : m_checker.jobs) {
        if (job.isLongRunning() && !job.isCancelled())
            cancel(id);
    }
}

bool Soak::isAllWorkFinished()
{
    for (std::int64_t wave = 1; wave <= m_waveCount; ++wave) {
        if (!m_platform.isWaveCompleted(wave))
            return false;
    }
    const bool hasEachNewestConfig = std::all_of(m_nodes.begin(), m_nodes.end(),
        [this](const Node& node) { return m_configChecker.hasNewest(node.addresses.node, node.boot); });
    return hasEachNewestConfig && m_checker.activeRunCount() == 0
        && std::all_of(m_checker.jobs.begin(), m_checker.jobs.end(),
            [this](const auto& entry) { return m_checker.mayRemainAsItIs(entry.second); });
}

bool Soak::run(seconds length)
{
    Timer traffic(m_loop.base(), [this] { submitNewJob(); });
    Timer faults(m_loop.base(), [this, &faults] {
        injectFault();
        faults.startOnce(minFaultInterval + milliseconds(randomBelow(faultIntervalSpreadMs)));
    });
    Timer restarts(m_loop.base(), [this, &restarts] {
        disturbVm();
        restarts.startOnce(minRestartInterval + milliseconds(randomRestartBelow(restartIntervalSpreadMs)));
    });
    Timer silences(m_loop.base(), [this, &silences] {
        silenceVm();
        silences.startOnce(minSilenceInterval + milliseconds(randomSilenceBelow(silenceIntervalSpreadMs)));
    });
    Timer takeovers(m_loop.base(), [this, &takeovers] {
        disturbTakeover();
        takeovers.startOnce(
            minTakeoverInterval + milliseconds(randomTakeoverBelow(takeoverIntervalSpreadMs)));
    });
    Timer configs(m_loop.base(), [this, &configs] {
        configure();
        if (randomConfigBelow(2) == 0)
            narrowLink();
        configs.startOnce(milliseconds(minConfigIntervalMs + randomConfigBelow(configIntervalSpreadMs)));
    });
    Timer probes(m_loop.base(), [this] { probeConfigs(); });
    Timer largeJobs(m_loop.base(), [this] { submitLargeJob(); });
    Timer leavingCallers(m_loop.base(), [this] { submitAndLeave(); });
    Timer silentConnections(m_loop.base(), [this, &silentConnections] {
        silenceConnections();
        silentConnections.startOnce(
            minSilentConnectionsInterval + milliseconds(randomLimitBelow(silentConnectionsSpreadMs)));
    });
    traffic.startPeriodic(jobInterval);
    probes.startPeriodic(probeInterval);
    largeJobs.startPeriodic(largeJobInterval);
    leavingCallers.startPeriodic(leavingCallerInterval);
    silentConnections.startOnce(
        milliseconds(randomLimitBelow(silentConnectionsSpreadMs)) + minSilentConnectionsInterval);
    configs.startOnce(milliseconds(1000));
    faults.startOnce(milliseconds(2000));
    restarts.startOnce(milliseconds(2000));
    if (m_options.hasSilentVms)
        silences.startOnce(milliseconds(2000));
    if (m_options.hasTakeovers)
        takeovers.startOnce(milliseconds(2000));
    m_loop.runUntil([] { return false; }, length);
    traffic.stop();
    largeJobs.stop();
    leavingCallers.stop();
    silentConnections.stop();
    faults.stop();
    configs.stop();
    restarts.stop();
    silences.stop();
    takeovers.stop();
    clearFaults();
    Timer states(m_loop.base(), [this] { pollJobStates(); });
    states.startPeriodic(milliseconds(400));
    if (!m_loop.runUntil([this] { return isAllWorkFinished(); }, finishTimeout)) {
        for (const auto& [id, job] : m_checker.jobs) {
            if (!m_checker.mayRemainAsItIs(job))
                m_checker.reportViolation(
                    id + " has no final state after " + std::to_string(job.startCount) + " task starts");
        }
        for (const auto& node : m_nodes) {
            if (!m_configChecker.hasNewest(node.addresses.node, node.boot))
                m_checker.reportViolation(
                    node.addresses.node + " does not answer by the newest configuration");
        }
        m_checker.reportViolation(
            "not all work has finished; active runs: " + std::to_string(m_checker.activeRunCount()));
    }
    if (m_platform.table().rejectedCalls() > 0)
        m_checker.reportViolation(std::to_string(m_platform.table().rejectedCalls())
            + " calls exceeded a limit of the table, the last one with "
            + m_platform.table().lastRejection());
    report(std::to_string(m_jobCount + m_largeJobCount + m_leftJobCount) + " jobs, "
        + std::to_string(m_checker.runCount) + " runs, " + std::to_string(m_configChecker.newestVersion())
        + " configurations, " + std::to_string(m_faultCount) + " faults, "
        + std::to_string(m_checker.violations.size()) + " violations");
    return m_checker.violations.empty();
}

} // namespace damask::soak

int main(int argc, char** argv)
{
    using namespace damask;
    std::signal(SIGPIPE, SIG_IGN);
    absl::ParseCommandLine(argc, argv);
    const soak::SoakOptions options { absl::GetFlag(FLAGS_silent_vms),
        std::chrono::seconds(absl::GetFlag(FLAGS_max_command_delay_s)),
        absl::GetFlag(FLAGS_late_across_boots), absl::GetFlag(FLAGS_takeovers) };
    int failed = 0;
    for (int i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
        const auto seed = absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(i);
        auto folder = absl::GetFlag(FLAGS_logs);
        if (folder.empty())
            folder = std::filesystem::temp_directory_path().string();
        folder += "/damask_soak_" + std::to_string(getpid()) + "_" + std::to_string(seed);
        std::filesystem::create_directories(folder);
        bool hasPassed = false;
        {
            soak::Soak soak(seed, absl::GetFlag(FLAGS_nodes), options, folder);
            hasPassed = soak.run(std::chrono::seconds(absl::GetFlag(FLAGS_seconds)));
        }
        failed += !hasPassed;
        if (hasPassed)
            std::filesystem::remove_all(folder);
        else
            std::cout << "seed " << seed << " failed, logs are in " << folder << std::endl;
    }
    std::cout << failed << " of " << absl::GetFlag(FLAGS_runs) << " runs failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
