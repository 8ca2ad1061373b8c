/// \file
/// Tests of the completion-time objectives of jobs.
#include "pool_fixture_test.h"

#include <damaskworks/job_timing.h>

#include <boost/test/unit_test.hpp>

using namespace damask::fleet;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(job_timing, PoolFixture)

BOOST_AUTO_TEST_CASE(objectiveIsStretchedCriticalPathPlusLatencyTarget)
{
    auto second = makeStep(3);
    second.after = { 0 };
    submit("j1", { makeStep(2), second });
    const auto& entry = state.jobs.at("j1");
    const auto objective = objectiveDuration(entry, &state.queues.at("quotes"));
    BOOST_TEST(objective.count() == 1600 * 2 + 600);
    BOOST_TEST(objectiveDuration(entry, nullptr).count() == 2000);
    BOOST_TEST((timelinessOf(objective, objective) == Timeliness::InTime));
    BOOST_TEST((timelinessOf(objective + 1ms, objective) == Timeliness::Late));
    BOOST_TEST((timelinessOf(objective * 3 + 1ms, objective) == Timeliness::Overdue));
}

BOOST_AUTO_TEST_CASE(longRunningAndScheduledJobsHaveNoSingleObjective)
{
    auto serving = makeStep(1);
    serving.longRunning = true;
    BOOST_TEST(hasOneObjective(makeJob("j1", { makeStep(1) })));
    BOOST_TEST(!hasOneObjective(makeJob("j2", { makeStep(1), serving })));
    auto repeated = makeJob("j3", { makeStep(1) });
    repeated.occurrences = 2;
    repeated.firstDue = wallNow;
    repeated.period = 500ms;
    BOOST_TEST(!hasOneObjective(repeated));
    addJob(state, repeated, "", false);
    BOOST_TEST((dueAt(state.jobs.at("j3"), 1) == wallNow + 500ms));
}

BOOST_AUTO_TEST_SUITE_END()
