#include <boost/test/unit_test.hpp>

#include <cmath>
#include <damaskworks/peer.h>
#include <limits>
#include <random>

using namespace damask;
using namespace std::chrono_literals;

namespace {

struct Node {
    Node(Loop& loop, std::string name, std::string cluster = "c", PeerLimits limits = {})
        : service(loop.base(), clock, metrics,
            { [this] {
                 ++self.sequence;
                 return self;
             },
                [this](const Heartbeat&) { ++heartbeatCount; }, [this](TableVersion) { return rows; },
                [this](const RowSet& set) { fetchedSets.push_back(set); } },
            1, limits)
        , port(*service.listen({ "127.0.0.1", 0 }))
    {
        self.node = std::move(name);
        self.cluster = std::move(cluster);
        self.incarnation = 1;
        self.loads = { { "pricing", 3, 4, 5.0F } };
    }
    ListedVm asListedVm() const
    {
        ListedVm vm;
        vm.id = self.node;
        vm.address = { "127.0.0.1", port };
        return vm;
    }

    ManualClock clock;
    Metrics metrics;
    Heartbeat self;
    int heartbeatCount = 0; ///< heartbeats of peers that were accepted
    RowSet rows;
    std::vector<RowSet> fetchedSets;
    PeerService service;
    std::uint16_t port;
};

} // namespace

BOOST_AUTO_TEST_CASE(exchangeDeliversHeartbeatsBothWays)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    Node a(loop, "a");
    Node b(loop, "b");
    a.service.setPeers({ b.asListedVm() });
    a.service.tick();
    BOOST_REQUIRE(loop.runUntil([&] { return a.heartbeatCount == 1 && b.heartbeatCount == 1; }, 5s));
    BOOST_TEST(a.service.views().at("b").heartbeat.loads.at(0).queued == 4u);
}

// Shares of slots are computed from all rates; one that was infinite made all shares undefined.
BOOST_AUTO_TEST_CASE(rateThatIsNoNumberCountsAsNone)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    Node a(loop, "a");
    Node b(loop, "b");
    constexpr auto infinity = std::numeric_limits<float>::infinity();
    b.self.loads = { { "p1", 1, 1, infinity }, { "p2", 1, 1, std::nanf("") }, { "p3", 1, 1, -1.0F },
        { "p4", 1, 1, 2.5F } };
    a.service.setPeers({ b.asListedVm() });
    a.service.tick();
    BOOST_REQUIRE(loop.runUntil([&] { return a.heartbeatCount == 1; }, 5s));
    const auto& loads = a.service.views().at("b").heartbeat.loads;
    BOOST_REQUIRE(loads.size() == 4u);
    for (std::size_t i = 0; i < 3; ++i)
        BOOST_TEST(loads[i].arrivals == 0.0F);
    BOOST_TEST(loads[3].arrivals == 2.5F);
}

BOOST_AUTO_TEST_CASE(peerListedWithoutAValidAddressIsNotCalled)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    Node a(loop, "a");
    Node b(loop, "b");
    ListedVm odd;
    odd.id = "odd";
    for (int i = 0; i < 20; ++i) {
        a.service.setPeers({ odd });
        a.service.tick();
    }
    BOOST_TEST(a.metrics.text().find("damask_peer_connections_total") == std::string::npos);
    a.service.setPeers({ odd, b.asListedVm() });
    a.service.tick();
    BOOST_TEST(loop.runUntil([&] { return a.heartbeatCount == 1; }, 5s));
}

BOOST_AUTO_TEST_CASE(peerOfAnotherClusterIsRefusedAndCounted)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    Node a(loop, "a");
    Node b(loop, "b", "other");
    a.service.setPeers({ b.asListedVm() });
    a.service.tick();
    BOOST_REQUIRE(loop.runUntil([&] { return a.metrics.counter("damask_peer_failures_total") > 0; }, 5s));
    BOOST_TEST(b.heartbeatCount == 0);
    BOOST_TEST(b.metrics.counter("damask_peer_refused_total") == 1u);
}

BOOST_AUTO_TEST_CASE(heartbeatsAreRelayedBetweenUnconnectedNodes)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    Node a(loop, "a");
    Node b(loop, "b");
    Node c(loop, "c");
    a.service.setPeers({ b.asListedVm() });
    c.service.setPeers({ b.asListedVm() });
    Timer ticks(loop.base(), [&] {
        a.service.tick();
        c.service.tick();
    });
    ticks.startPeriodic(10ms);
    BOOST_TEST(loop.runUntil(
        [&] { return a.service.views().contains("c") && c.service.views().contains("a"); }, 5s));
}

