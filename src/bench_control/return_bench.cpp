#include "bench_pvt.h"

#include "../../testsuite/standins/fake_platform.h"

#include <damaskworks/store.h>

#include <algorithm>
#include <cstdio>
#include <memory>

namespace damask::bench {
namespace {

using namespace std::chrono_literals;

/// All intervals are this many times shorter than in the daemon.
constexpr int timeScale = 10;
constexpr std::chrono::milliseconds pollPeriod = 1000ms / timeScale;
constexpr std::chrono::milliseconds settleBackoff = 200ms / timeScale;
constexpr std::chrono::milliseconds scaledSecond = 1000ms / timeScale;
constexpr std::chrono::milliseconds calmPeriod = 5000ms / timeScale;
constexpr std::chrono::milliseconds outagePeriod = 60'000ms / timeScale;
constexpr std::chrono::milliseconds recoveryTimeout = 30'000ms / timeScale;
constexpr int lostAnswersPerNode = 4;

/// Measures the highest number of events within one scaled second.
class PeakRateMeter {
public:
    /// Takes the number of all events so far.
    void count(std::uint64_t total)
    {
        const auto now = std::chrono::steady_clock::now();
        m_samples.push_back({ now, total });
        while (m_samples.size() > 1 && now - m_samples.front().first > scaledSecond)
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

void measureTableRecovery(int nodeCount)
{
    Loop loop;
    standin::FakePlatform platform;
    auto injectedOutcome = standin::InjectedOutcome::Answer;
    PeakRateMeter reads;
    PeakRateMeter writes;
    Timer answerTimer(loop.base(), [&] {
        for (auto remaining = platform.pendingRequests(); remaining > 0; --remaining)
            platform.completeNext(injectedOutcome);
        reads.count(platform.reads);
        writes.count(platform.writes);
    });
    answerTimer.startPeriodic(1ms);
    auto runFor = [&](std::chrono::milliseconds time) { loop.runUntil([] { return false; }, time); };
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < nodeCount; ++i)
        nodes.push_back(std::make_unique<Node>(loop, platform, i));
    std::uint64_t answerCount = 0;
    auto commitOnEachNode = [&](int commitsPerNode) {
        for (auto& node : nodes) {
            for (int i = 0; i < commitsPerNode; ++i)
                node->store.commit({ {}, { { "f/x", "{}" } } }, [&](const auto&) { ++answerCount; });
        }
    };
    commitOnEachNode(1);
    runFor(calmPeriod);
    const auto peakCalmReads = reads.peak();
    injectedOutcome = standin::InjectedOutcome::LoseAnswer;
    commitOnEachNode(lostAnswersPerNode);
    runFor(2ms);
    injectedOutcome = standin::InjectedOutcome::Refuse;
    reads.reset();
    writes.reset();
    writes.count(platform.writes);
    runFor(outagePeriod);
    const auto peakOutageReads = reads.peak();
    const auto peakOutageWrites = writes.peak();
    reads.reset();
    writes.reset();
    const auto recoveryStart = std::chrono::steady_clock::now();
    injectedOutcome = standin::InjectedOutcome::Answer;
    writes.count(platform.writes);
    commitOnEachNode(1);
    loop.runUntil(
        [&] {
            return std::all_of(nodes.begin(), nodes.end(),
                [&](const auto& node) { return node->mirror.lastContact() > recoveryStart; });
        },
        recoveryTimeout);
    const std::chrono::duration<double> recoveryTime = std::chrono::steady_clock::now() - recoveryStart;
    runFor(calmPeriod);
    std::printf("return nodes=%d reads_per_s calm=%llu down=%llu back=%llu writes_per_s down=%llu back=%llu "
                "(one commit a node at the return) all_read_again_s=%.1f commits=%llu answered=%llu\n",
        nodeCount, static_cast<unsigned long long>(peakCalmReads),
        static_cast<unsigned long long>(peakOutageReads), static_cast<unsigned long long>(reads.peak()),
        static_cast<unsigned long long>(peakOutageWrites), static_cast<unsigned long long>(writes.peak()),
        recoveryTime.count() * timeScale,
        static_cast<unsigned long long>(nodeCount) * (2 + lostAnswersPerNode),
        static_cast<unsigned long long>(answerCount));
    std::fflush(stdout);
}

} // namespace damask::bench
