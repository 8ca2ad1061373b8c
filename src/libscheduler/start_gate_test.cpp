/// \file
/// Tests of starts that wait for the durable record and the spec of their job.
#include "pool_fixture_test.h"

#include <damaskworks/start_gate.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

struct StartGateFixture : PoolFixture {
    StartGateFixture() { addVm("v1"); }

    std::vector<StartAction> releasedStarts()
    {
        return takeReadyStarts(state, waiting, starts(), clock.now());
    }

    /// Sends what is held back, after the job's record has become durable, and what is then planned again.
    std::vector<StartAction> sendOnceRecorded(const std::string& job)
    {
        state.jobs.at(job).hasRecord = true;
        auto out = releasedStarts();
        for (auto& start : releasedStarts())
            out.push_back(std::move(start));
        return out;
    }

    /// Holds back the start of one task on v1, and adds v2.
    void holdBackStartOnV1()
    {
        submit("j1", { makeStep(1) });
        BOOST_REQUIRE(releasedStarts().empty());
        BOOST_REQUIRE(state.vms.at("v1").used.cpu == 1000);
        addVm("v2");
    }

    /// Checks that the start held back on v1 was released, planned again and sent to v2.
    void checkSentToV2Instead()
    {
        const auto sent = sendOnceRecorded("j1");
        BOOST_REQUIRE(sent.size() == 1u);
        BOOST_TEST(sent[0].vm == "v2");
        BOOST_TEST(sent[0].command.run == 2u);
        BOOST_TEST(state.vms.at("v1").used.cpu == 0);
        BOOST_TEST(state.vms.at("v1").runs.empty());
    }

