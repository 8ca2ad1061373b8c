/// \file
/// Tests of what a new holder concludes from the first reports of VMs about runs of earlier holders.
#include "pool_fixture_test.h"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

/// Ends in a full report.
constexpr std::uint64_t fullReport = 500;

/// A pool after a takeover, with VMs v1 and v2, which are listed and have not reported.
struct ReportFixture : PoolFixture {
    ReportFixture()
    {
        state.term = 1;
        state.recoveryDeadline = recoveryDeadlineAfter(state.limits, clock.now());
        addVm("v1", 4000, "r1", false);
        addVm("v2", 4000, "r1", false);
        listMachinesOf({ "v1", "v2" });
    }

    /// Ends of short tasks of a job that has ended since, with the numbers from \p first to \p last.
    static std::vector<EndReport> endsOfAnEndedJob(std::uint64_t first, std::uint64_t last)
    {
        std::vector<EndReport> out;
        for (auto number = first; number <= last; ++number)
            out.push_back({ number, { "ended", 0, 0, static_cast<int>(number) }, 1, EndKind::Done, "" });
        return out;
    }

    /// Applies a report with these lists.
    void reportLists(const std::string& vm, std::vector<RunReport> running, std::vector<EndReport> ended,
        std::int64_t bootTime = 1)
    {
        VmReport out;
        out.vmClock = std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch());
        out.bootTime = bootTime;
        out.running = std::move(running);
        out.ended = std::move(ended);
        applyReport(state, vm, out, clock.now(), clock.now());
    }

    /// Lets time pass in which v1 reports and the holder sends heartbeats, and \p onStep is called, until the
    /// first start; nothing if there is none within \p longest.
    template <typename Step> std::optional<milliseconds> timeToStart(milliseconds longest, Step onStep)
    {
        for (milliseconds time { 0 }; time <= longest; time += 100ms) {
            report("v1");
            onStep();
            for (auto& [name, vm] : state.vms)
                planHeartbeat(vm, state.limits, clock.now());
            expireLeases(state, clock.now());
            if (!starts().empty())
                return time;
            advance(100ms);
        }
        return std::nullopt;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(takeover_report, ReportFixture)

// A VM had 501 ends that no holder had acknowledged. Its first report listed 500 of them, and the task of the
// last one was started again.
BOOST_AUTO_TEST_CASE(taskWhoseEndIsBeyondAFullReportIsNotStartedAgain)
{
    submit("j1", { makeStep(1) }, true);
    report("v1");
    reportLists("v2", {}, endsOfAnEndedJob(1, fullReport));
    BOOST_TEST(starts().empty());
    BOOST_TEST((findAwaitedVms(state) == std::vector<std::string> { "v2" }));
    reportLists("v2", {}, { { fullReport + 1, { "j1", 0, 0, 0 }, 1, EndKind::Done, "" } });
    BOOST_TEST((state.jobs.at("j1").state == JobState::Completed));
    BOOST_TEST(starts().empty());
    BOOST_TEST(isRecoveryComplete(state, clock.now()));
}

// The new holder renews the lease of a VM that has reported, so a time shows nothing about its unlisted ends.
BOOST_AUTO_TEST_CASE(unlistedEndsAreWaitedForBeyondTheRecoveryDeadline)
{
    submit("j1", { makeStep(1) }, true);
    submit("j2", { makeStep(1) }, true);
    const std::vector<RunReport> running { { { "j2", 0, 0, 0 }, 1, "", 50, 0 } };
    const auto started
        = timeToStart(20s, [&] { reportLists("v2", running, endsOfAnEndedJob(1, fullReport)); });
    BOOST_TEST(!started.has_value());
    BOOST_TEST((clock.now() > state.recoveryDeadline));
    reportLists("v2", running, { { fullReport + 1, { "j1", 0, 0, 0 }, 1, EndKind::Done, "" } });
    BOOST_TEST(starts().empty());
    BOOST_TEST(isRecoveryComplete(state, clock.now()));
}

// A VM with fewer ends delays nothing, nor does one whose second report is not full.
BOOST_AUTO_TEST_CASE(vmThatHasListedAllItsEndsIsNotWaitedFor)
{
    submit("j1", { makeStep(1) }, true);
    report("v1");
    const PoolState before = state;
    reportLists("v2", {}, endsOfAnEndedJob(1, fullReport - 1));
    BOOST_TEST(starts().size() == 1U);
    state = before;
    reportLists("v2", {}, endsOfAnEndedJob(1, fullReport));
    BOOST_TEST(starts().empty());
    reportLists("v2", {}, {});
    BOOST_TEST(starts().size() == 1U);
    state = before;
    reportLists("v2", {}, endsOfAnEndedJob(1, fullReport));
    BOOST_TEST(starts().empty());
    reportLists("v2", {}, {}, 2); // the ends of the earlier boot are lost
    BOOST_TEST(starts().size() == 1U);
}

// A full report of a VM after the recovery, of ends of this holder's runs, must not stop the starts.
BOOST_AUTO_TEST_CASE(fullReportAfterTheRecoveryDelaysNothing)
{
    report("v1");
    reportLists("v2", {}, {});
    submit("j1", { makeStep(1) }, true);
    BOOST_TEST(starts().size() == 1U);
    reportLists("v2", {}, endsOfAnEndedJob(1, fullReport));
    submit("j2", { makeStep(1) }, true);
    BOOST_TEST(starts().size() == 1U);
}

// Without a bound, the work of a VM that is lost after a full report would wait for good.
BOOST_AUTO_TEST_CASE(unlistedEndsOfASilentVmAreWaitedForUntilItsLeaseHasExpired)
{
    submit("j1", { makeStep(1) }, true);
    report("v1");
    reportLists("v2", {}, endsOfAnEndedJob(1, fullReport));
    markUnresponsive(state, "v2");
    const PoolState before = state;
    const auto longest = recoveryDeadlineAfter(state.limits, TimePoint {}).time_since_epoch();
    const auto registered = timeToStart(20s, [] {});
    BOOST_REQUIRE(registered.has_value());
    BOOST_TEST((*registered >= state.limits.maxVmLease));
    BOOST_TEST((*registered <= longest + state.limits.silentVmGrace + 200ms));
    state = before;
    unlistVm(state, "v2");
    const auto removed = timeToStart(20s, [] {});
    BOOST_REQUIRE(removed.has_value());
    BOOST_TEST((*removed <= longest + 200ms));
}

// An earlier holder had heard that the task's first run had failed, had started the second one and was lost
// before it recorded the failure. The second run failed too, and a third one was started, one more than the
// queue allows.
BOOST_AUTO_TEST_CASE(failedTaskWaitsForVmsThatMayHaveEarlierFailuresOfIt)
{
    submit("j1", { makeStep(1) }, true);
    const TaskId id { "j1", 0, 0, 0 };
    reportLists("v1", { { id, 2, "", 50, 0 } }, {});
    reportLists("v1", {}, { { 1, id, 2, EndKind::Failed, "" } });
    BOOST_TEST(starts().empty());
    const PoolState before = state;
    reportLists("v2", {}, { { 1, id, 1, EndKind::Failed, "" } });
    BOOST_TEST((state.jobs.at("j1").state == JobState::Failed));
    BOOST_TEST(starts().empty());
    state = before;
    reportLists("v2", {}, {});
    BOOST_TEST(starts().size() == 1U);
}

// No run before the first one can have failed, so the next one needs no other VM's report.
BOOST_AUTO_TEST_CASE(taskWhoseFirstRunFailedDoesNotWaitForOtherVms)
{
    submit("j1", { makeStep(1) }, true);
    const TaskId id { "j1", 0, 0, 0 };
    reportLists("v1", { { id, firstRunNumber, "", 50, 0 } }, {});
    reportLists("v1", {}, { { 1, id, firstRunNumber, EndKind::Failed, "" } });
    BOOST_TEST(starts().size() == 1U);
}

// A run that was listed and has been stopped, or lost, is no failure: the next one needs no other VM's
// report.
BOOST_AUTO_TEST_CASE(stoppedTaskThatWasListedDoesNotWaitForOtherVms)
{
    submit("j1", { makeStep(1) }, true);
    const TaskId id { "j1", 0, 0, 0 };
    reportLists("v1", { { id, 2, "", 50, 0 } }, {});
    reportLists("v1", {}, { { 1, id, 2, EndKind::Stopped, "" } });
    BOOST_TEST(starts().size() == 1U);
}

// An earlier holder had given up a start that a VM carried out late, and its next run of the task ended as
// done. The new holder heard first of the late run, adopted it and passed over the end of the later one,
// which it acknowledged. When the late run failed, the task was started again.
BOOST_AUTO_TEST_CASE(endOfALaterRunThanTheAdoptedOneCounts)
{
    submit("j1", { makeStep(1) }, true);
    const TaskId id { "j1", 0, 0, 0 };
    reportLists("v1", { { id, 1, "", 50, 0 } }, {});
    BOOST_REQUIRE(runOn(task("j1", 0, 0), "v1"));
    reportLists("v2", {}, { { 1, id, 2, EndKind::Done, "" } });
    BOOST_TEST((state.jobs.at("j1").state == JobState::Completed));
    BOOST_TEST(planStops(state, clock.now()).size() == 1U);
    reportLists("v1", {}, { { 1, id, 1, EndKind::Failed, "" } });
    BOOST_TEST(starts().empty());
}

// One end as done stands for all members of a gang.
BOOST_AUTO_TEST_CASE(endOfALaterRunOfAGangThanTheAdoptedOneCounts)
{
    auto gang = makeStep(2);
    gang.gang = true;
    submit("j1", { gang }, true);
    reportLists("v1", { { { "j1", 0, 0, 0 }, 1, "", 50, 0 } }, {});
    reportLists("v2", {}, { { 1, { "j1", 0, 0, 0 }, 2, EndKind::Done, "" } });
    BOOST_TEST((state.jobs.at("j1").state == JobState::Completed));
}

// Long-running tasks go on however a run ends.
BOOST_AUTO_TEST_CASE(endOfALaterRunDoesNotEndALongRunningTask)
{
    auto step = makeStep(1);
    step.longRunning = true;
    submit("j1", { step }, true);
    reportLists("v1", { { { "j1", 0, 0, 0 }, 1, "", 100, 0 } }, {});
    reportLists("v2", {}, { { 1, { "j1", 0, 0, 0 }, 2, EndKind::Done, "" } });
    BOOST_TEST(!task("j1", 0, 0).done);
    BOOST_TEST(planStops(state, clock.now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()
