/// \file
/// Tests of how crashes of VMs are attributed to tasks, with a simulated pool whose tasks may crash their
/// VMs.
#include "pool_fixture_test.h"

#include <damaskworks/start_gate.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

/// How the simulated VMs behave.
struct Faults {
    milliseconds crashDelay { 10 }; ///< from a deadly task's start to the crash
    milliseconds downTime { 3000 };
    bool keepsId = false; ///< a VM comes back under its id, else under a new one
    bool isStartAnswered = true; ///< before the crash
    double randomCrashes = 0; ///< probability of a crash of a VM in each step
    milliseconds handOver { 0 }; ///< time between changes of the holder; zero: none
};

/// A pool with simulated VMs. A job whose id begins with "deadly" crashes each VM that starts its first task.
class Simulation : public PoolFixture {
public:
    explicit Simulation(int vms, std::uint32_t seed, Faults faults = {})
        : m_faults(faults)
        , m_random(seed)
    {
        for (int i = 0; i < vms; ++i)
            bootVm("v" + std::to_string(i));
        m_handOverAt = clock.now() + faults.handOver;
    }

    void submitJob(const std::string& id, StepSpec step)
    {
        m_specs.emplace(id, makeJob(id, { step }));
        submit(id, { std::move(step) });
        commitRecords();
    }

    void run(milliseconds span)
    {
        for (const auto end = clock.now() + span; clock.now() < end; advance(10ms))
            step();
    }

    JobState stateOf(const std::string& id)
    {
        const auto job = state.jobs.find(id);
        return job == state.jobs.end() ? m_ended.at(id) : job->second.state;
    }

    /// Loses all VMs at once; none of their tasks has caused it.
    void loseVms()
    {
        for (const auto& [name, vm] : std::map(m_vms)) {
            if (vm.isUp)
                crash(name);
        }
    }

    /// Runs until the condition holds or \p limit has passed, and returns the time that it took.
    template <typename Condition> milliseconds runUntil(Condition condition, milliseconds limit)
    {
        const auto begin = clock.now();
        while (!condition() && clock.now() - begin < limit)
            run(10ms);
        return std::chrono::duration_cast<milliseconds>(clock.now() - begin);
    }

    int countJobs() const { return static_cast<int>(state.jobs.size()); }

    int countWaiting()
    {
        int count = 0;
        for (const auto& [id, job] : state.jobs) {
            for (const auto& task : job.occurrences.at(0).steps[0].tasks)
                count += !task.done && !task.run;
        }
        return count;
    }

    int countSuspects()
    {
        int count = 0;
        for (const auto& [id, job] : state.jobs) {
            for (const auto& task : job.occurrences.at(0).steps[0].tasks)
                count += task.isSuspect && !task.done;
        }
        return count;
    }

    std::map<TaskId, int> crashes;
    std::map<TaskId, int> startsAfterThreeCrashes;
    int doubleRuns = 0;
    milliseconds runTime { 400 };

private:
    struct SimulatedRun {
        std::uint32_t number = 0;
        TimePoint endsAt {};
        TimePoint crashesAt {}; ///< zero: never
    };
    struct SimulatedVm {
        std::int64_t boot = 1;
        std::map<TaskId, SimulatedRun> runs;
        std::vector<EndReport> ended;
        std::uint64_t lastEnd = 0;
        TimePoint backAt {}; ///< while it is down
        bool isUp = true;
    };

    static bool isDeadly(const TaskId& id) { return id.job.starts_with("deadly") && id.index == 0; }

    void bootVm(const std::string& id)
    {
        m_vms[id] = {};
        m_vms[id].boot = ++m_boots;
        if (state.vms.contains(id))
            return;
        addVm(id, 16'000, "r1", false);
        reportSimulated(id);
    }

    void reportSimulated(const std::string& id)
    {
        auto& vm = m_vms.at(id);
        VmReport out;
        out.vmClock = std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch());
        out.bootTime = vm.boot;
        for (const auto& [task, run] : vm.runs)
            out.running.push_back({ task, run.number, "", 50, 0 });
        out.ended = vm.ended;
        applyReport(state, id, out, clock.now(), clock.now());
    }

