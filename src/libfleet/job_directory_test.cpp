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

TableRow progressRow(const std::string& id, const std::string& state, Version version)
{
    return { rows::poolPart("pricing"), rows::progressKey(id), "{\"state\":\"" + state + "\"}", version };
}

} // namespace

BOOST_AUTO_TEST_CASE(reloadTellsOfAJobOnlyWithItsProgress)
{
    JobDirectory directory;
    std::vector<JobState> told;
    directory.listen([&](const std::string&, const JobRecord& record) { told.push_back(record.state); });
    directory.reset({ jobRow("a1", 3), progressRow("a1", "completed", 5) });
    BOOST_REQUIRE(told.size() == 1u);
    BOOST_TEST((told.front() == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(countsJobsOfWhichNoTaskHasStarted)
{
    JobDirectory directory;
    directory.apply(jobRow("a1", 3));
    directory.apply(jobRow("a2", 4));
    BOOST_TEST(directory.pending("quotes") == 2u);
    directory.apply(progressRow("a1", "running", 5));
    BOOST_TEST(directory.pending("quotes") == 1u);
    directory.apply({ rows::jobPart("quotes", "a2"), rows::cancelKey("a2"), "{}", 6 });
    BOOST_TEST(directory.pending("quotes") == 0u);
    directory.apply({ rows::jobPart("quotes", "a1"), rows::jobKey("a1"), "", 7, true });
    BOOST_TEST(directory.find("a1") == nullptr);
}

BOOST_AUTO_TEST_CASE(cancellationThatArrivesBeforeItsJobIsKept)
{
    JobDirectory directory;
    directory.apply({ rows::jobPart("quotes", "a1"), rows::cancelKey("a1"), "{}", 2 });
    BOOST_TEST(directory.find("a1") == nullptr);
    directory.apply(jobRow("a1", 3));
    BOOST_REQUIRE(directory.find("a1"));
    BOOST_TEST((directory.find("a1")->shownState() == JobState::Cancelled));
}
