/// Directory of jobs, and the encoding of job rows.
#include <damaskworks/job_directory.h>

#include <boost/test/unit_test.hpp>

using namespace damask::fleet;

namespace {

TableRow jobRow(const std::string& id, Version version)
{
    JobSpec job;
    job.id = id;
    job.queue = "quotes";
    job.pool = "pricing";
    job.steps.resize(1);
    return { rows::jobPart("quotes", id), rows::jobKey(id), encodeJob(job), version };
}

TableRow stateRow(const std::string& id, const std::string& state, Version version)
{
    return { rows::poolPart("pricing"), rows::stateKey(id), "{\"state\":\"" + state + "\"}", version };
}

} // namespace

BOOST_AUTO_TEST_CASE(resetNotifiesOfAJobOnceWithItsState)
{
    JobDirectory directory;
    std::vector<JobState> notifiedStates;
    directory.setListener(
        [&](const std::string&, const JobRecord& record) { notifiedStates.push_back(record.state); });
    directory.reset({ jobRow("a1", 3), stateRow("a1", "completed", 5) });
    BOOST_REQUIRE(notifiedStates.size() == 1u);
    BOOST_TEST((notifiedStates.front() == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(pendingCountsOnlyQueuedJobs)
{
    JobDirectory directory;
    directory.apply(jobRow("a1", 3));
    directory.apply(jobRow("a2", 4));
    BOOST_TEST(directory.pendingJobs("quotes") == 2u);
    directory.apply(stateRow("a1", "running", 5));
    BOOST_TEST(directory.pendingJobs("quotes") == 1u);
    directory.apply({ rows::jobPart("quotes", "a2"), rows::cancelKey("a2"), "{}", 6 });
    BOOST_TEST(directory.pendingJobs("quotes") == 0u);
    directory.apply({ rows::jobPart("quotes", "a1"), rows::jobKey("a1"), "", 7, true });
    BOOST_TEST(directory.find("a1") == nullptr);
}

// The holder ran the job of the row, of which another row may tell as well, and never the one of the key.
BOOST_AUTO_TEST_CASE(jobRowUnderTheKeyOfAnotherJobIsLeftOut)
{
    JobDirectory directory;
    auto row = jobRow("a1", 3);
    row.key = rows::jobKey("a2");
    directory.apply(row);
    directory.apply(jobRow("a3", 4));
    BOOST_TEST(directory.find("a2") == nullptr);
    BOOST_TEST(directory.find("a3") != nullptr);
}

BOOST_AUTO_TEST_CASE(cancellationThatArrivesBeforeItsJobIsApplied)
{
    JobDirectory directory;
    directory.apply({ rows::jobPart("quotes", "a1"), rows::cancelKey("a1"), "{}", 2 });
    BOOST_TEST(directory.find("a1") == nullptr);
    directory.apply(jobRow("a1", 3));
    BOOST_REQUIRE(directory.find("a1"));
    BOOST_TEST((directory.find("a1")->visibleState() == JobState::Cancelled));
}

BOOST_AUTO_TEST_CASE(poolIsListedUntilItsLastJobHasEnded)
{
    // The pool's queue may be routed elsewhere or removed before its jobs end. A cancelled job counts until
    // the holder has recorded its end.
    JobDirectory directory;
    directory.apply(jobRow("a1", 3));
    directory.apply(jobRow("a2", 4));
    BOOST_TEST(directory.poolsWithUnfinishedJobs().contains("pricing"));
    directory.apply(stateRow("a1", "completed", 5));
    directory.apply({ rows::jobPart("quotes", "a2"), rows::cancelKey("a2"), "{}", 6 });
    BOOST_TEST(directory.poolsWithUnfinishedJobs().contains("pricing"));
    directory.apply(stateRow("a2", "cancelled", 7));
    BOOST_TEST(directory.poolsWithUnfinishedJobs().empty());
}

BOOST_AUTO_TEST_CASE(jobRowRoundTripsAllFields)
{
    JobSpec job;
    job.id = "a1";
    job.queue = "quotes";
    job.pool = "pricing";
    job.specBytes = 4;
    job.occurrences = 3;
    job.firstDue = WallTime(5000);
    job.period = milliseconds(700);
    job.acceptedAt = WallTime(4000);
    job.maxAttempts = 4;
    StepSpec minimalStep;
    minimalStep.need = { 880, 1300, 0 };
    StepSpec fullStep;
    fullStep.count = 6;
    fullStep.need = { 1000, 64, 1 };
    fullStep.estimate = milliseconds(800);
    fullStep.after = { 0 };
    fullStep.checkpoints = fullStep.gang = fullStep.sameRack = fullStep.speculative = fullStep.longRunning
        = fullStep.filler = true;
    fullStep.requiredLabel = "a";
    fullStep.preferredRack = "r1";
    fullStep.image = "topper";
    fullStep.maxPerVm = 2;
    fullStep.latencyTarget = milliseconds(90);
    fullStep.maxUnavailable = 1;
    job.steps = { minimalStep, fullStep };
    const auto row = encodeJob(job);
    const auto read = decodeJob(row);
    BOOST_REQUIRE(read);
    BOOST_TEST(encodeJob(*read) == row);
    BOOST_TEST(read->maxAttempts == 4);
    BOOST_TEST(read->specBytes == 4u);
    BOOST_TEST((read->steps[0].need == minimalStep.need));
    const auto& step = read->steps[1];
    BOOST_TEST(step.count == 6);
    BOOST_TEST(
        (step.need == fullStep.need && step.estimate == fullStep.estimate && step.after == fullStep.after));
    BOOST_TEST((step.checkpoints && step.gang && step.sameRack && step.speculative));
    BOOST_TEST((step.longRunning && step.filler && step.latencyTarget == fullStep.latencyTarget));
    BOOST_TEST((step.requiredLabel == "a" && step.preferredRack == "r1" && step.image == "topper"));
    BOOST_TEST((step.maxPerVm == 2 && step.maxUnavailable == 1));
}
