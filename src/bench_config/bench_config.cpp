/// \file
/// Cost of a configuration by the number of its queues: to read it, to apply it, and to look a queue up.
#include "../../platform/codec_pvt.h"

#include <damaskworks/job_directory.h>
#include <damaskworks/json_input.h>
#include <damaskworks/pool_plan.h>

#include <absl/strings/escaping.h>
#include <benchmark/benchmark.h>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint now { 1h };
constexpr WallTime wallNow { 1'000'000 };
constexpr int poolCount = 5;
constexpr int holderJobs = 1000;
constexpr int holderVms = 110;

std::string queueName(int number) { return "queue-" + std::to_string(10'000 + number); }
std::string poolName(int number) { return "pool-" + std::to_string(number % poolCount); }

/// A row of the operators' table as its client passes it on.
TableRow makeRow(int queueCount)
{
    auto routes = nlohmann::json::array();
    for (int i = 0; i < queueCount; ++i)
        routes.push_back(
            { { "name", queueName(i) }, { "host", "shop.test" }, { "prefix", "/" + queueName(i) + "/" },
                { "service", poolName(i) }, { "priority", 0 }, { "max_attempts", 3 }, { "stretch", 1.6 },
                { "target_latency_ms", 600 }, { "timeout_ms", 3000 } });
    auto services = nlohmann::json::array();
    for (int i = 0; i < poolCount; ++i)
        services.push_back({ { "name", poolName(i) }, { "enforces_capacity", false } });
    const nlohmann::json config = { { "version", 7 }, { "routes", routes }, { "services", services },
        { "limits", { { "max_body_bytes", 262144 } } } };
    return { "", "config", config.dump(), 7 };
}

FleetConfig makeConfig(int queueCount)
{
    auto config = wire::makeCodec()->decodeConfig(makeRow(queueCount));
    return std::move(*config);
}

/// The response with the row, read as the table's client does.
void readTheResponse(benchmark::State& run)
{
    const nlohmann::json response = { { "ver", 7 },
        { "rows",
            { { { "part", "" }, { "key", "config" }, { "ver", 7 },
                { "value", absl::Base64Escape(makeRow(static_cast<int>(run.range(0))).value) } } } } };
    const auto body = response.dump();
    for (auto _ : run) {
        const auto list = parseJsonWithList(body, "rows");
        const auto row = parseReadableMembers(list.entries.front());
        std::string value;
        benchmark::DoNotOptimize(absl::Base64Unescape(row["value"].get<std::string>(), &value));
    }
    run.counters["bytes"] = static_cast<double>(body.size());
}

void decodeTheConfiguration(benchmark::State& run)
{
    const auto codec = wire::makeCodec();
    const auto row = makeRow(static_cast<int>(run.range(0)));
    for (auto _ : run)
        benchmark::DoNotOptimize(codec->decodeConfig(row));
}

/// A pool whose VMs are full, with a backlog of jobs of the first eight queues.
PoolState makePool(const FleetConfig& config)
{
    PoolState state;
    state.pool = "pricing";
    applyQueues(state, config.queues);
    for (int i = 0; i < holderVms; ++i) {
        VmRegistration vm;
        vm.id = "vm-" + std::to_string(i);
        vm.machine = "m-" + std::to_string(i);
        vm.pool = "pricing";
        vm.capacity = { 16'000, 32'000, 0 };
        listVm(state, vm);
        VmReport report;
        report.bootTime = 1;
        applyReport(state, vm.id, report, now, now);
    }
    for (int i = 0; i < holderJobs; ++i) {
        StepSpec step;
        step.count = 8;
        step.need = { 2200, 100, 0 };
        step.estimate = 800ms;
        JobSpec job;
        job.id = "job-" + std::to_string(1'000'000 + i);
        job.queue = queueName(i % 8);
        job.pool = "pricing";
        job.steps = { step };
        job.acceptedAt = wallNow;
        addJob(state, std::move(job), "", false);
    }
    for (const auto& start : planStarts(state, now, wallNow))
        applyStartOutcome(
            state, start.vm, start.command.task, start.command.run, CommandOutcome::Accepted, now);
    return state;
}

/// One queue changes, of which no job waits; then the pass that follows.
void applyOneChangedQueueOnAHolder(benchmark::State& run)
{
    auto config = makeConfig(static_cast<int>(run.range(0)));
    auto state = makePool(config);
    state.work = {};
    for (auto _ : run) {
        config.queues.back().timeout += 1ms;
        applyQueues(state, config.queues);
        benchmark::DoNotOptimize(planStarts(state, now, wallNow));
        benchmark::DoNotOptimize(takeJobVisits(state));
        updateLoadSums(state, wallNow);
    }
    run.counters["job_updates"]
        = benchmark::Counter(static_cast<double>(state.work.jobUpdates), benchmark::Counter::kAvgIterations);
}

/// The pass alone, without any change.
void passWithoutAChange(benchmark::State& run)
{
    const auto config = makeConfig(static_cast<int>(run.range(0)));
    auto state = makePool(config);
    for (auto _ : run) {
        benchmark::DoNotOptimize(planStarts(state, now, wallNow));
        benchmark::DoNotOptimize(takeJobVisits(state));
        updateLoadSums(state, wallNow);
    }
}

void lookUpOfARequest(benchmark::State& run)
{
    const int queues = static_cast<int>(run.range(0));
    const auto config = makeConfig(queues);
    int number = 0;
    for (auto _ : run) {
        const auto path = "/" + queueName(number) + "/0123456789abcdef";
        number = (number + 7) % queues;
        benchmark::DoNotOptimize(config.route("shop.test", path));
    }
}

void lookUpByName(benchmark::State& run)
{
    const int queues = static_cast<int>(run.range(0));
    const auto config = makeConfig(queues);
    int number = 0;
    for (auto _ : run) {
        benchmark::DoNotOptimize(config.queue(queueName(number)));
        number = (number + 7) % queues;
    }
}

/// As FleetNode does after each batch of job rows.
void poolsThatNeedAHolder(benchmark::State& run)
{
    const auto config = makeConfig(static_cast<int>(run.range(0)));
    const JobDirectory directory;
    for (auto _ : run) {
        auto pools = directory.poolsWithUnfinishedJobs();
        pools.insert(std::string(coordinatorPool));
        for (const auto& queue : config.queues)
            pools.insert(queue.pool);
        benchmark::DoNotOptimize(pools);
    }
}

/// What every node does for each accepted job and each change of its state.
void rowsOfAJob(benchmark::State& run)
{
    const auto jobRow = [](int number) {
        StepSpec step;
        step.count = 8;
        step.need = { 2200, 100, 0 };
        step.estimate = 800ms;
        JobSpec job;
        job.id = "job-" + std::to_string(1'000'000 + number);
        job.queue = queueName(number % 8);
        job.pool = poolName(number);
        job.steps = { step };
        job.acceptedAt = wallNow;
        return TableRow { rows::jobPart(job.queue, job.id), rows::jobKey(job.id), encodeJob(job),
            static_cast<Version>(number + 1) };
    };
    JobDirectory directory;
    const int jobs = static_cast<int>(run.range(0));
    for (int i = 0; i < jobs; ++i)
        directory.apply(jobRow(i));
    const auto row = jobRow(jobs);
    const TableRow state { "pool/pool-0", rows::stateKey("job-" + std::to_string(1'000'000 + jobs)),
        encodeState(JobState::Running), 1 };
    for (auto _ : run) {
        directory.apply(row);
        directory.apply(state);
    }
}

void byQueues(benchmark::internal::Benchmark* bench)
{
    bench->Arg(8)->Arg(250)->Arg(2200)->Unit(benchmark::kMicrosecond);
}

BENCHMARK(readTheResponse)->Apply(byQueues);
BENCHMARK(decodeTheConfiguration)->Apply(byQueues);
BENCHMARK(applyOneChangedQueueOnAHolder)->Apply(byQueues);
BENCHMARK(passWithoutAChange)->Apply(byQueues);
BENCHMARK(lookUpOfARequest)->Apply(byQueues);
BENCHMARK(lookUpByName)->Apply(byQueues);
BENCHMARK(poolsThatNeedAHolder)->Apply(byQueues);
BENCHMARK(rowsOfAJob)->Arg(100)->Arg(1000)->Arg(10'000)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
