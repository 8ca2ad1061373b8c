/// \file
/// Tests of the placement of long-running tasks beside other work.
#include "pool_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;

namespace {

constexpr std::int64_t vmCpu = 16'000;

struct ServingFixture : PoolFixture {
    static StepSpec makeServingStep(int count, std::int64_t memoryMb)
    {
        auto step = makeStep(count, 2000);
        step.need.memoryMb = memoryMb;
        step.longRunning = true;
        step.maxPerVm = 1;
        step.maxUnavailable = 1;
        return step;
    }

    static StepSpec makeShortStep(int count)
    {
        auto step = makeStep(count, 2200);
        step.need.memoryMb = 2300;
        step.estimate = milliseconds(800);
        return step;
    }

    /// Half of the estimate to one and a half times it, so that the tasks on a VM end one by one.
    static milliseconds runTime(const TaskId& task, const StepSpec& step)
    {
        const auto hash = std::hash<std::string> {}(toString(task));
        return step.estimate / 2 + step.estimate * static_cast<int>(hash % 100) / 100;
    }

    /// Lets 100 ms pass: short tasks whose time is over end, VMs report, and waiting tasks
    /// start. Long-running tasks are ready as soon as they have started.
    void runTick()
    {
        advance(milliseconds(100));
        for (auto& [id, vm] : state.vms) {
            std::vector<EndReport> ended;
            for (const auto& task : vm.runs) {
                const auto& run = *findTask(state, task)->run;
                const auto& step = stepOf(state.jobs.at(task.job), task.step);
                const bool isStopping = run.phase == RunPhase::Stopping;
                if (isStopping || (!step.longRunning && clock.now() - run.createdAt >= runTime(task, step)))
                    ended.push_back({ ++m_endNumbers[id], task, run.number,
                        isStopping ? EndKind::Stopped : EndKind::Done, "" });
            }
            report(id, std::move(ended));
        }
        planEvacuations(state, clock.now());
        planStops(state, clock.now());
        startAndAccept();
        for (auto& [id, vm] : state.vms) {
            for (const auto& task : vm.runs)
                findTask(state, task)->run->percent = 100;
        }
    }

    /// Keeps more short tasks waiting than the pool can run.
    void keepBacklog()
    {
        while (std::count_if(state.jobs.begin(), state.jobs.end(), [](const auto& entry) {
            return !isFinal(entry.second.state);
        }) < 20)
            submit("short" + std::to_string(++m_jobCount), { makeShortStep(8) });
    }

    bool isRunning(const std::string& job, int index)
    {
        const auto& run = task(job, 0, index).run;
        return run && run->phase == RunPhase::Running;
    }

