/// Configuration and membership under random interleavings of operators, cuts, freezes, replacements
/// and lost answers. The checker reads only what operators were told, the table's history and each
/// node's version over time.
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
/// Longest wait between polls of a node that was cut off.
constexpr int secondsBetweenPolls = 8;
constexpr int boundSeconds = 19;

/// What operators were told.
struct Told {
    std::string value;
    std::optional<PlatformResult<TableVersion>> answer;
};

struct World;

/// One process on one entry VM.
struct Node {
    Node(World& world, std::size_t slot);

    void observeVersion()
    {
        const auto* row = mirror.find(key);
        const TableVersion version = row ? row->version : 0;
        RC_ASSERT(version >= inForce);
        inForce = version;
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
    std::vector<RowSet> inbox; ///< from peers, under way
    std::uint64_t sequence = 0;
    TableVersion inForce = 0;
    bool isCutFromPlatform = false;
    bool isCutFromPeers = false;
    bool isFrozen = false;
};

struct World {
    World()
    {
        (void)table->commit({ {}, { { std::string(key), "first" } } });
        for (std::size_t slot = 0; slot < nodeCount; ++slot)
            replace(slot);
    }

    void replace(std::size_t slot)
    {
        // The earlier process stays as it is; its writes may still arrive.
        if (nodes[slot])
            earlier.push_back(std::move(nodes[slot]));
        nodes[slot] = std::make_unique<Node>(*this, slot);
        nodes[slot]->mirror.start();
    }

    void propose(Node& node)
    {
        const auto* row = node.mirror.find(key);
        if (!row)
            return;
        const auto index = told.size();
        told.push_back({ "change " + std::to_string(index), {} });
        node.store.commit(
            { { { std::string(key), row->version } }, { { std::string(key), told[index].value } } },
            [this, index](PlatformResult<TableVersion> result) { told[index].answer = std::move(result); });
    }

    void decide(Node& node, Fate fate)
    {
        if (node.platform.waiting() > 0)
            node.platform.decide(node.isCutFromPlatform ? Fate::LoseBefore : fate);
        // Lets the store's timers run, which have no wait here.
        loop.runUntil([] { return false; }, 0ms);
    }

    void exchange(Node& from, Node& to)
    {
        if (&from == &to || from.isCutFromPeers || to.isCutFromPeers || from.isFrozen || to.isFrozen)
            return;
        hear(to, from);
        hear(from, to);
    }

    /// As the daemon does: a node that is cut off takes rows, another one polls.
    void hear(Node& node, Node& sender)
    {
        const auto heard = sender.heartbeat();
        damask::membership::observe(node.membership, heard, clock.now());
        if (heard.tableVersion <= node.mirror.version())
            return;
        if (node.mirror.isTableUnreachable())
            node.inbox.push_back(sender.mirror.rowsSince(node.mirror.version()));
        else
            node.mirror.pollNow();
    }

    /// Rows that a peer sent arrive, in any order.
    void takeRows(Node& node, std::size_t index)
    {
        if (node.inbox.empty())
            return;
        const auto at = node.inbox.begin() + static_cast<std::ptrdiff_t>(index % node.inbox.size());
        const auto rows = *at;
        node.inbox.erase(at);
        node.mirror.applyIfNewer(rows);
    }

    void step(std::uint8_t byte)
    {
        auto& node = *nodes[byte % nodeCount];
        const auto action = byte / nodeCount % 16;
        if (action == 0)
            node.isFrozen = !node.isFrozen;
        if (node.isFrozen)
            return;
        constexpr Fate fates[] = { Fate::LoseBefore, Fate::LoseAfter, Fate::Delay, Fate::Duplicate };
        if (action == 1)
            node.isCutFromPlatform = !node.isCutFromPlatform;
        if (action == 2)
            node.isCutFromPeers = !node.isCutFromPeers;
        if (action == 3)
            replace(byte % nodeCount);
        if (action == 4 || action == 5)
            propose(node);
        if (action == 6 || action == 7)
            decide(node, fates[byte / 64U]);
        if (action == 8 && node.platform.late() > 0)
            node.platform.arrive(0);
        if (action == 9 || action == 10)
            exchange(node, *nodes[byte / 64U]);
        if (action == 11)
            node.mirror.pollNow();
        if (action == 12 || action == 13)
            takeRows(node, byte / 64U);
        if (action == 14 && !earlier.empty())
            exchange(*earlier[byte / 64U % earlier.size()], node);
        if (action >= 12)
            decide(node, Fate::Answer);
    }

