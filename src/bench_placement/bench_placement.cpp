/// \file
/// Cost of placement passes over workers and queued jobs: a full pass, and a pass after the end of one job.
#include <benchmark/benchmark.h>

#include <damaskworks/placement.h>

using namespace damask;
using namespace damask::placement;

namespace {

/// The fleet size that the design must support.
constexpr std::int64_t workersAtTarget = 990;
constexpr std::int64_t acceleratorsAtTarget = 1500;
constexpr std::int64_t jobsAtTarget = 5000;
constexpr std::int64_t teamsAtTarget = 230;

/// Makes a fleet of \p workers workers in \p pools pools, with jobs and accelerators in proportion and a
/// fixed number of teams.
State makeFleet(std::int64_t workers, std::int64_t pools)
{
    State state;
    std::int64_t accelerators = acceleratorsAtTarget * workers / workersAtTarget;
    for (std::int64_t i = 0; i < workers; ++i) {
        const std::int64_t workerAccelerators
            = accelerators > 0 && i % 2 == 0 ? std::min<std::int64_t>(4, accelerators) : 0;
        accelerators -= workerAccelerators;
        Worker worker;
        worker.pool = "pool-" + std::to_string(i % pools);
        worker.rack = "rack-" + std::to_string(i / 4);
        worker.capacity = { 32, 131'072, double(workerAccelerators) };
        setWorker(state, "vm-" + std::to_string(i), worker);
    }
    for (std::int64_t i = 0; i < jobsAtTarget * workers / workersAtTarget; ++i) {
        JobSpec spec;
        spec.name = "job-" + std::to_string(i);
        spec.pool = "pool-" + std::to_string(i * 7 % pools);
        spec.team = "team-" + std::to_string(i % teamsAtTarget);
        spec.declared
            = { double(1 + i % 13), double(1024 * (1 + i % 17)), double(i % 5 == 0 ? 1 + i % 3 : 0) };
        spec.priority = Priority(i % 3);
        declareJob(state, spec);
    }
    for (std::int64_t i = 0; i < teamsAtTarget; ++i)
        setQuota(state, "team-" + std::to_string(i), Resources { 400, 4'000'000, 40 });
    return state;
}

void fullPass(benchmark::State& run)
{
    const auto initial = makeFleet(run.range(0), run.range(1));
    for (auto _ : run) {
        run.PauseTiming();
        auto state = initial;
        run.ResumeTiming();
        pass(state, 1, TimePoint(std::chrono::hours(1)));
        benchmark::DoNotOptimize(state);
    }
}

/// Ends one job and runs the next pass.
void passAfterOneChange(benchmark::State& run)
{
    auto state = makeFleet(run.range(0), run.range(1));
    const TimePoint now(std::chrono::hours(1));
    pass(state, 1, now);
    auto job = state.jobs.begin();
    for (auto _ : run) {
        while (!holdsWorker(job->second.progress.phase))
            job = std::next(job) == state.jobs.end() ? state.jobs.begin() : std::next(job);
        const auto task = job->second.progress.task;
        observe(state, { task, job->first, job->second.progress.vm, TaskState::Stopped }, now);
        pass(state, 1, now);
        job = std::next(job) == state.jobs.end() ? state.jobs.begin() : std::next(job);
    }
}

constexpr std::int64_t pools = 53;
BENCHMARK(fullPass)
    ->Args({ workersAtTarget, pools })
    ->Args({ workersAtTarget / 2, pools })
    ->Args({ workersAtTarget / 4, pools })
    ->Args({ workersAtTarget, 1 })
    ->Unit(benchmark::kMillisecond);
BENCHMARK(passAfterOneChange)
    ->Args({ workersAtTarget, pools })
    ->Args({ workersAtTarget / 2, pools })
    ->Args({ workersAtTarget / 4, pools })
    ->Args({ workersAtTarget, 1 })
    ->Unit(benchmark::kMicrosecond);

} // namespace
