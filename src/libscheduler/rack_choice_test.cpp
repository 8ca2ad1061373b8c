/// Placement of tasks with a preferred rack and of groups that share one, in a pool under load.
#include "pool_fixture_test.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

/// Racks r1 and r2 with VMs of four tasks each, and r3 far larger. Tasks take 1.4 s, and 2.8 s outside.
struct RackFixture : PoolFixture {
    RackFixture()
    {
        state.limits.farSlowdown = 2;
        state.queues.begin()->second.latencyTarget = 4s;
        addVm("a1", 4000, "r1");
        addVm("b1", 4000, "r2");
        for (int i = 0; i < 10; ++i)
            addVm("c" + std::to_string(i), 4000, "r3");
    }

    static StepSpec taskStep(int count)
    {
        auto out = makeStep(count);
        out.estimate = 1400ms;
        return out;
    }

    static StepSpec dataStep(int count, const std::string& rack = "r1")
    {
        auto out = taskStep(count);
        out.preferredRack = rack;
        return out;
    }

    static StepSpec groupStep(int count, bool isGang)
    {
        auto out = taskStep(count);
        out.sameRack = true;
        out.gang = isGang;
        return out;
    }

    /// Fills a VM with runs that began \p ago.
    void fill(const std::string& vm, milliseconds ago, int count = 4)
    {
        auto step = taskStep(count);
        step.requiredLabel = vm;
        auto entry = state.vms.at(vm).entry;
        entry.labels.push_back(vm);
        listVm(state, entry);
        submit("fill-" + vm, { step });
        BOOST_TEST(startAndAccept().size() == static_cast<std::size_t>(count));
        advance(ago);
    }

    /// Racks of the VMs of these starts.
    std::multiset<std::string> racksOf(const std::vector<StartAction>& starts) const
    {
        std::multiset<std::string> out;
        for (const auto& start : starts)
            out.insert(state.vms.at(start.vm).entry.rack);
        return out;
    }

    /// Ends all runs on the VM.
    void endRuns(const std::string& vm)
    {
        std::vector<EndReport> ends;
        auto number = state.vms.at(vm).applied;
        for (const auto& id : state.vms.at(vm).runs)
            ends.push_back({ ++number, id, findTask(state, id)->run->number, EndKind::Done, "" });
        report(vm, ends);
    }