    void crash(const std::string& id)
    {
        auto& vm = m_vms.at(id);
        for (const auto& [task, run] : vm.runs)
            crashes[task] += isDeadly(task) && run.crashesAt != TimePoint {} && run.crashesAt <= clock.now();
        vm = {};
        vm.isUp = false;
        vm.backAt = clock.now() + m_faults.downTime;
        markUnresponsive(state, id);
    }

    void returnVm(const std::string& id)
    {
        if (m_faults.keepsId) {
            bootVm(id);
            return;
        }
        m_vms.erase(id);
        applyWrongVm(state, id, Address(state.vms.at(id).entry.address), clock.now());
        bootVm("v" + std::to_string(100 + m_boots));
    }

    void stepVms()
    {
        std::vector<std::string> names;
        for (const auto& [name, vm] : m_vms)
            names.push_back(name);
        for (const auto& name : names) {
            auto& vm = m_vms.at(name);
            if (!vm.isUp) {
                if (clock.now() >= vm.backAt)
                    returnVm(name);
                continue;
            }
            const bool crashes = std::any_of(vm.runs.begin(), vm.runs.end(), [&](const auto& entry) {
                return entry.second.crashesAt != TimePoint {} && entry.second.crashesAt <= clock.now();
            });
            if (crashes || std::uniform_real_distribution<>(0, 1)(m_random) < m_faults.randomCrashes) {
                crash(name);
                continue;
            }
            for (auto it = vm.runs.begin(); it != vm.runs.end();) {
                if (clock.now() < it->second.endsAt) {
                    ++it;
                    continue;
                }
                vm.ended.push_back({ ++vm.lastEnd, it->first, it->second.number, EndKind::Done, "" });
                it = vm.runs.erase(it);
            }
            reportSimulated(name);
        }
    }

    void startOn(const StartAction& start)
    {
        auto& vm = m_vms.at(start.vm);
        const auto& task = start.command.task;
        if (!vm.isUp) {
            applyStartOutcome(
                state, start.vm, task, start.command.run, CommandOutcome::Unreachable, clock.now());
            return;
        }
        for (const auto& [name, other] : m_vms)
            doubleRuns += other.isUp && other.runs.contains(task);
        startsAfterThreeCrashes[task] += crashes[task] >= 3;
        SimulatedRun run { start.command.run, clock.now() + runTime, TimePoint {} };
        if (isDeadly(task))
            run = { start.command.run, TimePoint::max(), clock.now() + m_faults.crashDelay };
        vm.runs[task] = run;
        const bool isAnswered = m_faults.isStartAnswered || !isDeadly(task);
        applyStartOutcome(state, start.vm, task, start.command.run,
            isAnswered ? CommandOutcome::Accepted : CommandOutcome::Unknown, clock.now());
    }

    void commitRecords()
    {
        for (auto& [id, job] : state.jobs) {
            if (!job.dirty && job.hasRecord)
                continue;
            job.dirty = false;
            job.hasRecord = true;
            job.committedBatch = job.lastBatch = ++m_batches;
            m_records[id] = encodeProgress(job);
            if (isFinal(job.state))
                m_ended[id] = job.state;
        }
    }

