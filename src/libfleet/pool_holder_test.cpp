/// Commands and lease of a holder whose passes take long.
#include "holder_fakes_test.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int startCount = 10;

/// VMs to which each start takes some time to send, and which answer heartbeats only by answerHeartbeat().
class SlowEndpoints final : public EndpointControl {
public:
    explicit SlowEndpoints(ManualClock& clock)
        : m_clock(clock)
    {
    }

    milliseconds timePerStart { 0 };
    std::vector<TimePoint> startsAt;
    ReportCallback heartbeatCallback;

    void start(const VmTarget&, const StartCommand&, CommandCallback) override
    {
        m_clock.advance(timePerStart);
        startsAt.push_back(m_clock.now());
    }
    void stop(const VmTarget&, const TaskId&, std::uint32_t, CommandCallback) override { }
    void heartbeat(const VmTarget&, const HeartbeatCommand&, ReportCallback callback) override
    {
        heartbeatCallback = std::move(callback);
    }
    void throttle(const VmTarget&, const TaskId&, std::uint32_t, int, CommandCallback) override { }

    void answerHeartbeat()
    {
        VmReport report;
        report.vmClock = std::chrono::duration_cast<milliseconds>(m_clock.now().time_since_epoch());
        report.bootTime = 1;
        std::exchange(heartbeatCallback, nullptr)(report);
    }

private:
    ManualClock& m_clock;
};

/// The first holder of pool "pricing", with one VM and a job of startCount tasks. The lease counts from
/// leaseSentAt.
struct HolderFixture {
    Loop loop;
    ManualClock clock;
    Metrics metrics;
    FakeTable table { loop.base() };
    SlowEndpoints endpoints { clock };
    NoMachines machines;
    NoAdvice advice;
    JobDirectory directory;
    LeaseTiming timing;
    TimePoint leaseSentAt {};
    bool isReady = true; ///< see HolderContext::areViewsFresh
    std::unique_ptr<PoolHolder> holder;

    HolderFixture()
    {
        clock.advance(1h);
        leaseSentAt = clock.now();
        const LeaseRow lease { "n1", "s1", 0, 0 };
        Version version = 0;
        table.commit({ rows::poolPart("pricing"), { { std::string(controlTable), std::string(leaseKey), 0 } },
                         { { std::string(controlTable), std::string(leaseKey), encodeLease(lease) } } },
            1s, [&](TableResult<Version> result) { version = *result; });
        BOOST_REQUIRE(loop.runUntil([&] { return version > 0; }, 1s));
        addJob();
        HolderContext context { loop.base(), clock, metrics, table, endpoints, machines, advice, directory,
            [this] { return isReady; } };
        holder = std::make_unique<PoolHolder>(
            context, "pricing", AcquiredLease { lease, version, leaseSentAt }, timing, 4500ms, [] {}, [] {});
        holder->begin(makeHolderConfig(), { { "v1", makeHolderVm() } });
    }

    void addJob()
    {
        StepSpec step;
        step.count = startCount;
        step.need = { 1000, 100, 0 };
        step.estimate = 1000ms;
        JobSpec job;
        job.id = "a1";
        job.queue = "quotes";
        job.pool = "pricing";
        job.steps = { step };
        directory.apply({ rows::jobPart("quotes", "a1"), rows::jobKey("a1"), encodeJob(job), 2 });
    }

    /// Lets time pass until the condition holds.
    template <typename Condition> bool runUntil(Condition condition)
    {
        for (int i = 0; i < 1000 && !condition(); ++i) {
            clock.advance(1ms);
            loop.runUntil(condition, 1ms);
        }
        return condition();
    }

    /// Runs until the job is recorded, so that the next pass sends its starts.
    void prepareStarts()
    {
        BOOST_REQUIRE(runUntil([&] { return endpoints.heartbeatCallback != nullptr; }));
        endpoints.answerHeartbeat();
        BOOST_REQUIRE(runUntil([&] { return !table.rows(std::string(progressTable)).empty(); }));
        BOOST_REQUIRE(endpoints.startsAt.empty());
    }
};

