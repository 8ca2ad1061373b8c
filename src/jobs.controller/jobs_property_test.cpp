#include "model_world.h"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

using namespace damask;
using namespace damask::jobs;
using namespace std::chrono_literals;

namespace {

constexpr int recoveryRounds = 60;
const std::vector<std::string> priorities { "urgent", "normal", "low" };

/// One event of a generated history. Kinds that need a parameter take it from \p argument.
struct Step {
    unsigned kind;
    unsigned argument;
};

[[maybe_unused]] void showValue(const Step& step, std::ostream& out)
{
    out << step.kind << ":" << step.argument;
}

/// Name of a generated job. Names that differ only in the number at the end share one estimate of their use;
/// the suffix prevents that, so that the planner reserves the declared sizes.
std::string jobName(unsigned number) { return "job-" + std::to_string(number) + "-x"; }

enum StepKind : unsigned {
    Declare,
    Plan,
    PlanAndDelayCommands,
    FailCommits,
    RefreshReports,
    EndTask,
    DeliverDelayedCommand,
    ReplaceHolder,
    Reboot,
    Cancel,
    Advance
};

/// Each kind is listed as often as its weight.
const std::vector<unsigned> weightedStepKinds { Declare, Declare, Plan, Plan, Plan, Plan,
    PlanAndDelayCommands, PlanAndDelayCommands, FailCommits, RefreshReports, RefreshReports, RefreshReports,
    EndTask, DeliverDelayedCommand, DeliverDelayedCommand, ReplaceHolder, Reboot, Cancel, Advance, Advance };

/// Executes a step. \p jobCount is the number of jobs declared so far.
void applyStep(model::World& world, const Step& step, unsigned& jobCount)
{
    switch (step.kind) {
    case Declare:
        world.declare(jobName(jobCount), 1 + step.argument % 4, priorities[step.argument % 3]);
        ++jobCount;
        return;
    case Plan:
        return world.plan(0, false);
    case PlanAndDelayCommands:
        return world.plan(step.argument, false);
    case FailCommits:
        return world.plan(0, true);
    case RefreshReports:
        return world.refreshTaskReports();
    case EndTask:
        return world.endTask(step.argument);
    case DeliverDelayedCommand:
        return world.deliverDelayedCommand(step.argument);
    case ReplaceHolder:
        return world.replaceHolder();
    case Reboot:
        return world.reboot(step.argument);
    case Cancel:
        if (jobCount > 0)
            world.cancel(jobName(step.argument % jobCount));
        return;
    default:
        return world.advance(1s * (step.argument % 8));
    }
}

std::vector<Step> generateSteps()
{
    constexpr std::size_t stepsPerRun = 300;
    const auto argument = rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0u, 1000u));
    const auto step = rc::gen::construct<Step>(rc::gen::elementOf(weightedStepKinds), argument);
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

BOOST_AUTO_TEST_CASE(jobsRunOnceWithinLimitsAndAllEnd)
{
    BOOST_TEST(rc::check("no job runs twice, capacity and quotas hold, all jobs end", [] {
        model::World world;
        unsigned jobCount = 0;
        for (const auto& step : generateSteps()) {
            applyStep(world, step, jobCount);
            requireNone(world.violations());
        }
        world.runWithoutFaults(recoveryRounds);
        requireNone(world.violations());
        for (unsigned job = 0; job < jobCount; ++job)
            RC_ASSERT(isFinal(world.phase(jobName(job))));
    }));
}

BOOST_AUTO_TEST_CASE(unschedulableJobsDoNotBlockOthers)
{
    BOOST_TEST(rc::check("jobs that fit nowhere become unschedulable at once and the others succeed", [] {
        model::World world;
        const auto count = *rc::gen::inRange(1u, 12u);
        for (unsigned job = 0; job < count; ++job)
            world.declare(jobName(job), job % 2 ? 1 : 5 + job, job % 2 ? "low" : "urgent");
        world.plan(0, false);
        for (unsigned job = 0; job < count; job += 2)
            RC_ASSERT(world.phase(jobName(job)) == "unschedulable");
        world.runWithoutFaults(recoveryRounds);
        for (unsigned job = 1; job < count; job += 2)
            RC_ASSERT(world.phase(jobName(job)) == "succeeded");
    }));
}

BOOST_AUTO_TEST_CASE(failingWorkerIsDistinguishedFromFailingJob)
{
    BOOST_TEST(rc::check("a failing worker is distinguished from a failing job", [] {
        model::World world;
        const auto failingWorker = *rc::gen::inRange(0u, 4u);
        const auto failingJob = *rc::gen::inRange(0u, 10u);
        world.worker(failingWorker).failsAllTasks = true;
        for (unsigned job = 0; job < 10; ++job)
            world.declare(jobName(job), 1, "normal", job == failingJob);
        world.runWithoutFaults(recoveryRounds);
        for (unsigned job = 0; job < 10; ++job)
            RC_ASSERT(world.phase(jobName(job)) == (job == failingJob ? "failed" : "succeeded"));
        for (unsigned vm = 0; vm < 4; ++vm) {
            const auto& worker = world.plannerState().placementState.workers.at("vm-" + std::to_string(vm));
            RC_ASSERT(vm == failingWorker || worker.quarantinedUntil == TimePoint {});
        }
    }));
}

BOOST_AUTO_TEST_CASE(manyCancellationsCompleteWithinBoundedRounds)
{
    BOOST_TEST(rc::check("all cancelled jobs end within 8 rounds", [] {
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
            world.refreshTaskReports();
            world.plan(0, false);
        }
        for (unsigned job = 0; job < count; ++job)
            RC_ASSERT(world.phase(jobName(job)) == "cancelled");
    }));
}
