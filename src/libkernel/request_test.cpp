#include <algorithm>
#include <boost/test/unit_test.hpp>

#include <damaskworks/request.h>
#include <damaskworks/request_slots.h>

using namespace damask;
using namespace damask::request;
using namespace std::chrono_literals;
using Result = AttemptEnded::Result;

namespace {

struct Fixture {
    Fixture()
    {
        settings.queueLimit = 10;
        changePool({ { "vm-1", 1, 0, true } });
    }

    void changePool(const std::vector<Endpoint>& endpoints)
    {
        recordDispatches(decide(state, PoolChanged { "pricing", settings, endpoints }, now));
    }

    /// Ten endpoints with 8 slots each.
    std::vector<Endpoint> tenEndpoints() const
    {
        std::vector<Endpoint> endpoints;
        for (int index = 0; index < 10; ++index)
            endpoints.push_back({ "vm-" + std::to_string(index), 8, 0, true });
        return endpoints;
    }

    std::vector<Action> recordDispatches(std::vector<Action> actions)
    {
        for (const auto& action : actions) {
            if (const auto* dispatch = std::get_if<Dispatch>(&action))
                dispatches.push_back(*dispatch);
        }
        return actions;
    }

    std::vector<Action> arrive(RequestId id, Duration timeLeft = 1s, const std::string& caller = "a",
        bool urgent = false, bool idempotent = false)
    {
        return recordDispatches(
            decide(state, Arrived { id, "pricing", now + timeLeft, idempotent, urgent, caller }, now));
    }

    std::vector<Action> end(const Dispatch& dispatch, Result result, bool serverError = false)
    {
        return recordDispatches(
            decide(state, AttemptEnded { dispatch.id, result, dispatch.attempt, serverError }, now));
    }

    /// Serves one request on its own, so that the pool has a measured service time.
    void measureServiceTime(Duration serviceTime)
    {
        arrive(1'000'000 + dispatches.size(), 1h);
        now += serviceTime;
        end(dispatches.back(), Result::Answered);
    }

    std::vector<RequestId> serveAll()
    {
        std::vector<RequestId> order;
        for (std::size_t index = dispatches.size() - 1; index < dispatches.size(); ++index) {
            order.push_back(dispatches[index].id);
            end(Dispatch(dispatches[index]), Result::Answered);
        }
        return order;
    }

    Pool& pool() { return state.pools.at("pricing"); }

    State state;
    PoolSettings settings;
    TimePoint now { 1h };
    std::vector<Dispatch> dispatches;
};

Reply firstReply(const std::vector<Action>& actions)
{
    BOOST_REQUIRE(!actions.empty());
    return std::get<Reply>(actions.front());
}

} // namespace

BOOST_FIXTURE_TEST_CASE(requestIsDispatchedQueuedAndRefused, Fixture)
{
    settings.queueLimit = 1;
    changePool({ { "vm-1", 1, 0, true } });
    BOOST_TEST(std::holds_alternative<Dispatch>(arrive(1).at(0)));
    BOOST_TEST(arrive(2).empty());
    const auto refused = firstReply(arrive(3));
    BOOST_TEST((refused.outcome == Outcome::NotRun));
    BOOST_TEST((refused.reason == Reason::QueueFull));
    BOOST_TEST(refused.retryAfter.count() > 0);
    BOOST_TEST(end(dispatches.at(0), Result::Answered).size() == 2u);
}

BOOST_FIXTURE_TEST_CASE(requestThatMayHaveRunIsNotRetried, Fixture)
{
    arrive(1);
    BOOST_TEST((firstReply(end(dispatches.at(0), Result::Failed)).outcome == Outcome::Unknown));
}

BOOST_FIXTURE_TEST_CASE(refusedAtOnceWhenDeadlineCannotBeMet, Fixture)
{
    measureServiceTime(100ms);
    arrive(1);
    arrive(2);
    BOOST_TEST(arrive(3, 1s).empty());
    const auto refused = firstReply(arrive(4, 350ms));
    BOOST_TEST((refused.reason == Reason::DeadlineNear));
    BOOST_TEST((refused.outcome == Outcome::NotRun));
}

