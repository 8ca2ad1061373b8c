/// Records of jobs that need several rows or transactions, as a later holder reads them.
#include <damaskworks/job_directory.h>
#include <damaskworks/job_progress.h>
#include <damaskworks/pool_plan.h>

#include <boost/test/unit_test.hpp>
#include <random>

using namespace damask;
using namespace damask::fleet;

namespace {

const std::string jobName = "00000000000000a1";
const std::string vmName = "v1";

/// A job whose tasks end or save checkpoints at random, while it is recorded and its pool changes holders.
class RecordModel {
public:
    explicit RecordModel(std::uint64_t seed)
        : m_random(seed)
    {
        m_spec.id = jobName;
        m_spec.pool = "pricing";
        m_spec.maxAttempts = 1'000'000;
        m_spec.occurrences = below(2) ? 1 + below(60) : 0;
        const int steps = 1 + below(3);
        for (int i = 0; i < steps; ++i) {
            StepSpec step;
            step.count = 1 + below(m_spec.occurrences > 0 ? 6 : 60);
            m_spec.steps.push_back(step);
        }
        m_limits.maxRowBytes = 400 + static_cast<std::size_t>(below(2000));
        m_limits.dividedRowBytes = m_limits.maxRowBytes;
        // Any row fits into a transaction, as in ledgerLimitsFor(): one in Base64, with names, the state and
        // the lease.
        constexpr std::size_t namesAndState = 800;
        m_limits.maxBatchBytes
            = m_limits.maxRowBytes * 2 + namesAndState + static_cast<std::size_t>(below(1500));
        begin("", {});
    }

    void run(int rounds)
    {
        for (int i = 0; i < rounds && !isFinal(job().state); ++i) {
            const int changes = below(8);
            for (int j = 0; j < changes; ++j)
                changeTask();
            if (below(12) == 0)
                takeOver();
            else
                record();
        }
        for (int i = 0; i < 1000 && job().dirty; ++i)
            record(true);
        BOOST_TEST(!job().dirty);
        if (isFinal(job().state)) { // its row of the state shows it, and its record is deleted
            BOOST_TEST(m_table.empty());
            return;
        }
        takeOver();
        BOOST_TEST(countDone() == m_endedTasks.size());
    }

