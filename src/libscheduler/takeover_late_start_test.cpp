/// \file
/// A start that an earlier holder had given up is carried out late, and is listed to a new holder as the
/// task's first run. The earlier holder had started a second run, which ended as done.
#include "pool_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

/// A pool after a takeover. VM v1 had restarted under its id, unnoticed, before it got the start, so that the
/// lease end in it was far ahead on its clock. VM v2 is silent, and has the end of the second run.
struct LateStartFixture : PoolFixture {
    LateStartFixture()
    {
        state.term = 1;
        state.recoveryDeadline = recoveryDeadlineAfter(state.limits, clock.now());
        listMachinesOf({ "v1", "v2" });
        addVm("v1", 16'000, "r1", false);
        addVm("v2", 16'000, "r1", false);
    }

    /// Submits a chain of as many steps, lets v1 list the first run of the first one, and then its end.
    void listLateRun(int steps, EndKind kind)
    {
        std::vector<StepSpec> chain(static_cast<std::size_t>(steps), makeStep(1));
        for (int i = 1; i < steps; ++i)
            chain[static_cast<std::size_t>(i)].after = { i - 1 };
        submit("j1", std::move(chain), true);
        const TaskId first { "j1", 0, 0, 0 };
        VmReport report;
        report.vmClock = timeSinceBoot;
        report.bootTime = 1;
        report.running.push_back({ first, firstRunNumber, "", 50, 0 });
        applyReport(state, "v1", report, clock.now(), clock.now());
        advance(100ms);
        report.vmClock += 100ms;
        report.running.clear();
        report.ended.push_back({ 1, first, firstRunNumber, kind, "" });
        applyReport(state, "v1", report, clock.now(), clock.now());
    }

    static constexpr milliseconds timeSinceBoot { 10'000 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(takeover_late_start, LateStartFixture)

// The earlier holder had started the next step after the second run's end.
BOOST_AUTO_TEST_CASE(stepAfterALateFirstRunThatIsDoneIsNotStartedAgain)
{
    listLateRun(2, EndKind::Done);
    BOOST_TEST(starts().empty());
}

BOOST_AUTO_TEST_CASE(taskWithALateFirstRunIsNotStartedAgain)
{
    listLateRun(1, EndKind::LeaseExpired);
    BOOST_TEST(starts().empty());
}

BOOST_AUTO_TEST_SUITE_END()
