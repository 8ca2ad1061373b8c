/// Second runs of stragglers in speculative steps.
#include "pool_fixture_test.h"

#include <damaskworks/start_gate.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

/// A pool of 40 cores, in which two tasks of a core each may have copies.
struct CopyFixture : PoolFixture {
    std::map<std::string, VmReport> reports; ///< the ends that each VM has listed

    CopyFixture()
    {
        for (int i = 0; i < 10; ++i)
            addVm("v" + std::to_string(i));
    }

    static StepSpec speculativeStep(int count)
    {
        auto out = makeStep(count);
        out.speculative = true;
        out.maxPerVm = 1;
        return out;
    }

    std::vector<StartAction> plan()
    {
        updateLoadSums(state, wallNow);
        return startAndAccept();
    }

    /// Ends the task's run on the VM.
    void end(const std::string& vm, const TaskId& id, EndKind kind)
    {
        const auto number = runOn(*findTask(state, id), vm)->number;
        report(vm, { { state.vms.at(vm).applied + 1, id, number, kind, "" } });
    }

    /// Submits steps, of the first of which all tasks but the first end after their estimate, and lets time
    /// pass until that one is a straggler.
    std::vector<StartAction> makeStraggler(std::vector<StepSpec> steps = { speculativeStep(4) })
    {
        submit("job", std::move(steps));
        auto started = plan();
        advance(1s);
        for (std::size_t i = 1; i < started.size(); ++i)
            end(started[i].vm, started[i].command.task, EndKind::Done);
        advance(2s);
        return started;
    }

    /// The same, with its copy.
    std::pair<StartAction, StartAction> makeCopy()
    {
        const auto started = makeStraggler();
        const auto copies = plan();
        BOOST_REQUIRE(copies.size() == 1);
        return { started.front(), copies.front() };
    }

    const TaskState& straggler() { return task("job", 0, 0); }

