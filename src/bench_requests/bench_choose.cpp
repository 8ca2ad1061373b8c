/// \file
/// Cost of the decisions on the request path by size of the pool and of the queue.
#include <benchmark/benchmark.h>

#include <damaskworks/registry.h>
#include <damaskworks/request_policy.h>

using namespace damask;
using namespace damask::request;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slotsPerEndpoint = 8;
constexpr TimePoint start { 1h };

State makeState(std::int64_t endpoints, const std::string& balancer)
{
    PoolChanged change { "pricing", {}, {} };
    change.settings.balancer = balancer;
    change.settings.queueLimit = 1'000'000;
    for (std::int64_t index = 0; index < endpoints; ++index)
        change.endpoints.push_back({ "vm-" + std::to_string(index), slotsPerEndpoint, 0, true });
    State state;
    decide(state, change, start);
    return state;
}

void choose(benchmark::State& run, const std::string& balancer)
{
    auto state = makeState(run.range(0), balancer);
    auto& pool = state.pools.at("pricing");
    const Candidates candidates { pool.availableLocal, pool.cursor, 0.05, 10s, start, state.random };
    for (auto _ : run)
        benchmark::DoNotOptimize(&pool.balancer->choose(candidates));
}

void requestAndAnswer(benchmark::State& run)
{
    auto state = makeState(run.range(0), "weighted");
    Arrived arrived { 0, "pricing", start + 1s, false, false, "caller" };
    for (auto _ : run) {
        ++arrived.id;
        benchmark::DoNotOptimize(decide(state, arrived, start));
        decide(state, AttemptEnded { arrived.id, AttemptEnded::Result::Answered, 1 }, start + 50ms);
    }
}

void tick(benchmark::State& run)
{
    auto state = makeState(1, "weighted");
    for (std::int64_t id = 1; id <= run.range(0); ++id)
        decide(state, Arrived { RequestId(id), "pricing", start + 1h, false, false, "caller" }, start);
    for (auto _ : run)
        benchmark::DoNotOptimize(decide(state, Tick {}, start + 1s));
}

} // namespace

BENCHMARK_CAPTURE(choose, weighted, "weighted")->Arg(10)->Arg(90)->Arg(990);
BENCHMARK_CAPTURE(choose, round_robin, "round_robin")->Arg(10)->Arg(90)->Arg(990);
BENCHMARK_CAPTURE(choose, least_outstanding, "least_outstanding")->Arg(10)->Arg(90)->Arg(990);
BENCHMARK(requestAndAnswer)->Arg(10)->Arg(90)->Arg(990);
BENCHMARK(tick)->Arg(100)->Arg(10'000)->Arg(100'000);

BENCHMARK_MAIN();