BOOST_FIXTURE_TEST_CASE(retryAfterDependsOnQueueAndServiceRate, Fixture)
{
    measureServiceTime(2s);
    for (RequestId id = 1; id <= 5; ++id)
        arrive(id, 1min);
    // 4 queued requests and the new one, 2 s each.
    BOOST_TEST(firstReply(arrive(6, 3s)).retryAfter.count() == 10);
}

BOOST_FIXTURE_TEST_CASE(queuedRequestFailsAtItsLatestStart, Fixture)
{
    measureServiceTime(100ms);
    arrive(1, 10s);
    arrive(2, 1s);
    const auto deadline = now + 1s;
    BOOST_TEST((nextTimerAt(state) == deadline - 100ms));
    now = nextTimerAt(state);
    BOOST_TEST((firstReply(decide(state, Tick {}, now)).reason == Reason::DeadlineNear));
}

BOOST_FIXTURE_TEST_CASE(callersAreServedInTurn, Fixture)
{
    for (RequestId id = 1; id <= 6; ++id)
        arrive(id, 1s, "greedy");
    arrive(7, 1s, "modest");
    arrive(8, 1s, "modest");
    BOOST_TEST(serveAll() == (std::vector<RequestId> { 1, 2, 7, 3, 8, 4, 5, 6 }));
}

BOOST_FIXTURE_TEST_CASE(fullQueueEvictsRequestOfLargestCaller, Fixture)
{
    for (RequestId id = 1; id <= 11; ++id)
        arrive(id, 1s, "greedy");
    const auto evicted = firstReply(arrive(12, 1s, "modest"));
    BOOST_TEST(evicted.id == 11u);
    BOOST_TEST((evicted.reason == Reason::QueueFull));
    BOOST_TEST(firstReply(arrive(13, 1s, "greedy")).id == 13u);
}

BOOST_FIXTURE_TEST_CASE(urgentRequestsGoFirstWithoutStarvingOrdinaryOnes, Fixture)
{
    settings.urgentBurst = 2;
    changePool({ { "vm-1", 1, 0, true } });
    for (RequestId id = 1; id <= 3; ++id)
        arrive(id);
    for (RequestId id = 4; id <= 7; ++id)
        arrive(id, 1s, "a", true);
    BOOST_TEST(serveAll() == (std::vector<RequestId> { 1, 4, 5, 2, 6, 7, 3 }));
}

BOOST_FIXTURE_TEST_CASE(retriesStayWithinBudget, Fixture)
{
    changePool(tenEndpoints());
    for (RequestId id = 1; id <= 500; ++id) {
        arrive(id);
        for (int step = 0; step < 1000 && !state.requests.empty(); ++step) {
            now += 1ms;
            recordDispatches(decide(state, Tick {}, now));
            if (state.timers.empty())
                end(Dispatch(dispatches.back()), Result::NotStarted);
        }
    }
    BOOST_TEST(pool().counters.retries <= 10u);
    BOOST_TEST(pool().counters.retries > 0u);
    BOOST_TEST(dispatches.size() <= 510u);
}

BOOST_FIXTURE_TEST_CASE(backoffIsRandomAndBounded, Fixture)
{
    changePool(tenEndpoints());
    settings.retry.budgetBurst = 1000;
    Duration longest {};
    for (RequestId id = 1; id <= 9; ++id) {
        arrive(id);
        end(Dispatch(dispatches.back()), Result::NotStarted);
        longest = std::max(longest, nextTimerAt(state) - now);
        BOOST_TEST((nextTimerAt(state) - now <= settings.retry.baseBackoff));
    }
    BOOST_TEST((longest > Duration::zero()));
}

BOOST_FIXTURE_TEST_CASE(fastFailingEndpointGetsFewRequests, Fixture)
{
    changePool(tenEndpoints());
    int failingDispatches = 0;
    for (RequestId id = 1; id <= 2000; ++id) {
        arrive(id);
        const auto dispatch = dispatches.back();
        const bool isFailing = dispatch.endpoint == "vm-3";
        failingDispatches += isFailing;
        now += isFailing ? 1ms : 10ms;
        end(dispatch, Result::Answered, isFailing);
    }
    BOOST_TEST(failingDispatches <= 40); // 2%
}