    std::size_t largestTransaction = 0;
    std::size_t rows() const { return m_table.size(); }
    int dividedTransactions = 0;

private:
    int below(int limit) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(limit)); }
    JobEntry& job() { return m_state.jobs.at(jobName); }

    /// The pool's next holder, with what is stored.
    void begin(const std::string& head, const FurtherRows& rows)
    {
        m_state = PoolState {};
        m_state.pool = "pricing";
        VmRegistration vm;
        vm.id = vmName;
        listVm(m_state, vm);
        BOOST_TEST(addJob(m_state, m_spec, head, true, rows));
        m_unacknowledged.clear();
        m_dirty.clear();
    }

    TaskId randomTask()
    {
        TaskId id { jobName, m_spec.occurrences > 0 ? below(m_spec.occurrences) : 0, 0, 0 };
        // Most occurrences end in their order.
        if (m_spec.occurrences > 0 && below(4) != 0)
            id.occurrence = std::min(m_spec.occurrences - 1, static_cast<int>(m_endedTasks.size()) / 4);
        id.step = below(static_cast<int>(m_spec.steps.size()));
        id.index = below(m_spec.steps[static_cast<std::size_t>(id.step)].count);
        return id;
    }

    void changeTask()
    {
        const auto id = randomTask();
        auto* task = findTask(m_state, id);
        if (!task || task->done)
            return;
        if (below(3) == 0) {
            // One draw a statement: the order in which arguments are evaluated differs between machines.
            const int length = 1 + below(60);
            const int letter = 'a' + below(26);
            task->checkpoint = std::string(static_cast<std::size_t>(length), static_cast<char>(letter));
            m_checkpoints[id].insert(task->checkpoint);
            job().dirty = true;
            return;
        }
        const auto kind = below(4) == 0 ? EndKind::Failed : EndKind::Done;
        const EndReport end { ++m_endCount, id, ++m_runCount, kind, "" };
        m_ends.push_back(end);
        if (kind == EndKind::Done)
            m_endedTasks.insert(id);
        report({ end });
    }

    /// The VM lists the ends.
    void report(const std::vector<EndReport>& ends)
    {
        VmReport report;
        report.vmClock = milliseconds(1'000'000 + static_cast<int>(m_endCount));
        report.bootTime = 1;
        report.ended = ends;
        const auto before = m_state.vms.at(vmName).applied;
        applyReport(m_state, vmName, report, m_now, m_now);
        addAppliedEnds(m_state, vmName, report, before, m_unacknowledged);
    }

    void takeOver()
    {
        FurtherRows rows;
        std::string head;
        for (const auto& [key, text] : m_table) {
            const auto parsed = parseRecordKey(key);
            BOOST_REQUIRE(parsed);
            BOOST_TEST(parsed->job == jobName);
            if (parsed->position == 0)
                head = text;
            else
                rows.emplace(parsed->position, text);
        }
        const auto acknowledged = m_acknowledged;
        begin(head, rows);
        checkRestored(acknowledged);
        // The VM lists the other ends again.
        std::vector<EndReport> others;
        for (const auto& end : m_ends) {
            if (end.number > acknowledged)
                others.push_back(end);
        }
        if (!others.empty() && m_state.jobs.contains(jobName))
            report(others);
    }

    void checkRestored(std::uint64_t acknowledged)
    {
        for (const auto& end : m_ends) {
            const auto* task = findTask(m_state, end.task);
            const bool isDone = !task || task->done;
            if (end.number <= acknowledged && end.kind == EndKind::Done)
                BOOST_TEST(isDone, toString(end.task) << " is lost");
            if (end.number <= acknowledged && end.kind == EndKind::Failed && !isDone)
                BOOST_TEST(task->failedRuns.contains(end.run));
        }
        for (const auto& [number, occurrence] : job().occurrences) {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                const auto& tasks = occurrence.steps[s].tasks;
                for (std::size_t i = 0; i < tasks.size(); ++i) {
                    const TaskId id { jobName, number, static_cast<int>(s), static_cast<int>(i) };
                    if (tasks[i].done)
                        BOOST_TEST(m_endedTasks.contains(id), toString(id) << " is not done");
                    if (!tasks[i].checkpoint.empty())
                        BOOST_TEST(m_checkpoints[id].contains(tasks[i].checkpoint));
                }
            }
        }
    }

    std::size_t countDone()
    {
        std::size_t perOccurrence = 0;
        for (const auto& step : m_spec.steps)
            perOccurrence += static_cast<std::size_t>(step.count);
        auto done = perOccurrence * static_cast<std::size_t>(job().endedOccurrences.count);
        for (const auto& [number, occurrence] : job().occurrences) {
            for (const auto& step : occurrence.steps)
                done += static_cast<std::size_t>(step.doneTasks);
        }
        return done;
    }

    /// One transaction, which may fail.
    void record(bool succeeds = false)
    {
        if (!job().dirty)
            return;
        m_dirty.insert(jobName);
        LedgerBatch batch;
        const auto tooLong = collectRecords(m_state, m_dirty, ++m_batches, m_limits, batch);
        BOOST_REQUIRE(tooLong.empty());
        collectEnds(m_state, m_unacknowledged, RejectedRecords {}, batch);
        std::size_t bytes = 0;
        for (const auto& write : batch.writes) {
            bytes += encodedSize(write, "pool/pricing");
            if (write.value)
                BOOST_TEST(write.value->size() <= m_limits.maxRowBytes);
        }
        BOOST_TEST(batch.writes.size() < maxTransactionEntries);
        BOOST_TEST(bytes <= m_limits.maxBatchBytes);
        largestTransaction = std::max(largestTransaction, batch.writes.size());
        dividedTransactions += !batch.isComplete;
        const int outcome = succeeds ? 3 : below(10);
        if (outcome != 0)
            apply(batch);
        if (outcome <= 1) {
            restoreFailedRecords(m_state, batch);
            return;
        }
        for (const auto& id : batch.jobs) {
            auto& entry = m_state.jobs.at(id);
            entry.hasRecord = true;
            entry.committedBatch = entry.lastBatch;
        }
        acknowledgeEnds(m_state, batch, m_unacknowledged);
        m_acknowledged = std::max(m_acknowledged, m_state.vms.at(vmName).acknowledged);
    }

    void apply(const LedgerBatch& batch)
    {
        for (const auto& write : batch.writes) {
            if (write.table != progressTable)
                continue;
            if (write.value)
                m_table[write.key] = *write.value;
            else
                m_table.erase(write.key);
        }
    }

    std::mt19937_64 m_random;
    JobSpec m_spec;
    LedgerLimits m_limits;
    PoolState m_state;
    std::map<std::string, std::string> m_table; ///< rows of the record
    std::set<std::string> m_dirty;
    UnacknowledgedEnds m_unacknowledged;
    std::vector<EndReport> m_ends;
    std::set<TaskId> m_endedTasks; ///< as done
    std::map<TaskId, std::set<std::string>> m_checkpoints; ///< that each task has had
    std::uint64_t m_endCount = 0;
    std::uint32_t m_runCount = 0;
    std::uint64_t m_batches = 0;
    std::uint64_t m_acknowledged = 0;
    TimePoint m_now { std::chrono::hours(1) };
};

} // namespace

BOOST_AUTO_TEST_SUITE(job_record)