BOOST_AUTO_TEST_CASE(fetchDeliversAllRowsInChunks)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    Node a(loop, "a");
    Node b(loop, "b");
    for (TableVersion version = 1; version <= 500; ++version)
        b.rows.rows.push_back(
            { "f/" + std::to_string(version), version, std::string(1000, 'x'), version % 7 == 0 });
    b.rows.version = 500;
    b.self.tableVersion = 500;
    a.service.setPeers({ b.asListedVm() });
    a.service.tick();
    BOOST_REQUIRE(loop.runUntil([&] { return a.heartbeatCount == 1; }, 5s));
    a.service.fetch(0);
    BOOST_REQUIRE(loop.runUntil([&] { return !a.fetchedSets.empty(); }, 5s));
    const auto& set = a.fetchedSets.front();
    BOOST_TEST(set.version == 500u);
    BOOST_REQUIRE(set.rows.size() == 500u);
    for (std::size_t i = 0; i < set.rows.size(); ++i) {
        BOOST_TEST(set.rows[i].key == b.rows.rows[i].key);
        BOOST_TEST(set.rows[i].deleted == b.rows.rows[i].deleted);
    }
}

BOOST_AUTO_TEST_CASE(peerOfAnotherProtocolIsRefusedAndCounted)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    Node a(loop, "a");
    Node b(loop, "b");
    a.self.protocol = peerProtocolVersion + 1;
    a.service.setPeers({ b.asListedVm() });
    a.service.tick();
    BOOST_REQUIRE(loop.runUntil([&] { return b.metrics.counter("damask_peer_refused_total") > 0; }, 5s));
    BOOST_TEST(b.heartbeatCount == 0);
}

BOOST_AUTO_TEST_CASE(garbageOnThePeerPortIsRefusedAndCounted)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    std::mt19937_64 random(20261203);
    const std::vector<std::string> starts { "GET / HTTP/1.1\r\n\r\n", std::string(8, '\0'),
        std::string(64, '\xff'), std::string("\x00\x00\x00\x00\xff\xff\xff\x7f", 8), "" };
    for (const auto& start : starts) {
        Node b(loop, "b");
        auto stream = rpc::connect(loop.base(), { "127.0.0.1", b.port });
        auto bytes = start;
        for (int i = 0; i < 4096; ++i)
            bytes.push_back(static_cast<char>(random()));
        auto writing = stream->write(bytes.data(), bytes.size())
                           .then([&] { stream->shutdownWrite(); })
                           .eagerlyEvaluate([](kj::Exception&&) {});
        BOOST_TEST(loop.runUntil([&] { return b.metrics.counter("damask_peer_refused_total") > 0; }, 5s));
        BOOST_TEST(b.heartbeatCount == 0);
    }
}

BOOST_AUTO_TEST_CASE(oversizedMessageIsRejectedAfterBoundedBytes)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    Node b(loop, "b");
    auto stream = rpc::connect(loop.base(), { "127.0.0.1", b.port });
    // The header announces one segment of 2^28 words, far above the message limit. 64 MiB of data follow.
    std::string bytes("\x00\x00\x00\x00\x00\x00\x00\x10", 8);
    bytes.resize(64 << 20, 'x');
    auto writing = stream->write(bytes.data(), bytes.size()).eagerlyEvaluate([](kj::Exception&&) {});
    BOOST_REQUIRE(loop.runUntil([&] { return b.metrics.counter("damask_peer_refused_total") > 0; }, 5s));
    BOOST_TEST(b.metrics.counter("damask_peer_bytes_total{direction=\"received\"}") < 2u << 20);
}

BOOST_AUTO_TEST_CASE(connectionWithoutCallsClosesAfterTheCallTimeout)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    Node b(loop, "b");
    auto stream = rpc::connect(loop.base(), { "127.0.0.1", b.port });
    const std::string start("\x00\x00\x00\x00\x08\x00", 6);
    auto writing = stream->write(start.data(), start.size()).eagerlyEvaluate([](kj::Exception&&) {});
    const std::string received = "damask_peer_bytes_total{direction=\"received\"}";
    char byte = 0;
    bool ended = false;
    auto reading = stream->tryRead(&byte, 1, 1)
                       .then([&](size_t) { ended = true; })
                       .eagerlyEvaluate([&](kj::Exception&&) { ended = true; });
    loop.runUntil([&] { return ended; }, 100ms);
    BOOST_TEST(!ended);
    b.clock.advance(6s);
    b.service.tick();
    BOOST_TEST(loop.runUntil([&] { return ended; }, 5s));
    BOOST_TEST(b.metrics.counter("damask_peer_refused_total") == 1u);
}

BOOST_AUTO_TEST_CASE(acceptedConnectionsAreLimited)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    PeerLimits limits;
    limits.acceptedConnections = 4;
    Node b(loop, "b", "c", limits);
    std::vector<kj::Own<kj::AsyncIoStream>> streams;
    for (int i = 0; i < 6; ++i)
        streams.push_back(rpc::connect(loop.base(), { "127.0.0.1", b.port }));
    BOOST_TEST(loop.runUntil([&] { return b.metrics.counter("damask_peer_refused_total") == 2; }, 5s));
}
