/// \file
/// Configuration and membership under random interleavings of operator changes, disconnections, suspensions,
/// replacements and lost responses. The checks use only the responses to operators, the history of the table
/// and the version of each node over time.
#include "../standins/fake_platform.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <damaskworks/membership.h>
#include <damaskworks/store.h>

#include <algorithm>

using namespace damask;
using namespace damask::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodeCount = 4;
constexpr std::string_view key = "f/r/configuration/current";
/// Longest time between polls of a node that was disconnected from the platform.
constexpr int pollIntervalSeconds = 8;
constexpr int recoveryBoundSeconds = 19;

/// A change by an operator, and the response once there is one.
struct OperatorChange {
    std::string value;
    std::optional<PlatformResult<TableVersion>> result;
};

struct SimulatedCluster;

/// One daemon process on one entry VM.
struct Node {
    Node(SimulatedCluster& cluster, std::size_t slot);

    void observeVersion()
    {
        const auto* row = mirror.find(key);
        const TableVersion version = row ? row->version : 0;
        RC_ASSERT(version >= lastVersion);
        lastVersion = version;
    }
    Heartbeat heartbeat()
    {
        Heartbeat out;
        out.node = membership.self;
        out.incarnation = membership.incarnation;
        out.sequence = ++sequence;
        out.tableVersion = mirror.version();
        return out;
    }

    FakePlatform platform;
    Mirror mirror;
    Store store;
    damask::membership::State membership;
    std::vector<RowSet> pendingRowSets; ///< sent by peers and not delivered yet
    std::uint64_t sequence = 0;
    TableVersion lastVersion = 0;
    bool isDisconnectedFromPlatform = false;
    bool isDisconnectedFromPeers = false;
    bool isSuspended = false;
};

struct SimulatedCluster {
    SimulatedCluster()
    {
        (void)table->commit({ {}, { { std::string(key), "first" } } });
        for (std::size_t slot = 0; slot < nodeCount; ++slot)
            replaceNode(slot);
    }

    void replaceNode(std::size_t slot)
    {
        // The replaced process is kept, since its delayed writes may still arrive.
        if (nodes[slot])
            replacedNodes.push_back(std::move(nodes[slot]));
        nodes[slot] = std::make_unique<Node>(*this, slot);
        nodes[slot]->mirror.start();
    }

    void proposeChange(Node& node)
    {
        const auto* row = node.mirror.find(key);
        if (!row)
            return;
        const auto index = changes.size();
        changes.push_back({ "change " + std::to_string(index), {} });
        node.store.commit(
            { { { std::string(key), row->version } }, { { std::string(key), changes[index].value } } },
            [this, index](
                PlatformResult<TableVersion> committed) { changes[index].result = std::move(committed); });
    }

    void completeRequest(Node& node, InjectedOutcome outcome)
    {
        if (node.platform.pendingRequests() > 0)
            node.platform.completeNext(
                node.isDisconnectedFromPlatform ? InjectedOutcome::LoseRequest : outcome);
        // Runs the timers of the store, whose delays are zero in this test.
        loop.runUntil([] { return false; }, 0ms);
    }

    void exchangeHeartbeats(Node& from, Node& to)
    {
        if (&from == &to || from.isDisconnectedFromPeers || to.isDisconnectedFromPeers || from.isSuspended
            || to.isSuspended)
            return;
        receiveHeartbeat(to, from);
        receiveHeartbeat(from, to);
    }

    /// Handles a heartbeat as the daemon does: if the sender has a newer table version, a node without the
    /// table gets the rows from the sender, and any other node polls the table.
    void receiveHeartbeat(Node& node, Node& sender)
    {
        const auto received = sender.heartbeat();
        damask::membership::observe(node.membership, received, clock.now());
        if (received.tableVersion <= node.mirror.version())
            return;
        if (node.mirror.isTableUnreachable())
            node.pendingRowSets.push_back(sender.mirror.rowsSince(node.mirror.version()));
        else
            node.mirror.pollNow();
    }

    /// Delivers one set of rows from a peer; \p index selects it, so sets arrive in any order.
    void deliverRows(Node& node, std::size_t index)
    {
        if (node.pendingRowSets.empty())
            return;
        const auto at
            = node.pendingRowSets.begin() + static_cast<std::ptrdiff_t>(index % node.pendingRowSets.size());
        const auto rows = *at;
        node.pendingRowSets.erase(at);
        node.mirror.applyIfNewer(rows);
    }

