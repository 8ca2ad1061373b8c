#include "model_world.h"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

using namespace damask;
using namespace damask::jobs;
using namespace std::chrono_literals;

namespace {

constexpr int settleRounds = 60;
const std::vector<std::string> priorities { "urgent", "normal", "low" };

/// One step of the world: what happens, and a number that it may use.
struct Step {
    unsigned kind;
    unsigned number;
};

[[maybe_unused]] void showValue(const Step& step, std::ostream& out)
{
    out << step.kind << ":" << step.number;
}

/// Each name is a class of its own, so that declared sizes are what is reserved.
std::string jobName(unsigned number) { return "job-" + std::to_string(number) + "-x"; }

enum Kind : unsigned {
    Declare,
    Plan,
    PlanAndHoldBack,
    FailCommits,
    Report,
    EndTask,
    Deliver,
    TakeOver,
    Reboot,
    Cancel,
    Advance
};

/// Kinds by how often they come.
const std::vector<unsigned> kinds { Declare, Declare, Plan, Plan, Plan, Plan, PlanAndHoldBack,
    PlanAndHoldBack, FailCommits, Report, Report, Report, EndTask, Deliver, Deliver, TakeOver, Reboot, Cancel,
    Advance, Advance };

/// Carries a step out; declares the next job where the step asks for one.
void carryOut(model::World& world, const Step& step, unsigned& jobs)
{
    switch (step.kind) {
    case Declare:
        world.declare(jobName(jobs), 1 + step.number % 4, priorities[step.number % 3]);
        ++jobs;
        return;
    case Plan:
        return world.plan(0, false);
    case PlanAndHoldBack:
        return world.plan(step.number, false);
    case FailCommits:
        return world.plan(0, true);
    case Report:
        return world.refreshReports();
    case EndTask:
        return world.endTask(step.number);
    case Deliver:
        return world.deliverHeldBack(step.number);
    case TakeOver:
        return world.takeOver();
    case Reboot:
        return world.reboot(step.number);
    case Cancel:
        if (jobs > 0)
            world.cancel(jobName(step.number % jobs));
        return;
    default:
        return world.advance(1s * (step.number % 8));
    }
}

std::vector<Step> steps()
{
    constexpr std::size_t stepsPerRun = 300;
    const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0u, 1000u));
    const auto step = rc::gen::construct<Step>(rc::gen::elementOf(kinds), number);
    return *rc::gen::container<std::vector<Step>>(stepsPerRun, step);
}

void requireNone(const std::vector<std::string>& violations)
{
    if (!violations.empty())
        RC_FAIL(violations.front());
}

bool isFinal(const std::string& phase)
{
    return phase == "succeeded" || phase == "failed" || phase == "cancelled";
}

} // namespace

BOOST_AUTO_TEST_CASE(noJobRunsTwiceAndLimitsHoldAndAllEnd)
{
    BOOST_TEST(rc::check("no job runs twice, capacity and quotas hold, all jobs end", [] {
        model::World world;
        unsigned jobs = 0;
        for (const auto& step : steps()) {
            carryOut(world, step, jobs);
            requireNone(world.violations());
        }
        world.settle(settleRounds);
        requireNone(world.violations());
        for (unsigned job = 0; job < jobs; ++job)
            RC_ASSERT(isFinal(world.phase(jobName(job))));
    }));
}

BOOST_AUTO_TEST_CASE(impossibleJobsBlockNothing)
{
    BOOST_TEST(rc::check("impossible jobs say so at once and the rest finishes", [] {
        model::World world;
        const auto count = *rc::gen::inRange(1u, 12u);
        for (unsigned job = 0; job < count; ++job)
            world.declare(jobName(job), job % 2 ? 1 : 5 + job, job % 2 ? "low" : "urgent");
        world.plan(0, false);
        for (unsigned job = 0; job < count; job += 2)
            RC_ASSERT(world.phase(jobName(job)) == "unschedulable");
        world.settle(settleRounds);
        for (unsigned job = 1; job < count; job += 2)
            RC_ASSERT(world.phase(jobName(job)) == "succeeded");
    }));
}

BOOST_AUTO_TEST_CASE(badWorkerIsSetAsideAndBadJobsAreNot)
{
    BOOST_TEST(rc::check("a bad worker is told from a bad job", [] {
        model::World world;
        const auto bad = *rc::gen::inRange(0u, 4u);
        const auto badJob = *rc::gen::inRange(0u, 10u);
        world.worker(bad).failsAll = true;
        for (unsigned job = 0; job < 10; ++job)
            world.declare(jobName(job), 1, "normal", job == badJob);
        world.settle(settleRounds);
        for (unsigned job = 0; job < 10; ++job)
            RC_ASSERT(world.phase(jobName(job)) == (job == badJob ? "failed" : "succeeded"));
        for (unsigned vm = 0; vm < 4; ++vm) {
            const auto& worker = world.scratch().state.workers.at("vm-" + std::to_string(vm));
            RC_ASSERT(vm == bad || worker.quarantinedUntil == TimePoint {});
        }
    }));
}

BOOST_AUTO_TEST_CASE(wavesOfCancellationsEndInBoundedTime)
{
    BOOST_TEST(rc::check("all cancelled jobs end within a few rounds", [] {
        model::World world;
        const auto count = *rc::gen::inRange(1u, 200u);
        for (unsigned job = 0; job < count; ++job)
            world.declare(jobName(job), 1, priorities[job % 3]);
        world.plan(*rc::gen::inRange(0u, 1024u), false);
        world.plan(*rc::gen::inRange(0u, 1024u), false);
        for (unsigned job = 0; job < count; ++job)
            world.cancel(jobName(job));
        for (int round = 0; round < 8; ++round) {
            world.advance(1s);
            world.refreshReports();
            world.plan(0, false);
        }
        for (unsigned job = 0; job < count; ++job)
            RC_ASSERT(world.phase(jobName(job)) == "cancelled");
    }));
}
