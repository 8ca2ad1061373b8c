#include <boost/test/unit_test.hpp>

#include <damaskworks/move.h>

using namespace damask;
using namespace damask::move;

namespace {

std::vector<Pool> pools()
{
    return { { "pricing", 0, 0, 4 }, { "designer", 0, 0, 4 }, { "misc", 0, 0, 4, 0, 8, 1, true } };
}

} // namespace

BOOST_AUTO_TEST_CASE(sparePoolDonatesFirst)
{
    const auto moves = balance(pools(), { 4.5, 1, 2 }, {});
    BOOST_REQUIRE(moves.size() == 1u);
    BOOST_TEST(moves[0].from == "misc");
    BOOST_TEST(moves[0].to == "pricing");
}

BOOST_AUTO_TEST_CASE(poolWithoutSurplusKeepsItsVms)
{
    BOOST_TEST(balance(pools(), { 4.5, 4, 4 }, {}).empty());
}

BOOST_AUTO_TEST_CASE(concurrentMovesAreLimited)
{
    auto given = pools();
    given[0].arriving = 3;
    BOOST_TEST(balance(given, { 12, 1, 1 }, {}).empty());
    BOOST_TEST(balance(pools(), { 12, 1, 1 }, {}).size() == 3u);
}

BOOST_AUTO_TEST_CASE(firstObservationDoesNotBiasTheMean)
{
    State state;
    TimePoint now { std::chrono::hours(1) };
    for (int second = 0; second < 600; ++second) {
        const double busy = second % 10 == 0 ? 50 : 0;
        updateDemand(state, { { "pricing", busy } }, std::chrono::minutes(10), now);
        now += std::chrono::seconds(1);
    }
    BOOST_TEST(smoothedDemand(state, "pricing") == 5.0, boost::test_tools::tolerance(0.05));
}
