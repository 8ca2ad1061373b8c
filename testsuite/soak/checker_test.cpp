#include "checker.h"

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::soak;

namespace {

constexpr const char* jobId = "0000000000000001";
const TaskId task { jobId, 0, 0, 0 };

struct CheckerFixture {
    CheckerFixture()
    {
        auto& job = checker.jobs[jobId];
        job.queue = { "quotes", "pricing", 3 };
        job.spec.id = jobId;
        job.spec.steps.resize(1);
        job.spec.steps.front().count = 1;
    }
    JobRecord& job() { return checker.jobs.at(jobId); }
    void start(const std::string& vm, std::uint32_t run) { checker.started(vm, "pricing", task, run, ""); }
    void crash(const std::string& vm, std::uint32_t run)
    {
        start(vm, run);
        checker.crashed(vm, task);
        checker.ended(vm, task, run, "");
    }

    Checker checker;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(checker, CheckerFixture)

BOOST_AUTO_TEST_CASE(runBesideAnotherOnTheNewBootOfItsVmIsAViolation)
{
    start("i-1", 1);
    checker.ended("i-1", task, 1, ""); // the VM restarts under its id
    start("i-2", 2);
    BOOST_TEST(checker.violations.empty());
    start("i-1", 1); // carried out late by the new boot
    BOOST_TEST(checker.violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(sameRunOnTwoVmsCountsAsActiveUntilBothHaveEnded)
{
    start("i-1", 1);
    start("i-2", 1);
    BOOST_TEST(checker.violations.size() == 1U);
    checker.ended("i-1", task, 1, "done");
    BOOST_TEST(checker.activeRunCount() == 1);
}

BOOST_AUTO_TEST_CASE(taskThatHasCrashedThreeVmsMustNotStartThreeTimesMore)
{
    job().crashesVms = true;
    for (std::uint32_t run = 1; run <= 5; ++run)
        crash("i-" + std::to_string(run), run);
    BOOST_TEST(checker.violations.empty());
    crash("i-1", 6);
    BOOST_TEST(checker.violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(jobThatCrashesVmsMayBeShownAsFailedAfterTwoCrashes)
{
    job().crashesVms = true;
    crash("i-1", 1);
    checker.recordFinalState(jobId, "failed");
    BOOST_TEST(checker.violations.size() == 1U);
    crash("i-2", 2);
    checker.recordFinalState(jobId, "failed");
    BOOST_TEST(checker.violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(jobThatOnlyLostItsVmsMustNotBeShownAsFailed)
{
    for (std::uint32_t run = 1; run <= 3; ++run) {
        start("i-1", run);
        checker.ended("i-1", task, run, "");
    }
    checker.recordFinalState(jobId, "failed");
    BOOST_TEST(checker.violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(jobThatWasCancelledWhileUnknownIsNeitherAcceptedNorStarted)
{
    checker.recordCancellation(jobId, false);
    BOOST_TEST(checker.isFinished(job()));
    BOOST_TEST(checker.violations.empty());
    checker.recordAcceptance(jobId);
    BOOST_TEST(checker.violations.size() == 1U);
    job().cancelledAt -= std::chrono::seconds(4);
    start("i-1", 1);
    BOOST_TEST(checker.violations.size() == 2U);
}

BOOST_AUTO_TEST_CASE(cancellationOfAnAcceptedJobMustKnowIt)
{
    checker.recordAcceptance(jobId);
    checker.recordCancellation(jobId, false);
    BOOST_TEST(checker.violations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(jobMayBeShownAsFailedOnlyAfterItsLastAttempt)
{
    for (std::uint32_t run = 1; run <= 3; ++run) {
        checker.recordFinalState(jobId, "failed");
        BOOST_TEST(checker.violations.size() == run);
        start("i-1", run);
        checker.ended("i-1", task, run, "failed");
    }
    checker.recordFinalState(jobId, "failed");
    BOOST_TEST(checker.violations.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