    /// Holds back the starts of a gang of two, which fill v1 and v2.
    void holdBackGangOnTwoVms()
    {
        setCapacity("v1", { 1000, 32'000, 0 });
        addVm("v2", 1000);
        auto gang = makeStep(2);
        gang.gang = true;
        submit("j1", { gang });
        BOOST_REQUIRE(releasedStarts().empty());
        for (const auto* vm : { "v1", "v2" })
            BOOST_REQUIRE(state.vms.at(vm).used.cpu == 1000);
    }

    /// Ends a VM as the holder learns it from another VM that responds at the address.
    void endVm(const std::string& id)
    {
        applyWrongVm(state, id, Address(state.vms.at(id).entry.address), clock.now());
        expireLeases(state, clock.now());
        BOOST_REQUIRE(!state.vms.contains(id));
    }

    WaitingStarts waiting;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(start_gate, StartGateFixture)

BOOST_AUTO_TEST_CASE(startsThatAreHeldBackCountByWhatTheyWaitFor)
{
    submit("j1", { makeStep(2) });
    submit("j2", { makeStep(1) });
    state.jobs.at("j2").hasRecord = true;
    state.jobs.at("j2").hasSpec = false;
    BOOST_REQUIRE(releasedStarts().empty());
    const auto counts = countHeldBack(state, waiting);
    BOOST_TEST(counts.record == 2);
    BOOST_TEST(counts.spec == 1);
    BOOST_TEST(counts.trial == 0);
}

BOOST_AUTO_TEST_CASE(firstStartsWaitForTheRecordWithResourcesReserved)
{
    submit("j1", { makeStep(3) });
    BOOST_TEST(releasedStarts().empty());
    BOOST_TEST(state.jobs.at("j1").dirty);
    BOOST_TEST(state.vms.at("v1").used.cpu == 3000);
    BOOST_TEST(releasedStarts().empty());
    state.jobs.at("j1").hasRecord = true; // its record is durable now
    BOOST_TEST(releasedStarts().size() == 3u);
    BOOST_TEST(releasedStarts().empty());
}

BOOST_AUTO_TEST_CASE(laterStartsOfARecordedJobDoNotWait)
{
    submit("j1", { makeStep(5) });
    releasedStarts();
    state.jobs.at("j1").hasRecord = true;
    const auto first = releasedStarts();
    BOOST_REQUIRE(first.size() == 4u);
    report("v1", { makeEnd(1, first[0]) });
    BOOST_TEST(releasedStarts().size() == 1u);
}

BOOST_AUTO_TEST_CASE(heldBackStartOfACancelledJobIsDropped)
{
    submit("j1", { makeStep(1) });
    releasedStarts();
    cancelJob(state, "j1");
    planStops(state, clock.now());
    state.jobs.at("j1").hasRecord = true; // the record of its cancellation is durable
    BOOST_TEST(releasedStarts().empty());
    BOOST_TEST(waiting.empty());
}

BOOST_AUTO_TEST_CASE(nextHolderStartsJobsWithoutARecordAtOnce)
{
    // Guards against delaying every job after a takeover. In a simulated day 770 cores' worth of
    // work per second waited 5 s after each takeover, with all VMs idle, until no VM could run a task of the
    // earlier holder.
    state.term = 1;
    state.recoveryDeadline = clock.now() + 5s;
    addVm("v2", 4000, "r1", false); // does not report
    submit("begun", { makeStep(1) }, true);
    addJob(state, makeJob("waiting", { makeStep(1) }), "", true);
    const auto now = starts();
    BOOST_REQUIRE(now.size() == 1u);
    BOOST_TEST(now[0].command.task.job == "waiting");
    advance(6s);
    BOOST_TEST(starts().size() == 1u);
}

BOOST_AUTO_TEST_CASE(startsWaitForTheSpecOfTheirJob)
{
    auto spec = makeJob("j1", { makeStep(1) });
    spec.specBytes = 4;
    spec.spec.clear();
    addJob(state, spec, "", false);
    releasedStarts();
    auto& entry = state.jobs.at("j1");
    entry.hasRecord = true;
    BOOST_TEST(releasedStarts().empty());
    entry.spec.spec = "data";
    entry.hasSpec = true;
    const auto out = releasedStarts();
    BOOST_REQUIRE(out.size() == 1u);
    BOOST_TEST(out[0].command.spec == "data");
}

BOOST_AUTO_TEST_CASE(heldBackStartIsNotSentToADrainingVm)
{
    holdBackStartOnV1();
    state.vms.at("v1").entry.draining = true;
    checkSentToV2Instead();
}

BOOST_AUTO_TEST_CASE(heldBackStartIsNotSentToAnUnresponsiveVm)
{
    holdBackStartOnV1();
    markUnresponsive(state, "v1");
    checkSentToV2Instead();
}

BOOST_AUTO_TEST_CASE(heldBackStartIsNotSentToAnUnregisteredVm)
{
    holdBackStartOnV1();
    unlistVm(state, "v1");
    checkSentToV2Instead();
}

BOOST_AUTO_TEST_CASE(heldBackStartIsNotSentToAVmThatIsEvacuated)
{
    holdBackStartOnV1();
    setEvacuation(state, state.vms.at("v1"), "7.1");
    checkSentToV2Instead();
}

BOOST_AUTO_TEST_CASE(heldBackStartIsNotSentToAQuarantinedVm)
{
    holdBackStartOnV1();
    state.vms.at("v1").quarantinedUntil = clock.now() + 2s;
    checkSentToV2Instead();
}

BOOST_AUTO_TEST_CASE(heldBackStartDoesNotKeepAnEvacuatedVmOccupied)
{
    holdBackStartOnV1();
    setEvacuation(state, state.vms.at("v1"), "7.1");
    BOOST_TEST(releasedStarts().empty()); // the record is not durable yet
    BOOST_TEST(computeLoad(state, clock.now(), wallNow).empty.contains("m-v1"));
}

BOOST_AUTO_TEST_CASE(heldBackStartsDoNotExceedACapacityThatShrank)
{
    submit("j1", { makeStep(4) });
    BOOST_REQUIRE(releasedStarts().empty());
    BOOST_REQUIRE(state.vms.at("v1").used.cpu == 4000);
    setCapacity("v1", { 2000, 32'000, 0 });
    BOOST_TEST(sendOnceRecorded("j1").size() == 2u);
    BOOST_TEST(state.vms.at("v1").used.cpu == 2000);
    setCapacity("v1", { 4000, 32'000, 0 });
    BOOST_TEST(releasedStarts().size() == 2u);
}

BOOST_AUTO_TEST_CASE(heldBackStartCountsRunsBeingStoppedOnAVmThatShrank)
{
    submit("j0", { makeStep(1) }, true);
    const auto running = startAndAccept();
    BOOST_REQUIRE(running.size() == 1u);
    submit("j1", { makeStep(1) });
    BOOST_REQUIRE(releasedStarts().empty());
    cancelJob(state, "j0");
    BOOST_REQUIRE(planStops(state, clock.now()).size() == 1u);
    setCapacity("v1", { 1000, 32'000, 0 });
    BOOST_TEST(sendOnceRecorded("j1").empty());
    report("v1", { makeEnd(1, running[0], EndKind::Stopped) });
    BOOST_TEST(releasedStarts().size() == 1u);
}

BOOST_AUTO_TEST_CASE(heldBackStartThatFillsItsVmIsSent)
{
    setCapacity("v1", { 1000, 32'000, 0 });
    auto step = makeStep(1);
    step.maxPerVm = 1;
    submit("j1", { step });
    BOOST_REQUIRE(releasedStarts().empty());
    const auto sent = sendOnceRecorded("j1");
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_TEST(sent[0].command.run == 1u);
}

BOOST_AUTO_TEST_CASE(heldBackStartOfACancelledJobIsNotSentBeforeItsStopIsPlanned)
{
    submit("j1", { makeStep(1) });
    releasedStarts();
    cancelJob(state, "j1");
    BOOST_TEST(sendOnceRecorded("j1").empty());
    BOOST_TEST(waiting.empty());
    BOOST_TEST(state.vms.at("v1").runs.empty());
}

BOOST_AUTO_TEST_CASE(heldBackStartOfAFailedJobIsNotSentBeforeItsStopIsPlanned)
{
    submit("j1", { makeStep(1) });
    releasedStarts();
    state.jobs.at("j1").state = JobState::Failed;
    BOOST_TEST(sendOnceRecorded("j1").empty());
    BOOST_TEST(state.vms.at("v1").runs.empty());
}

BOOST_AUTO_TEST_CASE(heldBackStartIsNotSentWithAnExpiredTicket)
{
    state.queues.at("quotes").advice = AdviceSettings { 20ms, 2ms, 3000ms };
    submit("j1", { makeStep(1) });
    auto& tickets = state.jobs.at("j1").occurrences.at(0).steps[0].advice.tickets;
    tickets["v1"] = { "first", clock.now() + 3s };
    BOOST_REQUIRE(releasedStarts().empty());
    BOOST_REQUIRE(state.vms.at("v1").used.cpu == 1000);
    advance(3s);
    BOOST_TEST(sendOnceRecorded("j1").empty());
    BOOST_TEST(state.vms.at("v1").runs.empty());
    tickets["v1"] = { "second", clock.now() + 3s };
    const auto sent = releasedStarts();
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_TEST(sent[0].command.ticket == "second");
}

BOOST_AUTO_TEST_CASE(heldBackStartCarriesTheRenewedTicket)
{
    state.queues.at("quotes").advice = AdviceSettings { 20ms, 2ms, 3000ms };
    submit("j1", { makeStep(1) });
    auto& tickets = state.jobs.at("j1").occurrences.at(0).steps[0].advice.tickets;
    tickets["v1"] = { "first", clock.now() + 3s };
    BOOST_REQUIRE(releasedStarts().empty());
    advance(2s);
    tickets["v1"] = { "second", clock.now() + 3s };
    advance(2s);
    const auto sent = sendOnceRecorded("j1");
    BOOST_REQUIRE(sent.size() == 1u);
    BOOST_TEST(sent[0].command.ticket == "second");
}

BOOST_AUTO_TEST_CASE(heldBackGangIsNotSentWithoutAMemberWhoseVmDrains)
{
    holdBackGangOnTwoVms();
    state.vms.at("v2").entry.draining = true;
    BOOST_TEST(sendOnceRecorded("j1").empty());
    for (const auto* vm : { "v1", "v2" })
        BOOST_TEST(state.vms.at(vm).runs.empty());
    addVm("v3", 1000);
    const auto sent = releasedStarts();
    BOOST_REQUIRE(sent.size() == 2u);
    BOOST_TEST(sent[0].command.run == sent[1].command.run);
}

BOOST_AUTO_TEST_CASE(heldBackGangIsNotSentWithoutAMemberWhoseVmEnded)
{
    holdBackGangOnTwoVms();
    endVm("v2");
    addVm("v3", 1000);
    // The whole gang is planned again.
    const auto sent = sendOnceRecorded("j1");
    BOOST_REQUIRE(sent.size() == 2u);
    BOOST_TEST(sent[0].command.run == 2u);
    BOOST_TEST(sent[1].command.run == 2u);
}

BOOST_AUTO_TEST_CASE(gangPlannedAgainIsSentBesideItsDroppedStarts)
{
    holdBackGangOnTwoVms();
    for (const auto* vm : { "v1", "v2" })
        endVm(vm);
    addVm("v3", 1000);
    addVm("v4", 1000);
    BOOST_REQUIRE(releasedStarts().empty()); // planned again, and still without a durable record
    const auto sent = sendOnceRecorded("j1");
    BOOST_REQUIRE(sent.size() == 2u);
    BOOST_TEST(sent[0].command.run == 2u);
    BOOST_TEST(sent[1].command.run == 2u);
}

BOOST_AUTO_TEST_CASE(heldBackGangThatFitsIsSent)
{
    holdBackGangOnTwoVms();
    const auto sent = sendOnceRecorded("j1");
    BOOST_REQUIRE(sent.size() == 2u);
    BOOST_TEST(sent[0].command.run == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
