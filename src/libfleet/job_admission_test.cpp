/// Which submissions are refused under load, and what that leaves for the others.
#include "caller_fakes_test.h"

#include <damaskworks/admission.h>
#include <damaskworks/job_timing.h>

#include <cmath>
#include <deque>
#include <random>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

/// Eight tasks of 0.8 s on 3.1 cores, twice.
std::vector<StepSpec> usualSteps()
{
    StepSpec step;
    step.count = 8;
    step.need.cpu = 3100;
    step.estimate = 800ms;
    auto second = step;
    second.after = { 0 };
    return { step, second };
}

Queue usualQueue()
{
    Queue queue;
    queue.name = "quotes";
    queue.host = "shop.example";
    queue.prefix = "/quotes/";
    queue.pool = "pricing";
    queue.stretch = 1.5;
    queue.latencyTarget = 600ms;
    return queue;
}

JobWork usualWork()
{
    JobSpec job;
    job.steps = usualSteps();
    return workOf(job);
}

/// A time in which one organisation sends many times its usual.
struct HotPeriod {
    std::size_t organisation;
    TimePoint begin;
    TimePoint end;
};

/// 20 organisations of uneven size submit 28 jobs a second in all to a pool of 69 VMs of 32 cores, on which
/// 86 such jobs run at a time, in the order in which they were accepted. Nodes see changes late; refused
/// callers return up to four times.
class Replay {
public:
    static constexpr std::size_t organisations = 20;
    static constexpr Duration length = 30s;

    Replay(std::vector<HotPeriod> hotPeriods, bool limitsAdmission)
        : m_limitsAdmission(limitsAdmission)
        , m_start(m_clock.now())
    {
        m_config.queues = { usualQueue() };
        double shares = 0;
        for (std::size_t i = 0; i < organisations; ++i)
            shares += share(i);
        for (std::size_t i = 0; i < organisations; ++i) {
            const auto rate = 28 * share(i) / shares;
            m_config.organisations[name(i)] = { name(i), {}, 0, std::max(1.9 * rate, 1.0), {} };
            const auto isHot = [&](TimePoint time) {
                return std::any_of(hotPeriods.begin(), hotPeriods.end(), [&](const HotPeriod& period) {
                    return period.organisation == i && period.begin <= time && time < period.end;
                });
            };
            // Each gap is drawn around its mean, so that small bursts occur as well.
            std::uniform_real_distribution<double> factor(0.5, 1.5);
            for (auto time = m_start + seconds(factor(m_random) / rate); time < m_start + length;
                 time += seconds(factor(m_random) / (rate * (isHot(time) ? 7.5 : 1))))
                schedule(time, [this, i, time] { send({ i, time, 0 }); });
        }
        m_workload.setWeights(m_config);
        while (!m_events.empty()) {
            const auto event = m_events.begin();
            m_clock.advance(event->first - m_clock.now());
            const auto action = std::move(event->second);
            m_events.erase(event);
            action();
        }
    }

