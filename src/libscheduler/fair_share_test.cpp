/// \file
/// Tests of the shares of organisations, and of the order in which a full pool starts their tasks.
#include "pool_fixture_test.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <cmath>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

using Organisations = std::map<std::string, Organisation, std::less<>>;

Organisations organisationsWith(const std::vector<double>& weights)
{
    Organisations out;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        const auto name = "o" + std::to_string(i);
        out[name] = { name, {}, 0, weights[i], {} };
    }
    return out;
}

/// CPU that runs of the organisation use, in tasks of 1000.
int runningTasks(const PoolState& state, const std::string& organisation)
{
    const auto party = state.shares.numbers.at(organisation);
    return static_cast<int>(state.shares.parties[static_cast<std::size_t>(party)].used.cpu / 1000);
}

struct SharedPool : PoolFixture {
    void submitFor(const std::string& organisation, const std::string& id, std::vector<StepSpec> steps)
    {
        auto job = makeJob(id, std::move(steps));
        job.organisation = organisation;
        addJob(state, std::move(job), "", false);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fair_share, SharedPool)

BOOST_AUTO_TEST_CASE(jobsBeyondTheRateAreExcess)
{
    applyOrganisations(state.shares, organisationsWith({ 2 }));
    const auto party = partyOf(state.shares, "o0");
    int entitled = 0;
    for (auto at = 0ms; at < 60s; at += 100ms)
        entitled += !countJob(state.shares, party, WallTime(1h) + at);
    BOOST_TEST(entitled >= 120);
    BOOST_TEST(entitled <= 132); // a burst of 5 s more
    // A job of before, as at a takeover, is no excess.
    BOOST_TEST(!countJob(state.shares, party, WallTime(1h)));
}

BOOST_AUTO_TEST_CASE(jobsAtTheRateAreNoExcess)
{
    applyOrganisations(state.shares, organisationsWith({ 0.2 }));
    const auto party = partyOf(state.shares, "o0");
    for (auto at = 0s; at < 1h; at += 15s) {
        for (int i = 0; i < 3; ++i) // at random times several come at once
            BOOST_TEST(!countJob(state.shares, party, WallTime(1h) + at));
    }
}

BOOST_AUTO_TEST_CASE(withoutOrganisationsNothingIsAboveItsShare)
{
    addVm("v1");
    submitFor("", "j1", { makeStep(20) });
    submitFor("unknown", "j2", { makeStep(20) });
    BOOST_TEST(starts().size() == 4U);
    BOOST_TEST(!isAboveShare(state.shares, noParty));
    BOOST_TEST(!isAboveShare(state.shares, state.jobs.at("j2").party));
    BOOST_TEST(!state.jobs.at("j2").isExcess);
}

BOOST_AUTO_TEST_CASE(higherPriorityGoesFirstAndLeavesTheLowerOneSomething)
{
    auto organisations = organisationsWith({ 1, 1 });
    organisations["o1"].priority = 1;
    applyOrganisations(state.shares, organisations);
    addVm("v1", 20'000);
    for (int i = 0; i < 20; ++i) {
        submitFor("o0", "a" + std::to_string(i), { makeStep(1) });
        submitFor("o1", "b" + std::to_string(i), { makeStep(1) });
    }
    // All are excess but the first of each, which come before.
    for (auto& [id, job] : state.jobs)
        job.isExcess = false;
    markAllJobsChanged(state);
    starts();
    BOOST_TEST(runningTasks(state, "o0") == 18);
    BOOST_TEST(runningTasks(state, "o1") == 2);
}

// cpu binds for one organisation and memory for the other: equal weights give equal dominant shares.
BOOST_AUTO_TEST_CASE(dominantResourcesAreDividedTogether)
{
    applyOrganisations(state.shares, organisationsWith({ 1, 1 }));
    auto wide = makeStep(100, 1000);
    wide.need.memoryMb = 1;
    auto deep = makeStep(100, 1);
    deep.need.memoryMb = 3'200;
    for (const auto* step : { &wide, &deep }) {
        const auto party = partyOf(state.shares, step == &wide ? "o0" : "o1");
        const auto need = step->need;
        addWaiting(state.shares, party, need, 100);
    }
    updateShares(state.shares, { 10'000, 32'000, 0 });
    BOOST_REQUIRE(state.shares.isShort);
    const auto& parties = state.shares.parties;
    BOOST_TEST(std::abs(parties[1].fairShare - parties[2].fairShare) < 1e-9);
    BOOST_TEST(parties[1].fairShare > 0.9); // they need different resources
}

// A task that wants a GPU waits for good in a pool without one, and the others still share the rest.
BOOST_AUTO_TEST_CASE(missingResourceChangesNoShare)
{
    applyOrganisations(state.shares, organisationsWith({ 1, 1, 2 }));
    addWaiting(state.shares, partyOf(state.shares, "o0"), { 1, 1, 1 }, 1);
    addWaiting(state.shares, partyOf(state.shares, "o1"), { 1000, 1, 0 }, 100);
    addWaiting(state.shares, partyOf(state.shares, "o2"), { 1000, 1, 0 }, 100);
    updateShares(state.shares, { 9'000, 32'000, 0 });
    BOOST_TEST(!isAboveShare(state.shares, partyOf(state.shares, "o1")));
    const auto& parties = state.shares.parties;
    BOOST_TEST(std::abs(parties[3].fairShare - 2 * parties[2].fairShare) < 1e-9);
    BOOST_TEST(parties[2].fairShare > 0.3);
}

RC_BOOST_FIXTURE_PROP(weightedSharesHold, SharedPool, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(2, 8);
    const auto vms = *rc::gen::inRange(2, 12);
    const auto width = *rc::gen::inRange(1, 5);
    std::vector<double> weights;
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i) {
        weights.push_back(*rc::gen::inRange(1, 20));
        sum += weights.back();
    }
    applyOrganisations(state.shares, organisationsWith(weights));
    const int room = vms * 16;
    for (int i = 0; i < vms; ++i)
        addVm("v" + std::to_string(i), 16'000);
    int jobs = 0;
    for (std::size_t i = 0; i < count; ++i) {
        for (int tasks = 0; tasks < room; tasks += width, ++jobs) {
            submitFor("o" + std::to_string(i), "j" + std::to_string(10'000 + jobs), { makeStep(width) });
        }
    }
    // What each sends at once is beyond its rate, and this is a test of the shares alone.
    for (auto& [id, job] : state.jobs)
        job.isExcess = false;
    markAllJobsChanged(state);
    starts();
    int running = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const auto tasks = runningTasks(state, "o" + std::to_string(i));
        running += tasks;
        // A whole step is started at once.
        RC_ASSERT(tasks < room * weights[i] / sum + width);
        RC_ASSERT(tasks > std::floor(room * weights[i] / sum) - width * static_cast<int>(count));
    }
    RC_ASSERT(running == room);
}

/// No resource is promised twice, and what an organisation lacks has been given to others.
RC_BOOST_PROP(progressiveFillingDividesTheRoom, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 9);
    FairShares shares;
    std::vector<double> weights;
    for (std::size_t i = 0; i < count; ++i)
        weights.push_back(*rc::gen::inRange(1, 50));
    applyOrganisations(shares, organisationsWith(weights));
    const Resources capacity { 100'000, 400'000, 8 };
    for (std::size_t i = 1; i <= count; ++i) {
        const Resources need { *rc::gen::inRange(0, 60'000), *rc::gen::inRange(0, 300'000),
            *rc::gen::inRange(0, 6) };
        addWaiting(shares, static_cast<PartyNumber>(i), need, 1);
    }
    updateShares(shares, capacity);
    if (!shares.isShort)
        return;
    double used[3] {};
    double level = 0;
    for (const auto& party : shares.parties) {
        const double wanted = dominantShare(party.waiting, capacity);
        const double part = wanted > 0 ? std::min(1.0, party.fairShare / wanted) : 0;
        used[0] += static_cast<double>(party.waiting.cpu) * part / 100'000;
        used[1] += static_cast<double>(party.waiting.memoryMb) * part / 400'000;
        used[2] += static_cast<double>(party.waiting.gpu) * part / 8;
        if (!std::isinf(party.fairShare)) {
            RC_ASSERT(level == 0 || std::abs(party.fairShare / party.weight - level) < 1e-9);
            level = party.fairShare / party.weight;
            RC_ASSERT(party.fairShare <= wanted + 1e-9);
        }
    }
    const double most = std::max({ used[0], used[1], used[2] });
    RC_ASSERT(std::abs(most - 1) < 1e-6);
}

BOOST_AUTO_TEST_SUITE_END()
