#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <damaskworks/membership.h>

using namespace damask;
using namespace damask::membership;
using namespace std::chrono_literals;

namespace {

Heartbeat makeHeartbeat(const std::string& node, std::uint64_t incarnation, std::uint64_t sequence,
    std::uint16_t port = 0, std::chrono::milliseconds age = 0ms)
{
    Heartbeat out;
    out.node = node;
    out.incarnation = incarnation;
    out.sequence = sequence;
    out.address = { "10.0.0.1", port };
    out.age = age;
    return out;
}

const TimePoint start { 1h };

} // namespace

BOOST_AUTO_TEST_CASE(heartbeatOfAnEarlierProcessIsStale)
{
    State state { "a", 5 };
    BOOST_TEST((observe(state, makeHeartbeat("b", 7, 1), start) == HeartbeatResult::Newer));
    BOOST_TEST((observe(state, makeHeartbeat("b", 6, 900), start) == HeartbeatResult::Stale));
    BOOST_TEST(state.members.at("b").heartbeat.incarnation == 7u);
}

BOOST_AUTO_TEST_CASE(nodeIsRemovedWhenALaterProcessUsesItsAddress)
{
    State state { "a", 5 };
    observe(state, makeHeartbeat("b", 7, 1, 80), start);
    observe(state, makeHeartbeat("c", 8, 1, 80), start);
    BOOST_TEST(!state.members.contains("b"));
    BOOST_TEST((observe(state, makeHeartbeat("b", 7, 2, 80), start) == HeartbeatResult::Stale));
}

BOOST_AUTO_TEST_CASE(nodeDetectsANewerProcessWithItsName)
{
    State state { "a", 5 };
    BOOST_TEST((observe(state, makeHeartbeat("a", 4, 9), start) == HeartbeatResult::Stale));
    BOOST_TEST(!state.superseded);
    BOOST_TEST((observe(state, makeHeartbeat("a", 6, 1), start) == HeartbeatResult::Superseded));
    BOOST_TEST(state.superseded);
}

BOOST_AUTO_TEST_CASE(afterAPauseMembersAreSuspectedAndNotForwarded)
{
    State state { "a", 5 };
    observe(state, makeHeartbeat("b", 7, 1), start);
    BOOST_TEST(digest(state, start).size() == 1u);
    const auto resumedAt = start + 1min;
    BOOST_TEST((phase(state, state.members.at("b"), resumedAt) == Phase::Suspected));
    BOOST_TEST(digest(state, resumedAt).empty());
    observe(state, makeHeartbeat("b", 7, 2), resumedAt);
    BOOST_TEST((phase(state, state.members.at("b"), resumedAt) == Phase::Live));
}

BOOST_AUTO_TEST_CASE(ageOfForwardedHeartbeatsAccumulates)
{
    State b { "b", 1 };
    State c { "c", 1 };
    observe(b, makeHeartbeat("a", 1, 1, 0, 4s), start);
    observe(c, digest(b, start + 5s).at(0), start + 5s);
    BOOST_TEST((phase(c, c.members.at("a"), start + 10s) == Phase::Live));
    BOOST_TEST((phase(c, c.members.at("a"), start + 11s) == Phase::Suspected));
}

BOOST_AUTO_TEST_CASE(failedMemberIsRemovedEverywhereAndStaysRemoved)
{
    State b { "b", 1 };
    State c { "c", 1 };
    observe(b, makeHeartbeat("a", 1, 1), start);
    auto now = start;
    for (; now < start + 10min; now += 1s) {
        for (const auto& forwarded : digest(b, now))
            observe(c, forwarded, now);
        for (const auto& forwarded : digest(c, now))
            observe(b, forwarded, now);
        removeExpired(b, now);
        removeExpired(c, now);
    }
    BOOST_TEST(b.members.empty());
    BOOST_TEST(c.members.empty());
}

BOOST_AUTO_TEST_CASE(loadsOfManyPoolsArriveOverSeveralHeartbeats)
{
    State a { "a", 1 };
    State b { "b", 1 };
    State c { "c", 1 };
    for (std::uint64_t sequence = 1; sequence <= 80; ++sequence) {
        auto own = makeHeartbeat("a", 1, sequence);
        for (std::uint32_t pool = 0; pool < 53; ++pool)
            own.loads.push_back({ "pool-" + std::to_string(pool), pool, 0, 0 });
        limitOwnLoads(a, own);
        BOOST_TEST(encodedSize(own) <= 300u);
        observe(b, own, start);
        for (const auto& forwarded : digest(b, start))
            observe(c, forwarded, start);
    }
    BOOST_TEST(b.members.at("a").heartbeat.loads.size() == 53u);
    BOOST_TEST(c.members.at("a").heartbeat.loads.size() == 53u);
    for (const auto& load : c.members.at("a").heartbeat.loads)
        BOOST_TEST(load.pool == "pool-" + std::to_string(load.inFlight));
}

RC_BOOST_PROP(knownHeartbeatNeverBecomesOlder, (std::vector<std::pair<std::uint8_t, std::uint8_t>> versions))
{
    State state { "a", 5 };
    std::pair<std::uint64_t, std::uint64_t> highest { 0, 0 };
    for (const auto& [incarnation, sequence] : versions) {
        observe(state, makeHeartbeat("b", incarnation, sequence), start);
        highest = std::max(highest, std::pair<std::uint64_t, std::uint64_t>(incarnation, sequence));
        if (!state.members.contains("b"))
            continue;
        const auto& known = state.members.at("b").heartbeat;
        RC_ASSERT(std::pair(known.incarnation, known.sequence) == highest);
    }
}

RC_BOOST_PROP(digestStaysWithinItsSizeLimitAndCoversEveryMember, (std::uint8_t count))
{
    State state { "self", 5 };
    for (int i = 0; i < count; ++i)
        observe(state, makeHeartbeat("node-" + std::to_string(i), 1, 1), start);
    std::map<std::string, int> forwarded;
    for (int round = 0; round < count; ++round) {
        std::size_t bytes = 0;
        for (const auto& heartbeat : digest(state, start)) {
            bytes += encodedSize(heartbeat);
            ++forwarded[heartbeat.node];
        }
        RC_ASSERT(bytes <= state.limits.digestBytes);
    }
    RC_ASSERT(forwarded.size() == count);
}