    void handOver()
    {
        const auto records = m_records;
        m_waiting.clear();
        const auto limits = state.limits;
        const auto term = state.term + 1;
        const auto queues = state.queues;
        state = PoolState {};
        state.pool = "pricing";
        state.limits = limits;
        state.queues = queues;
        state.term = term;
        state.recoveryDeadline = clock.now() + 5s;
        for (const auto& [id, record] : records)
            addJob(state, m_specs.at(id), record, true);
        state.platformVms.emplace();
        for (const auto& [name, vm] : m_vms) {
            addVm(name, 16'000, "r1", false);
            if (!vm.isUp)
                continue;
            state.platformVms->insert(name);
            reportSimulated(name);
        }
    }

    void step()
    {
        stepVms();
        if (m_faults.handOver.count() > 0 && clock.now() >= m_handOverAt) {
            m_handOverAt = clock.now() + m_faults.handOver;
            handOver();
        }
        expireLeases(state, clock.now());
        if (isNewTokenRequired(state))
            raiseToken();
        for (const auto& stop : planStops(state, clock.now())) {
            auto& vm = m_vms.at(stop.vm);
            const auto outcome = vm.isUp ? CommandOutcome::Accepted : CommandOutcome::Unreachable;
            applyStopOutcome(state, stop.vm, stop.task, stop.run, outcome, clock.now(), clock.now());
            const auto found = vm.runs.find(stop.task);
            if (!vm.isUp || found == vm.runs.end())
                continue;
            vm.ended.push_back({ ++vm.lastEnd, stop.task, found->second.number, EndKind::Stopped, "" });
            vm.runs.erase(found);
        }
        auto planned = starts();
        auto ready = takeReadyStarts(state, m_waiting, std::move(planned), clock.now());
        commitRecords();
        for (auto& start : takeReadyStarts(state, m_waiting, {}, clock.now()))
            ready.push_back(std::move(start));
        for (const auto& start : ready)
            startOn(start);
        std::erase_if(state.jobs, [&](const auto& entry) {
            const bool isOver = isFinal(entry.second.state)
                && std::none_of(state.vms.begin(), state.vms.end(), [&](const auto& vm) {
                       return std::any_of(vm.second.runs.begin(), vm.second.runs.end(),
                           [&](const TaskId& id) { return id.job == entry.first; });
                   });
            return isOver && !entry.second.dirty;
        });
    }

    Faults m_faults;
    std::mt19937 m_random;
    std::map<std::string, SimulatedVm> m_vms;
    std::map<std::string, JobSpec> m_specs;
    std::map<std::string, JobState> m_ended;
    std::map<std::string, std::string> m_records; ///< durable, by job
    std::uint64_t m_batches = 0;
    WaitingStarts m_waiting;
    std::int64_t m_boots = 0;
    TimePoint m_handOverAt {};
};

/// A queue's turn: jobs of eight tasks each, one in \p deadlyEvery of them with a task that crashes its VM.
void submitPeak(Simulation& pool, int jobs, int deadlyEvery)
{
    for (int i = 0; i < jobs; ++i) {
        const bool isDeadly = i % deadlyEvery == deadlyEvery / 2;
        pool.submitJob((isDeadly ? "deadly" : "job") + std::to_string(i), PoolFixture::makeStep(8));
        pool.run(100ms);
    }
}

void checkOutcome(Simulation& pool, int jobs, int deadlyEvery)
{
    for (int i = 0; i < jobs; ++i) {
        const bool isDeadly = i % deadlyEvery == deadlyEvery / 2;
        const auto id = (isDeadly ? "deadly" : "job") + std::to_string(i);
        BOOST_TEST_INFO(id);
        BOOST_TEST((pool.stateOf(id) == (isDeadly ? JobState::Failed : JobState::Completed)));
    }
    for (const auto& [task, starts] : pool.startsAfterThreeCrashes) {
        BOOST_TEST_INFO(toString(task));
        BOOST_TEST(starts < 3);
    }
    BOOST_TEST(pool.doubleRuns == 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_attribution)

BOOST_AUTO_TEST_CASE(taskThatCrashesItsVmsIsGivenUp)
{
    for (const bool keepsId : { false, true }) {
        for (const bool isStartAnswered : { false, true }) {
            Simulation pool(9, 1, { .keepsId = keepsId, .isStartAnswered = isStartAnswered });
            submitPeak(pool, 60, 15);
            pool.run(30s);
            checkOutcome(pool, 60, 15);
        }
    }
}

BOOST_AUTO_TEST_CASE(manyTasksThatCrashTheirVmsAreGivenUpWithoutInnocentOnes)
{
    Simulation pool(9, 2);
    submitPeak(pool, 60, 3);
    pool.run(180s);
    checkOutcome(pool, 60, 3);
}

BOOST_AUTO_TEST_CASE(taskThatCrashesItsVmAfterItsShortTrialIsGivenUp)
{
    Simulation pool(9, 3, { .crashDelay = 700ms });
    submitPeak(pool, 60, 15);
    pool.run(60s);
    checkOutcome(pool, 60, 15);
}

BOOST_AUTO_TEST_CASE(jobsAreNotFailedByCrashesOfOtherCauses)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        Simulation pool(9, seed, { .randomCrashes = 0.0005 });
        submitPeak(pool, 60, 1000);
        pool.run(40s);
        checkOutcome(pool, 60, 1000);
    }
}

