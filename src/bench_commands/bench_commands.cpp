/// \file
/// Processor time of a pool's holder for one start outside of planning: commands and their responses,
/// heartbeats, commits, log lines and metrics. The servers run on a thread of their own, whose time does not
/// count. `us_each` is the processor time of one command, commit or line, in microseconds.
#include "../../platform/standin/responses.h"

#include <damaskworks/adapter.h>
#include <damaskworks/job_progress.h>
#include <damaskworks/json_input.h>
#include <damaskworks/log.h>
#include <damaskworks/log_output.h>
#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/pool_state.h>
#include <damaskworks/registry.h>

#include <benchmark/benchmark.h>

#include <atomic>
#include <fcntl.h>
#include <latch>
#include <list>
#include <thread>
#include <unistd.h>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vmCount = 8;
constexpr int startsPerVm = 3;
constexpr int runsPerVm = 7;
constexpr int rowsPerCommit = 49;
/// The servers collect requests for this time, so that several responses arrive together as from many VMs.
constexpr std::chrono::milliseconds replyInterval { 2 };

/// Servers on a thread of their own that give every request the same response.
class Servers {
public:
    Servers(std::size_t count, std::string body)
        : m_body(std::move(body))
        , m_thread([this, count] { run(count); })
    {
        m_isReady.wait();
    }
    ~Servers()
    {
        m_isStopped = true;
        m_thread.join();
    }
    const std::vector<Address>& addresses() const { return m_addresses; }

private:
    void run(std::size_t count)
    {
        Loop loop;
        std::vector<std::shared_ptr<HttpExchange>> open;
        std::list<HttpServer> servers;
        for (std::size_t i = 0; i < count; ++i) {
            servers.emplace_back(loop.base(), HttpLimits {},
                [&](std::shared_ptr<HttpExchange> exchange) { open.push_back(std::move(exchange)); });
            m_addresses.push_back({ "127.0.0.1", *servers.back().listen({ "127.0.0.1", 0 }) });
        }
        Timer timer(loop.base(), [&] {
            for (const auto& exchange : std::exchange(open, {}))
                exchange->reply({ 200, { { "Content-Type", "application/json" } }, m_body });
            if (m_isStopped)
                loop.stop();
        });
        timer.startPeriodic(replyInterval);
        m_isReady.count_down();
        loop.run();
    }