    TimePoint start() const { return m_start; }
    /// Share of the callers whose jobs ended in time, of all organisations that \p includes selects.
    double shareInTime(const std::function<bool(std::size_t)>& includes) const
    {
        double sent = 0;
        double inTime = 0;
        for (std::size_t i = 0; i < organisations; ++i) {
            sent += includes(i) ? m_sent[i] : 0;
            inTime += includes(i) ? m_inTime[i] : 0;
        }
        return inTime / sent;
    }
    int inTime(std::size_t organisation) const { return m_inTime[organisation]; }
    int refused(std::size_t organisation) const { return m_refused[organisation]; }

private:
    struct Job {
        std::size_t organisation;
        TimePoint firstSent;
        int refusals;
    };
    static constexpr Duration visibleAfter = 300ms;
    static Duration seconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }
    static double share(std::size_t organisation)
    {
        return std::pow(static_cast<double>(organisation + 1), -1.2);
    }
    static std::string name(std::size_t organisation) { return "o" + std::to_string(organisation); }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    void schedule(TimePoint time, std::function<void()> action) { m_events.emplace(time, std::move(action)); }
    /// Lets the nodes see a change.
    void show(std::function<void()> change) { schedule(m_clock.now() + visibleAfter, std::move(change)); }
    void count(std::size_t organisation, JobState state, int amount)
    {
        m_workload.count("pricing", "quotes", name(organisation), state, m_work, amount);
    }

    void send(Job job)
    {
        m_sent[job.organisation] += job.refusals == 0;
        const auto question = admissionQuestion(
            m_workload, m_config, m_config.queues.front(), name(job.organisation), m_work, m_clock.now());
        const auto decision = decideAdmission(question, draw());
        if (m_limitsAdmission && decision.outcome != AdmissionOutcome::Accepted) {
            m_refused[job.organisation] += job.refusals == 0;
            if (job.refusals++ < 4)
                schedule(m_clock.now() + admissionRetryAfter(decision.roomExpectedIn, draw()),
                    [this, job] { send(job); });
            return;
        }
        m_waiting.push_back(job);
        show([this, job] {
            count(job.organisation, JobState::Queued, 1);
            m_workload.recordAcceptance(name(job.organisation));
        });
        startNext();
    }

    void startNext()
    {
        if (m_waiting.empty() || m_freeSlots == 0)
            return;
        const auto job = m_waiting.front();
        m_waiting.pop_front();
        --m_freeSlots;
        show([this, job] {
            count(job.organisation, JobState::Queued, -1);
            count(job.organisation, JobState::Running, 1);
        });
        schedule(m_clock.now() + m_work.criticalPath, [this, job] { end(job); });
    }

    void end(const Job& job)
    {
        ++m_freeSlots;
        const auto objective = objectiveDuration(m_work.criticalPath, m_config.queues.front());
        m_inTime[job.organisation] += m_clock.now() - job.firstSent <= objective;
        show([this, job] {
            count(job.organisation, JobState::Running, -1);
            m_workload.recordCompletion("pricing", m_work);
        });
        startNext();
    }

    bool m_limitsAdmission;
    ManualClock m_clock;
    TimePoint m_start;
    FleetWorkload m_workload { m_clock };
    FleetConfig m_config;
    JobWork m_work = usualWork();
    std::mt19937_64 m_random { 7 };
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::deque<Job> m_waiting;
    int m_freeSlots = 86;
    std::array<int, organisations> m_sent {};
    std::array<int, organisations> m_inTime {};
    std::array<int, organisations> m_refused {};
};

HotPeriod hot(std::size_t organisation, Duration begin, Duration end)
{
    const auto start = ManualClock().now();
    return { organisation, start + begin, start + end };
}

} // namespace

BOOST_AUTO_TEST_SUITE(job_admission)

BOOST_AUTO_TEST_CASE(nothingIsRefusedAtTheUsualLoad)
{
    const Replay replay({}, true);
    for (std::size_t i = 0; i < Replay::organisations; ++i)
        BOOST_TEST(replay.refused(i) == 0);
    BOOST_TEST(replay.shareInTime([](std::size_t) { return true; }) == 1);
}

BOOST_AUTO_TEST_CASE(oneOrganisationThatSendsManyTimesItsUsualCostsTheOthersNothing)
{
    const auto others = [](std::size_t organisation) { return organisation != 0; };
    const std::vector<HotPeriod> period { hot(0, 5s, 14s) };
    BOOST_TEST(Replay(period, false).shareInTime(others) < 0.7); // the load is real
    const Replay replay(period, true);
    BOOST_TEST(replay.shareInTime(others) == 1);
    for (std::size_t i = 1; i < Replay::organisations; ++i)
        BOOST_TEST(replay.refused(i) == 0);
    // The organisation itself gets at least what it is entitled to: 1.9 times its usual 9.5 jobs a second.
    BOOST_TEST(replay.inTime(0) >= 9 * 1.9 * 9.5);
    BOOST_TEST(replay.refused(0) > 0);
}