    std::map<LocalityReason, int> reasons() const
    {
        std::map<LocalityReason, int> out;
        for (const auto& placement : state.localityPlacements) {
            if (placement.reason)
                ++out[*placement.reason];
        }
        return out;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(rack_choice, RackFixture)

BOOST_AUTO_TEST_CASE(taskWaitsForRoomThatComesSoon)
{
    fill("a1", 1100ms);
    submit("job", { dataStep(1) });
    BOOST_TEST(starts().empty());
    advance(300ms);
    endRuns("a1");
    BOOST_TEST((racksOf(starts()) == std::multiset<std::string> { "r1" }));
    const auto& placement = state.localityPlacements.back();
    BOOST_TEST((placement.place == LocalityPlace::InRack));
    BOOST_TEST((placement.waited == 300ms));
}

BOOST_AUTO_TEST_CASE(taskGoesElsewhereWhenTheRoomComesTooLate)
{
    fill("a1", 0ms);
    submit("job", { dataStep(1) });
    BOOST_TEST((racksOf(starts()) == std::multiset<std::string> { "r2" }));
    BOOST_TEST((reasons() == std::map<LocalityReason, int> { { LocalityReason::NotSooner, 1 } }));
    BOOST_TEST((state.localityPlacements.back().place == LocalityPlace::Elsewhere));
}

BOOST_AUTO_TEST_CASE(ofAHotRackFewWaitAndMostGoElsewhereAtOnce)
{
    fill("a1", 1100ms);
    for (int i = 0; i < 8; ++i)
        submit("job" + std::to_string(i), { dataStep(4) });
    const auto started = startAndAccept();
    // Four of 32 tasks wait for the four runs that are about to end.
    BOOST_TEST(started.size() == 28);
    BOOST_TEST(racksOf(started).count("r1") == 0);
    advance(300ms);
    endRuns("a1");
    const auto later = startAndAccept();
    BOOST_TEST(later.size() == 4);
    BOOST_TEST(racksOf(later).count("r1") == 4);
}

BOOST_AUTO_TEST_CASE(waitEndsAtItsBoundWhenTheRoomFailsToCome)
{
    fill("a1", 1100ms);
    submit("job", { dataStep(2) });
    const auto begin = clock.now();
    std::vector<StartAction> started;
    while (started.empty() && clock.now() < begin + 3s) {
        started = startAndAccept();
        advance(20ms);
    }
    BOOST_TEST(started.size() == 2);
    BOOST_TEST((clock.now() - begin <= state.limits.maxRackWait + 20ms));
    for (const auto& start : started)
        BOOST_TEST(findTask(state, start.command.task)->waitsForRackSince.time_since_epoch().count() == 0);
}

BOOST_AUTO_TEST_CASE(overdueJobStillWaitsNoLongerThanTheBound)
{
    fill("a1", 1100ms);
    submit("job", { dataStep(1) });
    wallNow += 1h;
    BOOST_TEST(starts().empty());
    advance(1000ms);
    BOOST_TEST((racksOf(starts()) == std::multiset<std::string> { "r2" }));
}

BOOST_AUTO_TEST_CASE(tasksLeaveALostRackAtOnce)
{
    fill("a1", 1100ms);
    submit("job", { dataStep(1) });
    BOOST_TEST(starts().empty());
    markUnresponsive(state, "a1");
    BOOST_TEST((racksOf(starts()) == std::multiset<std::string> { "r2" }));
    submit("gone", { dataStep(1, "r9") });
    BOOST_TEST(starts().size() == 1);
    BOOST_TEST(reasons()[LocalityReason::NoRoomExpected] == 2);
}

BOOST_AUTO_TEST_CASE(settingsWithoutASlowdownKeepTheFixedWait)
{
    state.limits.farSlowdown = 1;
    fill("a1", 1100ms);
    submit("job", { dataStep(1) });
    BOOST_TEST(starts().empty());
    advance(state.limits.preferredRackWait);
    BOOST_TEST((racksOf(starts()) == std::multiset<std::string> { "r2" }));
    BOOST_TEST(state.localityPlacements.empty());
}

BOOST_AUTO_TEST_CASE(groupTakesTheSmallestRackThatHoldsAllOfIt)
{
    submit("small", { groupStep(3, false) });
    const auto small = racksOf(startAndAccept());
    BOOST_TEST(small.size() == 3);
    BOOST_TEST(small.count("r3") == 0);
    BOOST_TEST(std::set(small.begin(), small.end()).size() == 1);
    submit("large", { groupStep(20, true) });
    BOOST_TEST(racksOf(startAndAccept()).count("r3") == 20);
}

BOOST_AUTO_TEST_CASE(gangWaitsForARackThatHoldsItSoon)
{
    for (int i = 0; i < 9; ++i)
        fill("c" + std::to_string(i), 0ms);
    advance(1100ms);
    // Nine tasks have room, but in three racks.
    submit("gang", { groupStep(9, true) });
    BOOST_TEST(starts().empty());
    advance(300ms);
    for (int i = 0; i < 9; ++i)
        endRuns("c" + std::to_string(i));
    BOOST_TEST(racksOf(startAndAccept()).count("r3") == 9);
}

BOOST_AUTO_TEST_CASE(gangSpreadsWhenNoRackHoldsItSoon)
{
    for (int i = 0; i < 9; ++i)
        fill("c" + std::to_string(i), 0ms);
    submit("gang", { groupStep(9, true) });
    const auto racks = racksOf(startAndAccept());
    BOOST_TEST(racks.size() == 9);
    BOOST_TEST(std::set(racks.begin(), racks.end()).size() > 1);
    BOOST_TEST(reasons()[LocalityReason::NotSooner] == 9);
}

BOOST_AUTO_TEST_CASE(gangWithoutRoomAnywhereHasNotWaitedForARack)
{
    submit("gang", { groupStep(60, true) });
    BOOST_TEST(starts().empty());
    BOOST_TEST((task("gang", 0, 0).waitsForRackSince == TimePoint {}));
}

BOOST_AUTO_TEST_CASE(restOfAGroupWaitsForItsRack)
{
    state.vms.at("b1").quarantinedUntil = clock.now() + 1h;
    for (int i = 0; i < 10; ++i)
        fill("c" + std::to_string(i), 0ms, i < 9 ? 4 : 0);
    advance(1100ms);
    submit("group", { groupStep(6, false) });
    // Four start in the rack that has room for all first; the others wait for it.
    BOOST_TEST(racksOf(startAndAccept()).count("r3") == 4);
    advance(300ms);
    endRuns("c0");
    BOOST_TEST(racksOf(startAndAccept()).count("r3") == 2);
}

namespace {

/// VMs looked at for each start of tasks whose rack is full, in a pool with so many other racks.
std::uint64_t choicesPerStart(int otherRacks)
{
    PoolFixture pool;
    pool.state.limits.farSlowdown = 2;
    const auto addRack = [&](const std::string& rack, std::int64_t cpu) {
        for (int i = 0; i < 12; ++i)
            pool.addVm(rack + "-" + std::to_string(i), cpu, rack);
    };
    addRack("hot", 500);
    for (int rack = 0; rack < otherRacks; ++rack)
        addRack("r" + std::to_string(rack), 4000);
    for (int i = 0; i < 20; ++i) {
        auto step = PoolFixture::makeStep(4);
        step.preferredRack = "hot";
        pool.submit("job" + std::to_string(i), { step });
    }
    return pool.startAndAccept().size() == 80 ? pool.state.work.vmChoices / 80 : 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(costOfAHotRackDoesNotGrowWithThePool)
{
    const auto few = choicesPerStart(4);
    BOOST_TEST(few > 0);
    BOOST_TEST(few < 40);
    BOOST_TEST(choicesPerStart(40) == few);
}

BOOST_AUTO_TEST_SUITE_END()