    std::map<std::string, std::uint64_t> m_endNumbers;
    int m_jobCount = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(serving_placement, ServingFixture)

BOOST_AUTO_TEST_CASE(logNamesWhatKeepsAWaitingLongRunningTaskFromEachVm)
{
    addVm("busy", vmCpu);
    auto large = makeStep(1, 1000);
    large.need.memoryMb = 20'000;
    submit("short", { large });
    BOOST_REQUIRE(startAndAccept().size() == 1U);
    addVm("small", 1000);
    addVm("leaving", vmCpu);
    state.vms.at("leaving").isEvacuating = true;
    addVm("silent", vmCpu, "r1", false);
    submit("serving", { makeServingStep(2, 16'000) });
    BOOST_REQUIRE(starts().empty());
    const auto waiting = findWaitingServingSteps(state, clock.now(), 4);
    BOOST_REQUIRE(waiting.size() == 1U);
    BOOST_TEST(toString(waiting[0].step) == "serving.0.0");
    BOOST_TEST(waiting[0].tasks == 2);
    const std::map<PlacementObstacle, int> expected { { PlacementObstacle::Memory, 1 },
        { PlacementObstacle::TooSmall, 1 }, { PlacementObstacle::Evacuating, 1 },
        { PlacementObstacle::NotReported, 1 } };
    BOOST_TEST((waiting[0].vms == expected));
}

// Short tasks took each bit of room that became free on the full VMs, so a long-running task that needs much
// of a VM waited for as long as there was a backlog.
BOOST_AUTO_TEST_CASE(longRunningTaskIsNotKeptWaitingByABacklogOfShortOnes)
{
    for (const char* vm : { "v1", "v2", "v3" })
        addVm(vm, vmCpu);
    for (int i = 0; i < 10; ++i) {
        keepBacklog();
        runTick();
    }
    submit("serving", { makeServingStep(1, 24'000) });
    milliseconds waited { 0 };
    for (; !isRunning("serving", 0) && waited < milliseconds(3000); waited += milliseconds(100)) {
        keepBacklog();
        runTick();
    }
    BOOST_TEST(isRunning("serving", 0));
    // No longer than the longest short task runs.
    BOOST_TEST(waited.count() <= 1200);
}

// Maintenance stopped a long-running task while no other VM had room for it, and it waited for many seconds.
BOOST_AUTO_TEST_CASE(evacuatedLongRunningTaskRunsUntilAnotherVmHasRoom)
{
    addVm("leaving", vmCpu);
    submit("serving", { makeServingStep(1, 24'000) });
    runTick();
    BOOST_REQUIRE(isRunning("serving", 0));
    for (const char* vm : { "v1", "v2", "v3" })
        addVm(vm, vmCpu);
    for (int i = 0; i < 10; ++i) {
        keepBacklog();
        runTick();
    }
    setEvacuation(state, state.vms.at("leaving"), "7.1");
    milliseconds away { 0 };
    for (milliseconds passed { 0 }; passed < milliseconds(4000); passed += milliseconds(100)) {
        keepBacklog();
        runTick();
        if (!isRunning("serving", 0))
            away += milliseconds(100);
    }
    BOOST_TEST(state.vms.at("leaving").runs.empty());
    BOOST_TEST(isRunning("serving", 0));
    BOOST_TEST(away.count() <= 200);
}

// The pool was sized by CPU alone. Its long-running tasks need more memory than the VMs that are left have.
BOOST_AUTO_TEST_CASE(poolNeedsMachinesForLongRunningTasksThatLackMemory)
{
    for (const char* vm : { "v1", "v2", "v3" })
        addVm(vm, vmCpu);
    submit("serving", { makeServingStep(3, 20'000) });
    runTick();
    BOOST_REQUIRE(computeLoad(state, clock.now(), wallNow).missingServingMachines == 0);
    setEvacuation(state, state.vms.at("v1"), "7.1");
    setEvacuation(state, state.vms.at("v2"), "7.2");
    BOOST_TEST(computeLoad(state, clock.now(), wallNow).missingServingMachines == 2);
}

// VMs with memory for the task were counted as room, although each ran a task of the same step.
BOOST_AUTO_TEST_CASE(vmWithATaskOfTheStepIsNoRoomForAnother)
{
    for (const char* vm : { "v1", "v2", "v3" })
        addVm(vm, vmCpu);
    submit("serving", { makeServingStep(3, 5'000) });
    runTick();
    BOOST_REQUIRE(computeLoad(state, clock.now(), wallNow).missingServingMachines == 0);
    setEvacuation(state, state.vms.at("v1"), "7.1");
    BOOST_TEST(computeLoad(state, clock.now(), wallNow).missingServingMachines == 1);
}

BOOST_AUTO_TEST_CASE(machinesForManyWaitingTasksAreCountedAtOnce)
{
    addVm("v1", vmCpu);
    auto step = makeServingStep(100'000, 10'000);
    step.maxPerVm = 0;
    submit("serving", { step });
    BOOST_TEST(computeLoad(state, clock.now(), wallNow).missingServingMachines == 33'333);
}

// After a takeover the tasks of the earlier holder run on VMs that have not reported.
BOOST_AUTO_TEST_CASE(recoveredLongRunningTasksLackNoMachines)
{
    state.recoveryDeadline = clock.now() + milliseconds(10'000);
    addVm("v1", vmCpu);
    addVm("v2", vmCpu, "r1", false);
    submit("serving", { makeServingStep(2, 20'000) }, true);
    BOOST_TEST(computeLoad(state, clock.now(), wallNow).missingServingMachines == 0);
}

// A task of the step took the VM that was reserved for another, whose reservation then stayed on a VM that
// could not take it.
BOOST_AUTO_TEST_CASE(taskDoesNotTakeAVmThatIsReservedForAnotherOfItsStep)
{
    addVm("leaving", vmCpu);
    submit("serving", { makeServingStep(2, 12'000) });
    runTick();
    BOOST_REQUIRE(isRunning("serving", 0));
    addVm("v1", vmCpu);
    setEvacuation(state, state.vms.at("leaving"), "7.1");
    planEvacuations(state, clock.now()); // reserves v1 for the first task and stops it
    BOOST_REQUIRE(state.servingReservations.contains({ "serving", 0, 0, 0 }));
    BOOST_TEST(starts().empty()); // the second task waits
    addVm("v2", vmCpu);
    runTick();
    runTick();
    BOOST_TEST(isRunning("serving", 0));
    BOOST_TEST(isRunning("serving", 1));
}

BOOST_AUTO_TEST_CASE(longRunningTaskIsNotStoppedForAVmOnTrial)
{
    addVm("leaving", vmCpu);
    submit("serving", { makeServingStep(1, 12'000) });
    runTick();
    addVm("v1", vmCpu);
    state.vms.at("v1").trialTask = TaskId { "other", 0, 0, 0 };
    setEvacuation(state, state.vms.at("leaving"), "7.1");
    planEvacuations(state, clock.now());
    BOOST_TEST(isRunning("serving", 0));
}

// Tasks that fit nowhere used up all attempts of each pass.
BOOST_AUTO_TEST_CASE(taskThatFitsNowhereDoesNotKeepOthersFromReserving)
{
    addVm("v1", vmCpu);
    for (int i = 0; i < 10; ++i) {
        keepBacklog();
        runTick();
    }
    submit("a", { makeServingStep(100, 40'000) });
    submit("b", { makeServingStep(1, 24'000) });
    runTick();
    BOOST_TEST(state.servingReservations.contains({ "b", 0, 0, 0 }));
}

BOOST_AUTO_TEST_CASE(reservationEndsWithItsTask)
{
    addVm("v1", vmCpu);
    for (int i = 0; i < 10; ++i) {
        keepBacklog();
        runTick();
    }
    submit("serving", { makeServingStep(1, 24'000) });
    runTick();
    BOOST_REQUIRE(state.vms.at("v1").reserved.memoryMb == 24'000);
    cancelJob(state, "serving");
    runTick();
    BOOST_TEST((state.vms.at("v1").reserved == Resources {}));
    BOOST_TEST(state.servingReservations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
