/// \file
/// Cost of one pass of a pool's holder by the number of its VMs: a turn's peak, with every VM full and a
/// backlog of jobs.
#include <damaskworks/pool_plan.h>

#include <benchmark/benchmark.h>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint now { 1h };
constexpr WallTime wallNow { 1'000'000 };
constexpr int tasksPerJob = 8;
constexpr std::int64_t cpuPerTask = 2200;
/// Waiting jobs per VM, as in the time of a queue on the large deployment.
constexpr int backlogPerVm = 4;

JobSpec makeJob(int number)
{
    StepSpec step;
    step.count = tasksPerJob;
    step.need = { cpuPerTask, 100, 0 };
    step.estimate = 800ms;
    JobSpec job;
    job.id = "job-" + std::to_string(1'000'000 + number);
    job.queue = "quotes";
    job.pool = "pricing";
    job.steps = { step };
    job.acceptedAt = wallNow;
    return job;
}

/// A pool whose VMs are full and whose queue holds backlogPerVm jobs for each VM.
PoolState makePool(int vmCount)
{
    PoolState state;
    state.pool = "pricing";
    Queue queue;
    queue.name = "quotes";
    queue.pool = "pricing";
    queue.stretch = 1.6;
    queue.latencyTarget = 600ms;
    state.queues.emplace(queue.name, queue);
    for (int i = 0; i < vmCount; ++i) {
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
    for (int i = 0; i < vmCount * backlogPerVm; ++i)
        addJob(state, makeJob(i), "", false);
    for (const auto& start : planStarts(state, now, wallNow))
        applyStartOutcome(
            state, start.vm, start.command.task, start.command.run, CommandOutcome::Accepted, now);
    return state;
}

void planStartsOfABacklog(benchmark::State& run)
{
    auto state = makePool(static_cast<int>(run.range(0)));
    for (auto _ : run)
        benchmark::DoNotOptimize(planStarts(state, now, wallNow));
}

void planStopsOfFullVms(benchmark::State& run)
{
    auto state = makePool(static_cast<int>(run.range(0)));
    for (auto _ : run)
        benchmark::DoNotOptimize(planStops(state, now));
}

void sumOfTheLoad(benchmark::State& run)
{
    auto state = makePool(static_cast<int>(run.range(0)));
    for (auto _ : run)
        benchmark::DoNotOptimize(computeLoad(state, now, wallNow));
}

void reportOfOneVm(benchmark::State& run)
{
    auto state = makePool(static_cast<int>(run.range(0)));
    VmReport report;
    report.bootTime = 1;
    for (const auto& id : state.vms.begin()->second.runs)
        report.running.push_back({ id, findTask(state, id)->run->number, "", 50, 0 });
    for (auto _ : run)
        applyReport(state, state.vms.begin()->first, report, now, now);
}

BENCHMARK(planStartsOfABacklog)->Arg(30)->Arg(130)->Arg(350)->Arg(1100)->Unit(benchmark::kMicrosecond);
BENCHMARK(planStopsOfFullVms)->Arg(30)->Arg(130)->Arg(350)->Arg(1100)->Unit(benchmark::kMicrosecond);
BENCHMARK(sumOfTheLoad)->Arg(30)->Arg(130)->Arg(350)->Arg(1100)->Unit(benchmark::kMicrosecond);
BENCHMARK(reportOfOneVm)->Arg(30)->Arg(130)->Arg(350)->Arg(1100)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
