/// Runs, their ends and their room as the pool's holder keeps them.
#include "pool_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(pool_state, PoolFixture)

BOOST_AUTO_TEST_CASE(stepWaitsForTheStepsBeforeIt)
{
    addVm("v1");
    auto second = step(1);
    second.after = { 0 };
    submit("j1", { step(2), second });
    const auto first = run();
    BOOST_REQUIRE(first.size() == 2u);
    report("v1", { end(1, first[0]) });
    BOOST_TEST(run().empty());
    report("v1", { end(2, first[1]) });
    const auto next = run();
    BOOST_REQUIRE(next.size() == 1u);
    BOOST_TEST(next[0].order.task.step == 1);
    report("v1", { end(3, next[0]) });
    BOOST_TEST((state.jobs.at("j1").state == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(roomIsTakenUntilTheEndIsListed)
{
    addVm("v1", 2000);
    submit("j1", { step(3) });
    const auto first = run();
    BOOST_REQUIRE(first.size() == 2u);
    markStopping(*findTask(state, first[0].order.task)->run, clock.now());
    BOOST_TEST(planStops(state, clock.now()).size() == 1u);
    BOOST_TEST(run().empty());
    report("v1", { end(1, first[0], EndKind::Stopped) });
    const auto next = run();
    BOOST_REQUIRE(next.size() == 1u);
    BOOST_TEST(next[0].order.run == 2u);
}

BOOST_AUTO_TEST_CASE(unansweredStartIsVoidOnlyAfterAnAnsweredStop)
{
    addVm("v1", 1000);
    submit("j1", { step(1) });
    const auto first = starts();
    BOOST_REQUIRE(first.size() == 1u);
    applyStartOutcome(
        state, "v1", first[0].order.task, first[0].order.run, OrderOutcome::Unknown, clock.now());
    advance(10ms);
    // The order may still be carried out, so a list without the run proves nothing.
    reportEmpty("v1");
    BOOST_TEST(starts().empty());
    const auto stops = planStops(state, clock.now());
    BOOST_REQUIRE(stops.size() == 1u);
    applyStopOutcome(state, "v1", stops[0].task, stops[0].run, OrderOutcome::Accepted, clock.now());
    advance(10ms);
    reportEmpty("v1");
    const auto next = starts();
    BOOST_REQUIRE(next.size() == 1u);
    BOOST_TEST(next[0].order.run == 2u);
}

BOOST_AUTO_TEST_CASE(silentVmKeepsItsTasksUntilItsSlowestClockHasPassedTheLease)
{
    addVm("v1");
    addVm("v2");
    submit("j1", { step(1) });
    const auto first = run();
    const auto vm = first[0].vm;
    applySilence(state, vm);
    advance(state.limits.vmLease);
    expireLeases(state, clock.now());
    BOOST_TEST(starts().empty());
    advance(state.limits.vmLease / 20);
    expireLeases(state, clock.now());
    const auto next = starts();
    BOOST_REQUIRE(next.size() == 1u);
    BOOST_TEST(next[0].vm != vm);
}

BOOST_AUTO_TEST_CASE(silentVmIsAskedAgainWithoutMoreTimeForItsTasks)
{
    addVm("v1");
    submit("j1", { step(1) });
    run();
    BOOST_TEST(planHold(state.vms.at("v1"), state.limits, clock.now()).leaseUntil.count() > 0);
    applySilence(state, "v1");
    for (int i = 0; i < 30; ++i) {
        advance(200ms);
        BOOST_TEST(planHold(state.vms.at("v1"), state.limits, clock.now()).leaseUntil.count() == 0);
    }
    expireLeases(state, clock.now());
    BOOST_TEST(!task("j1", 0, 0).run);
}

BOOST_AUTO_TEST_CASE(lateEndOfAGivenUpRunDoesNotCountBesideANewOne)
{
    addVm("v1");
    addVm("v2");
    submit("j1", { step(1) });
    const auto first = run();
    applySilence(state, first[0].vm);
    advance(state.limits.vmLease * 2);
    expireLeases(state, clock.now());
    const auto second = run();
    BOOST_REQUIRE(second.size() == 1u);
    report(first[0].vm, { end(1, first[0]) });
    BOOST_TEST(!task("j1", 0, 0).done);
    report(second[0].vm, { end(1, second[0]) });
    BOOST_TEST(task("j1", 0, 0).done);
}

BOOST_AUTO_TEST_CASE(rebornVmRunsNothing)
{
    addVm("v1");
    submit("j1", { step(1) });
    run();
    advance(100ms);
    reportEmpty("v1", 2);
    const auto next = run();
    BOOST_REQUIRE(next.size() == 1u);
    BOOST_TEST(next[0].order.run == 2u);
    BOOST_TEST(state.vms.at("v1").applied == 0u);
}

BOOST_AUTO_TEST_CASE(failedRunsAreCountedOnceThoughListedToTwoHolders)
{
    addVm("v1");
    submit("j1", { step(1) });
    const auto first = run();
    report("v1", { end(1, first[0], EndKind::Failed) });
    const auto record = encodeProgress(state.jobs.at("j1"));
    PoolFixture next;
    next.state.term = 1;
    next.submit("j1", { step(1) }, true, record);
    next.addVm("v1", 4000, "r1", false);
    next.report("v1", { end(1, first[0], EndKind::Failed) });
    BOOST_TEST(next.task("j1", 0, 0).failedRuns.size() == 1u);
    BOOST_TEST((next.state.jobs.at("j1").state != JobState::Failed));
    const auto second = next.run();
    BOOST_REQUIRE(second.size() == 1u);
    BOOST_TEST(second[0].order.run > first[0].order.run);
    next.report("v1", { end(2, second[0], EndKind::Failed) });
    BOOST_TEST((next.state.jobs.at("j1").state == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(failedEndOfAnEarlierRunCountsBesideTheAdoptedOne)
{
    // The first run failed on v1 and the second runs on v2; the old holder wrote neither down.
    state.term = 1;
    submit("j1", { step(1) }, true);
    addVm("v1", 4000, "r1", false);
    addVm("v2", 4000, "r1", false);
    const TaskId id { "j1", 0, 0, 0 };
    VmReport running;
    running.born = 1;
    running.running.push_back({ id, 2, "", 30, 0 });
    applyReport(state, "v2", running, clock.now(), clock.now());
    report("v1", { { 1, id, 1, EndKind::Failed, "" } });
    BOOST_TEST(task("j1", 0, 0).failedRuns.size() == 1u);
    BOOST_REQUIRE(task("j1", 0, 0).run);
    report("v2", { { 1, id, 2, EndKind::Failed, "" } });
    BOOST_TEST((state.jobs.at("j1").state == JobState::Failed));
    BOOST_TEST(starts().empty());
}

BOOST_AUTO_TEST_CASE(newHolderStartsNothingOldBeforeItHasReadEveryVm)
{
    state.term = 1;
    state.knownVms = { "v1", "v2", "v3" };
    state.uncertainUntil = clock.now() + 5s;
    addVm("v1");
    addVm("v2", 4000, "r1", false);
    submit("j1", { step(1) }, true);
    submit("j2", { step(1) });
    auto out = run();
    BOOST_REQUIRE(out.size() == 1u);
    BOOST_TEST(out[0].order.task.job == "j2");
    BOOST_TEST(out[0].order.run == 1u);
    report("v2");
    // The registry misses a VM that the platform knows.
    BOOST_TEST(run().empty());
    addVm("v3");
    out = run();
    BOOST_REQUIRE(out.size() == 1u);
    BOOST_TEST(out[0].order.task.job == "j1");
    BOOST_TEST(out[0].order.run > runNumberBase(1));
}

BOOST_AUTO_TEST_CASE(registeredVmThatThePlatformDoesNotKnowHoldsNothingUp)
{
    state.term = 1;
    state.knownVms = { "v1" };
    state.uncertainUntil = clock.now() + 5s;
    addVm("v1");
    addVm("moved", 4000, "r1", false);
    submit("j1", { step(1) }, true);
    BOOST_TEST(starts().size() == 1u);
}

BOOST_AUTO_TEST_CASE(loadTellsOfTasksThatFitOnNoVm)
{
    addVm("v1", 4000);
    auto serving = step(1, 2000);
    serving.longRunning = true;
    submit("j1", { serving });
    run();
    submit("j2", { step(1, 3000) });
    BOOST_TEST(starts().empty());
    BOOST_TEST(loadOf(state, clock.now()).unfitCpu == 3000);
    addVm("v2", 4000);
    BOOST_TEST(loadOf(state, clock.now()).unfitCpu == 0);
}

BOOST_AUTO_TEST_CASE(unreadVmDoesNotCountAsIdle)
{
    addVm("v1", 4000, "r1", false);
    BOOST_TEST(loadOf(state, clock.now()).runs.contains("m-v1"));
    report("v1");
    BOOST_TEST(!loadOf(state, clock.now()).runs.contains("m-v1"));
}

BOOST_AUTO_TEST_CASE(newHolderAdoptsWhatRuns)
{
    state.term = 1;
    submit("j1", { step(1) }, true);
    addVm("v1", 4000, "r1", false);
    VmReport report;
    report.born = 1;
    report.running.push_back({ { "j1", 0, 0, 0 }, 7, "", 30, 0 });
    applyReport(state, "v1", report, clock.now(), clock.now());
    BOOST_TEST(starts().empty());
    BOOST_TEST(state.vms.at("v1").used.cpu == 1000);
    BOOST_TEST((state.jobs.at("j1").state == JobState::Running));
}

BOOST_AUTO_TEST_CASE(runOfNoJobIsStoppedBeforeTheVmTakesWork)
{
    addVm("v1");
    VmReport report;
    report.born = 1;
    report.running.push_back({ { "gone", 0, 0, 0 }, 3, "", 30, 0 });
    applyReport(state, "v1", report, clock.now(), clock.now());
    submit("j1", { step(1) });
    BOOST_TEST(starts().empty());
    const auto stops = planStops(state, clock.now());
    BOOST_REQUIRE(stops.size() == 1u);
    BOOST_TEST(stops[0].task.job == "gone");
    BOOST_TEST(planStops(state, clock.now()).empty());
    reportEmpty("v1");
    BOOST_TEST(starts().size() == 1u);
}

BOOST_AUTO_TEST_CASE(cancelledJobIsStoppedAndStartsNothing)
{
    addVm("v1", 1000);
    submit("j1", { step(2) });
    const auto first = run();
    cancelJob(state, "j1");
    BOOST_TEST(planStops(state, clock.now()).size() == 1u);
    report("v1", { end(1, first[0], EndKind::Stopped) });
    BOOST_TEST(starts().empty());
    BOOST_TEST((state.jobs.at("j1").state == JobState::Cancelled));
}

BOOST_AUTO_TEST_CASE(gangStartsWholeOrNotAtAll)
{
    addVm("v1", 1000);
    auto gang = step(3);
    gang.gang = true;
    submit("j1", { gang });
    BOOST_TEST(starts().empty());
    BOOST_TEST(state.vms.at("v1").used.cpu == 0);
    addVm("v2", 2000);
    const auto all = run();
    BOOST_REQUIRE(all.size() == 3u);
    BOOST_TEST(all[0].order.run == all[2].order.run);
    report(all[1].vm, { end(1, all[1]) });
    BOOST_TEST((state.jobs.at("j1").state == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(longRunningTaskIsStartedAgainHoweverItEnds)
{
    addVm("v1");
    auto serving = step(1);
    serving.longRunning = true;
    submit("j1", { serving });
    auto out = run();
    for (std::uint64_t number = 1; number <= 5; ++number) {
        report("v1", { end(number, out[0], number % 2 ? EndKind::Failed : EndKind::Done) });
        out = run();
        BOOST_REQUIRE(out.size() == 1u);
    }
    BOOST_TEST((state.jobs.at("j1").state == JobState::Running));
}

BOOST_AUTO_TEST_CASE(badJobAloneDoesNotSetAVmAside)
{
    addVm("v1");
    state.queues.at("quotes").maxAttempts = 20;
    submit("bad", { step(1) });
    std::uint64_t number = 0;
    for (int i = 0; i < 8; ++i) {
        const auto out = run();
        BOOST_REQUIRE(out.size() == 1u);
        report("v1", { end(++number, out[0], EndKind::Failed) });
    }
    submit("other", { step(4, 250) });
    auto out = run();
    BOOST_REQUIRE(!out.empty());
    std::vector<EndReport> ends;
    for (const auto& start : out)
        ends.push_back(end(++number, start, EndKind::Failed));
    report("v1", ends);
    BOOST_TEST(starts().empty());
    advance(state.limits.firstQuarantine);
    BOOST_TEST(!starts().empty());
}

BOOST_AUTO_TEST_CASE(evacuationMovesServingTasksWithinTheBudget)
{
    addVm("v1", 1000);
    addVm("v2", 1000);
    addVm("v3", 4000);
    auto serving = step(3);
    serving.longRunning = true;
    serving.maxPerVm = 1;
    serving.maxUnavailable = 1;
    submit("j1", { serving });
    const auto first = run();
    BOOST_REQUIRE(first.size() == 3u);
    for (const auto& start : first)
        findTask(state, start.order.task)->run->percent = 100;
    for (auto& [id, vm] : state.vms)
        vm.evacuating = true;
    planEvacuations(state, clock.now());
    BOOST_TEST(planStops(state, clock.now()).size() == 1u);
}

BOOST_AUTO_TEST_CASE(jobOfARemovedQueueKeepsItsAttempts)
{
    addVm("v1");
    auto spec = job("j1", { step(1) });
    spec.maxAttempts = 2;
    addJob(state, spec, "", false);
    state.queues.clear();
    const auto first = run();
    report("v1", { end(1, first[0], EndKind::Failed) });
    BOOST_TEST((state.jobs.at("j1").state == JobState::Running));
    const auto second = run();
    BOOST_REQUIRE(second.size() == 1u);
    report("v1", { end(2, second[0], EndKind::Failed) });
    BOOST_TEST((state.jobs.at("j1").state == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(jobWhoseOrdersCameToNothingStillWaits)
{
    // On a played day 5 of 7 waiting jobs were not counted: their VMs had not taken the orders.
    addVm("v1");
    submit("j1", { step(1) });
    const auto first = starts();
    BOOST_REQUIRE(first.size() == 1u);
    BOOST_TEST((state.jobs.at("j1").state == JobState::Queued));
    applyStartOutcome(
        state, "v1", first[0].order.task, first[0].order.run, OrderOutcome::Refused, clock.now());
    BOOST_TEST((state.jobs.at("j1").state == JobState::Queued));
    const auto second = starts();
    BOOST_REQUIRE(second.size() == 1u);
    applyStartOutcome(
        state, "v1", second[0].order.task, second[0].order.run, OrderOutcome::Accepted, clock.now());
    BOOST_TEST((state.jobs.at("j1").state == JobState::Running));
}

BOOST_AUTO_TEST_CASE(machinesAreAskedForAheadOfARisingDemand)
{
    // A turn as played: 10 jobs a second more with each second.
    std::int64_t jobs = 0;
    std::int64_t asked = 0;
    for (int ms = 0; ms < 4000; ms += 20) {
        advance(20ms);
        const auto due = 10 * ms * ms / 2'000'000;
        for (; jobs < due; ++jobs)
            noteArrival(state, job("j" + std::to_string(jobs), { step(10) }), clock.now());
        asked = loadOf(state, clock.now()).arrivingCpu;
    }
    // 40 jobs a second now, 60 when a machine asked for now has come; each needs ten cores for a second.
    BOOST_TEST(asked >= 400'000);
    BOOST_TEST(asked <= 600'000);
    // A steady rate is not taken for a rising one.
    for (int ms = 0; ms < 2000; ms += 50) {
        advance(50ms);
        noteArrival(state, job("k" + std::to_string(ms), { step(10) }), clock.now());
        asked = loadOf(state, clock.now()).arrivingCpu;
    }
    BOOST_TEST(asked <= 210'000);
}

BOOST_AUTO_TEST_SUITE_END()
