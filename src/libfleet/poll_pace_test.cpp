/// \file
/// Replays many nodes that make requests to one table at the times which the functions tell, without a
/// network.
#include <damaskworks/poll_budget.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <vector>

using namespace damask::fleet;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t nodeCount = 300;
constexpr double readsPerSecond = 2000;
constexpr milliseconds responseTime { 4 };
constexpr std::size_t readsPerLoad = 40;

/// Serves a number of calls in each second, without saving up more than a tenth of it.
class LimitedTable {
public:
    bool serve(milliseconds at)
    {
        ++calls[at / 100ms];
        m_tokens = std::min(readsPerSecond / 10,
            m_tokens + readsPerSecond * std::chrono::duration<double>(at - m_last).count());
        m_last = at;
        const bool isServed = at >= outageUntil && m_tokens >= 1;
        if (isServed)
            --m_tokens;
        served += isServed;
        refused += !isServed;
        return isServed;
    }

    milliseconds outageUntil { 0 };
    std::map<std::int64_t, int> calls; ///< by tenth of a second
    int served = 0;
    int refused = 0;

private:
    double m_tokens = readsPerSecond / 10;
    milliseconds m_last { 0 };
};

struct Node {
    std::size_t readsLeft = 0; ///< of the load
    milliseconds restraint { 0 };
    std::optional<milliseconds> doneAt; ///< when the load ended
};

/// Nodes in order of their next requests.
struct Fleet {
    explicit Fleet(std::size_t reads)
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            nodes.push_back({ reads, 0ms, {} });
            next.emplace(
                std::chrono::duration_cast<milliseconds>(20ms * random()), i); // all start within 20 ms
        }
    }

    double random() { return std::uniform_real_distribution<>(0, 1)(generator); }

    void run(milliseconds until)
    {
        while (next.begin()->first < until) {
            const auto [at, index] = *next.begin();
            next.erase(next.begin());
            next.emplace(at + responseTime + request(nodes[index], at), index);
        }
    }

    milliseconds request(Node& node, milliseconds at)
    {
        if (!table.serve(at)) {
            node.restraint = restraintAfterRefusal(node.restraint);
            return delayAfterRefusal(node.restraint, loadRetryWindow(node.readsLeft, plan.turn), random());
        }
        node.restraint = restraintAfterResponse(node.restraint);
        if (node.readsLeft == 0)
            return delayToNextPoll(plan.jobs, node.restraint, responseTime, true, random());
        if (--node.readsLeft == 0)
            node.doneAt = at;
        return delayToNextPage(node.restraint, random());
    }

    std::mt19937_64 generator { 54 };
    LimitedTable table;
    PollPlan plan = planPolls({}, { readsPerSecond, nodeCount, 6, 2000ms });
    std::vector<Node> nodes;
    std::multimap<milliseconds, std::size_t> next; ///< index by time
};

} // namespace

// The table refuses all calls for 3 s. The calls that follow are no more than it serves.
BOOST_AUTO_TEST_CASE(nodesDoNotReturnInOneBurstAfterAnOverload)
{
    Fleet fleet(0);
    fleet.run(2s);
    fleet.table.outageUntil = 5s;
    fleet.run(10s);
    const auto mostCalls = [&](milliseconds from, milliseconds until) {
        int most = 0;
        for (const auto& [tenth, calls] : fleet.table.calls) {
            if (tenth >= from / 100ms && tenth < until / 100ms)
                most = std::max(most, calls);
        }
        return most;
    };
    constexpr int servedInATenth = static_cast<int>(readsPerSecond / 10);
    BOOST_TEST(mostCalls(3500ms, 5000ms) <= servedInATenth / 2); // while it refuses
    BOOST_TEST(mostCalls(5000ms, 6500ms) <= servedInATenth); // when it serves again
    const auto refusedSoFar = fleet.table.refused;
    fleet.run(20s);
    BOOST_TEST(fleet.table.refused == refusedSoFar);
}

// 300 nodes each read 40 parts, which takes the table 6 s. Before, all were done at the end, and more than
// half of the calls were refused.
BOOST_AUTO_TEST_CASE(nodesThatStartTogetherLoadOneAfterAnother)
{
    Fleet fleet(readsPerLoad);
    fleet.run(20s);
    std::vector<milliseconds> doneAt;
    for (const auto& node : fleet.nodes) {
        BOOST_REQUIRE(node.doneAt.has_value());
        doneAt.push_back(*node.doneAt);
    }
    std::sort(doneAt.begin(), doneAt.end());
    BOOST_TEST_MESSAGE("first " << doneAt.front().count() << " ms, a tenth " << doneAt[nodeCount / 10].count()
                                << " ms, half " << doneAt[nodeCount / 2].count() << " ms, last "
                                << doneAt.back().count() << " ms; refused " << fleet.table.refused << " of "
                                << fleet.table.served + fleet.table.refused);
    BOOST_TEST((doneAt[nodeCount / 10] <= 3s));
    BOOST_TEST((doneAt.back() <= 15s));
    BOOST_TEST(fleet.table.refused < fleet.table.served / 4);
}

BOOST_AUTO_TEST_CASE(loadsThatAreNearlyDoneAreRepeatedFirst)
{
    BOOST_TEST((loadRetryWindow(1, 150ms) == 150ms));
    BOOST_TEST((loadRetryWindow(20, 150ms) == 3s));
    BOOST_TEST((loadRetryWindow(100'000, 150ms) == 5s));
    BOOST_TEST((loadRetryWindow(40, 0ms) == 0ms)); // the number of nodes is not known
}

BOOST_AUTO_TEST_CASE(pausesOfASmallFleetDependOnNothingElse)
{
    const auto plan = planPolls({}, { readsPerSecond, 7, 6, 2000ms });
    for (const double random : { 0.0, 0.5, 1.0 }) {
        BOOST_TEST((delayToNextPoll(plan.jobs, 0ms, 500ms, true, random) == 150ms));
        BOOST_TEST((delayToNextPoll(plan.jobs, 0ms, 0ms, false, random) == 0ms));
        BOOST_TEST((delayToNextPage(0ms, random) == 0ms));
    }
}