BOOST_FIXTURE_TEST_CASE(ejectionLeavesHalfOfThePoolUsable, Fixture)
{
    changePool(tenEndpoints());
    for (RequestId id = 1; id <= 2000; ++id) {
        arrive(id);
        now += 1ms;
        const auto dispatch = dispatches.back();
        end(dispatch, Result::Answered, dispatch.endpoint < "vm-7");
        BOOST_REQUIRE(pool().usableCount >= 5u);
    }
    BOOST_TEST(pool().counters.ejections >= 5u);
}

BOOST_FIXTURE_TEST_CASE(poolWideFailureEjectsFewEndpoints, Fixture)
{
    changePool(tenEndpoints());
    for (RequestId id = 1; id <= 2000; ++id) {
        arrive(id);
        end(Dispatch(dispatches.back()), Result::Answered, true);
    }
    // After 14 failures the failure rate of the pool exceeds 0.5, which stops further ejections.
    BOOST_TEST(pool().usableCount >= 8u);
}

BOOST_FIXTURE_TEST_CASE(lastEndpointIsUsedEvenIfEjected, Fixture)
{
    changePool({ { "vm-1", 8, 0, true }, { "vm-2", 8, 0, true } });
    for (RequestId id = 1; id <= 100; ++id) {
        arrive(id);
        end(Dispatch(dispatches.back()), Result::Answered, dispatches.back().endpoint == "vm-2");
    }
    BOOST_REQUIRE(pool().endpoints.at("vm-2").health.isEjected);
    changePool({ { "vm-2", 8, 0, true } });
    BOOST_TEST(std::holds_alternative<Dispatch>(arrive(200).at(0)));
}

BOOST_FIXTURE_TEST_CASE(ejectedEndpointIsProbedAndRestored, Fixture)
{
    settings.health.slowStart = Duration::zero();
    changePool({ { "vm-1", 8, 0, true }, { "vm-2", 8, 0, true } });
    for (RequestId id = 1; pool().counters.ejections == 0 && id <= 100; ++id) {
        arrive(id);
        end(Dispatch(dispatches.back()), Result::Answered, dispatches.back().endpoint == "vm-2");
    }
    BOOST_REQUIRE(pool().endpoints.at("vm-2").health.isEjected);
    now += settings.health.baseEjectionTime;
    const auto before = dispatches.size();
    for (RequestId id = 200; id < 216; ++id)
        arrive(id);
    const auto probes = std::count_if(dispatches.begin() + std::ptrdiff_t(before), dispatches.end(),
        [](const Dispatch& dispatch) { return dispatch.endpoint == "vm-2"; });
    BOOST_TEST(probes == 1);
    for (const auto& dispatch : std::vector(dispatches.begin() + std::ptrdiff_t(before), dispatches.end()))
        end(dispatch, Result::Answered);
    BOOST_TEST(!pool().endpoints.at("vm-2").health.isProbing);
}

BOOST_FIXTURE_TEST_CASE(addedEndpointHasSlowStart, Fixture)
{
    changePool({ { "vm-1", 1, 0, true }, { "vm-2", 8, 0, true } });
    for (RequestId id = 1; id <= 5; ++id)
        arrive(id, 1min);
    BOOST_TEST(pool().endpoints.at("vm-2").inFlight == 1u);
    now += settings.health.slowStart;
    end(Dispatch(dispatches.back()), Result::Answered);
    BOOST_TEST(pool().endpoints.at("vm-2").inFlight > 1u);
}

