/// \file
/// Cost of a pool's holder by the number of its VMs: a turn's peak, with every VM full and a backlog of jobs.
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

void sumOfTheLoadAfterAReport(benchmark::State& run)
{
    auto state = makePool(static_cast<int>(run.range(0)));
    for (auto _ : run) {
        markChanged(state, state.vms.begin()->second);
        updateLoadSums(state, wallNow);
        benchmark::DoNotOptimize(state.loadSums.jobs);
    }
}

/// Reports on the VM that \p endCount of its runs have ended.
void reportEnds(PoolState& state, VmState& vm, std::size_t endCount)
{
    VmReport report;
    report.bootTime = 1;
    for (const auto& id : vm.runs) {
        const auto number = findTask(state, id)->run->number;
        if (report.ended.size() < endCount)
            report.ended.push_back({ vm.applied + report.ended.size() + 1, id, number, EndKind::Done, "" });
        else
            report.running.push_back({ id, number, "", 50, 0 });
    }
    applyReport(state, vm.entry.id, report, now, now);
}

/// A pass after the reports of a few VMs, which replaces the runs that have ended. Its time for each start
/// must not grow with the number of VMs or of waiting jobs.
void startsOfABusyPool(benchmark::State& run)
{
    constexpr int reportsPerPass = 4;
    constexpr std::size_t endsPerReport = 2;
    const int vmCount = static_cast<int>(run.range(0));
    auto state = makePool(vmCount);
    int jobs = vmCount * backlogPerVm;
    int vm = 0;
    std::int64_t starts = 0;
    for (auto _ : run) {
        for (int i = 0; i < reportsPerPass; ++i, vm = (vm + 1) % vmCount)
            reportEnds(state, state.vms.at("vm-" + std::to_string(vm)), endsPerReport);
        addJob(state, makeJob(jobs++), "", false);
        const auto vms = takeVmVisits(state, now);
        expireLeases(state, vms, now);
        planEvacuations(state, vms, now);
        planStops(state, vms, now, 100);
        const auto planned = planStarts(state, now, wallNow);
        for (const auto& start : planned)
            applyStartOutcome(
                state, start.vm, start.command.task, start.command.run, CommandOutcome::Accepted, now);
        for (const auto& id : takeJobVisits(state)) {
            if (isFinal(state.jobs.at(id).state))
                removeJob(state, id);
        }
        updateLoadSums(state, wallNow);
        starts += static_cast<std::int64_t>(planned.size());
    }
    run.SetItemsProcessed(starts);
}

BENCHMARK(startsOfABusyPool)->Arg(110)->Arg(350)->Arg(1100)->Unit(benchmark::kMicrosecond);
BENCHMARK(sumOfTheLoadAfterAReport)->Arg(30)->Arg(130)->Arg(350)->Arg(1100)->Unit(benchmark::kMicrosecond);
BENCHMARK(planStartsOfABacklog)->Arg(30)->Arg(130)->Arg(350)->Arg(1100)->Unit(benchmark::kMicrosecond);
BENCHMARK(planStopsOfFullVms)->Arg(30)->Arg(130)->Arg(350)->Arg(1100)->Unit(benchmark::kMicrosecond);
BENCHMARK(sumOfTheLoad)->Arg(30)->Arg(130)->Arg(350)->Arg(1100)->Unit(benchmark::kMicrosecond);
BENCHMARK(reportOfOneVm)->Arg(30)->Arg(130)->Arg(350)->Arg(1100)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