BOOST_AUTO_TEST_CASE(threeOrganisationsInTurnCostTheOthersNothing)
{
    const auto others = [](std::size_t organisation) { return organisation > 2; };
    const std::vector<HotPeriod> periods { hot(0, 3s, 12s), hot(1, 9s, 18s), hot(2, 15s, 24s) };
    BOOST_TEST(Replay(periods, false).shareInTime(others) < 0.7);
    const Replay replay(periods, true);
    BOOST_TEST(replay.shareInTime(others) == 1);
    for (std::size_t i = 3; i < Replay::organisations; ++i)
        BOOST_TEST(replay.refused(i) == 0);
}

BOOST_AUTO_TEST_CASE(onlyShortageTurnsExcessAway)
{
    const auto now = ManualClock().now();
    AdmissionQuestion question { 1600ms, 3000ms, 0, 0, 2000, { 10, 30, now }, now };
    const auto outcome = [&](double draw) { return decideAdmission(question, draw).outcome; };
    BOOST_TEST((outcome(0.99) == AdmissionOutcome::Accepted));
    question.waitingCpuTime = 2000 * 350; // a quarter of the slack
    BOOST_TEST((outcome(0.49) == AdmissionOutcome::Accepted));
    BOOST_TEST((outcome(0.51) == AdmissionOutcome::Excess));
    question.waitingCpuTime = 2000 * 700;
    BOOST_TEST((outcome(0) == AdmissionOutcome::Excess));
    BOOST_TEST((decideAdmission(question, 0).roomExpectedIn == 700ms));
    question.now += 1s; // a third of the bucket has leaked
    BOOST_TEST((outcome(0.49) == AdmissionOutcome::Accepted));
    BOOST_TEST((outcome(0.51) == AdmissionOutcome::Excess));
    question.now += 1s;
    BOOST_TEST((outcome(0.99) == AdmissionOutcome::Accepted));
    question = { 1600ms, 3000ms, 2000 * 700, 0, 2000, { 0, 1000, now }, now }; // no weight is set
    BOOST_TEST((outcome(0.99) == AdmissionOutcome::Accepted));
}

