/// \file
/// Tasks that a new holder starts, or must not start, while VMs that earlier holders used are silent.
#include "pool_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

/// A pool after two takeovers. VMs v1 and v2 report; v3 is silent and may have run anything.
struct SilentVmFixture : PoolFixture {
    std::uint64_t ends = 0;

    SilentVmFixture()
    {
        state.term = 2;
        state.recoveryDeadline = recoveryDeadlineAfter(state.limits, clock.now());
        listMachinesOf({ "v1", "v2", "v3" });
        for (const auto* vm : { "v1", "v2", "v3" })
            addVm(vm, 16'000, "r1", false);
    }

    /// Adds a recovered job of \p steps that follow each other.
    void submitChain(std::vector<StepSpec> steps)
    {
        for (std::size_t i = 1; i < steps.size(); ++i)
            steps[i].after = { static_cast<int>(i) - 1 };
        submit("j1", std::move(steps), true);
    }

    static TaskId taskOf(int step) { return { "j1", 0, step, 0 }; }

    void reportRun(const std::string& vm, int step, std::uint32_t run)
    {
        auto out = makeReport();
        out.running.push_back({ taskOf(step), run, "", 50, 0 });
        applyReport(state, vm, out, clock.now(), clock.now());
    }

    void reportEnd(const std::string& vm, int step, std::uint32_t run, EndKind kind = EndKind::Done)
    {
        auto out = makeReport();
        out.ended.push_back({ ++ends, taskOf(step), run, kind, "" });
        applyReport(state, vm, out, clock.now(), clock.now());
    }

private:
    VmReport makeReport() const
    {
        VmReport out;
        out.vmClock = std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch());
        out.bootTime = 1;
        return out;
    }
};

StepSpec speculativeStep()
{
    auto out = PoolFixture::makeStep(1);
    out.speculative = true;
    return out;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(takeover_start, SilentVmFixture)

// An earlier holder had heard the end of one run of a copied task, and had started the next step on v3. The
// new holder saw the other run still listed, took the step for one that nobody had started, and started it
// again.
BOOST_AUTO_TEST_CASE(stepAfterACopiedTaskIsNotStartedAgainAfterATakeover)
{
    submitChain({ speculativeStep(), makeStep(1) });
    reportRun("v1", 0, 2);
    reportEnd("v2", 0, 1);
    BOOST_TEST(starts().empty());
    advance(100ms);
    reportEnd("v1", 0, 2, EndKind::Stopped);
    BOOST_TEST(starts().empty());
}

// The first holder heard the end of the predecessor, and started the next step on v3. That end was lost with
// its VM, so the second holder started the predecessor again. The third one saw that run listed.
BOOST_AUTO_TEST_CASE(stepAfterATaskThatRanAgainIsNotStartedAgainAfterTwoTakeovers)
{
    submitChain({ makeStep(1), makeStep(1) });
    const auto secondRun = runNumberBase(1) + 1;
    reportRun("v1", 0, secondRun);
    advance(100ms);
    reportEnd("v1", 0, secondRun);
    BOOST_TEST(starts().empty());
    reportEmpty("v2");
    BOOST_TEST(starts().empty());
    reportEnd("v3", 1, 1);
    BOOST_TEST(starts().empty());
    BOOST_TEST((state.jobs.at("j1").state == JobState::Completed));
}

// The listed first run was a start that an earlier holder had given up. That holder had heard the end of the
// run after it, and had started the next step on v3.
BOOST_AUTO_TEST_CASE(stepAfterATaskWithALaterRunIsNotStartedAgainAfterATakeover)
{
    submitChain({ makeStep(1), makeStep(1) });
    reportRun("v1", 0, 1);
    reportEnd("v2", 0, 2);
    BOOST_TEST(starts().empty());
}

// Steps whose predecessors no earlier holder can have finished waited for the silent VM.
BOOST_AUTO_TEST_CASE(stepsAfterAFirstRunDoNotWaitForASilentVm)
{
    submitChain({ makeStep(1), speculativeStep(), makeStep(1) });
    reportRun("v1", 0, 1);
    advance(100ms);
    reportEnd("v1", 0, 1);
    for (int step = 1; step <= 2; ++step) {
        const auto next = startAndAccept();
        BOOST_REQUIRE(next.size() == 1u);
        BOOST_TEST(next[0].command.task.step == step);
        advance(100ms);
        report(next[0].vm);
        report(next[0].vm, { makeEnd(++ends, next[0]) });
    }
    BOOST_TEST((state.jobs.at("j1").state == JobState::Completed));
}

BOOST_AUTO_TEST_SUITE_END()