    std::vector<StopAction> stops() { return planStops(state, clock.now()); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(run_copies, CopyFixture)

BOOST_AUTO_TEST_CASE(stragglerGetsOneCopyOnAnotherVm)
{
    const auto [first, copy] = makeCopy();
    BOOST_TEST((copy.command.task == first.command.task));
    BOOST_TEST(copy.vm != first.vm);
    BOOST_TEST(copy.command.run > first.command.run);
    advance(5s);
    BOOST_TEST(plan().empty());
}

BOOST_AUTO_TEST_CASE(copiesStayWithinTheCapOfTheOrganisation)
{
    submit("job", { speculativeStep(4) });
    auto& job = state.jobs.at("job");
    job.spec.organisation = "o";
    const auto need = stepOf(job, 0).need;
    auto& use = useOf(state.caps, "o");
    const auto started = plan();
    advance(1s);
    for (std::size_t i = 1; i < started.size(); ++i)
        end(started[i].vm, started[i].command.task, EndKind::Done);
    advance(2s);
    use.allowed = need;
    BOOST_TEST(plan().empty());
    BOOST_TEST((use.waiting == Resources {})); // no other pool gives share for a copy
    *use.allowed += need;
    advance(1s);
    const auto copies = plan();
    BOOST_REQUIRE(copies.size() == 1);
    BOOST_TEST((use.runs == *use.allowed));
    end(copies[0].vm, copies[0].command.task, EndKind::Done);
    BOOST_TEST((use.runs == need)); // the first run, until its end is listed
    end(started[0].vm, started[0].command.task, EndKind::Stopped);
    BOOST_TEST((use.runs == Resources {}));
}

BOOST_AUTO_TEST_CASE(slowProgressShowsAStragglerOnceItsSiblingsAreDone)
{
    submit("job", { speculativeStep(4) });
    const auto started = plan();
    advance(600ms);
    VmReport slow;
    slow.vmClock = std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch());
    slow.bootTime = 1;
    slow.running.push_back({ started[0].command.task, started[0].command.run, "", 9, 0 });
    applyReport(state, started[0].vm, slow, clock.now(), clock.now());
    // All tasks of the step may take longer than estimated.
    BOOST_TEST(plan().empty());
    advance(300ms);
    for (std::size_t i = 1; i < started.size(); ++i)
        end(started[i].vm, started[i].command.task, EndKind::Done);
    const auto copies = plan();
    BOOST_REQUIRE(copies.size() == 1);
    BOOST_TEST((copies[0].command.task == started[0].command.task));
}

BOOST_AUTO_TEST_CASE(stepThatTakesTwiceItsEstimateGetsNoCopies)
{
    submit("job", { speculativeStep(8) });
    const auto started = plan();
    for (int i = 0; i < 20; ++i) {
        advance(100ms);
        BOOST_TEST(plan().empty());
    }
    for (std::size_t i = 0; i < 4; ++i)
        end(started[i].vm, started[i].command.task, EndKind::Done);
    advance(200ms);
    BOOST_TEST(plan().empty());
}

BOOST_AUTO_TEST_CASE(endOfTheCopyCountsAndTheFirstRunIsStopped)
{
    const auto [first, copy] = makeCopy();
    end(copy.vm, copy.command.task, EndKind::Done);
    BOOST_TEST((state.jobs.at("job").state == JobState::Completed));
    const auto stopped = stops();
    BOOST_REQUIRE(stopped.size() == 1);
    BOOST_TEST(stopped[0].vm == first.vm);
    BOOST_TEST(stopped[0].run == first.command.run);
    // It may fail before the stop arrives.
    end(first.vm, first.command.task, EndKind::Failed);
    BOOST_TEST(straggler().failedRuns.empty());
    BOOST_TEST(!straggler().run.has_value());
    BOOST_TEST((state.runEvents.back().kind == RunEventKind::CopyEndedFirst));
    BOOST_TEST(plan().empty());
}

BOOST_AUTO_TEST_CASE(endOfTheFirstRunStopsTheCopy)
{
    const auto [first, copy] = makeCopy();
    end(first.vm, first.command.task, EndKind::Done);
    const auto stopped = stops();
    BOOST_REQUIRE(stopped.size() == 1);
    BOOST_TEST(stopped[0].vm == copy.vm);
    end(copy.vm, copy.command.task, EndKind::Stopped);
    BOOST_TEST(state.vms.at(copy.vm).runs.empty());
    BOOST_TEST((state.vms.at(copy.vm).used == Resources {}));
}

BOOST_AUTO_TEST_CASE(failuresOfBothRunsAreAttempts)
{
    const auto [first, copy] = makeCopy();
    end(copy.vm, copy.command.task, EndKind::Failed);
    BOOST_TEST((state.jobs.at("job").state == JobState::Running));
    BOOST_TEST(straggler().run->number == first.command.run);
    BOOST_TEST(plan().empty());
    end(first.vm, first.command.task, EndKind::Failed);
    BOOST_TEST((state.jobs.at("job").state == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(lastAttemptGetsNoCopy)
{
    state.queues.begin()->second.maxAttempts = 1;
    makeStraggler();
    BOOST_TEST(plan().empty());
}

BOOST_AUTO_TEST_CASE(otherStepsGetNoCopies)
{
    for (auto change : { +[](StepSpec& step) { step.speculative = false; },
             +[](StepSpec& step) { step.gang = true; }, +[](StepSpec& step) { step.longRunning = true; } }) {
        auto step = speculativeStep(1);
        change(step);
        submit("job" + std::to_string(state.jobs.size()), { step });
    }
    BOOST_TEST(plan().size() == 3);
    advance(10s);
    BOOST_TEST(plan().empty());
}

BOOST_AUTO_TEST_CASE(copiesLeaveRoomToWaitingTasks)
{
    makeStraggler();
    // It waits for a VM with a label that none has.
    auto step = makeStep(1);
    step.requiredLabel = "none";
    submit("other", { step });
    BOOST_TEST(plan().empty());
    cancelJob(state, "other");
    advance(200ms);
    BOOST_TEST(plan().size() == 1);
}

BOOST_AUTO_TEST_CASE(copiesUseASmallPartOfThePool)
{
    submit("job", { speculativeStep(8) });
    BOOST_TEST(plan().size() == 8);
    advance(3s);
    BOOST_TEST(plan().size() == 2);
    advance(3s);
    BOOST_TEST(plan().empty());
}

BOOST_AUTO_TEST_CASE(copyGoesOnWhenTheFirstRunsVmIsLost)
{
    const auto [first, copy] = makeCopy();
    reportEmpty(first.vm, 2); // it has restarted
    BOOST_TEST(straggler().run->vm == copy.vm);
    BOOST_TEST(!straggler().copy.has_value());
    BOOST_TEST(plan().empty());
    end(copy.vm, copy.command.task, EndKind::Done);
    BOOST_TEST((state.jobs.at("job").state == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(cancelledJobStopsBothRuns)
{
    makeCopy();
    cancelJob(state, "job");
    BOOST_TEST(stops().size() == 2);
}

BOOST_AUTO_TEST_CASE(copyThatIsHeldBackIsNotSentAfterTheEnd)
{
    auto next = makeStep(1);
    next.after = { 0 };
    const auto first = makeStraggler({ speculativeStep(4), next }).front();
    updateLoadSums(state, wallNow);
    auto planned = starts();
    BOOST_REQUIRE(planned.size() == 1);
    state.jobs.at("job").hasRecord = false;
    WaitingStarts waiting;
    BOOST_TEST(takeReadyStarts(state, waiting, planned, clock.now()).empty());
    end(first.vm, first.command.task, EndKind::Done);
    state.jobs.at("job").hasRecord = state.jobs.at("job").hasSpec = true;
    BOOST_TEST(takeReadyStarts(state, waiting, {}, clock.now()).empty());
    BOOST_TEST(!straggler().run.has_value());
    BOOST_TEST(state.vms.at(planned[0].vm).runs.empty());
}

namespace {

/// A report of one run of the task, or of its end.
VmReport listRun(const ManualClock& clock, const TaskId& id, std::uint32_t run, std::optional<EndKind> end)
{
    VmReport out;
    out.vmClock = std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch());
    out.bootTime = 1;
    if (end)
        out.ended.push_back({ 1, id, run, *end, "" });
    else
        out.running.push_back({ id, run, "", 10, 0 });
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(nextHolderAdoptsBothRuns)
{
    submit("job", { speculativeStep(1) }, true);
    const TaskId id { "job", 0, 0, 0 };
    // The VM of the copy reports first.
    applyReport(state, "v2", listRun(clock, id, 2, {}), clock.now(), clock.now());
    applyReport(state, "v1", listRun(clock, id, 1, {}), clock.now(), clock.now());
    BOOST_TEST(runOn(straggler(), "v1")->number == 1);
    BOOST_TEST(runOn(straggler(), "v2")->number == 2);
    // A third one is stopped.
    applyReport(state, "v3", listRun(clock, id, 3, {}), clock.now(), clock.now());
    BOOST_TEST(state.vms.at("v3").orphanRuns.size() == 1);
    end("v1", id, EndKind::Done);
    BOOST_TEST(stops().size() == 2);
    BOOST_TEST((state.jobs.at("job").state == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(nextHolderCountsTheEndOfARunThatItDoesNotKnow)
{
    submit("job", { speculativeStep(1) }, true);
    const TaskId id { "job", 0, 0, 0 };
    applyReport(state, "v1", listRun(clock, id, 1, {}), clock.now(), clock.now());
    applyReport(state, "v2", listRun(clock, id, 2, EndKind::Done), clock.now(), clock.now());
    BOOST_TEST(straggler().done);
    BOOST_TEST(stops().size() == 1);
    end("v1", id, EndKind::Stopped);
    BOOST_TEST(plan().empty());
}

BOOST_AUTO_TEST_SUITE_END()