BOOST_AUTO_TEST_CASE(entitledJobIsRefusedOnlyWhenItCouldOnlyEndOverdue)
{
    // Another organisation's excess waits for a minute.
    AdmissionQuestion question { 1600ms, 3000ms, 2000 * 60'000, 2000 * 7400, 2000, {}, {} };
    BOOST_TEST((decideAdmission(question, 0.99).outcome == AdmissionOutcome::Accepted));
    question.entitledCpuTime = 2000 * 7500;
    const auto refused = decideAdmission(question, 0);
    BOOST_TEST((refused.outcome == AdmissionOutcome::Overdue));
    BOOST_TEST((refused.roomExpectedIn == 100ms));
    question.throughput = 0; // the pool's pace is not known
    BOOST_TEST((decideAdmission(question, 0).outcome == AdmissionOutcome::Accepted));
}

BOOST_AUTO_TEST_CASE(workOfOthersCountsUpToTheirEntitlementAndByPriority)
{
    ManualClock clock;
    FleetWorkload workload(clock);
    FleetConfig config;
    auto background = usualQueue();
    background.name = "background";
    background.priority = 1;
    config.queues = { usualQueue(), background };
    config.organisations["p"] = { "p", {}, 0, 2, {} };
    workload.setWeights(config);
    const auto work = usualWork();
    workload.count("pricing", "quotes", "p", JobState::Queued, work, 100);
    workload.count("pricing", "background", "p", JobState::Queued, work, 50);
    const auto cpuTime = static_cast<double>(work.cpuTime);
    const auto question = admissionQuestion(workload, config, config.queues[0], "o", work, clock.now());
    BOOST_TEST(question.waitingCpuTime == 100 * cpuTime);
    BOOST_TEST(question.entitledCpuTime == 6 * cpuTime); // two jobs a second, for an objective of 3 s
    const auto later = admissionQuestion(workload, config, config.queues[1], "o", work, clock.now());
    BOOST_TEST(later.waitingCpuTime == 150 * cpuTime);
}

BOOST_AUTO_TEST_CASE(refusedCallersAreSpread)
{
    BOOST_TEST(admissionRetryAfter(0ms, 0).count() == 1);
    BOOST_TEST(admissionRetryAfter(1500ms, 0).count() == 2);
    BOOST_TEST(admissionRetryAfter(1500ms, 0.5).count() == 3);
    BOOST_TEST(admissionRetryAfter(1500ms, 0.99).count() == 4);
    BOOST_TEST(admissionRetryAfter(1h, 0.99).count() == 16);
}

BOOST_AUTO_TEST_CASE(sumSlides)
{
    ManualClock clock;
    SlidingSum sum(1s);
    BOOST_TEST(sum.sum(clock.now()) == 0);
    for (int i = 0; i < 20; ++i, clock.advance(100ms))
        sum.add(clock.now(), 1);
    clock.advance(-100ms);
    BOOST_TEST(sum.sum(clock.now()) == 10);
    clock.advance(500ms);
    BOOST_TEST(sum.sum(clock.now()) == 5);
    clock.advance(1h);
    BOOST_TEST(sum.sum(clock.now()) == 0);
    sum.add(clock.now(), 3);
    BOOST_TEST(sum.sum(clock.now()) == 3);
}

BOOST_AUTO_TEST_CASE(onlyJobsWithOneObjectiveHaveWork)
{
    JobSpec job;
    job.steps = usualSteps();
    BOOST_TEST(workOf(job).cpuTime == 2 * 8 * 3100 * 800 / 1000);
    BOOST_TEST((workOf(job).criticalPath == 1600ms));
    job.steps[1].filler = true;
    BOOST_TEST(workOf(job).cpuTime == 8 * 3100 * 800 / 1000);
    job.steps[1].longRunning = true;
    BOOST_TEST(workOf(job).cpuTime == 0);
    job.steps = usualSteps();
    job.occurrences = 3;
    BOOST_TEST(workOf(job).cpuTime == 0);
}

BOOST_AUTO_TEST_CASE(workloadFollowsTheRowsOfJobs)
{
    ManualClock clock;
    FleetWorkload workload(clock);
    FleetConfig config;
    config.organisations["o"] = { "o", {}, 0, 5, {} };
    workload.setWeights(config);
    JobDirectory directory;
    directory.setWorkload(&workload);
    directory.reset({});
    Version version = 0;
    std::vector<TableRow> rows;
    const auto apply = [&](const std::string& key, const std::string& value) {
        rows.push_back({ "queue/quotes/0", key, value, ++version });
        directory.apply(rows.back());
    };
    for (const std::string id : { "a1", "a2", "a3" }) {
        JobSpec job;
        job.id = id;
        job.queue = "quotes";
        job.pool = "pricing";
        job.organisation = "o";
        job.steps = usualSteps();
        apply(rows::jobKey(id), encodeJob(job));
    }
    const auto waitingJobs
        = [&] { return workload.pool("pricing")->waiting.find("quotes")->second.at("o").jobs; };
    const auto used = [&] { return usedAt(workload.entitlement("o"), clock.now()); };
    BOOST_TEST(used() == 3);
    BOOST_TEST(waitingJobs() == 3);
    BOOST_TEST(workload.throughput(*workload.pool("pricing")) == 0);
    apply(rows::cancelKey("a1"), "{}");
    apply(rows::stateKey("a2"), encodeState(JobState::Running));
    BOOST_TEST(waitingJobs() == 1);
    BOOST_TEST(workload.throughput(*workload.pool("pricing")) == 8 * 3.1); // cores of the running job
    // A load of all rows counts the same jobs, and no acceptance twice.
    directory.reset(rows);
    BOOST_TEST(waitingJobs() == 1);
    BOOST_TEST(used() == 3);
    apply(rows::stateKey("a2"), encodeState(JobState::Completed));
    BOOST_TEST(workload.throughput(*workload.pool("pricing")) == 8 * 3.1 * 0.8,
        boost::test_tools::tolerance(1e-9)); // two steps in two seconds
    clock.advance(3s);
    BOOST_TEST(workload.throughput(*workload.pool("pricing")) == 0);
    BOOST_TEST(used() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A service before a pool that gets 24.8 cores done and has three seconds of work waiting. The organisation
/// has used up its entitlement.
struct AdmissionFixture : CallerFixture {
    AdmissionFixture()
        : CallerFixture(0ms, true)
    {
        FleetConfig config;
        config.queues = { usualQueue() };
        config.organisations["o"] = { "o", { "o-key" }, 0, 1, {} };
        auto keys = CallerKeys::takeFrom(config);
        admission.setConfig(config);
        service.setConfig(std::make_shared<const FleetConfig>(config), std::move(keys));
        auto& workload = admission.workload();
        const auto work = usualWork();
        workload.count("pricing", "quotes", "p", JobState::Running, work, 1);
        workload.count("pricing", "quotes", "p", JobState::Queued, work, 2);
        for (int i = 0; i < 3; ++i)
            workload.recordAcceptance("o");
        codec.step = usualSteps().front();
    }

    /// The response to a submission, which the caller gets without a pause if it is refused.
    HttpResponse respond(const std::string& id)
    {
        auto exchange = std::make_shared<FakeExchange>(id);
        exchange->setKey("o-key");
        service.handle(exchange);
        wasAnsweredAtOnce = exchange->sentResponse.has_value();
        loop.runUntil([&] { return exchange->sentResponse.has_value(); }, 10s);
        BOOST_REQUIRE(exchange->sentResponse);
        return *exchange->sentResponse;
    }

    bool wasAnsweredAtOnce = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(admission_of_submissions, AdmissionFixture)

BOOST_AUTO_TEST_CASE(refusedJobIsAnsweredAtOnceAndNotStored)
{
    const auto refusal = respond("a1");
    BOOST_TEST(refusal.status == 429);
    BOOST_TEST(wasAnsweredAtOnce);
    // The bucket leaks down to one burst in 2 s.
    const auto retryAfter
        = std::stoi(std::string(http::header(refusal.headers, "Retry-After").value_or("0")));
    BOOST_TEST((retryAfter >= 2 && retryAfter <= 4));
    BOOST_TEST(fakeTable->largestTransaction == 0u);
    BOOST_TEST(metrics.counter("admission_total{outcome=\"excess\",organisation=\"o\"}") == 1u);
    clock.advance(2s);
    recordContact(contact, clock.now());
    BOOST_TEST(respond("a1").status == 200);
}

BOOST_AUTO_TEST_CASE(knownAndLongRunningJobsAreNotRefused)
{
    codec.step.longRunning = true;
    BOOST_TEST(respond("a1").status == 200);
    codec.step.longRunning = false;
    directory.apply(
        *fakeTable->find(std::string(jobTable), rows::jobPart("quotes", "a1"), rows::jobKey("a1")));
    BOOST_TEST(respond("a1").status == 200);
}

// A node that is cut off, or has just woken, does not know what waits now.
BOOST_AUTO_TEST_CASE(nothingIsRefusedByAnOldViewOfTheJobs)
{
    directoryAge = 2001ms;
    BOOST_TEST(respond("a1").status == 200);
    directoryAge = 2000ms;
    BOOST_TEST(respond("a2").status == 429);
}

BOOST_AUTO_TEST_SUITE_END()
