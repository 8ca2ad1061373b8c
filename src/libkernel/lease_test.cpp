#include <boost/test/unit_test.hpp>

#include <damaskworks/lease.h>

#include "../../testsuite/standins/table_model.h"

using namespace damask;
using namespace damask::lease;
using namespace std::chrono_literals;

namespace {

constexpr auto key = "pool/pricing";

struct Node {
    State state;
    TableVersion seenVersion = 0;
};

struct Fixture {
    Fixture()
    {
        for (auto name : { "a", "b", "c" })
            nodes[name].state.node = name;
        for (const auto& [name, node] : nodes)
            members.push_back(name);
        for (std::size_t i = 0; i < members.size(); ++i)
            nodesByRank.push_back(*std::find_if(members.begin(), members.end(),
                [&](const auto& member) { return rank(key, member, members) == i; }));
    }

    std::vector<Attempt> readAndPlan(const std::string& name)
    {
        auto& node = nodes[name];
        const auto changes = table.changes(leasePrefix, node.seenVersion);
        for (const auto& row : changes->rows)
            observe(node.state, row, now);
        node.seenVersion = changes->version;
        return planAttempts(node.state, settings, { { key }, members, now, false }, now);
    }

    void step(const std::string& name)
    {
        for (const auto& attempt : readAndPlan(name))
            applyResult(nodes[name].state, attempt, table.commit(attempt.transaction), now);
    }

    /// Runs all nodes except \p paused for \p time.
    void run(Duration time, const std::string& paused = "")
    {
        for (const auto end = now + time; now < end; now += 100ms) {
            for (auto& [name, node] : nodes) {
                if (name != paused)
                    step(name);
            }
        }
    }

    bool mayNodeAct(const std::string& name) { return mayAct(nodes[name].state, settings, key, now, now); }

    int holderCount()
    {
        int count = 0;
        for (const auto& [name, node] : nodes)
            count += mayNodeAct(name);
        return count;
    }

    standin::TableModel table;
    Settings settings;
    std::map<std::string, Node> nodes;
    std::vector<std::string> members;
    std::vector<std::string> nodesByRank;
    TimePoint now { 1h };
};

} // namespace

BOOST_FIXTURE_TEST_CASE(preferredNodeAcquiresAndKeepsTheLease, Fixture)
{
    run(30s);
    BOOST_TEST(mayNodeAct(nodesByRank[0]));
    BOOST_TEST(holderCount() == 1);
    BOOST_TEST(nodes[nodesByRank[0]].state.leases[key].content.epoch == 1u);
}

BOOST_FIXTURE_TEST_CASE(pausedHolderLosesTheLeaseAndItsTransactionsFail, Fixture)
{
    run(10s);
    const auto& paused = nodesByRank[0];
    const Transaction staleTransaction { { fenceCondition(nodes[paused].state, key) },
        { { "f/s/pool/pricing", "{}" } } };
    run(settings.length - settings.safetyMargin, paused);
    BOOST_TEST(!mayNodeAct(paused));
    run(5s, paused);
    BOOST_TEST(mayNodeAct(nodesByRank[1]));
    BOOST_TEST(!mayNodeAct(paused));
    BOOST_TEST(!table.commit(staleTransaction).has_value());
    // The paused node resumes and commits a renewal before it has read the lease row again.
    auto& state = nodes[paused].state;
    for (const auto& attempt : planAttempts(state, settings, { { key }, members, now, false }, now))
        applyResult(state, attempt, table.commit(attempt.transaction), now);
    BOOST_TEST(!mayNodeAct(paused));
    run(1s);
    BOOST_TEST(holderCount() == 1);
}

BOOST_FIXTURE_TEST_CASE(onlyAHandoverChangesTheFencingRow, Fixture)
{
    run(1s);
    const auto first = table.row("e/pool/pricing")->version;
    run(20s);
    BOOST_TEST(table.row("e/pool/pricing")->version == first);
    run(20s, nodesByRank[0]);
    BOOST_TEST(table.row("e/pool/pricing")->version > first);
}

BOOST_FIXTURE_TEST_CASE(noNodeAcquiresOrActsWithoutTableContact, Fixture)
{
    run(10s);
    const auto lastContact = now;
    now += settings.length * 3;
    for (auto& [name, node] : nodes) {
        BOOST_TEST(planAttempts(node.state, settings, { { key }, members, lastContact, false }, now).empty());
        BOOST_TEST(!mayAct(node.state, settings, key, lastContact, now));
    }
    run(10s);
    BOOST_TEST(holderCount() == 1);
}

BOOST_FIXTURE_TEST_CASE(leaseReturnsToThePreferredNode, Fixture)
{
    run(30s, nodesByRank[0]);
    BOOST_TEST(mayNodeAct(nodesByRank[1]));
    run(30s);
    BOOST_TEST(mayNodeAct(nodesByRank[0]));
    BOOST_TEST(holderCount() == 1);
}

// A row with a value of another type ended every node. One that was no object counted as a released lease,
// and two nodes acted until the holder had read it.
BOOST_FIXTURE_TEST_CASE(unreadableLeaseRowEndsNoNodeAndGrantsNothingBeforeTheExpiry, Fixture)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    for (const std::string& text :
        { std::string("{\"holder\":7}"), std::string("{\"holder\":\"x\",\"epoch\":-1}"),
            std::string("{\"holder\":\"x\",\"epoch\":18446744073709551615}"),
            std::string("{\"holder\":\"x\",\"epoch\":1e300}"), std::string("[]"), std::string(),
            "{\"holder\":" + deep + "}" }) {
        run(30s);
        BOOST_REQUIRE(holderCount() == 1);
        const auto epoch = nodes[nodesByRank[0]].state.leases[key].content.epoch;
        const auto fence = table.row("e/pool/pricing")->version;
        (void)table.commit({ {}, { { "l/pool/pricing", text } } });
        run(settings.length - 100ms);
        BOOST_TEST(table.row("e/pool/pricing")->version == fence, text.substr(0, 50));
        run(20s);
        BOOST_TEST(holderCount() == 1, text.substr(0, 50));
        BOOST_TEST(nodes[nodesByRank[0]].state.leases[key].content.epoch > epoch, text.substr(0, 50));
    }
}

BOOST_AUTO_TEST_CASE(leasesSpreadOverMembers)
{
    const std::vector<std::string> members { "a", "b", "c", "d", "e", "f", "g", "h" };
    std::map<std::string, int> keysPreferred;
    for (int i = 0; i < 800; ++i) {
        for (const auto& member : members)
            keysPreferred[member] += rank("pool/p" + std::to_string(i), member, members) == 0;
    }
    for (const auto& [member, count] : keysPreferred)
        BOOST_TEST((count > 60 && count < 140), member << " holds " << count);
}