    void check()
    {
        for (auto& node : nodes)
            node->observeVersion();
        clock.advance(1s);
    }

    /// All faults end; each node polls and meets a peer as the daemon does.
    void calm()
    {
        for (auto& node : nodes)
            node->isCutFromPlatform = node->isCutFromPeers = node->isFrozen = false;
        for (int second = 0; second < boundSeconds; ++second) {
            for (std::size_t slot = 0; slot < nodeCount; ++slot) {
                auto& node = *nodes[slot];
                if (second % secondsBetweenPolls == static_cast<int>(slot))
                    node.mirror.pollNow();
                exchange(node, *nodes[(slot + static_cast<std::size_t>(second)) % nodeCount]);
                for (int i = 0; i < 100 && node.platform.waiting() > 0; ++i)
                    decide(node, Fate::Answer);
                while (!node.inbox.empty())
                    takeRows(node, 0);
            }
            check();
        }
        // Processes that were replaced wake at last.
        for (auto& old : earlier) {
            old->isCutFromPeers = old->isFrozen = false;
            for (auto& node : nodes)
                exchange(*old, *node);
        }
        check();
    }

    void arriveLate()
    {
        for (auto& node : earlier)
            while (node->platform.late() > 0)
                node->platform.arrive(0);
        for (auto& node : nodes)
            while (node->platform.late() > 0)
                node->platform.arrive(0);
    }

    Loop loop;
    ManualClock clock;
    Metrics metrics;
    std::shared_ptr<TableModel> table = std::make_shared<TableModel>();
    std::uint64_t nextIncarnation = 1;
    std::vector<Told> told;
    std::vector<std::unique_ptr<Node>> earlier;
    std::array<std::unique_ptr<Node>, nodeCount> nodes;
};

Node::Node(World& world, std::size_t slot)
    : platform(world.table)
    , mirror(world.loop.base(), platform, world.clock, world.metrics, { "f/", 1h, "c", "" }, 1)
    , store(world.loop.base(), platform, world.clock, world.metrics, std::to_string(slot),
          world.nextIncarnation, { 3, 0ms, 4 })
{
    membership.self = "node-" + std::to_string(slot);
    // A process that ran for longer has a higher sequence.
    sequence = 1000 / world.nextIncarnation;
    membership.incarnation = world.nextIncarnation++;
}

int writesOf(const World& world, const std::string& value)
{
    const auto& history = world.table->history();
    return static_cast<int>(std::count_if(history.begin(), history.end(),
        [&](const Row& row) { return row.key == key && row.value == value; }));
}

} // namespace

RC_BOOST_PROP(
    acceptedConfigurationIsInForceEverywhereAndNeverReverts, (const std::vector<std::uint8_t>& steps))
{
    World world;
    for (const auto step : steps) {
        world.step(step);
        world.check();
    }
    world.arriveLate();
    world.calm();
    const auto present = world.table->row(key);
    for (const auto& node : world.nodes) {
        const auto* row = node->mirror.find(key);
        RC_ASSERT(row != nullptr);
        RC_ASSERT(row->version == present->version);
        RC_ASSERT(row->value == present->value);
        for (const auto& [name, view] : node->membership.members)
            RC_ASSERT(name != node->membership.self);
        for (const auto& other : world.nodes) {
            const auto& members = node->membership.members;
            auto seen = members.find(other->membership.self);
            if (seen != members.end())
                RC_ASSERT(seen->second.heartbeat.incarnation == other->membership.incarnation);
        }
    }
    for (const auto& one : world.told) {
        const auto writes = writesOf(world, one.value);
        if (!one.answer || (!*one.answer && one.answer->error().failure == PlatformFailure::OutcomeUnknown))
            RC_ASSERT(writes <= 1);
        else
            RC_ASSERT(writes == (*one.answer ? 1 : 0));
    }
}
