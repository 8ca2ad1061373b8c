/// The decision whether a task waits for its rack, and the room that a rack is expected to have.
#include <damaskworks/locality_wait.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

using enum LocalityChoice;
using enum LocalityReason;

/// A task of 1.4 s that takes twice as long elsewhere, with room in its rack in 0.3 s.
LocalityQuestion makeQuestion()
{
    LocalityQuestion out;
    out.untilRoom = 300ms;
    out.runTime = 1400ms;
    out.farSlowdown = 2;
    out.untilLate = 5s;
    out.untilOverdue = 15s;
    out.maxWait = 1s;
    return out;
}

const TimePoint start { 1h };
const Resources taskNeed { 1000, 100, 0 };

RackVm fullVm(std::vector<milliseconds> ends)
{
    RackVm out { { 0, 10'000, 0 }, {}, 100 };
    for (const auto end : ends)
        out.ends.push_back({ start + end, taskNeed });
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(locality_wait)

BOOST_AUTO_TEST_CASE(waitsForRoomThatComesSooner)
{
    BOOST_TEST((decideLocality(makeQuestion()) == LocalityDecision { Wait, Sooner }));
}

BOOST_AUTO_TEST_CASE(goesElsewhereWhenTheWaitIsNotShorter)
{
    auto question = makeQuestion();
    question.maxWait = 10s;
    question.untilRoom = 1400ms;
    BOOST_TEST((decideLocality(question) == LocalityDecision { Elsewhere, NotSooner }));
    question.farSlowdown = 3;
    BOOST_TEST((decideLocality(question) == LocalityDecision { Wait, Sooner }));
    question.runTime = 0ms;
    BOOST_TEST((decideLocality(question) == LocalityDecision { Elsewhere, NotSooner }));
}

BOOST_AUTO_TEST_CASE(goesElsewhereWithoutExpectedRoom)
{
    auto question = makeQuestion();
    question.untilRoom.reset();
    BOOST_TEST((decideLocality(question) == LocalityDecision { Elsewhere, NoRoomExpected }));
}

BOOST_AUTO_TEST_CASE(keepsTheBoundOfAllWaits)
{
    auto question = makeQuestion();
    question.waited = 700ms;
    BOOST_TEST((decideLocality(question) == LocalityDecision { Elsewhere, Bound }));
}

BOOST_AUTO_TEST_CASE(objectiveDecidesWhatMayBeRisked)
{
    auto question = makeQuestion();
    // Elsewhere the job ends just in time, if it starts now.
    question.untilLate = 1500ms;
    BOOST_TEST((decideLocality(question) == LocalityDecision { Elsewhere, Objective }));
    // Only the rack ends in time.
    question.untilLate = 1300ms;
    BOOST_TEST((decideLocality(question) == LocalityDecision { Wait, Sooner }));
    // Late in any case, and elsewhere almost overdue.
    question.untilLate = 100ms;
    question.untilOverdue = 1500ms;
    BOOST_TEST((decideLocality(question) == LocalityDecision { Elsewhere, Objective }));
    // Overdue in any case: the run in the rack takes less of the pool.
    question.untilOverdue = -10s;
    BOOST_TEST((decideLocality(question) == LocalityDecision { Wait, Sooner }));
}

BOOST_AUTO_TEST_CASE(neverWaitsLongerThanItPays)
{
    BOOST_TEST(rc::check([] {
        const auto draw = [](int from, int to) { return milliseconds(*rc::gen::inRange(from, to)); };
        LocalityQuestion question;
        question.untilRoom = draw(0, 5000);
        question.runTime = draw(0, 5000);
        question.farSlowdown = 1 + *rc::gen::inRange(0, 30) / 10.0;
        question.untilLate = draw(-5000, 10'000);
        question.untilOverdue = question.untilLate + draw(0, 10'000);
        question.waited = draw(0, 3000);
        question.maxWait = draw(0, 2000);
        if (decideLocality(question).choice == Elsewhere)
            return;
        RC_ASSERT(question.waited + *question.untilRoom <= question.maxWait);
        const auto farTime = question.runTime * question.farSlowdown;
        RC_ASSERT(*question.untilRoom + question.runTime < farTime);
        // A job that would be in time from elsewhere still is after the wait.
        const auto loss = farTime - question.runTime;
        for (const auto boundary : { question.untilLate, question.untilOverdue }) {
            if (loss > boundary)
                continue;
            RC_ASSERT(*question.untilRoom + loss <= boundary + 1ms);
            break;
        }
    }));
}

BOOST_AUTO_TEST_CASE(progressAndEstimateTellTheEnd)
{
    const auto now = start + 600ms;
    BOOST_TEST((expectedEnd({ 1000ms, start, 0, {} }, now) == start + 1000ms));
    // Half done after 500 ms, as estimated.
    BOOST_TEST((expectedEnd({ 1000ms, start, 50, start + 500ms }, now) == start + 1000ms));
    // A straggler: a tenth done after 500 ms.
    BOOST_TEST((expectedEnd({ 1000ms, start, 10, start + 500ms }, now) == start + 5s));
    // Past its estimate: as long again.
    BOOST_TEST((expectedEnd({ 400ms, start, 0, {} }, now) == start + 800ms));
    BOOST_TEST((expectedEnd({ 599ms, start, 0, {} }, now) > now));
}

BOOST_AUTO_TEST_CASE(roomIsThatOfTheFirstVm)
{
    const std::vector rack { fullVm({ 800ms, 900ms }), fullVm({ 300ms, 2s }) };
    const auto room = findEarliestRoom(rack, taskNeed, start);
    BOOST_REQUIRE(room.has_value());
    BOOST_TEST(room->vm == 1);
    BOOST_TEST((room->in == 300ms));
    const auto larger = findEarliestRoom(rack, { 2000, 100, 0 }, start);
    BOOST_REQUIRE(larger.has_value());
    BOOST_TEST((larger->in == 900ms));
    BOOST_TEST(!findEarliestRoom(rack, { 3000, 100, 0 }, start).has_value());
    BOOST_TEST(!findEarliestRoom({}, taskNeed, start).has_value());
}

BOOST_AUTO_TEST_CASE(groupWaitsForItsLastTask)
{
    const std::vector rack { fullVm({ 800ms, 900ms }), fullVm({ 300ms, 1500ms }) };
    const auto roomFor = [&](int count, GroupKind kind, milliseconds runTime) {
        return findGroupRoom(rack, taskNeed, count, kind, runTime, start);
    };
    using enum GroupKind;
    BOOST_TEST((roomFor(1, Together, 1s) == 300ms));
    BOOST_TEST((roomFor(3, Together, 1s) == 900ms));
    BOOST_TEST((roomFor(4, Together, 1s) == 1500ms));
    BOOST_TEST(!roomFor(5, Together, 1s).has_value());
    // The third task follows the first, which ends at 0.5 s.
    BOOST_TEST((roomFor(3, InTurn, 200ms) == 700ms));
    BOOST_TEST((roomFor(5, InTurn, 200ms) == 900ms));
    BOOST_TEST(countOpenings(rack, taskNeed, 10) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