// After a loss of all VMs, trials one after the other kept tasks waiting in proportion to their number.
BOOST_AUTO_TEST_CASE(innocentSuspectTasksStartSoonWhateverTheirNumber)
{
    for (const int jobs : { 5, 25, 75 }) {
        Simulation pool(4, 5);
        pool.runTime = 1s;
        for (int i = 0; i < jobs; ++i)
            pool.submitJob("job" + std::to_string(i), PoolFixture::makeStep(4, 100));
        pool.run(50ms);
        BOOST_TEST(pool.countWaiting() == 0);
        pool.loseVms();
        pool.runUntil([&] { return pool.countWaiting() > 0; }, 10s);
        BOOST_TEST(pool.countSuspects() == jobs * 4);
        const auto took = pool.runUntil([&] { return pool.countWaiting() == 0; }, 300s);
        BOOST_TEST_MESSAGE(jobs * 4 << " suspect tasks started within " << took.count() << " ms");
        BOOST_TEST((took <= 10s));
        pool.run(2s);
        BOOST_TEST(pool.countJobs() == 0);
    }
}

// A task that crashes its VMs was started without bound, or failed jobs beside it, in shared trials.
BOOST_AUTO_TEST_CASE(deadlyTasksAmongSharedTrialsAreGivenUpWithoutInnocentOnes)
{
    for (const bool keepsId : { false, true }) {
        for (const milliseconds crashDelay : { 10ms, 200ms, 300ms, 700ms }) {
            for (const milliseconds handOver : { 0s, 4s }) {
                BOOST_TEST_CONTEXT(keepsId << " " << crashDelay.count() << " " << handOver.count())
                {
                    Simulation pool(
                        4, 6, { .crashDelay = crashDelay, .keepsId = keepsId, .handOver = handOver });
                    pool.state.limits.maxTrialWait = 1s;
                    pool.runTime = 1s;
                    for (int i = 0; i < 75; ++i)
                        pool.submitJob((i % 25 == 12 ? "deadly" : "job") + std::to_string(i),
                            PoolFixture::makeStep(4, 100));
                    pool.run(120s);
                    checkOutcome(pool, 75, 25);
                }
            }
        }
    }
}

// Tasks whose VMs were lost twice waited for long trials one after the other.
BOOST_AUTO_TEST_CASE(innocentTasksLostTwiceStartSoon)
{
    Simulation pool(4, 7);
    pool.runTime = 1s;
    for (int i = 0; i < 75; ++i)
        pool.submitJob("job" + std::to_string(i), PoolFixture::makeStep(4, 100));
    pool.run(50ms);
    pool.loseVms();
    pool.run(8s + 500ms);
    pool.loseVms();
    pool.runUntil([&] { return pool.countWaiting() > 0; }, 10s);
    BOOST_TEST(pool.countSuspects() > 200);
    const auto took = pool.runUntil([&] { return pool.countWaiting() == 0; }, 300s);
    BOOST_TEST_MESSAGE("started within " << took.count() << " ms");
    BOOST_TEST((took <= 10s));
    pool.run(2s);
    for (int i = 0; i < 75; ++i)
        BOOST_TEST((pool.stateOf("job" + std::to_string(i)) == JobState::Completed));
}

// Half of the VMs stood idle while suspect tasks alone waited for trials.
BOOST_FIXTURE_TEST_CASE(trialsUseAllVmsIfNoOtherTaskWaits, PoolFixture)
{
    for (const auto* vm : { "v1", "v2", "v3", "v4" })
        addVm(vm);
    submit("j1", { makeStep(8) });
    for (int i = 0; i < 8; ++i)
        findTask(state, { "j1", 0, 0, i })->isSuspect = true;
    BOOST_TEST(starts().size() == 4u);
}

BOOST_AUTO_TEST_CASE(crashesAreCountedAcrossHandOvers)
{
    for (const milliseconds handOver : { 2s, 3s, 4s, 5s, 7s }) {
        Simulation pool(9, 4, { .handOver = handOver });
        submitPeak(pool, 60, 15);
        pool.run(120s);
        checkOutcome(pool, 60, 15);
    }
}