    void runStep(std::uint8_t byte)
    {
        auto& node = *nodes[byte % nodeCount];
        const auto action = byte / nodeCount % 16;
        if (action == 0)
            node.isSuspended = !node.isSuspended;
        if (node.isSuspended)
            return;
        constexpr InjectedOutcome faultOutcomes[] = { InjectedOutcome::LoseRequest,
            InjectedOutcome::LoseAnswer, InjectedOutcome::Delay, InjectedOutcome::Duplicate };
        if (action == 1)
            node.isDisconnectedFromPlatform = !node.isDisconnectedFromPlatform;
        if (action == 2)
            node.isDisconnectedFromPeers = !node.isDisconnectedFromPeers;
        if (action == 3)
            replaceNode(byte % nodeCount);
        if (action == 4 || action == 5)
            proposeChange(node);
        if (action == 6 || action == 7)
            completeRequest(node, faultOutcomes[byte / 64U]);
        if (action == 8 && node.platform.delayedWrites() > 0)
            node.platform.deliverWrite(0);
        if (action == 9 || action == 10)
            exchangeHeartbeats(node, *nodes[byte / 64U]);
        if (action == 11)
            node.mirror.pollNow();
        if (action == 12 || action == 13)
            deliverRows(node, byte / 64U);
        if (action == 14 && !replacedNodes.empty())
            exchangeHeartbeats(*replacedNodes[byte / 64U % replacedNodes.size()], node);
        if (action >= 12)
            completeRequest(node, InjectedOutcome::Answer);
    }

    void check()
    {
        for (auto& node : nodes)
            node->observeVersion();
        clock.advance(1s);
    }

    /// Ends all faults; then each node polls and exchanges heartbeats with a peer as the daemon does.
    void recover()
    {
        for (auto& node : nodes)
            node->isDisconnectedFromPlatform = node->isDisconnectedFromPeers = node->isSuspended = false;
        for (int second = 0; second < recoveryBoundSeconds; ++second) {
            for (std::size_t slot = 0; slot < nodeCount; ++slot) {
                auto& node = *nodes[slot];
                if (second % pollIntervalSeconds == static_cast<int>(slot))
                    node.mirror.pollNow();
                exchangeHeartbeats(node, *nodes[(slot + static_cast<std::size_t>(second)) % nodeCount]);
                for (int i = 0; i < 100 && node.platform.pendingRequests() > 0; ++i)
                    completeRequest(node, InjectedOutcome::Answer);
                while (!node.pendingRowSets.empty())
                    deliverRows(node, 0);
            }
            check();
        }
        // Replaced processes resume last.
        for (auto& old : replacedNodes) {
            old->isDisconnectedFromPeers = old->isSuspended = false;
            for (auto& node : nodes)
                exchangeHeartbeats(*old, *node);
        }
        check();
    }

    void deliverDelayedWrites()
    {
        for (auto& node : replacedNodes)
            while (node->platform.delayedWrites() > 0)
                node->platform.deliverWrite(0);
        for (auto& node : nodes)
            while (node->platform.delayedWrites() > 0)
                node->platform.deliverWrite(0);
    }

    Loop loop;
    ManualClock clock;
    Metrics metrics;
    std::shared_ptr<TableModel> table = std::make_shared<TableModel>();
    std::uint64_t nextIncarnation = 1;
    std::vector<OperatorChange> changes;
    std::vector<std::unique_ptr<Node>> replacedNodes;
    std::array<std::unique_ptr<Node>, nodeCount> nodes;
};

Node::Node(SimulatedCluster& cluster, std::size_t slot)
    : platform(cluster.table)
    , mirror(cluster.loop.base(), platform, cluster.clock, cluster.metrics, { "f/", 1h, "c", "" }, 1)
    , store(cluster.loop.base(), platform, cluster.clock, cluster.metrics, std::to_string(slot),
          cluster.nextIncarnation, { 3, 0ms, 4 })
{
    membership.self = "node-" + std::to_string(slot);
    // An older process has a higher sequence number.
    sequence = 1000 / cluster.nextIncarnation;
    membership.incarnation = cluster.nextIncarnation++;
}

int writesOf(const SimulatedCluster& cluster, const std::string& value)
{
    const auto& history = cluster.table->history();
    return static_cast<int>(std::count_if(history.begin(), history.end(),
        [&](const Row& row) { return row.key == key && row.value == value; }));
}

} // namespace

RC_BOOST_PROP(
    acceptedConfigurationIsInForceEverywhereAndNeverReverts, (const std::vector<std::uint8_t>& steps))
{
    SimulatedCluster cluster;
    for (const auto step : steps) {
        cluster.runStep(step);
        cluster.check();
    }
    cluster.deliverDelayedWrites();
    cluster.recover();
    const auto current = cluster.table->row(key);
    for (const auto& node : cluster.nodes) {
        const auto* row = node->mirror.find(key);
        RC_ASSERT(row != nullptr);
        RC_ASSERT(row->version == current->version);
        RC_ASSERT(row->value == current->value);
        for (const auto& [name, view] : node->membership.members)
            RC_ASSERT(name != node->membership.self);
        for (const auto& other : cluster.nodes) {
            const auto& members = node->membership.members;
            auto seen = members.find(other->membership.self);
            if (seen != members.end())
                RC_ASSERT(seen->second.heartbeat.incarnation == other->membership.incarnation);
        }
    }
    for (const auto& change : cluster.changes) {
        const auto writes = writesOf(cluster, change.value);
        if (!change.result
            || (!*change.result && change.result->error().failure == PlatformFailure::OutcomeUnknown))
            RC_ASSERT(writes <= 1);
        else
            RC_ASSERT(writes == (*change.result ? 1 : 0));
    }
}
