/// Starts that wait for the record of their job.
#include "pool_fixture_test.h"

#include <damaskworks/start_gate.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

struct Gate : PoolFixture {
    Gate() { addVm("v1"); }

    std::vector<StartAction> ordered() { return passGate(state, waiting, starts(), clock.now()); }

    WaitingStarts waiting;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(start_gate, Gate)

BOOST_AUTO_TEST_CASE(firstStartsWaitForTheRecordAndKeepTheirRoom)
{
    submit("j1", { step(3) });
    BOOST_TEST(ordered().empty());
    BOOST_TEST(state.jobs.at("j1").dirty);
    BOOST_TEST(state.vms.at("v1").used.cpu == 3000);
    BOOST_TEST(ordered().empty());
    state.jobs.at("j1").begun = true; // the record is durable
    BOOST_TEST(ordered().size() == 3u);
    BOOST_TEST(ordered().empty());
}

BOOST_AUTO_TEST_CASE(laterStartsOfABegunJobDoNotWait)
{
    submit("j1", { step(5) });
    ordered();
    state.jobs.at("j1").begun = true;
    const auto first = ordered();
    BOOST_REQUIRE(first.size() == 4u);
    report("v1", { end(1, first[0]) });
    BOOST_TEST(ordered().size() == 1u);
}

BOOST_AUTO_TEST_CASE(startOfAJobCancelledMeanwhileIsDropped)
{
    submit("j1", { step(1) });
    ordered();
    cancelJob(state, "j1");
    planStops(state, clock.now());
    state.jobs.at("j1").begun = true; // by the record of its cancellation
    BOOST_TEST(ordered().empty());
    BOOST_TEST(waiting.empty());
}

BOOST_AUTO_TEST_CASE(nextHolderStartsJobsWithoutARecordAtOnce)
{
    // On a played day 770 cores' work per second waited for 5 s after each change of holder, with all
    // VMs idle, until no VM could run a task that the earlier holder had started.
    state.term = 1;
    state.uncertainUntil = clock.now() + 5s;
    addVm("v2", 4000, "r1", false); // can't be read
    submit("begun", { step(1) }, true);
    addJob(state, job("waiting", { step(1) }), "", true);
    const auto now = starts();
    BOOST_REQUIRE(now.size() == 1u);
    BOOST_TEST(now[0].order.task.job == "waiting");
    advance(6s);
    BOOST_TEST(starts().size() == 1u);
}

BOOST_AUTO_TEST_CASE(startsWaitForTheSpecOfTheirJob)
{
    auto spec = job("j1", { step(1) });
    spec.specBytes = 4;
    spec.spec.clear();
    addJob(state, spec, "", false);
    ordered();
    auto& entry = state.jobs.at("j1");
    entry.begun = true;
    BOOST_TEST(ordered().empty());
    entry.spec.spec = "cake";
    entry.hasSpec = true;
    const auto out = ordered();
    BOOST_REQUIRE(out.size() == 1u);
    BOOST_TEST(out[0].order.spec == "cake");
}

BOOST_AUTO_TEST_SUITE_END()