// The holder was lost during a trial, of which the next one knew nothing.
BOOST_FIXTURE_TEST_CASE(trialIsRecordedBeforeItsStartIsSent, PoolFixture)
{
    addVm("v1");
    submit("j1", { makeStep(1) });
    auto& job = state.jobs.at("j1");
    job.hasRecord = true;
    auto& suspect = *findTask(state, { "j1", 0, 0, 0 });
    suspect.isSuspect = true;
    suspect.crashes = 1;
    WaitingStarts waiting;
    job.lastBatch = 7;
    BOOST_TEST(takeReadyStarts(state, waiting, starts(), clock.now()).empty());
    BOOST_TEST(job.dirty);
    job.committedBatch = 7; // of a transaction that was under way before
    BOOST_TEST(takeReadyStarts(state, waiting, {}, clock.now()).empty());
    job.committedBatch = job.lastBatch = 8;
    BOOST_TEST(takeReadyStarts(state, waiting, {}, clock.now()).size() == 1u);
}

// A crash was attributed to a task that another task had been started beside.
BOOST_FIXTURE_TEST_CASE(nothingElseStartsAroundATrial, PoolFixture)
{
    addVm("v1");
    submit("a", { makeStep(1) });
    startAndAccept();
    submit("b", { makeStep(1) });
    auto& suspect = *findTask(state, { "b", 0, 0, 0 });
    suspect.isSuspect = true;
    suspect.crashes = 1;
    advance(10ms);
    BOOST_TEST(starts().empty()); // the VM has just started another task
    submit("c", { makeStep(1) });
    BOOST_TEST(starts().empty()); // it is reserved
    advance(state.limits.shortTrial);
    report("v1");
    state.jobs.at("b").hasRecord = true;
    WaitingStarts waiting;
    auto trial = starts();
    BOOST_REQUIRE(trial.size() == 1u);
    BOOST_TEST(trial[0].command.task.job == "b");
    state.jobs.at("b").committedBatch = 1;
    const auto sent = takeReadyStarts(state, waiting, std::move(trial), clock.now());
    BOOST_TEST(sent.size() == 1u);
    applyStartOutcome(state, "v1", { "b", 0, 0, 0 }, 1, CommandOutcome::Accepted, clock.now());
    advance(state.limits.shortTrial);
    BOOST_TEST(starts().empty()); // the VM has not responded since the trial's end
    report("v1");
    BOOST_TEST(starts().size() == 1u);
}

// Each suspect member of a gang needed a VM of its own, more than trials may take.
BOOST_FIXTURE_TEST_CASE(gangOfSuspectTasksStartsAsOneTrial, PoolFixture)
{
    addVm("v1");
    addVm("v2");
    auto gang = makeStep(4);
    gang.gang = true;
    submit("j1", { gang });
    auto& job = state.jobs.at("j1");
    job.hasRecord = true;
    job.dirty = false;
    for (int i = 0; i < 4; ++i)
        findTask(state, { "j1", 0, 0, i })->isSuspect = true;
    BOOST_TEST(starts().size() == 4u);
    BOOST_TEST(job.dirty);
}

// A pass that could not start a gang changed its VMs and had its job recorded again, without end.
BOOST_FIXTURE_TEST_CASE(gangThatCannotStartChangesNothing, PoolFixture)
{
    addVm("v1");
    auto gang = makeStep(8);
    gang.gang = true;
    submit("j1", { gang });
    state.jobs.at("j1").dirty = false;
    findTask(state, { "j1", 0, 0, 0 })->isSuspect = true;
    const auto before = state.vms.at("v1").lastStartAt;
    BOOST_TEST(starts().empty());
    BOOST_TEST(!state.jobs.at("j1").dirty);
    BOOST_TEST((state.vms.at("v1").lastStartAt == before));
    BOOST_TEST(!state.vms.at("v1").trialTask);
    BOOST_TEST(state.vms.at("v1").used.cpu == 0);
}

namespace {

struct TrialFixture : PoolFixture {
    /// Sends the trial of j1's only task.
    StartAction sendTrial()
    {
        WaitingStarts waiting;
        auto planned = starts();
        BOOST_REQUIRE(planned.size() == 1u);
        auto& job = state.jobs.at("j1");
        job.hasRecord = true;
        job.committedBatch = ++job.lastBatch;
        auto ready = takeReadyStarts(state, waiting, std::move(planned), clock.now());
        BOOST_REQUIRE(ready.size() == 1u);
        applyStartOutcome(state, ready[0].vm, ready[0].command.task, ready[0].command.run,
            CommandOutcome::Accepted, clock.now());
        return ready[0];
    }