/// A holder of a pool with one VM whose tasks end at once, and a table of small rows.
struct WorkFixture {
    Loop loop;
    ManualClock clock;
    Metrics metrics;
    FakeTable table { loop.base() };
    WorkingEndpoints endpoints { clock };
    NoMachines machines;
    NoAdvice advice;
    JobDirectory directory;
    std::unique_ptr<PoolHolder> holder;
    Version version = 0;

    explicit WorkFixture(std::size_t maxRowBytes)
    {
        table.maxRowBytes = maxRowBytes;
        clock.advance(1h);
        const LeaseRow lease { "n1", "s1", 0, 0 };
        table.commit({ rows::poolPart("pricing"), { { std::string(controlTable), std::string(leaseKey), 0 } },
                         { { std::string(controlTable), std::string(leaseKey), encodeLease(lease) } } },
            1s, [&](TableResult<Version> result) { version = *result; });
        BOOST_REQUIRE(loop.runUntil([&] { return version > 0; }, 1s));
        HolderContext context { loop.base(), clock, metrics, table, endpoints, machines, advice, directory,
            [] { return true; }, maxRowBytes };
        holder = std::make_unique<PoolHolder>(
            context, "pricing", AcquiredLease { lease, version, clock.now() }, LeaseTiming {}, 4500ms, [] {},
            [] {});
        holder->begin(makeHolderConfig(), { { "v1", makeHolderVm() } });
    }

    /// Hands in a job with one task, or one a time.
    void submit(const std::string& id, int times = 0)
    {
        StepSpec step;
        step.need = { 100, 10, 0 };
        step.estimate = 10ms;
        JobSpec job;
        job.id = id;
        job.queue = "quotes";
        job.pool = "pricing";
        job.steps = { step };
        job.occurrences = times;
        directory.apply({ rows::jobPart("quotes", id), rows::jobKey(id), encodeJob(job), version });
        holder->applyJob(id, *directory.find(id));
    }

    std::string recordedState(const std::string& id) const
    {
        const auto* row = table.find(std::string(jobTable), rows::poolPart("pricing"), rows::stateKey(id));
        return row ? std::string(nameOf(jobStateNames, decodeState(row->value))) : "";
    }

