/// Steps that only VMs with a ticket of the advice service may run.
#include "pool_fixture_test.h"

#include <damaskworks/step_advice.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

struct Advised : PoolFixture {
    Advised()
    {
        state.queues.at("quotes").advice = AdviceTerms { 20ms, 2ms, 3000ms };
        for (const auto* vm : { "v1", "v2", "v3" })
            addVm(vm);
    }

    /// Answers the next question: each VM named gets a ticket of its own.
    std::vector<std::string> answer(const std::vector<std::string>& allowed)
    {
        const auto question = planAdvice(state, clock.now());
        BOOST_REQUIRE(question);
        Advice advice { {}, 3000ms };
        for (const auto& vm : allowed)
            advice.tickets[vm] = "t-" + vm;
        applyAdvice(state, *question, advice, clock.now());
        return question->vms;
    }

    bool asks() { return planAdvice(state, clock.now()).has_value(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(step_advice, Advised)

BOOST_AUTO_TEST_CASE(nothingStartsWithoutATicket)
{
    submit("j1", { step(2) });
    BOOST_TEST(starts().empty());
    const auto question = planAdvice(state, clock.now());
    BOOST_REQUIRE(question);
    BOOST_TEST(toString(question->step) == "j1.0.0");
    BOOST_TEST(question->vms.size() == 3u);
    BOOST_TEST((question->expected == 26ms));
    BOOST_TEST(starts().empty());
    BOOST_TEST(!asks()); // one question about a step at a time
}

BOOST_AUTO_TEST_CASE(allTasksRunOnTheVmsThatMayRunThem)
{
    submit("j1", { step(6) });
    starts();
    answer({ "v2" });
    const auto started = run();
    BOOST_REQUIRE(started.size() == 4u); // as many as fit there
    for (const auto& start : started) {
        BOOST_TEST(start.vm == "v2");
        BOOST_TEST(start.order.ticket == "t-v2");
    }
    // The others may never run the step, so they are not asked about again.
    BOOST_TEST(!asks());
    addVm("v4");
    starts();
    BOOST_TEST(answer({ "v4" }) == std::vector<std::string> { "v4" }, boost::test_tools::per_element());
    BOOST_TEST(run().size() == 2u);
}

BOOST_AUTO_TEST_CASE(ticketThatHasExpiredIsAskedForAgain)
{
    submit("j1", { step(5) });
    starts();
    answer({ "v2" });
    const auto started = run();
    BOOST_REQUIRE(started.size() == 4u);
    advance(2950ms); // too close to the ticket's end for an order's way
    report("v2", { end(1, started[0]) });
    BOOST_TEST(starts().empty());
    BOOST_TEST(answer({ "v2" }) == std::vector<std::string> { "v2" }, boost::test_tools::per_element());
    BOOST_TEST(run().size() == 1u);
}

BOOST_AUTO_TEST_CASE(rejectedTicketIsAskedForAgain)
{
    submit("j1", { step(1) });
    starts();
    answer({ "v1" });
    const auto started = starts();
    BOOST_REQUIRE(started.size() == 1u);
    // The VM has been restarted, which voids its tickets.
    applyStartOutcome(
        state, "v1", started[0].order.task, started[0].order.run, OrderOutcome::BadTicket, clock.now());
    BOOST_TEST(starts().empty());
    BOOST_TEST(answer({ "v1" }) == std::vector<std::string> { "v1" }, boost::test_tools::per_element());
    BOOST_TEST(starts().size() == 1u);
}

BOOST_AUTO_TEST_CASE(questionWithoutAnAnswerIsRepeatedAfterAPause)
{
    submit("j1", { step(1) });
    starts();
    const auto question = planAdvice(state, clock.now());
    applyAdvice(state, *question, tl::make_unexpected(OrderOutcome::Refused), clock.now());
    BOOST_TEST(!asks());
    advance(250ms);
    BOOST_TEST(asks());
}

BOOST_AUTO_TEST_CASE(moreVmsAreAskedAboutWhenThoseAllowedAreFull)
{
    for (int i = 10; i < 50; ++i)
        addVm("w" + std::to_string(i));
    submit("j1", { step(60) });
    starts();
    const auto first = answer({ "v1", "w10" });
    BOOST_TEST(first.size() == 30u);
    const auto ran = run();
    BOOST_TEST(!ran.empty());
    BOOST_TEST(answer({}).size() == 13u);
    BOOST_TEST(!asks());
}

BOOST_AUTO_TEST_CASE(gangWaitsForTicketsForAllItsMembers)
{
    auto gang = step(2, 3000);
    gang.gang = true;
    submit("j1", { gang });
    starts();
    answer({ "v1" });
    BOOST_TEST(starts().empty());
    addVm("v4");
    starts();
    answer({ "v4" });
    BOOST_TEST(starts().size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()
