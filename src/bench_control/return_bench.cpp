#include "bench_pvt.h"

#include "../../testsuite/standins/fake_platform.h"

#include <damaskworks/store.h>

#include <algorithm>
#include <cstdio>
#include <memory>

namespace damask::bench {
namespace {

using namespace std::chrono_literals;

/// Times run ten times as fast as in the daemon.
constexpr int scale = 10;
constexpr std::chrono::milliseconds pollPeriod = 1000ms / scale;
constexpr std::chrono::milliseconds settleBackoff = 200ms / scale;
constexpr std::chrono::milliseconds secondScaled = 1000ms / scale;
constexpr std::chrono::milliseconds calm = 5000ms / scale;
constexpr std::chrono::milliseconds outage = 60'000ms / scale;
constexpr std::chrono::milliseconds after = 30'000ms / scale;
constexpr int lostPerNode = 4;

/// Most events within one (scaled) second.
class PeakRate {
public:
    void count(std::uint64_t total)
    {
        const auto now = std::chrono::steady_clock::now();
        m_samples.push_back({ now, total });
        while (m_samples.size() > 1 && now - m_samples.front().first > secondScaled)
            m_samples.pop_front();
        m_peak = std::max(m_peak, total - m_samples.front().second);
    }
    void reset()
    {
        m_samples.clear();
        m_peak = 0;
    }
    std::uint64_t peak() const { return m_peak; }

private:
    std::deque<std::pair<std::chrono::steady_clock::time_point, std::uint64_t>> m_samples;
    std::uint64_t m_peak = 0;
};

struct Node {
    Node(Loop& loop, Platform& platform, int number)
        : mirror(loop.base(), platform, clock, metrics, { "f/", pollPeriod, "c", "" },
            static_cast<std::uint64_t>(number))
        , store(loop.base(), platform, clock, metrics, std::to_string(number),
              static_cast<std::uint64_t>(number), { 6, settleBackoff, 32 })
    {
        mirror.start();
    }
    SystemClock clock;
    Metrics metrics;
    Mirror mirror;
    Store store;
};

} // namespace

void measureReturn(int count)
{
    Loop loop;
    standin::FakePlatform platform;
    auto fate = standin::InjectedOutcome::Answer;
    PeakRate reads;
    PeakRate writes;
    Timer answers(loop.base(), [&] {
        for (auto left = platform.pendingRequests(); left > 0; --left)
            platform.completeNext(fate);
        reads.count(platform.reads);
        writes.count(platform.writes);
    });
    answers.startPeriodic(1ms);
    auto pass = [&](std::chrono::milliseconds time) { loop.runUntil([] { return false; }, time); };
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < count; ++i)
        nodes.push_back(std::make_unique<Node>(loop, platform, i));
    std::uint64_t answered = 0;
    auto commitAll = [&](int each) {
        for (auto& node : nodes) {
            for (int i = 0; i < each; ++i)
                node->store.commit({ {}, { { "f/x", "{}" } } }, [&](const auto&) { ++answered; });
        }
    };
    commitAll(1);
    pass(calm);
    const auto calmReads = reads.peak();
    fate = standin::InjectedOutcome::LoseAnswer;
    commitAll(lostPerNode);
    pass(2ms);
    fate = standin::InjectedOutcome::Refuse;
    reads.reset();
    writes.reset();
    writes.count(platform.writes);
    pass(outage);
    const auto downReads = reads.peak();
    const auto downWrites = writes.peak();
    reads.reset();
    writes.reset();
    const auto returned = std::chrono::steady_clock::now();
    fate = standin::InjectedOutcome::Answer;
    writes.count(platform.writes);
    commitAll(1);
    loop.runUntil(
        [&] {
            return std::all_of(nodes.begin(), nodes.end(),
                [&](const auto& node) { return node->mirror.lastContact() > returned; });
        },
        after);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - returned;
    pass(calm);
    std::printf("return nodes=%d reads_per_s calm=%llu down=%llu back=%llu writes_per_s down=%llu back=%llu "
                "(one commit a node at the return) all_read_again_s=%.1f commits=%llu answered=%llu\n",
        count, static_cast<unsigned long long>(calmReads), static_cast<unsigned long long>(downReads),
        static_cast<unsigned long long>(reads.peak()), static_cast<unsigned long long>(downWrites),
        static_cast<unsigned long long>(writes.peak()), took.count() * scale,
        static_cast<unsigned long long>(count) * (2 + lostPerNode),
        static_cast<unsigned long long>(answered));
    std::fflush(stdout);
}

} // namespace damask::bench
