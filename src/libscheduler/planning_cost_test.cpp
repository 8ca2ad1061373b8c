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

/// What a pool has beside its full VMs.
enum class Beside {
    Nothing,
    VmWithoutMemory, ///< with CPU that no task can use
    QuarantinedVm,
    SmallVm, ///< with a little less CPU than the smallest task needs
    SpreadTasks, ///< of the jobs, every other one allows one task per VM
    Organisations, ///< that share the pool
};

/// A VM whose memory a long-running task uses up.
void addVmWithoutMemory(PoolFixture& pool)
{
    pool.addVm("xlarge", 16'000, "r2");
    auto step = PoolFixture::makeStep(1);
    step.need.memoryMb = pool.state.vms.at("xlarge").entry.capacity.memoryMb;
    step.longRunning = true;
    step.requiredLabel = "r2";
    pool.submit("serving", { step });
}

constexpr int organisationCount = 20;

void add(PoolFixture& pool, Beside beside)
{
    std::map<std::string, Organisation, std::less<>> organisations;
    switch (beside) {
    case Beside::VmWithoutMemory:
        return addVmWithoutMemory(pool);
    case Beside::QuarantinedVm:
        pool.addVm("xquarantined", 16'000);
        pool.state.vms.at("xquarantined").quarantinedUntil = pool.clock.now() + 1h;
        return;
    case Beside::SmallVm:
        return pool.addVm("xsmall", 990);
    case Beside::Organisations:
        for (int i = 0; i < organisationCount; ++i) {
            const auto name = "o" + std::to_string(i);
            organisations[name] = { name, {}, i % 2, 1.0 + i, {} };
        }
        return applyOrganisations(pool.state.shares, organisations);
    case Beside::SpreadTasks:
    case Beside::Nothing:
        return;
    }
}

JobSpec nextJob(int number, Beside beside)
{
    auto job = shortJob(number);
    if (beside == Beside::SpreadTasks && number % 2 == 0)
        job.steps.front().maxPerVm = 1;
    if (beside == Beside::Organisations)
        job.organisation = "o" + std::to_string(number % organisationCount);
    return job;
}

/// Cost of planning in a pool of full VMs with a backlog. At any scale the same number of runs ends.
Cost costOfBusyPool(int scale, Beside beside)
{
    constexpr int rounds = 200;
    constexpr int changingVms = 20;
    constexpr std::size_t endsPerReport = 3;
    PoolFixture pool;
    const int vms = changingVms * scale;
    int jobs = 0;
    for (int i = 0; i < vms; ++i)
        pool.addVm(vmName(i), 16'000);
    add(pool, beside);
    for (; jobs < vms * 5; ++jobs)
        addJob(pool.state, nextJob(jobs, beside), "", false);
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
            addJob(pool.state, nextJob(jobs++, beside), "", false);
        cost.starts += pass(pool);
    }
    cost.work = pool.state.work;
    return cost;
}

// On the large deployment each pass walked all VMs and jobs, so a holder with a backlog and many VMs started
// fewer tasks a second than one with few.
void checkCostOfStarts(Beside beside)
{
    constexpr double tolerance = 1.25;
    const auto small = costOfBusyPool(1, beside);
    const auto large = costOfBusyPool(10, beside);
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

BOOST_AUTO_TEST_CASE(planningCostsWhatChangesNotWhatIsThere) { checkCostOfStarts(Beside::Nothing); }

BOOST_AUTO_TEST_CASE(freeCpuWithoutMemoryCostsNothing) { checkCostOfStarts(Beside::VmWithoutMemory); }

BOOST_AUTO_TEST_CASE(quarantinedVmCostsNothing) { checkCostOfStarts(Beside::QuarantinedVm); }

BOOST_AUTO_TEST_CASE(vmWithAlmostEnoughCpuCostsNothing) { checkCostOfStarts(Beside::SmallVm); }

BOOST_AUTO_TEST_CASE(sharesOfOrganisationsCostWhatChanges) { checkCostOfStarts(Beside::Organisations); }

BOOST_AUTO_TEST_CASE(spreadTasksAreNotPlannedInEachPassWithoutRoom)
{
    checkCostOfStarts(Beside::SpreadTasks);
}

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

// The largest VM left the pool, and the index of all waiting steps was computed anew.
BOOST_FIXTURE_TEST_CASE(newLargestVmChangesNoWaitingStep, PoolFixture)
{
    addVm("v1", 8'000);
    addVm("v2", 4'000);
    for (int i = 0; i < 50; ++i)
        addJob(state, shortJob(i), "", false);
    starts();
    updateLoadSums(state, wallNow);
    starts();
    state.work = {};
    markUnresponsive(state, "v1");
    updateLoadSums(state, wallNow);
    BOOST_REQUIRE(state.work.loadUpdates >= 50U);
    starts();
    BOOST_TEST(state.work.jobUpdates == 0U);
}

// Each visit of a silent VM led to another pass at once.
BOOST_FIXTURE_TEST_CASE(silentVmIsNotVisitedInEachPass, PoolFixture)
{
    addVm("v1");
    state.earlierStartsUntil = clock.now() + 1h;
    markUnresponsive(state, "v1");
    advance(1min);
    for (int i = 0; i < 2; ++i)
        expireLeases(state, takeVmVisits(state, clock.now()), clock.now());
    BOOST_REQUIRE(state.vms.at("v1").hasLeaseExpired);
    BOOST_TEST(takeVmVisits(state, clock.now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()