    std::string m_body;
    std::vector<Address> m_addresses;
    std::latch m_isReady { 1 };
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

/// Logs to /dev/null as the process does to standard output.
struct NullLog {
    explicit NullLog(Loop& loop)
        : descriptor(::open("/dev/null", O_WRONLY))
    {
        initializeLogging(LogLevel::Info, "node-1");
        output = std::make_unique<LogOutput>(loop.base(), descriptor);
    }
    ~NullLog()
    {
        output.reset();
        ::close(descriptor);
    }
    int descriptor;
    std::unique_ptr<LogOutput> output;
};

Adapter openAdapter(Loop& loop, const Address& table)
{
    NodeSettings settings;
    settings.node = "node-1";
    settings.table = table;
    return Registry<AdapterPlugin>::instance().find("fleet")->open(loop.base(), settings);
}

TaskId makeTask(int index) { return { "5c0e7a21d94b36f8", 0, 1, index }; }

VmReport makeReport(int ends)
{
    VmReport report;
    report.vmClock = 482'113ms;
    report.bootTime = 1'764'950'400'123;
    for (int i = 0; i < runsPerVm; ++i)
        report.running.push_back({ makeTask(i), 2, "", 41, 1900 });
    for (int i = 0; i < ends; ++i)
        report.ended.push_back(
            { static_cast<std::uint64_t>(58 + i), makeTask(runsPerVm + i), 1, EndKind::Done, "" });
    return report;
}

void setTimeEach(benchmark::State& run, std::int64_t count)
{
    run.counters["us_each"] = benchmark::Counter(
        static_cast<double>(count) / 1e6, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

/// Sends `perVm` calls to each VM and waits for all responses, again and again.
template <typename Send>
void measureCalls(benchmark::State& run, Loop& loop, const Servers& vms, int perVm, const Send& send)
{
    std::int64_t calls = 0;
    for (auto _ : run) {
        std::size_t pending = 0;
        for (const auto& address : vms.addresses()) {
            const VmTarget target { address, "vm-5c0e7a21d94b36f8", 1234 };
            for (int i = 0; i < perVm; ++i, ++pending, ++calls)
                send(target, [&pending] { --pending; });
        }
        while (pending > 0)
            loop.runUntil([&] { return pending == 0; }, 10s);
    }
    setTimeEach(run, calls);
}

void startCommand(benchmark::State& run)
{
    const Servers vms(vmCount, standin::commandResponse(482'113ms));
    Loop loop;
    const NullLog log(loop);
    const auto adapter = openAdapter(loop, vms.addresses().front());
    StartCommand command { makeTask(17), 3, std::string(120, 's'), "", "", 485'113ms };
    measureCalls(run, loop, vms, startsPerVm, [&](const VmTarget& target, const auto& onDone) {
        adapter.endpoints->start(target, command, [onDone](const CommandResponse& response) {
            if (response.outcome != CommandOutcome::Accepted || response.vmClock != 482'113ms)
                std::abort();
            onDone();
        });
    });
}

void heartbeat(benchmark::State& run)
{
    const auto ends = static_cast<int>(run.range(0));
    const Servers vms(vmCount, standin::heartbeatResponse(makeReport(ends)));
    Loop loop;
    const NullLog log(loop);
    const auto adapter = openAdapter(loop, vms.addresses().front());
    measureCalls(run, loop, vms, 1, [&](const VmTarget& target, const auto& onDone) {
        adapter.endpoints->heartbeat(target, { 485'113ms, 57, 1000ms },
            [onDone, ends](const tl::expected<VmReport, CommandOutcome>& report) {
                if (!report || report->running.size() != runsPerVm
                    || report->ended.size() != static_cast<std::size_t>(ends))
                    std::abort();
                onDone();
            });
    });
}

/// Adds a job of three steps, the first of which is done.
const JobEntry& addRunningJob(PoolState& state)
{
    JobSpec spec;
    spec.id = "5c0e7a21d94b36f8";
    spec.queue = "quotes";
    spec.pool = state.pool;
    spec.steps.resize(3);
    spec.steps[0].count = 8;
    spec.steps[1].count = 12;
    spec.steps[1].after = { 0 };
    spec.steps[2].count = 2;
    spec.steps[2].after = { 1 };
    addJob(state, spec, R"({"state":"running","occurrences":[{"number":0,"done":["ff","000","0"]}]})", false);
    return state.jobs.at(spec.id);
}

void commitOfRows(benchmark::State& run)
{
    const Servers table(1, standin::commitResponse(123'456));
    Loop loop;
    const NullLog log(loop);
    const auto adapter = openAdapter(loop, table.addresses().front());
    TableTransaction transaction { "pool/inventory", { { "control", "lease", 123'400 } }, {} };
    PoolState state;
    const auto value = encodeProgress(addRunningJob(state));
    for (int i = 0; i < rowsPerCommit; ++i)
        transaction.writes.push_back({ "progress", "5c0e7a21d94b" + std::to_string(1000 + i), value });
    measureCalls(run, loop, table, 1, [&](const VmTarget&, const auto& onDone) {
        adapter.table->commit(transaction, 900ms, [onDone](const TableResult<Version>& version) {
            if (!version || *version != 123'456)
                std::abort();
            onDone();
        });
    });
}

void progressOfAJob(benchmark::State& run)
{
    PoolState state;
    const auto& job = addRunningJob(state);
    for (auto _ : run)
        benchmark::DoNotOptimize(encodeProgress(job));
    setTimeEach(run, run.iterations());
}

/// The log line of a start's response.
void logLine(benchmark::State& run)
{
    Loop loop;
    const NullLog log(loop);
    const auto task = makeTask(17);
    const std::string vm = "vm-5c0e7a21d94b36f8";
    std::int64_t lines = 0;
    for (auto _ : run) {
        logEvent(LogLevel::Info, "task_start",
            { { "task", toString(task) }, { "run", std::to_string(3) }, { "vm", vm },
                { "fence", std::to_string(1234) },
                { "outcome", std::string(nameOf(commandOutcomeNames, CommandOutcome::Accepted)) },
                { "held_back_ms", std::to_string(12) }, { "vm_clock_ms", std::to_string(482'113) } });
        if (++lines % 100 == 0)
            log.output->flush();
    }
    if (log.output->dropped() > 0)
        run.SkipWithError("lines were dropped");
    setTimeEach(run, lines);
}

/// The metrics of a start and its response, beside the other metrics of a node.
void metricsOfAStart(benchmark::State& run)
{
    Metrics metrics;
    const std::string pool = "inventory";
    for (int i = 0; i < 40; ++i) {
        metrics.count("requests_total{queue=\"" + std::to_string(i) + "\"}");
        metrics.count("task_starts_total{pool=\"" + std::to_string(i) + "\"}");
    }
    auto elapsed = 1ms;
    for (auto _ : run) {
        metrics.count("task_starts_total{pool=\"" + pool + "\"}");
        metrics.count("task_start_outcomes_total{outcome=\""
            + std::string(nameOf(commandOutcomeNames, CommandOutcome::Accepted)) + "\"}");
        metrics.observe("task_start_seconds", elapsed);
        elapsed = elapsed > 60ms ? 1ms : elapsed + 1ms;
    }
    setTimeEach(run, run.iterations());
}

void parsedReport(benchmark::State& run)
{
    const auto body = standin::heartbeatResponse(makeReport(2));
    for (auto _ : run)
        benchmark::DoNotOptimize(parseJson(body));
    setTimeEach(run, run.iterations());
}

} // namespace

BENCHMARK(startCommand)->Unit(benchmark::kMicrosecond);
BENCHMARK(heartbeat)->Arg(1)->Arg(3)->Unit(benchmark::kMicrosecond);
BENCHMARK(commitOfRows)->Unit(benchmark::kMicrosecond);
BENCHMARK(progressOfAJob)->Unit(benchmark::kMicrosecond);
BENCHMARK(logLine)->Unit(benchmark::kMicrosecond);
BENCHMARK(metricsOfAStart)->Unit(benchmark::kMicrosecond);
BENCHMARK(parsedReport)->Unit(benchmark::kMicrosecond);
BENCHMARK_MAIN();