    /// Lets time pass until the condition holds, for at most \p time.
    template <typename Condition> bool runUntil(Condition condition, milliseconds time)
    {
        for (auto passed = 0ms; passed < time && !condition(); passed += 5ms) {
            clock.advance(5ms);
            endpoints.respond();
            loop.runUntil(condition, 1ms);
        }
        return condition();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(pool_holder)

// The holder looked at its lease once a pass. Another node may have had the pool when the last commands left.
BOOST_AUTO_TEST_CASE(longPassSendsNoStartsOnceTheLeaseMayBeLost)
{
    for (const milliseconds length : { 500ms, 1000ms, 2000ms }) {
        HolderFixture pool;
        pool.prepareStarts();
        pool.table.faults.assign(1000, CommitFault::Refused); // renewals fail
        pool.endpoints.timePerStart = length / startCount;
        const auto stopAt = pool.leaseSentAt + pool.timing.expiry - pool.timing.safetyMargin;
        pool.clock.advance(std::chrono::duration_cast<milliseconds>(stopAt - pool.clock.now()) - 10ms);
        pool.loop.runUntil([&] { return pool.endpoints.startsAt.size() == startCount; }, 100ms);
        const auto& sent = pool.endpoints.startsAt;
        BOOST_REQUIRE(!sent.empty());
        const auto late = std::count_if(sent.begin(), sent.end(),
            [&](TimePoint at) { return at >= pool.leaseSentAt + pool.timing.expiry; });
        BOOST_TEST_INFO(
            "pass of " << length.count() << " ms, last start "
                       << std::chrono::duration_cast<milliseconds>(sent.back() - pool.leaseSentAt).count()
                       << " ms after the lease was taken");
        BOOST_TEST(late == 0);
    }
}

// Starts that a lapse of the lease has held back.
BOOST_AUTO_TEST_CASE(startsThatTheLeaseHeldBackAreSentOnceItIsRenewed)
{
    HolderFixture pool;
    pool.prepareStarts();
    pool.table.faults.assign(2, CommitFault::Refused);
    pool.endpoints.timePerStart = 100ms;
    const auto stopAt = pool.leaseSentAt + pool.timing.expiry - pool.timing.safetyMargin;
    pool.clock.advance(std::chrono::duration_cast<milliseconds>(stopAt - pool.clock.now()) - 10ms);
    BOOST_TEST(pool.runUntil([&] { return pool.endpoints.startsAt.size() == startCount; }));
    BOOST_TEST(pool.holder->state().jobs.at("a1").occurrences.at(0).steps[0].tasks.back().run.has_value());
}

// A holder that is busy for as long as this goes on without a takeover.
BOOST_AUTO_TEST_CASE(passOfOneSecondDoesNotCostTheLease)
{
    for (const milliseconds length : { 500ms, 1000ms }) {
        HolderFixture pool;
        pool.prepareStarts();
        pool.endpoints.timePerStart = length / startCount;
        const auto renewalAt = pool.leaseSentAt + pool.timing.renewalInterval;
        pool.clock.advance(std::chrono::duration_cast<milliseconds>(renewalAt - pool.clock.now()) - 2ms);
        const auto* row
            = pool.table.find(std::string(controlTable), rows::poolPart("pricing"), std::string(leaseKey));
        const auto version = row->version;
        BOOST_REQUIRE(pool.loop.runUntil([&] { return pool.endpoints.startsAt.size() == startCount; }, 1s));
        BOOST_REQUIRE(row->version == version);
        BOOST_REQUIRE(pool.runUntil([&] { return row->version != version; }));
        BOOST_TEST_INFO("pass of "
            << length.count() << " ms, renewed "
            << std::chrono::duration_cast<milliseconds>(pool.clock.now() - pool.leaseSentAt).count()
            << " ms after the lease was taken");
        BOOST_TEST((pool.clock.now() < pool.leaseSentAt + pool.timing.expiry - pool.timing.safetyMargin));
    }
}

// Each run of a recurring job stayed in the job's one row. Once the row was too long, no job of the pool was
// recorded any more, and none started (review/4).
BOOST_AUTO_TEST_CASE(recurringJobWithMoreRunsThanARowHoldsStopsNoOtherJob)
{
    constexpr int times = 300;
    constexpr std::size_t rowBytes = 1500;
    WorkFixture pool(rowBytes);
    pool.submit("a1", times);
    BOOST_TEST(pool.runUntil([&] { return pool.recordedState("a1") == "completed"; }, 20s));
    pool.submit("a2");
    BOOST_TEST(pool.runUntil([&] { return pool.recordedState("a2") == "completed"; }, 5s));
    BOOST_TEST(pool.table.rejectedTransactions == 0);
    BOOST_TEST(pool.table.rows(std::string(progressTable)).empty());
}

// A row that the table rejects for whatever reason held back the rows of all other jobs of the pool.
BOOST_AUTO_TEST_CASE(rejectedRecordHoldsBackNoOtherJob)
{
    constexpr int jobs = 700;
    WorkFixture pool(defaultMaxRowBytes);
    pool.table.rejectedKey = "a1";
    pool.submit("a1");
    BOOST_TEST(pool.runUntil([&] { return pool.table.rejectedTransactions > 0; }, 5s));
    const auto name = [](int number) { return "b" + std::to_string(number); };
    for (int i = 0; i < jobs; ++i)
        pool.submit(name(i));
    const auto areAllCompleted = [&] {
        for (int i = 0; i < jobs; ++i) {
            if (pool.recordedState(name(i)) != "completed")
                return false;
        }
        return true;
    };
    BOOST_TEST(pool.runUntil(areAllCompleted, 20s));
    BOOST_TEST(pool.metrics.counter("ledger_rejections_total{pool=\"pricing\"}") > 0u);
    BOOST_TEST(pool.recordedState("a1") != "completed");
    // It is tried again now and then.
    pool.table.rejectedKey.clear();
    BOOST_TEST(pool.runUntil([&] { return pool.recordedState("a1") == "completed"; }, 70s));
}

BOOST_AUTO_TEST_SUITE_END()