    void submitSuspect()
    {
        submit("j1", { makeStep(1) });
        auto& task = *findTask(state, { "j1", 0, 0, 0 });
        task.isSuspect = true;
        task.crashes = 1;
    }
};

} // namespace

// A task on trial was given up after its VMs had twice been cut off for longer than their leases.
BOOST_FIXTURE_TEST_CASE(cutsOfVmsDuringTwoTrialsDoNotFailTheJob, TrialFixture)
{
    submitSuspect();
    for (const auto* vm : { "v1", "v2" }) {
        addVm(vm);
        const auto trial = sendTrial();
        BOOST_REQUIRE(trial.vm == vm);
        markUnresponsive(state, vm);
        unlistVm(state, vm);
        advance(state.limits.vmLease * 2);
        expireLeases(state, clock.now());
        BOOST_REQUIRE(!task("j1", 0, 0).run);
    }
    BOOST_TEST((state.jobs.at("j1").state != JobState::Failed));
    BOOST_TEST(task("j1", 0, 0).trialCrashes == 2);
    BOOST_TEST(task("j1", 0, 0).provenTrialCrashes == 0);
}

namespace {

/// Job j1 with one task, and holders that know it by its record.
struct HandOverFixture : TrialFixture {
    std::string record; ///< durable progress of j1

    void commitRecord()
    {
        auto& job = state.jobs.at("j1");
        if (!job.dirty)
            return;
        job.dirty = false;
        record = encodeProgress(job);
    }

    /// Commits the record and lets the next holder take over. Its list of machines has only \p vm.
    void handOver(const std::string& vm)
    {
        commitRecord();
        const auto queues = state.queues;
        const auto term = state.term + 1;
        state = PoolState {};
        state.pool = "pricing";
        state.queues = queues;
        state.term = term;
        state.recoveryDeadline = clock.now() + 10s;
        submit("j1", { makeStep(1) }, true, record);
        listMachinesOf({ vm });
    }

    /// Applies a report of a VM that lists the run of \p start.
    void reportRun(const std::string& vm, const StartAction& start)
    {
        VmReport out;
        out.vmClock = std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch());
        out.bootTime = 1;
        out.running.push_back({ start.command.task, start.command.run, "", 50, 0 });
        applyReport(state, vm, out, clock.now(), clock.now());
    }

    /// Evacuates the VM, which then reports that it has stopped the run of \p start.
    void evacuate(const std::string& vm, const StartAction& start)
    {
        setEvacuation(state, state.vms.at(vm), "7.1");
        advance(100ms);
        report(vm, { makeEnd(1, start, EndKind::Stopped) });
        BOOST_REQUIRE(!task("j1", 0, 0).run);
    }
};

} // namespace

// A long-running job was given up after planned maintenance and a takeover (AVAIL 3).
BOOST_FIXTURE_TEST_CASE(trialThatMaintenanceEndedIsNoCrashToTheNextHolder, HandOverFixture)
{
    submitSuspect();
    addVm("v1");
    auto trial = sendTrial();
    commitRecord();
    BOOST_REQUIRE(record.find("atRisk") != std::string::npos);
    evacuate("v1", trial);
    handOver("v2");
    addVm("v2");
    trial = sendTrial();
    commitRecord();
    evacuate("v2", trial);
    handOver("v3");
    addVm("v3");
    starts();
    BOOST_TEST((state.jobs.at("j1").state != JobState::Failed));
    BOOST_TEST(task("j1", 0, 0).crashes == 1);
    BOOST_TEST(task("j1", 0, 0).provenTrialCrashes == 0);
}

// The record of a trial that was never started counted as a crash once its VM had gone.
BOOST_FIXTURE_TEST_CASE(withdrawnTrialIsNoCrashToTheNextHolder, HandOverFixture)
{
    submitSuspect();
    addVm("v1");
    WaitingStarts waiting;
    BOOST_TEST(takeReadyStarts(state, waiting, starts(), clock.now()).empty());
    commitRecord();
    setEvacuation(state, state.vms.at("v1"), "7.1");
    BOOST_TEST(takeReadyStarts(state, waiting, {}, clock.now()).empty());
    BOOST_REQUIRE(!task("j1", 0, 0).run);
    handOver("v2");
    addVm("v2");
    starts();
    BOOST_TEST(task("j1", 0, 0).crashes == 1);
}

