/// \file
/// Tests of the order in which a pool short of room serves its backlog, see OverloadReplay.
#include "overload_replay_test.h"

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

void add(CallerOutcome& sum, const CallerOutcome& out)
{
    sum.jobs += out.jobs;
    sum.inTime += out.inTime;
    sum.late += out.late;
    sum.overdue += out.overdue;
    sum.owed += out.owed;
    sum.earned += out.earned;
    sum.longest = std::max(sum.longest, out.longest);
}

/// A queue at its turn, over several seeds.
CallerOutcome replayTurn(const std::function<void(OverloadParameters&)>& change)
{
    CallerOutcome sum;
    for (std::uint32_t seed = 1; seed <= 6; ++seed) {
        OverloadParameters parameters;
        parameters.seed = seed;
        parameters.callers = { { "", 5.45, [](milliseconds at) { return turnFactor(at, 7s); } } };
        change(parameters);
        add(sum, OverloadReplay(std::move(parameters)).run().at(""));
    }
    BOOST_TEST_MESSAGE("in time " << sum.inTime << " of " << sum.jobs << ", late " << sum.late << ", overdue "
                                  << sum.overdue << ", share " << sum.share());
    return sum;
}

constexpr int organisationCount = 20;
constexpr int largeOrganisations = 3;

std::string nameOf(int organisation) { return "o" + std::to_string(organisation); }

struct HotOutcome {
    CallerOutcome hot;
    CallerOutcome others;
};

/// Organisations of which the first \p hot send 7.5 times their usual for 9 s in turn.
HotOutcome replayOrganisations(int hot, milliseconds turn)
{
    HotOutcome sum;
    for (std::uint32_t seed = 1; seed <= 4; ++seed) {
        OverloadParameters parameters;
        parameters.seed = seed;
        for (int i = 0; i < organisationCount; ++i) {
            const double rate = i < largeOrganisations ? 2 : 4.0 / (organisationCount - largeOrganisations);
            const auto from = 4s + turn * i;
            parameters.callers.push_back({ nameOf(i), rate, [i, hot, from](milliseconds at) {
                                              return i < hot && at >= from && at < from + 9s ? 7.5 : 1.0;
                                          } });
            parameters.organisations[nameOf(i)] = { nameOf(i), {}, 0, rate, {} };
        }
        for (const auto& [name, out] : OverloadReplay(std::move(parameters)).run()) {
            if (!name.empty())
                add(std::stoi(name.substr(1)) < hot ? sum.hot : sum.others, out);
        }
    }
    BOOST_TEST_MESSAGE("others in time " << sum.others.inTime << " of " << sum.others.jobs << ", hot "
                                         << sum.hot.inTime << " of " << sum.hot.jobs);
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(overload_replay)

// At its peak a queue could start nothing for 4 s. Then jobs that were late took each bit of room that became
// free, and tasks in time that need much of a VM became late too.
BOOST_AUTO_TEST_CASE(lateBacklogLeavesTheRoomToJobsInTime)
{
    const auto out = replayTurn([](OverloadParameters& parameters) {
        parameters.startsStopAt = 6s;
        parameters.startsStopTime = 4s;
    });
    BOOST_TEST(out.share() > 0.55);
    BOOST_TEST(out.longest < OverloadReplay::drainTime); // the backlog ends too
}

BOOST_AUTO_TEST_CASE(lossOfVmsAtThePeakCostsFewJobs)
{
    const auto out = replayTurn([](OverloadParameters& parameters) {
        parameters.vmLossAt = 7s;
        parameters.lostVms = 24;
    });
    BOOST_TEST(out.share() > 0.83);
    BOOST_TEST(out.longest < OverloadReplay::drainTime);
}

BOOST_AUTO_TEST_CASE(peakBeyondAThirdOfThePoolIsServedAsFarAsItHasRoom)
{
    const auto out = replayTurn([](OverloadParameters& parameters) { parameters.vms = 60; });
    BOOST_TEST(out.share() > 0.8);
    BOOST_TEST(out.longest < OverloadReplay::drainTime);
}

BOOST_AUTO_TEST_CASE(poolWithRoomServesAllInTime)
{
    const auto out = replayTurn([](OverloadParameters& parameters) { parameters.vms = 141; });
    BOOST_TEST(out.inTime == out.jobs);
}

BOOST_AUTO_TEST_CASE(hotOrganisationCostsOthersNothing)
{
    const auto out = replayOrganisations(1, 0s);
    BOOST_TEST(out.others.inTime >= 0.98 * out.others.jobs);
    BOOST_TEST(out.others.overdue == 0);
    BOOST_TEST(out.hot.longest < OverloadReplay::drainTime); // its excess runs too
}

BOOST_AUTO_TEST_CASE(threeHotOrganisationsInTurnCostOthersLittle)
{
    const auto out = replayOrganisations(3, 3s);
    BOOST_TEST(out.others.inTime >= 0.95 * out.others.jobs);
    BOOST_TEST(out.hot.longest < OverloadReplay::drainTime);
}

BOOST_AUTO_TEST_SUITE_END()
