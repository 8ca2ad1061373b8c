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

/// How nodes learn of a change.
enum class Way {
    Poll, ///< of the table each second
    PollAndHints, ///< the same, and at once when a peer has a newer spec
    RarePollAndHints, ///< the same with a poll each five seconds
    PeerRows, ///< the table each five seconds; rows from the peer that has newer ones
};

inline constexpr NameTable<Way, 4> wayNames { {
    { Way::Poll, "poll 1 s" },
    { Way::PollAndHints, "poll 1 s + hints" },
    { Way::RarePollAndHints, "poll 5 s + hints" },
    { Way::PeerRows, "poll 5 s + peer rows" },
} };

/// Bytes of one poll besides its rows: the request and the answer of the HTTP adapter.
constexpr std::uint64_t pollBytes = 310;
constexpr std::chrono::milliseconds tickPeriod { 1000 };
constexpr std::chrono::milliseconds shortWarmUp { 6000 };
constexpr std::chrono::milliseconds longWarmUp { 60'000 };
constexpr std::chrono::milliseconds changeInterval { 3000 };
constexpr int changes = 4;
constexpr int rowsOfSpecs = 100;

class Node {
public:
    Node(Loop& loop, Platform& platform, int number, int pools, Way way)
        : m_way(way)
        , m_mirror(loop.base(), platform, m_clock, metrics,
              { "f/", way == Way::Poll || way == Way::PollAndHints ? 1000ms : 5000ms, "c", "" },
              static_cast<std::uint64_t>(number) + 1)
        , peers(loop.base(), m_clock, metrics,
              { [this] { return heartbeat(); }, [this](const Heartbeat& heard) { onPeer(heard); },
                  [this](TableVersion since) { return m_mirror.rowsSince(since); },
                  [this](const RowSet& set) { m_mirror.applyIfNewer(set); } },
              static_cast<std::uint64_t>(number) + 1000)
        , m_tick(loop.base(), [this] { peers.tick(); })
        , m_hint(loop.base(), [this] { peers.hint(); })
    {
        m_self.cluster = "c";
        m_self.node = "entry-" + std::to_string(number);
        m_self.dataCentre = "dc-" + std::to_string(number % 3);
        m_self.incarnation = 1'764'800'000'000'000 + static_cast<std::uint64_t>(number);
        m_self.address = { "127.0.0.1", *peers.listen({ "127.0.0.1", 0 }) };
        for (int i = 0; i < pools; ++i)
            m_self.loads.push_back({ "pool-" + std::to_string(i), 7, 3, 21.5F });
        m_mirror.addListener([this](const Row&) {
            if (m_way != Way::Poll)
                m_hint.startOnce(0us);
        });
        m_mirror.start();
    }
    void start(const std::vector<ListedVm>& all)
    {
        peers.setPeers(all);
        m_tick.startPeriodic(tickPeriod);
    }
    ListedVm listed() const
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
    void onPeer(const Heartbeat& heard)
    {
        if (m_way == Way::Poll || heard.specVersion <= m_mirror.version())
            return;
        if (m_way == Way::PeerRows)
            peers.fetch(m_mirror.version());
        else
            m_mirror.pollNow();
    }

    Way m_way;
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
    double readsPerSecond = 0; ///< of all nodes
    double knownMembers = 0; ///< live, mean over the nodes
    double oldestRecord = 0; ///< seconds, oldest that any node had of another, sampled at the changes
    std::vector<double> seconds; ///< until each change is known everywhere
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

double oldestRecord(const std::vector<std::unique_ptr<Node>>& nodes)
{
    const auto now = std::chrono::steady_clock::now();
    std::chrono::duration<double> oldest { 0 };
    for (const auto& node : nodes) {
        for (const auto& [name, view] : node->peers.views())
            oldest = std::max<std::chrono::duration<double>>(oldest, now - view.lastHeard);
    }
    return oldest.count();
}

void change(standin::FakePlatform& platform, int number)
{
    const auto key = "f/r/pool/" + std::to_string(number % rowsOfSpecs);
    (void)platform.table.commit({ {}, { { key, std::string(300, 'x') } } });
}

Result run(int count, int pools, Way way, std::chrono::milliseconds warmUp)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    standin::FakePlatform platform;
    for (int i = 0; i < rowsOfSpecs; ++i)
        change(platform, i);
    Timer answers(loop.base(), [&] {
        while (platform.pendingRequests() > 0)
            platform.completeNext(standin::InjectedOutcome::Answer);
    });
    answers.startPeriodic(1ms);
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<ListedVm> all;
    for (int i = 0; i < count; ++i) {
        nodes.push_back(std::make_unique<Node>(loop, platform, i, pools, way));
        all.push_back(nodes.back()->listed());
    }
    for (auto& node : nodes) {
        node->start(all);
        // Daemons start at different moments.
        loop.runUntil([] { return false; }, tickPeriod / count);
    }
    loop.runUntil([] { return false; }, warmUp);
    Result result;
    const auto bytesBefore = peerBytes(nodes);
    const auto readsBefore = platform.reads;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < changes; ++i) {
        change(platform, i);
        const auto changed = std::chrono::steady_clock::now();
        nodes[static_cast<std::size_t>(i % count)]->pollNow();
        auto everywhere = [&] {
            return std::all_of(nodes.begin(), nodes.end(),
                [&](const auto& node) { return node->version() >= platform.table.version(); });
        };
        loop.runUntil(everywhere, 30s);
        const auto now = std::chrono::steady_clock::now();
        result.oldestRecord = std::max(result.oldestRecord, oldestRecord(nodes));
        result.seconds.push_back(std::chrono::duration<double>(now - changed).count());
        loop.runUntil([] { return false; },
            std::max(
                0ms, changeInterval - std::chrono::duration_cast<std::chrono::milliseconds>(now - changed)));
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    const auto perNode = took.count() * count;
    result.peerBytes = static_cast<double>(peerBytes(nodes) - bytesBefore) / perNode;
    const auto reads = static_cast<double>(platform.reads - readsBefore);
    result.readsPerSecond = reads / took.count();
    result.platformBytes = reads * pollBytes / perNode;
    for (const auto& node : nodes) {
        const auto& known = node->peers.membership();
        for (const auto& [name, view] : known.members) {
            const bool isLive
                = membership::phase(known, view, std::chrono::steady_clock::now()) == membership::Phase::Live;
            result.knownMembers += isLive ? 1.0 / count : 0.0;
        }
    }
    std::sort(result.seconds.begin(), result.seconds.end());
    return result;
}

void print(int nodes, int pools, std::string_view name, const Result& result)
{
    std::printf("spread nodes=%d pools=%d way=\"%s\" peer_bytes_per_node_s=%.0f "
                "platform_bytes_per_node_s=%.0f (estimated) table_reads_per_s=%.1f live_members=%.1f "
                "oldest_record_s=%.1f "
                "known_everywhere_s median=%.3f max=%.3f\n",
        nodes, pools, std::string(name).c_str(), result.peerBytes, result.platformBytes,
        result.readsPerSecond, result.knownMembers, result.oldestRecord,
        result.seconds[result.seconds.size() / 2], result.seconds.back());
    std::fflush(stdout);
}

} // namespace

void measureSpread(int nodes, int pools)
{
    for (const auto& [way, name] : wayNames)
        print(nodes, pools, name, run(nodes, pools, way, shortWarmUp));
}

void measureSteady(int nodes, int pools)
{
    print(nodes, pools, "poll 1 s + hints, after 60 s", run(nodes, pools, Way::PollAndHints, longWarmUp));
}

} // namespace damask::bench
