#include "bench_pvt.h"

#include "../../testsuite/standins/fake_platform.h"

#include <damaskworks/peer.h>
#include <damaskworks/store.h>

#include <algorithm>
#include <cstdio>
#include <memory>

namespace damask::bench {
namespace {

using namespace std::chrono_literals;

/// How nodes learn of a table change.
enum class PropagationMode {
    Poll, ///< polls the table every second
    PollAndHints, ///< also polls at once when the heartbeat of a peer shows a newer spec
    RarePollAndHints, ///< as PollAndHints, but polls every five seconds
    PeerRows, ///< polls every five seconds, and fetches newer rows from a peer
};

inline constexpr NameTable<PropagationMode, 4> propagationModeNames { {
    { PropagationMode::Poll, "poll 1 s" },
    { PropagationMode::PollAndHints, "poll 1 s + hints" },
    { PropagationMode::RarePollAndHints, "poll 5 s + hints" },
    { PropagationMode::PeerRows, "poll 5 s + peer rows" },
} };

/// Bytes of one poll apart from its rows: request and answer of the HTTP adapter.
constexpr std::uint64_t pollBytes = 310;
constexpr std::chrono::milliseconds tickPeriod { 1000 };
constexpr std::chrono::milliseconds shortWarmUp { 6000 };
constexpr std::chrono::milliseconds longWarmUp { 60'000 };
constexpr std::chrono::milliseconds changeInterval { 3000 };
constexpr int changeCount = 4;
constexpr int specRowCount = 100;

class Node {
public:
    Node(Loop& loop, Platform& platform, int number, int pools, PropagationMode mode)
        : m_mode(mode)
        , m_mirror(loop.base(), platform, m_clock, metrics,
              { "f/",
                  mode == PropagationMode::Poll || mode == PropagationMode::PollAndHints ? 1000ms : 5000ms,
                  "c", "" },
              static_cast<std::uint64_t>(number) + 1)
        , peers(loop.base(), m_clock, metrics,
              { [this] { return heartbeat(); },
                  [this](const Heartbeat& peerHeartbeat) { onPeerHeartbeat(peerHeartbeat); },
                  [this](TableVersion since) { return m_mirror.rowsSince(since); },
                  [this](const RowSet& set) { m_mirror.applyIfNewer(set); } },
              static_cast<std::uint64_t>(number) + 1000)
        , m_tick(loop.base(), [this] { peers.tick(); })
        , m_hint(loop.base(), [this] { peers.sendHints(); })
    {
        m_self.cluster = "c";
        m_self.node = "entry-" + std::to_string(number);
        m_self.dataCentre = "dc-" + std::to_string(number % 3);
        m_self.incarnation = 1'764'800'000'000'000 + static_cast<std::uint64_t>(number);
        m_self.address = { "127.0.0.1", *peers.listen({ "127.0.0.1", 0 }) };
        for (int i = 0; i < pools; ++i)
            m_self.loads.push_back({ "pool-" + std::to_string(i), 7, 3, 21.5F });
        m_mirror.addListener([this](const Row&) {
            if (m_mode != PropagationMode::Poll)
                m_hint.startOnce(0us);
        });
        m_mirror.start();
    }
    void start(const std::vector<ListedVm>& listedVms)
    {
        peers.setPeers(listedVms);
        m_tick.startPeriodic(tickPeriod);
    }
    ListedVm asListedVm() const
    {
        ListedVm vm;
        vm.id = m_self.node;
        vm.address = m_self.address;
        return vm;
    }
    TableVersion version() const { return m_mirror.version(); }
    void pollNow() { m_mirror.pollNow(); }

    Metrics metrics;

private:
    Heartbeat heartbeat()
    {
        ++m_self.sequence;
        m_self.tableVersion = m_mirror.version();
        m_self.specVersion = m_mirror.version();
        return m_self;
    }
    void onPeerHeartbeat(const Heartbeat& peerHeartbeat)
    {
        if (m_mode == PropagationMode::Poll || peerHeartbeat.specVersion <= m_mirror.version())
            return;
        if (m_mode == PropagationMode::PeerRows)
            peers.fetch(m_mirror.version());
        else
            m_mirror.pollNow();
    }

    PropagationMode m_mode;
    SystemClock m_clock;
    Heartbeat m_self;
    Mirror m_mirror;

public:
    PeerService peers;

private:
    Timer m_tick;
    Timer m_hint;
};

struct Result {
    double peerBytes = 0; ///< sent and received, per node and second
    double platformBytes = 0; ///< per node and second
    double readsPerSecond = 0; ///< table reads of all nodes
    double liveMembers = 0; ///< live members known to a node, mean over the nodes
    double oldestRecordSeconds = 0; ///< greatest age of a known heartbeat, sampled after each change
    std::vector<double> propagationSeconds; ///< for each change, until every node knows it; sorted
};

std::uint64_t peerBytes(const std::vector<std::unique_ptr<Node>>& nodes)
{
    std::uint64_t sum = 0;
    for (const auto& node : nodes) {
        sum += node->metrics.counter("damask_peer_bytes_total{direction=\"sent\"}");
        sum += node->metrics.counter("damask_peer_bytes_total{direction=\"received\"}");
    }
    return sum;
}

double oldestRecordAge(const std::vector<std::unique_ptr<Node>>& nodes)
{
    const auto now = std::chrono::steady_clock::now();
    std::chrono::duration<double> oldest { 0 };
    for (const auto& node : nodes) {
        for (const auto& [name, view] : node->peers.views())
            oldest = std::max<std::chrono::duration<double>>(oldest, now - view.lastHeard);
    }
    return oldest.count();
}

void commitChange(standin::FakePlatform& platform, int number)
{
    const auto key = "f/r/pool/" + std::to_string(number % specRowCount);
    (void)platform.table.commit({ {}, { { key, std::string(300, 'x') } } });
}

Result measure(int nodeCount, int pools, PropagationMode mode, std::chrono::milliseconds warmUp)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    standin::FakePlatform platform;
    for (int i = 0; i < specRowCount; ++i)
        commitChange(platform, i);
    Timer answerTimer(loop.base(), [&] {
        while (platform.pendingRequests() > 0)
            platform.completeNext(standin::InjectedOutcome::Answer);
    });
    answerTimer.startPeriodic(1ms);
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<ListedVm> listedVms;
    for (int i = 0; i < nodeCount; ++i) {
        nodes.push_back(std::make_unique<Node>(loop, platform, i, pools, mode));
        listedVms.push_back(nodes.back()->asListedVm());
    }
    for (auto& node : nodes) {
        node->start(listedVms);
        // Staggered, since daemons don't start at the same time.
        loop.runUntil([] { return false; }, tickPeriod / nodeCount);
    }
    loop.runUntil([] { return false; }, warmUp);
    Result result;
    const auto bytesBefore = peerBytes(nodes);
    const auto readsBefore = platform.reads;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < changeCount; ++i) {
        commitChange(platform, i);
        const auto changed = std::chrono::steady_clock::now();
        nodes[static_cast<std::size_t>(i % nodeCount)]->pollNow();
        auto everywhere = [&] {
            return std::all_of(nodes.begin(), nodes.end(),
                [&](const auto& node) { return node->version() >= platform.table.version(); });
        };
        loop.runUntil(everywhere, 30s);
        const auto now = std::chrono::steady_clock::now();
        result.oldestRecordSeconds = std::max(result.oldestRecordSeconds, oldestRecordAge(nodes));
        result.propagationSeconds.push_back(std::chrono::duration<double>(now - changed).count());
        loop.runUntil([] { return false; },
            std::max(
                0ms, changeInterval - std::chrono::duration_cast<std::chrono::milliseconds>(now - changed)));
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    const auto nodeSeconds = elapsed.count() * nodeCount;
    result.peerBytes = static_cast<double>(peerBytes(nodes) - bytesBefore) / nodeSeconds;
    const auto reads = static_cast<double>(platform.reads - readsBefore);
    result.readsPerSecond = reads / elapsed.count();
    result.platformBytes = reads * pollBytes / nodeSeconds;
    for (const auto& node : nodes) {
        const auto& known = node->peers.membership();
        for (const auto& [name, view] : known.members) {
            const bool isLive
                = membership::phase(known, view, std::chrono::steady_clock::now()) == membership::Phase::Live;
            result.liveMembers += isLive ? 1.0 / nodeCount : 0.0;
        }
    }
    std::sort(result.propagationSeconds.begin(), result.propagationSeconds.end());
    return result;
}

void printResult(int nodes, int pools, std::string_view name, const Result& result)
{
    std::printf("spread nodes=%d pools=%d way=\"%s\" peer_bytes_per_node_s=%.0f "
                "platform_bytes_per_node_s=%.0f (estimated) table_reads_per_s=%.1f live_members=%.1f "
                "oldest_record_s=%.1f "
                "known_everywhere_s median=%.3f max=%.3f\n",
        nodes, pools, std::string(name).c_str(), result.peerBytes, result.platformBytes,
        result.readsPerSecond, result.liveMembers, result.oldestRecordSeconds,
        result.propagationSeconds[result.propagationSeconds.size() / 2], result.propagationSeconds.back());
    std::fflush(stdout);
}

} // namespace

void measureSpread(int nodes, int pools)
{
    for (const auto& [mode, name] : propagationModeNames)
        printResult(nodes, pools, name, measure(nodes, pools, mode, shortWarmUp));
}

void measureSteady(int nodes, int pools)
{
    printResult(nodes, pools, "poll 1 s + hints, after 60 s",
        measure(nodes, pools, PropagationMode::PollAndHints, longWarmUp));
}

} // namespace damask::bench
