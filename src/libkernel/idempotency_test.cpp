/// Claims of idempotency keys: at most one run per key despite lost replies, repeats and restarts.
#include <boost/test/unit_test.hpp>

#include <damaskworks/idempotency.h>

#include <map>
#include <rapidcheck.h>

using namespace damask::idempotency;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t nodeCount = 3;

struct Row {
    Claim claim;
    int version = 0;
};

/// An entry VM that may hold a claim whose outcome is not recorded yet.
struct Node {
    std::uint64_t incarnation = 1;
    std::optional<Claim> held;
    int version = 0;
    bool dispatched = false;
};

/// Entry VMs that claim one key in a table with conditional writes. Their steps interleave in any order.
struct Simulation {
    std::map<std::string, Row> table;
    std::vector<Node> nodes { nodeCount };
    std::chrono::system_clock::time_point now { 1000h };
    int runs = 0;
    int nextVersion = 1;

    Row* currentRow()
    {
        for (const auto& key : claimRowKeys(now, "h")) {
            if (auto found = table.find(key); found != table.end())
                return &found->second;
        }
        return nullptr;
    }

    bool isHolderAlive(const Claim& claim) const
    {
        return nodes[std::stoul(claim.node)].incarnation == claim.incarnation;
    }

    /// A request arrives at the node. The node holds the claim only if the table confirmed its write;
    /// \p isReplyLost means that the write took effect but its reply did not arrive.
    void arrive(std::uint64_t index, bool isReplyLost)
    {
        auto& node = nodes[index];
        if (node.held)
            return;
        if (auto* row = currentRow()) {
            decideRepeat(row->claim, "f", isHolderAlive(row->claim));
            return;
        }
        const Claim claim { std::to_string(index), node.incarnation, 0, "f", ClaimState::Running, {} };
        table[claimRowKeys(now, "h")[1]] = { claim, nextVersion };
        if (!isReplyLost) {
            node.held = claim;
            node.version = nextVersion;
        }
        ++nextVersion;
    }

    void dispatch(std::uint64_t index)
    {
        auto& node = nodes[index];
        if (!node.held || node.dispatched)
            return;
        node.dispatched = true;
        ++runs;
    }

    void recordOutcome(std::uint64_t index)
    {
        auto& node = nodes[index];
        auto* row = currentRow();
        if (!node.held || !row || row->version != node.version)
            return;
        if (node.dispatched)
            *row = { { node.held->node, node.held->incarnation, 0, "f", ClaimState::Done, StoredResponse {} },
                nextVersion++ };
        else
            table.clear();
        node = Node { node.incarnation };
    }

    void restart(std::uint64_t index) { nodes[index] = Node { nodes[index].incarnation + 1 }; }
};

} // namespace

BOOST_AUTO_TEST_CASE(keyIsRunAtMostOnceWithinRetention)
{
    const bool holds = rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
        Simulation simulation;
        for (auto [kind, nodeNumber] : steps) {
            const auto index = nodeNumber % nodeCount;
            if (kind % 6 < 2)
                simulation.arrive(index, kind % 6 == 1);
            else if (kind % 6 == 2)
                simulation.dispatch(index);
            else if (kind % 6 == 3)
                simulation.recordOutcome(index);
            else if (kind % 6 == 4)
                simulation.restart(index);
            else if (simulation.runs == 0)
                simulation.now += 1h;
            RC_ASSERT(simulation.runs <= 1);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(repeatDecisionDependsOnClaim)
{
    Claim claim { "a", 1, 0, "f", ClaimState::Running, {} };
    BOOST_TEST((decideRepeat(claim, "f", true) == RepeatDecision::InUse));
    BOOST_TEST((decideRepeat(claim, "f", false) == RepeatDecision::OutcomeUnknown));
    BOOST_TEST((decideRepeat(claim, "g", true) == RepeatDecision::OtherRequest));
    claim.state = ClaimState::Unknown;
    BOOST_TEST((decideRepeat(claim, "f", true) == RepeatDecision::OutcomeUnknown));
    claim.state = ClaimState::Done;
    BOOST_TEST((decideRepeat(claim, "f", false) == RepeatDecision::ResponseNotStored));
    claim.response = StoredResponse {};
    BOOST_TEST((decideRepeat(claim, "f", false) == RepeatDecision::Replay));
}

BOOST_AUTO_TEST_CASE(claimIsFoundDespiteClockDifferenceUpToRetention)
{
    rc::check([] {
        const std::chrono::system_clock::time_point made { std::chrono::minutes(
            *rc::gen::inRange(10'000, 10'000'000)) };
        const auto later = made + std::chrono::minutes(*rc::gen::inRange(-720, 720));
        const auto written = claimRowKeys(made, "h")[1];
        const auto lookedUp = claimRowKeys(later, "h");
        RC_ASSERT(std::find(lookedUp.begin(), lookedUp.end(), written) != lookedUp.end());
        for (std::uint64_t slice = 0; slice < 16384; slice += 4096)
            RC_ASSERT(
                !written.starts_with(expiredClaimPrefix(later, slice).substr(0, written.rfind('/') + 1)));
    });
}
