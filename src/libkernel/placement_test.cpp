#include <boost/test/unit_test.hpp>

#include <damaskworks/placement.h>

using namespace damask;
using namespace damask::placement;
using namespace std::chrono_literals;

namespace {

struct Placement {
    void addWorker(const std::string& vm, Resources capacity = { 4, 4000, 0 })
    {
        Worker worker;
        worker.pool = "imaging";
        worker.rack = "rack-" + vm;
        worker.capacity = capacity;
        setWorker(state, vm, worker);
    }

    void addJob(
        const std::string& name, double cpu, Priority priority = Priority::Normal, bool cancelled = false)
    {
        JobSpec spec { name, "imaging", "team", { cpu, 100, 0 }, priority };
        spec.cancelled = cancelled;
        declareJob(state, spec);
    }

    const Progress& progressOf(const std::string& job) { return state.jobs.at(job).progress; }

    void runPass() { pass(state, 1, now); }

    void report(const std::string& job, TaskState task, double cpuUsed = 0)
    {
        observe(state, { progressOf(job).task, job, progressOf(job).vm, task, cpuUsed, 0 }, now);
    }

    State state;
    TimePoint now { 1h };
};

} // namespace

BOOST_FIXTURE_TEST_CASE(unschedulableJobIsReportedAndDoesNotBlockOthers, Placement)
{
    addWorker("a");
    addJob("huge", 5, Priority::Urgent);
    addJob("small", 1, Priority::Low);
    runPass();
    BOOST_TEST((progressOf("huge").phase == Phase::Unschedulable));
    BOOST_TEST(progressOf("huge").condition == "larger than any VM of pool imaging");
    BOOST_TEST((progressOf("small").phase == Phase::Placed));
    addWorker("b", { 8, 8000, 0 });
    runPass();
    BOOST_TEST(progressOf("huge").vm == "b");
}

BOOST_FIXTURE_TEST_CASE(jobLargerThanItsQuotaIsReported, Placement)
{
    addWorker("a");
    setQuota(state, "team", Resources { 2, 1000, 0 });
    addJob("large", 3);
    addJob("first", 2);
    addJob("second", 2);
    runPass();
    BOOST_TEST(progressOf("large").condition == "larger than the quota of team team");
    BOOST_TEST((progressOf("first").phase == Phase::Placed));
    BOOST_TEST(progressOf("second").condition == "waits for the quota of team team");
    report("first", TaskState::Succeeded);
    runPass();
    BOOST_TEST((progressOf("second").phase == Phase::Placed));
}

BOOST_FIXTURE_TEST_CASE(urgentJobPreemptsTheFewestLowerPriorityJobs, Placement)
{
    addWorker("a");
    addWorker("b");
    addJob("two-1", 2);
    addJob("two-2", 2);
    addJob("four", 4, Priority::Low);
    runPass();
    addJob("urgent", 4, Priority::Urgent);
    runPass();
    BOOST_TEST((progressOf("four").stopReason == StopReason::Preempt));
    BOOST_TEST((progressOf("two-1").stopReason == StopReason::None));
    addJob("late", 4);
    report("four", TaskState::Stopped);
    runPass();
    BOOST_TEST((progressOf("urgent").phase == Phase::Placed));
    BOOST_TEST((progressOf("four").phase == Phase::Queued));
    BOOST_TEST((progressOf("late").phase == Phase::Queued));
}

BOOST_FIXTURE_TEST_CASE(repeatedFailuresQuarantineAWorkerUnlessTheJobsFailElsewhereToo, Placement)
{
    addWorker("bad", { 4, 4000, 0 });
    for (auto name : { "x", "y", "z" })
        addJob(name, 1);
    runPass();
    addWorker("good", { 8, 4000, 0 });
    for (auto name : { "x", "y", "z" })
        report(name, TaskState::Failed);
    runPass();
    for (auto name : { "x", "y", "z" })
        BOOST_TEST(progressOf(name).vm == "good");
    BOOST_TEST((state.workers.at("bad").quarantinedUntil > now));
    for (auto name : { "x", "y", "z" })
        report(name, TaskState::Failed);
    BOOST_TEST((state.workers.at("bad").quarantinedUntil <= now));
    BOOST_TEST((state.workers.at("good").quarantinedUntil <= now));
}

BOOST_FIXTURE_TEST_CASE(observedUseCorrectsDeclaredSize, Placement)
{
    addWorker("a");
    for (auto name : { "render-1", "render-2", "render-3" }) {
        addJob(name, 4);
        runPass();
        report(name, TaskState::Succeeded, 1);
    }
    addJob("render-4", 4);
    addJob("render-5", 4);
    runPass();
    BOOST_TEST((progressOf("render-4").phase == Phase::Placed));
    BOOST_TEST((progressOf("render-5").phase == Phase::Placed));
}

BOOST_FIXTURE_TEST_CASE(newAttemptWaitsUntilThePreviousTaskStops, Placement)
{
    addWorker("a");
    addWorker("b");
    addJob("job", 1);
    runPass();
    const auto first = progressOf("job").task;
    requestStop(state, "job", StopReason::Lost);
    runPass();
    BOOST_TEST(progressOf("job").task == first);
    report("job", TaskState::Stopped);
    runPass();
    BOOST_TEST(progressOf("job").task != first);
    observe(state, { first, "job", "a", TaskState::Succeeded }, now);
    BOOST_TEST((progressOf("job").phase == Phase::Placed));
}

BOOST_FIXTURE_TEST_CASE(manyConcurrentCancellationsComplete, Placement)
{
    addWorker("a");
    for (int i = 0; i < 100; ++i)
        addJob("job-" + std::to_string(i), 1);
    runPass();
    for (int i = 0; i < 100; ++i)
        addJob("job-" + std::to_string(i), 1, Priority::Normal, true);
    runPass();
    for (int i = 0; i < 100; ++i)
        report("job-" + std::to_string(i), TaskState::Stopped);
    for (const auto& [name, job] : state.jobs)
        BOOST_TEST((job.progress.phase == Phase::Cancelled), name);
}