BOOST_FIXTURE_TEST_CASE(spillsToAnotherDataCentreOnlyIfFaster, Fixture)
{
    changePool({ { "vm-1", 1, 0, true }, { "vm-far", 8, 0, true, 25ms } });
    now += settings.health.slowStart;
    measureServiceTime(10ms);
    for (RequestId id = 1; id <= 3; ++id)
        arrive(id, 10s);
    // Two queued requests wait 20 ms at most, which is less than the extra latency of 25 ms.
    BOOST_TEST(pool().counters.spills == 0u);
    arrive(4, 10s);
    BOOST_TEST(pool().counters.spills == 1u);
}

BOOST_AUTO_TEST_CASE(slotSharesAddUpAndFollowDemand)
{
    const std::vector<EntryVmDemand> live { { "e1", 100 }, { "e2", 400 }, { "e3", 0 }, { "e4", 300 } };
    std::map<std::string, std::uint32_t> totals;
    for (int index = 0; index < 100; ++index) {
        std::uint32_t sum = 0;
        for (const auto& vm : live) {
            const auto share = slotShare(8, "vm-" + std::to_string(index), vm.id, slotWeights(live));
            totals[vm.id] += share;
            sum += share;
        }
        BOOST_TEST(sum == 8u);
    }
    BOOST_TEST(std::abs(int(totals["e2"]) - int(4 * totals["e1"])) <= 60);
    BOOST_TEST(totals["e3"] > 0u);
    BOOST_TEST(slotShare(8, "vm-1", "gone", slotWeights(live)) == 0u);
}

BOOST_FIXTURE_TEST_CASE(entryVmsShareEachEndpoint, Fixture)
{
    std::map<EndpointId, std::uint32_t> sums;
    const std::vector<EntryVmDemand> live { { "e1", 100 }, { "e2", 50 }, { "e3", 50 } };
    for (const auto& vm : live) {
        changePool(tenEndpoints());
        decide(state, EntryVmsChanged { "pricing", vm.id, live }, now);
        for (const auto& [id, endpoint] : pool().endpoints)
            sums[id] += endpoint.slots;
    }
    for (const auto& [id, sum] : sums)
        BOOST_TEST(sum == 8u);
    changePool(tenEndpoints()); // an update of the endpoints keeps the shares
    BOOST_TEST(pool().usableSlots < 40u);
}

BOOST_FIXTURE_TEST_CASE(slotShareGrowsAfterDelayAndShrinksAtOnce, Fixture)
{
    changePool({ { "vm-1", 8, 0, true } });
    const auto slotsWithDemand = [this](double otherDemand) {
        decide(state, EntryVmsChanged { "pricing", "e1", { { "e1", 100 }, { "e2", otherDemand } } }, now);
        return pool().usableSlots;
    };
    BOOST_TEST(slotsWithDemand(100) == 4u);
    BOOST_TEST(slotsWithDemand(0) == 4u);
    now += 2s;
    BOOST_TEST(slotsWithDemand(0) == 4u);
    BOOST_TEST(slotsWithDemand(110) == 4u); // cancels the pending growth
    now += 2s;
    BOOST_TEST(slotsWithDemand(0) == 4u);
    now += settings.shareGrowthDelay;
    BOOST_TEST(slotsWithDemand(0) > 4u);
    BOOST_TEST(slotsWithDemand(100) == 4u);
}

BOOST_FIXTURE_TEST_CASE(eachEntryVmGetsASlotOfASmallPool, Fixture)
{
    const std::vector<EntryVmDemand> live { { "e1", 1 }, { "e2", 1 }, { "e3", 1 } };
    for (const auto& vm : live) {
        decide(state, EntryVmsChanged { "pricing", vm.id, live }, now);
        BOOST_TEST(pool().usableSlots == 1u);
    }
}

BOOST_FIXTURE_TEST_CASE(arrivalRateIsMeasuredAndDecays, Fixture)
{
    for (RequestId id = 1; id <= 1000; ++id) {
        now += 10ms;
        arrive(id);
    }
    BOOST_TEST(std::abs(loadOf(pool(), now).arrivals - 100) < 20);
    BOOST_TEST(loadOf(pool(), now).inFlight == 1u);
    BOOST_TEST(loadOf(pool(), now).queued > 0u);
    BOOST_TEST(loadOf(pool(), now + 30s).arrivals < 1);
}
