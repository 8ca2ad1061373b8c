/// Rows that record a job's progress, and how a new holder reads them.
#include "fakes_test.h"

#include <damaskworks/job_directory.h>
#include <damaskworks/job_progress.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;

namespace {

JobEntry entry(JobState state)
{
    JobEntry job;
    job.spec.id = "a1";
    job.state = state;
    return job;
}

} // namespace

BOOST_AUTO_TEST_SUITE(job_progress)

BOOST_AUTO_TEST_CASE(taskProgressIsWrittenOnlyToTheProgressTable)
{
    // Every node follows the job table. When ends of tasks were written there, peak load saturated the
    // links of the smallest nodes, and their callers saw jobs end half a second late.
    auto job = entry(JobState::Running);
    std::vector<TableWrite> writes;
    appendProgress(job, writes);
    BOOST_REQUIRE(writes.size() == 2u);
    BOOST_TEST(writes[0].table == jobTable);
    BOOST_TEST(writes[1].table == progressTable);
    writes.clear();
    appendProgress(job, writes);
    BOOST_REQUIRE(writes.size() == 1u);
    BOOST_TEST(writes[0].table == progressTable);
}

BOOST_AUTO_TEST_CASE(endOfJobDeletesItsProgressRow)
{
    auto job = entry(JobState::Completed);
    job.hasRecord = true;
    std::vector<TableWrite> writes;
    appendProgress(job, writes);
    BOOST_REQUIRE(writes.size() == 2u);
    BOOST_TEST((decodeState(writes[0].value.value_or("")) == JobState::Completed));
    BOOST_TEST(!writes[1].value.has_value());
    // A job cancelled before it began has no progress row.
    auto waiting = entry(JobState::Cancelled);
    writes.clear();
    appendProgress(waiting, writes);
    BOOST_TEST(writes.size() == 1u);
}

BOOST_AUTO_TEST_CASE(queuedJobWithoutStateRowNeedsNone)
{
    auto job = entry(JobState::Queued);
    std::vector<TableWrite> writes;
    appendProgress(job, writes);
    BOOST_REQUIRE(writes.size() == 1u);
    BOOST_TEST(writes[0].table == progressTable);
}

// At the peak of a turn on the large deployment, the jobs that came first by their ids changed faster than
// they were recorded. The others had no record for seconds, and their starts were held back.
BOOST_AUTO_TEST_CASE(newJobsAreRecordedWhileManyOthersChange)
{
    constexpr int jobs = 400;
    constexpr int jobsPerTransaction = 49;
    PoolState state;
    const auto add = [&](const std::string& id) {
        JobSpec spec;
        spec.id = id;
        spec.steps = { StepSpec {} };
        addJob(state, std::move(spec), "", false);
    };
    for (int i = 0; i < jobs; ++i) {
        const auto id = "job" + std::to_string(1000 + i);
        add(id);
        state.jobs.at(id).hasRecord = true;
    }
    std::map<std::string, int> recorded;
    std::set<std::string> changed;
    for (std::uint64_t batch = 1; batch <= 20; ++batch) {
        for (auto& [id, job] : state.jobs)
            job.dirty = true;
        const auto newest = "z" + std::to_string(batch);
        add(newest);
        state.jobs.at(newest).dirty = true;
        for (const auto& [id, job] : state.jobs)
            changed.insert(id);
        auto chosen = jobsToRecord(state, changed);
        BOOST_REQUIRE(chosen.size() > jobsPerTransaction);
        chosen.resize(jobsPerTransaction);
        BOOST_TEST(chosen.front()->spec.id == newest);
        for (auto* job : chosen) {
            job->dirty = false;
            job->hasRecord = true;
            job->lastBatch = batch;
            ++recorded[job->spec.id];
        }
    }
    for (const auto& [id, job] : state.jobs)
        BOOST_TEST(recorded[id] >= 1);
}

BOOST_AUTO_TEST_CASE(progressReaderReadsAllPagesAndRetriesAfterFailure)
{
    constexpr int jobs = 1203;
    Loop loop;
    FakeTable table(loop.base());
    Metrics metrics;
    int left = (jobs + 49) / 50;
    for (int first = 0; first < jobs; first += 50) {
        TableTransaction transaction { rows::poolPart("pricing"), {}, {} };
        for (int i = first; i < std::min(first + 50, jobs); ++i)
            transaction.writes.push_back(
                { std::string(progressTable), "job" + std::to_string(i), std::to_string(i) });
        table.commit(transaction, std::chrono::seconds(1), [&](const auto&) { --left; });
    }
    BOOST_REQUIRE(loop.runUntil([&] { return left == 0; }, std::chrono::seconds(10)));
    table.readsToFail = 1;
    ProgressReader::Rows read;
    ProgressReader reader(
        loop.base(), table, metrics, "pricing", [&](ProgressReader::Rows rows) { read = std::move(rows); });
    reader.start();
    BOOST_TEST(loop.runUntil([&] { return !read.empty(); }, std::chrono::seconds(10)));
    BOOST_TEST(read.size() == static_cast<std::size_t>(jobs));
    BOOST_TEST(read.at("job1202") == "1202");
}

BOOST_AUTO_TEST_SUITE_END()
