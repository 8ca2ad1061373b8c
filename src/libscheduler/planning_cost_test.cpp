/// What planning looks at for each start, as jobs and VMs grow and what changes does not.
#include "pool_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

JobSpec shortJob(int number)
{
    JobSpec job;
    job.id = "job" + std::to_string(1'000'000 + number);
    job.queue = "quotes";
    job.pool = "pricing";
    job.steps = { PoolFixture::makeStep(8, 1000 + number % 7 * 100) };
    job.acceptedAt = WallTime(1'000'000);
    return job;
}

std::string vmName(int number) { return "vm" + std::to_string(10'000 + number); }

/// One pass of a holder. Returns the number of starts, which the VMs accept.
std::size_t pass(PoolFixture& pool)
{
    auto& state = pool.state;
    const auto now = pool.clock.now();
    const auto vms = takeVmVisits(state, now);
    expireLeases(state, vms, now);
    planEvacuations(state, vms, now);
    planStops(state, vms, now, std::numeric_limits<int>::max());
    const auto planned = planStarts(state, now, pool.wallNow);
    for (const auto& start : planned)
        applyStartOutcome(
            state, start.vm, start.command.task, start.command.run, CommandOutcome::Accepted, now);
    for (const auto& id : takeJobVisits(state)) {
        if (isFinal(state.jobs.at(id).state))
            removeJob(state, id);
    }
    updateLoadSums(state, pool.wallNow);
    for (const auto& id : vms) {
        auto& vm = state.vms.at(id);
        scheduleVisit(state, vm, nextVisit(state, vm, now));
    }
    return planned.size();
}

struct Cost {
    PlanningWork work;
    std::size_t starts = 0;

    double perStart(std::uint64_t PlanningWork::*count) const
    {
        return static_cast<double>(work.*count) / static_cast<double>(starts);
    }
};

/// What takes the memory of some VMs and leaves most of their CPU free.
enum class LongRunning { None, MemoryBound };

/// A job whose tasks each take the memory of one VM.
JobSpec memoryBoundJob(int tasks)
{
    JobSpec job = shortJob(0);
    job.id = "serving";
    job.steps = { PoolFixture::makeStep(tasks) };
    job.steps[0].need.memoryMb = 31'950;
    job.steps[0].longRunning = true;
    job.steps[0].maxPerVm = 1;
    return job;
}

/// Cost of planning in a pool of full VMs with a backlog. At any scale the same number of runs ends.
Cost costOfBusyPool(int scale, LongRunning longRunning)
{
    constexpr int rounds = 200;
    constexpr int changingVms = 20;
    constexpr std::size_t endsPerReport = 3;
    PoolFixture pool;
    const int vms = changingVms * scale;
    int jobs = 0;
    if (longRunning == LongRunning::MemoryBound) {
        for (int i = 0; i < scale * 4; ++i)
            pool.addVm("memory-bound" + std::to_string(i), 16'000);
        addJob(pool.state, memoryBoundJob(scale * 4), "", false);
        pass(pool);
    }
    for (int i = 0; i < vms; ++i)
        pool.addVm(vmName(i), 16'000);
    for (; jobs < vms * 5; ++jobs)
        addJob(pool.state, shortJob(jobs), "", false);
    pass(pool);
    pass(pool);
    pool.state.work = {};
    Cost cost;
    for (int round = 0; round < rounds; ++round) {
        const auto id = vmName(round % changingVms);
        const auto& vm = pool.state.vms.at(id);
        std::vector<EndReport> ends;
        for (const auto& task : vm.runs) {
            if (ends.size() == endsPerReport)
                break;
            const auto run = findTask(pool.state, task)->run->number;
            ends.push_back({ vm.applied + ends.size() + 1, task, run, EndKind::Done, "" });
        }
        pool.report(id, ends);
        if (round % 3 == 0)
            addJob(pool.state, shortJob(jobs++), "", false);
        cost.starts += pass(pool);
    }
    cost.work = pool.state.work;
    return cost;
}

void checkCosts(LongRunning longRunning)
{
    constexpr double tolerance = 1.25;
    const auto small = costOfBusyPool(1, longRunning);
    const auto large = costOfBusyPool(10, longRunning);
    BOOST_REQUIRE(small.starts > 500U);
    BOOST_REQUIRE(large.starts > 500U);
    for (const auto count : { &PlanningWork::vmVisits, &PlanningWork::jobUpdates, &PlanningWork::steps,
             &PlanningWork::vmChoices, &PlanningWork::loadUpdates }) {
        BOOST_TEST_MESSAGE("per start: " << small.perStart(count) << ", " << large.perStart(count));
        BOOST_TEST(large.perStart(count) <= tolerance * small.perStart(count));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(planning_cost)

// On the large deployment each pass walked all VMs and jobs, so a holder with a backlog and many VMs started
// fewer tasks a second than one with few.
BOOST_AUTO_TEST_CASE(planningCostsWhatChangesNotWhatIsThere) { checkCosts(LongRunning::None); }

// VMs whose memory is taken have free CPU that no waiting task can use.
BOOST_AUTO_TEST_CASE(freeCpuWithoutMemoryCostsNothing) { checkCosts(LongRunning::MemoryBound); }

// After a takeover each pass looked for the VMs that had not reported yet among all of the pool, for 10.6 s.
BOOST_AUTO_TEST_CASE(passesAfterATakeoverDontLookAtEachVmAgain)
{
    constexpr int vms = 400;
    constexpr int passes = 100;
    for (const bool hasSilentVm : { false, true }) {
        PoolFixture pool;
        pool.state.term = 1;
        pool.state.recoveryDeadline = recoveryDeadlineAfter(pool.state.limits, pool.clock.now());
        std::vector<std::string> names;
        for (int i = 0; i < vms; ++i) {
            names.push_back(vmName(i));
            pool.addVm(names.back(), 16'000, "r1", !hasSilentVm || i + 1 < vms);
        }
        pool.listMachinesOf(names);
        for (int i = 0; i < passes; ++i) {
            pass(pool);
            BOOST_TEST(isRecoveryComplete(pool.state, pool.clock.now()) != hasSilentVm);
        }
        BOOST_TEST(pool.state.work.awaitedVms <= static_cast<std::uint64_t>(vms + passes));
    }
}

// A node looked at every job of its pools anew at each configuration, whichever queue had changed.
BOOST_AUTO_TEST_CASE(changedQueueCostsItsJobsNotAllJobs)
{
    constexpr int jobCount = 300;
    PoolFixture pool;
    auto& state = pool.state;
    std::vector<Queue> queues(2, state.queues.at("quotes"));
    queues[1].name = "renders";
    applyQueues(state, queues);
    pool.addVm(vmName(0), 16'000);
    for (int i = 0; i < jobCount; ++i) {
        auto job = shortJob(i);
        job.queue = i == 0 ? "renders" : "quotes";
        addJob(state, std::move(job), "", false);
    }
    pass(pool);
    pass(pool);
    state.work = {};
    queues[1].stretch = 3;
    applyQueues(state, queues);
    pass(pool);
    BOOST_TEST(state.work.jobUpdates == 1U);
    BOOST_TEST(state.work.loadUpdates == 1U);
    // The same configuration again, as after a failed request for changes.
    state.work = {};
    applyQueues(state, queues);
    pass(pool);
    BOOST_TEST(state.work.jobUpdates == 0U);
    BOOST_TEST(state.work.loadUpdates == 0U);
    // A dropped queue is a change too.
    queues.pop_back();
    applyQueues(state, queues);
    pass(pool);
    BOOST_TEST(state.work.jobUpdates == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
