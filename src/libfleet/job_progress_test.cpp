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

/// The writes that record the job.
std::vector<TableWrite> recordOf(JobEntry& job)
{
    PoolState state;
    LedgerBatch batch;
    appendRecord(state, job, 1, LedgerLimits {}, batch);
    return batch.writes;
}

/// Jobs with records and VMs that report ends of their tasks, recorded one transaction at a time.
struct RecordFixture {
    PoolState state;
    std::set<std::string> dirtyJobs;
    UnacknowledgedEnds ends;
    std::uint64_t batches = 0;

    void addJobs(int count)
    {
        for (int i = 0; i < count; ++i) {
            JobSpec spec;
            spec.id = jobName(i);
            spec.steps = { StepSpec {} };
            addJob(state, std::move(spec), "{\"state\":\"running\"}", true);
            state.jobs.at(jobName(i)).recorded = JobState::Running;
        }
    }

    static std::string jobName(int number) { return "job" + std::to_string(1000 + number); }

    void addVms(int count)
    {
        for (int i = 0; i < count; ++i) {
            VmRegistration vm;
            vm.id = "v" + std::to_string(i);
            listVm(state, vm);
        }
    }

    void change(int job)
    {
        state.jobs.at(jobName(job)).dirty = true;
        dirtyJobs.insert(jobName(job));
    }

    /// The VM lists the next end, which changes the job.
    void end(const std::string& name, int job)
    {
        auto& vm = state.vms.at(name);
        VmReport report;
        report.ended.push_back({ vm.applied + 1, { jobName(job), 0, 0, 0 }, 1, EndKind::Stopped, "" });
        change(job);
        addAppliedEnds(state, name, report, vm.applied, ends);
        ++vm.applied;
    }

    LedgerBatch collect()
    {
        LedgerBatch batch;
        collectRecords(state, dirtyJobs, ++batches, LedgerLimits {}, batch);
        collectEnds(state, ends, RejectedRecords {}, batch);
        return batch;
    }

    void commit(const LedgerBatch& batch)
    {
        for (const auto& id : batch.jobs)
            state.jobs.at(id).committedBatch = state.jobs.at(id).lastBatch;
        acknowledgeEnds(state, batch, ends);
    }

    void fail(const LedgerBatch& batch)
    {
        for (const auto& id : batch.jobs) {
            state.jobs.at(id).dirty = true;
            dirtyJobs.insert(id);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(job_progress)

BOOST_AUTO_TEST_CASE(taskProgressIsWrittenOnlyToTheProgressTable)
{
    // Every node follows the job table. When ends of tasks were written there, peak load saturated the
    // links of the smallest nodes, and their callers saw jobs end half a second late.
    auto job = entry(JobState::Running);
    auto writes = recordOf(job);
    BOOST_REQUIRE(writes.size() == 2u);
    BOOST_TEST(writes[0].table == jobTable);
    BOOST_TEST(writes[1].table == progressTable);
    writes = recordOf(job);
    BOOST_REQUIRE(writes.size() == 1u);
    BOOST_TEST(writes[0].table == progressTable);
}

BOOST_AUTO_TEST_CASE(endOfJobDeletesItsProgressRow)
{
    auto job = entry(JobState::Completed);
    job.hasRecord = true;
    const auto writes = recordOf(job);
    BOOST_REQUIRE(writes.size() == 2u);
    BOOST_TEST((decodeState(writes[0].value.value_or("")) == JobState::Completed));
    BOOST_TEST(!writes[1].value.has_value());
    // A job cancelled before it began has no progress row.
    auto waiting = entry(JobState::Cancelled);
    BOOST_TEST(recordOf(waiting).size() == 1u);
}

BOOST_AUTO_TEST_CASE(queuedJobWithoutStateRowNeedsNone)
{
    auto job = entry(JobState::Queued);
    const auto writes = recordOf(job);
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

// While more jobs changed than a transaction holds, no end was acknowledged, and each VM listed all its ends
// again in each report.
BOOST_FIXTURE_TEST_CASE(endsAreAcknowledgedWhileMoreJobsChangeThanATransactionHolds, RecordFixture)
{
    constexpr int jobs = 400;
    constexpr int vms = 50;
    constexpr int jobsPerTransaction = 49;
    addJobs(jobs);
    addVms(vms);
    std::map<std::string, std::vector<std::uint64_t>> applied; // by VM, after each transaction
    constexpr std::size_t longestDelay = jobs / jobsPerTransaction + 2;
    for (int round = 0; round < 60; ++round) {
        for (int job = 0; job < jobs; ++job)
            change(job);
        for (int i = 0; i < vms; ++i)
            end("v" + std::to_string(i), (i * 7 + round * 13) % jobs);
        const auto batch = collect();
        BOOST_REQUIRE(!batch.isComplete);
        commit(batch);
        for (const auto& [name, vm] : state.vms) {
            auto& numbers = applied[name];
            numbers.push_back(vm.applied);
            if (numbers.size() > longestDelay)
                BOOST_TEST(vm.acknowledged >= numbers[numbers.size() - 1 - longestDelay]);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(endIsAcknowledgedOnlyWithTheRecordsOfItsJobAndOfEarlierEnds, RecordFixture)
{
    addJobs(200);
    addVms(1);
    const auto& vm = state.vms.at("v0");
    commit(collect());
    // The first job is in the transaction, the last one is not.
    for (int job = 0; job < 200; ++job)
        change(job);
    end("v0", 0);
    end("v0", 199);
    end("v0", 1);
    const auto first = collect();
    BOOST_REQUIRE(!first.isComplete);
    BOOST_REQUIRE(!first.jobs.contains(jobName(199)));
    // An end that comes while the transaction is in flight is not in its record.
    end("v0", 0);
    commit(first);
    BOOST_TEST(vm.acknowledged == 1U);
    fail(collect());
    BOOST_TEST(vm.acknowledged == 1U);
    for (int i = 0; i < 5; ++i)
        commit(collect());
    BOOST_TEST(vm.acknowledged == 4U);
    BOOST_TEST(ends.empty());
}

BOOST_FIXTURE_TEST_CASE(endIsCoveredByAnEarlierRecordAlthoughItsJobHasChangedSince, RecordFixture)
{
    constexpr int early = 90; // in the first transaction, but not in the second
    constexpr int late = 149;
    addJobs(150);
    addVms(1);
    for (int job = 0; job < 150; ++job)
        change(job);
    end("v0", late);
    end("v0", early);
    const auto first = collect();
    BOOST_REQUIRE(first.jobs.contains(jobName(early)));
    BOOST_REQUIRE(!first.jobs.contains(jobName(late)));
    commit(first);
    BOOST_TEST(state.vms.at("v0").acknowledged == 0U);
    for (int job = 0; job <= early; ++job)
        change(job);
    const auto second = collect();
    BOOST_REQUIRE(second.jobs.contains(jobName(late)));
    BOOST_REQUIRE(!second.jobs.contains(jobName(early)));
    commit(second);
    BOOST_TEST(state.vms.at("v0").acknowledged == 2U);
}

BOOST_FIXTURE_TEST_CASE(endsOfAnEarlierBootAreNotAcknowledgedToTheNext, RecordFixture)
{
    addJobs(1);
    addVms(1);
    end("v0", 0);
    const auto batch = collect();
    auto& vm = state.vms.at("v0");
    vm.bootTime = 2;
    vm.applied = 0;
    commit(batch);
    BOOST_TEST(vm.acknowledged == 0U);
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