// A record that takes several rows and transactions, some of which fail, loses no end that was acknowledged.
BOOST_AUTO_TEST_CASE(laterHolderFindsEachAcknowledgedEndAndNoOther)
{
    std::size_t mostRows = 0;
    int dividedTransactions = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            RecordModel model(seed);
            model.run(150);
            mostRows = std::max(mostRows, model.rows());
            dividedTransactions += model.dividedTransactions;
        }
    }
    BOOST_TEST(mostRows >= 8u);
    BOOST_TEST(dividedTransactions > 1000);
}

// All tasks of the largest job that is accepted have checkpoints of the longest kind.
BOOST_AUTO_TEST_CASE(largestJobIsRecordedWithinTheLimits)
{
    PoolState state;
    state.pool = "pricing";
    JobSpec spec;
    spec.id = jobName;
    StepSpec step;
    step.count = 1000;
    spec.steps = { step };
    BOOST_REQUIRE(addJob(state, spec, "", false));
    auto& job = state.jobs.at(jobName);
    for (auto& task : job.occurrences.at(0).steps[0].tasks)
        task.checkpoint = std::string(state.limits.maxCheckpointBytes, '\x01'); // six bytes each in JSON
    const auto limits = ledgerLimitsFor(defaultMaxRowBytes);
    std::set<std::string> dirty { jobName };
    job.dirty = true;
    std::map<std::string, std::string> table;
    std::uint64_t number = 0;
    while (job.dirty) {
        LedgerBatch batch;
        BOOST_REQUIRE(collectRecords(state, dirty, ++number, limits, batch).empty());
        BOOST_REQUIRE(!batch.writes.empty());
        BOOST_REQUIRE(findExcess({ "pool/pricing", {}, batch.writes }, defaultMaxRowBytes) == "");
        for (const auto& write : batch.writes)
            table[write.key] = write.value.value_or("");
    }
    PoolState later;
    FurtherRows rows;
    for (const auto& [key, text] : table)
        rows.emplace(parseRecordKey(key)->position, text);
    const auto head = rows.extract(0).mapped();
    BOOST_TEST(addJob(later, spec, head, true, rows));
    for (const auto& task : later.jobs.at(jobName).occurrences.at(0).steps[0].tasks)
        BOOST_REQUIRE(task.checkpoint.size() == state.limits.maxCheckpointBytes);
}

// Occurrences that had not begun when a record was written begin once they are due, in their order, although
// a later one is in the record.
BOOST_AUTO_TEST_CASE(occurrencesThatTheRecordLacksBeginWhenTheyAreDue)
{
    PoolState state;
    state.pool = "pricing";
    JobSpec spec;
    spec.id = jobName;
    spec.occurrences = 10;
    spec.firstDue = WallTime(1000);
    spec.period = milliseconds(100);
    spec.steps = { StepSpec {} };
    const std::string record
        = R"({"state":"running","ended":[[0,2],[5,5]],"occurrences":[{"number":4,"done":["1"]}]})";
    BOOST_REQUIRE(addJob(state, spec, record, true));
    state.recoveryDeadline = TimePoint {};
    planStarts(state, TimePoint { std::chrono::hours(1) }, WallTime(1700), 10, PlanScope::Everything);
    const auto& job = state.jobs.at(jobName);
    std::vector<int> begun;
    for (const auto& [number, occurrence] : job.occurrences)
        begun.push_back(number);
    const std::vector<int> expected { 3, 4, 6, 7 };
    BOOST_TEST(begun == expected, boost::test_tools::per_element());
    BOOST_TEST(job.endedOccurrences.count == 4);
}

BOOST_AUTO_TEST_CASE(checkpointThatNoRowHoldsIsNotKept)
{
    PoolState state;
    state.pool = "pricing";
    JobSpec spec;
    spec.id = jobName;
    spec.steps = { StepSpec {} };
    VmRegistration vm;
    vm.id = vmName;
    listVm(state, vm);
    BOOST_REQUIRE(addJob(state, spec, "{\"state\":\"running\"}", true));
    const TimePoint now { std::chrono::hours(1) };
    std::uint64_t number = 0;
    const auto end = [&](const std::string& checkpoint) {
        VmReport report;
        report.vmClock = milliseconds(1000);
        report.bootTime = 1;
        ++number;
        report.ended = { { number, { jobName, 0, 0, 0 }, static_cast<std::uint32_t>(number), EndKind::Stopped,
            checkpoint } };
        applyReport(state, vmName, report, now, now);
        return findTask(state, { jobName, 0, 0, 0 })->checkpoint;
    };
    BOOST_TEST(end("first") == "first");
    BOOST_TEST(end(std::string(state.limits.maxCheckpointBytes + 1, 'x')) == "first");
    BOOST_REQUIRE(state.runEvents.size() == 1u);
    BOOST_TEST((state.runEvents.front().kind == RunEventKind::CheckpointTooLong));
    BOOST_TEST(end("second") == "second");
}

BOOST_AUTO_TEST_SUITE_END()