// A run that was adopted, and so had survived, counted as crashed for the holder after the next.
BOOST_FIXTURE_TEST_CASE(riskThatAHolderHasRuledOutIsNotRecordedAnyMore, HandOverFixture)
{
    submit("j1", { makeStep(1) });
    state.jobs.at("j1").hasRecord = true;
    addVm("v1");
    auto started = startAndAccept();
    BOOST_REQUIRE(started.size() == 1u);
    markUnresponsive(state, "v1");
    handOver("v1");
    addVm("v1", 4000, "r1", false);
    reportRun("v1", started[0]);
    BOOST_TEST(starts().empty());
    BOOST_REQUIRE(task("j1", 0, 0).run);
    commitRecord();
    addVm("v2");
    evacuate("v1", started[0]);
    started = startAndAccept();
    BOOST_REQUIRE(started.size() == 1u);
    BOOST_REQUIRE(started[0].vm == "v2");
    handOver("v2");
    addVm("v2", 4000, "r1", false);
    reportRun("v2", started[0]);
    starts();
    BOOST_TEST(task("j1", 0, 0).crashes == 0);
    BOOST_TEST(!task("j1", 0, 0).isSuspect);
}

// A holder that ends before a crash is attributed leaves it to the next one.
BOOST_FIXTURE_TEST_CASE(crashDuringATrialCountsForTheNextHolder, HandOverFixture)
{
    submitSuspect();
    addVm("v1");
    sendTrial();
    handOver("v2");
    addVm("v2");
    starts();
    BOOST_TEST(task("j1", 0, 0).crashes == 2);
    BOOST_TEST(task("j1", 0, 0).provenTrialCrashes == 1);
}

// A holder can't tell whether a silent VM that stays registered has crashed. The next one finds it gone.
BOOST_FIXTURE_TEST_CASE(crashOfAVmThatStayedRegisteredCountsForTheNextHolder, HandOverFixture)
{
    submit("j1", { makeStep(1) });
    state.jobs.at("j1").hasRecord = true;
    addVm("v1");
    BOOST_REQUIRE(startAndAccept().size() == 1u);
    markUnresponsive(state, "v1");
    commitRecord();
    advance(state.limits.maxVmLease * 2 + state.limits.silentVmGrace);
    expireLeases(state, clock.now());
    BOOST_REQUIRE(!task("j1", 0, 0).run);
    handOver("v2");
    addVm("v2");
    starts();
    BOOST_TEST(task("j1", 0, 0).crashes == 1);
    BOOST_TEST(task("j1", 0, 0).isSuspect);
}

// A trial was started on a VM that had crashed while it was idle, and its task was charged.
BOOST_FIXTURE_TEST_CASE(trialStartsOnlyOnAVmThatHasJustResponded, PoolFixture)
{
    addVm("v1");
    advance(10s);
    submit("j1", { makeStep(1) });
    findTask(state, { "j1", 0, 0, 0 })->isSuspect = true;
    BOOST_TEST(starts().empty());
    BOOST_TEST(isReportDue(state.vms.at("v1"), state.limits, clock.now()));
    report("v1");
    BOOST_TEST(starts().size() == 1u);
}

// A start sent after an unnoticed restart, and not yet in the report that showed it, counted as the cause.
BOOST_FIXTURE_TEST_CASE(startAfterTheRestartIsNotChargedWithTheCrash, PoolFixture)
{
    addVm("v1");
    submit("j1", { makeStep(1) });
    const auto sentAt = clock.now();
    startAndAccept();
    VmReport other { 100ms, 2, {}, {} };
    applyReport(state, "v1", other, sentAt, clock.now());
    BOOST_TEST(task("j1", 0, 0).crashes == 0);
}

// A holder later counted a crash of a VM that had only been silent for a moment.
BOOST_FIXTURE_TEST_CASE(runIsNotAtRiskOnceItsVmIsBack, PoolFixture)
{
    addVm("v1");
    submit("j1", { makeStep(1) });
    startAndAccept();
    markUnresponsive(state, "v1");
    BOOST_TEST(encodeProgress(state.jobs.at("j1")).find("atRisk") != std::string::npos);
    advance(100ms);
    report("v1");
    BOOST_TEST(encodeProgress(state.jobs.at("j1")).find("atRisk") == std::string::npos);
}

// A VM restarted with less room, and its first report came before its registration.
BOOST_FIXTURE_TEST_CASE(newBootGetsNoStartsByTheRegistrationOfTheEarlierOne, PoolFixture)
{
    VmRegistration vm;
    vm.id = "v1";
    vm.pool = "pricing";
    vm.capacity = { 4000, 32'000, 0 };
    vm.bootTime = 1;
    listVm(state, vm);
    reportEmpty("v1", 1);
    submit("j1", { makeStep(4) });
    advance(10ms);
    reportEmpty("v1", 2);
    BOOST_TEST(starts().empty());
    vm.bootTime = 2;
    vm.capacity.cpu = 2000;
    listVm(state, vm);
    restartEmpty("v1", 2);
    BOOST_TEST(starts().size() == 2u);
}

// The machine's next VM was moved to another pool before the lease of the crashed one had expired.
BOOST_FIXTURE_TEST_CASE(crashCountsIfTheMachineIsEvacuatedAfterwards, PoolFixture)
{
    addVm("v1");
    submit("j1", { makeStep(1) });
    BOOST_REQUIRE(startAndAccept().size() == 1U);
    auto& vm = state.vms.at("v1");
    markUnresponsive(state, "v1");
    unlistVm(state, "v1");
    setEvacuation(state, vm, "7.1");
    advance(state.limits.maxVmLease * 2);
    expireLeases(state, clock.now());
    BOOST_TEST(task("j1", 0, 0).crashes == 1);
}

// The only crash that a shared trial may end with would have been forgotten by a later holder.
BOOST_FIXTURE_TEST_CASE(crashDuringASharedTrialCountsForEachTaskAndIsRecorded, PoolFixture)
{
    addVm("v1");
    submit("j1", { makeStep(2) });
    for (int i = 0; i < 2; ++i) {
        auto& suspect = *findTask(state, { "j1", 0, 0, i });
        suspect.isSuspect = true;
        suspect.crashes = 1;
        suspect.waitsForTrialSince = clock.now() - state.limits.maxTrialWait;
    }
    BOOST_TEST(startAndAccept().size() == 2u);
    markUnresponsive(state, "v1");
    unlistVm(state, "v1");
    advance(state.limits.maxVmLease * 2);
    expireLeases(state, clock.now());
    const auto record = encodeProgress(state.jobs.at("j1"));
    state.jobs.clear();
    submit("j1", { makeStep(2) }, true, record);
    for (int i = 0; i < 2; ++i) {
        auto& suspect = *findTask(state, { "j1", 0, 0, i });
        BOOST_TEST(suspect.crashes == 2);
        BOOST_TEST(suspect.sharedTrialCrashes == 1);
        BOOST_TEST(suspect.trialCrashes == 0);
        suspect.waitsForTrialSince = clock.now() - state.limits.maxTrialWait;
    }
    addVm("v2");
    BOOST_TEST(starts().size() == 1u);
}

// Nothing in the log said why suspect tasks waited.
BOOST_FIXTURE_TEST_CASE(waitingSuspectsAreDescribedForTheLog, PoolFixture)
{
    addVm("v1");
    addVm("v2");
    submit("j1", { makeStep(3) });
    for (int i = 0; i < 3; ++i)
        findTask(state, { "j1", 0, 0, i })->isSuspect = true;
    findTask(state, { "j1", 0, 0, 2 })->crashes = state.limits.crashesBeforeLongTrial;
    submit("j2", { makeStep(1, 8000) }); // waits, so that trials take half of the VMs
    BOOST_TEST(starts().size() == 1u);
    advance(100ms);
    const auto waiting = findWaitingSuspects(state, clock.now());
    BOOST_TEST(waiting.tasks == 2);
    BOOST_TEST(waiting.longTrials == 1);
    BOOST_TEST((waiting.longest == 100ms));
    BOOST_TEST(toString(waiting.longestTask) == "j1.0.0.1");
    const std::map<PlacementObstacle, int> expected { { PlacementObstacle::Trial, 1 },
        { PlacementObstacle::TrialLimit, 1 } };
    BOOST_TEST((waiting.vms == expected));
}

BOOST_AUTO_TEST_SUITE_END()
