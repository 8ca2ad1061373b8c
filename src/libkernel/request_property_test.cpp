/// \file
/// Property tests of the request path: random sequences of events, including late and duplicated ones.
#include "request_model_test.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

using namespace damask;
using namespace damask::request;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t poolCount = 2;
constexpr std::uint32_t endpointCount = 4;

/// One random step of a simulation. The kind selects an event; the other numbers are its parameters.
struct Step {
    std::uint32_t kind;
    std::uint32_t a;
    std::uint32_t b;
    std::uint32_t milliseconds;
};

rc::Gen<Step> genStep()
{
    const auto number = rc::gen::inRange<std::uint32_t>(0, 1 << 16);
    return rc::gen::apply(
        [](std::uint32_t kind, std::uint32_t a, std::uint32_t b, std::uint32_t c) {
            return Step { kind, a, b, c % 40 };
        },
        rc::gen::inRange<std::uint32_t>(0, 100), number, number, number);
}

class Simulation {
public:
    Simulation()
    {
        for (std::uint32_t pool = 0; pool < poolCount; ++pool)
            changePool(pool, 0xffff, 2);
    }

    void apply(const Step& step)
    {
        m_now += std::chrono::milliseconds(step.milliseconds / 4);
        if (step.kind < 45)
            arrive(step);
        else if (step.kind < 75)
            endAttempt(step);
        else if (step.kind < 80)
            duplicateEnd(step);
        else if (step.kind < 85)
            send(CallerDisconnected { 1 + step.a % (m_nextId + 1) });
        else if (step.kind < 90)
            changePool(step.a % poolCount, step.b, step.a % 3);
        else if (step.kind < 93)
            changeEntryVms(step);
        else if (step.kind < 99)
            tick(step);
        else if (step.a % 4 == 0)
            send(StopRequested {});
    }

    /// Ends all attempts in flight and fires all timers, until neither is left.
    void drain()
    {
        for (int round = 0; round < 10'000 && (!m_inFlight.empty() || hasTimer()); ++round) {
            if (!m_inFlight.empty())
                end(0, AttemptEnded::Result::NotStarted);
            else
                advanceToNextTimer();
        }
        checker.checkAllAnswered();
    }

    test::Checker checker;
    State state;

private:
    bool hasTimer() const { return nextTimerAt(state) != TimePoint::max(); }

    void advanceToNextTimer()
    {
        m_now = std::max(m_now, nextTimerAt(state));
        send(Tick {});
    }

    void send(const Event& event)
    {
        handleEvent(event);
        fireDueTimers();
    }

    void handleEvent(const Event& event)
    {
        for (const auto& action : checker.apply(state, event, m_now)) {
            if (const auto* dispatch = std::get_if<Dispatch>(&action))
                m_inFlight.push_back({ dispatch->id, dispatch->attempt });
            if (const auto* cancelled = std::get_if<CancelAttempt>(&action))
                std::erase_if(
                    m_inFlight, [&](const auto& attempt) { return attempt.first == cancelled->id; });
        }
    }

    /// Fires the timers that are due. The daemon's timer does so before any later event.
    void fireDueTimers()
    {
        if (nextTimerAt(state) <= m_now)
            handleEvent(Tick {});
    }

    void arrive(const Step& step)
    {
        Arrived event;
        const bool isDuplicate = step.milliseconds == 0 && state.requests.contains(m_nextId);
        event.id = isDuplicate ? m_nextId : ++m_nextId;
        event.pool = "pool-" + std::to_string(step.a % poolCount);
        event.deadline = m_now + std::chrono::milliseconds(1 + step.b % 300);
        event.idempotent = step.a / poolCount % 2 == 0;
        event.urgent = step.a / 4 % 4 == 0;
        event.callerId = "caller-" + std::to_string(step.a / 16 % 3);
        fireDueTimers();
        send(event);
    }

    void end(std::size_t index, AttemptEnded::Result result, bool serverError = false)
    {
        const auto [id, attempt] = m_inFlight[index];
        m_inFlight.erase(m_inFlight.begin() + std::ptrdiff_t(index));
        m_endedAttempts.push_back({ id, result, attempt, serverError });
        fireDueTimers();
        send(m_endedAttempts.back());
    }

    void endAttempt(const Step& step)
    {
        if (m_inFlight.empty())
            return;
        const auto result = static_cast<AttemptEnded::Result>(step.b % 3);
        end(step.a % m_inFlight.size(), result, step.b / 3 % 4 == 0);
    }

    void duplicateEnd(const Step& step)
    {
        fireDueTimers();
        if (!m_endedAttempts.empty())
            send(AttemptEnded { m_endedAttempts[step.a % m_endedAttempts.size()] });
    }

    void tick(const Step& step)
    {
        m_now += std::chrono::milliseconds(step.milliseconds);
        send(Tick {});
    }

    void changeEntryVms(const Step& step)
    {
        EntryVmsChanged event { "pool-" + std::to_string(step.a % poolCount), "entry-1", {} };
        event.live.push_back({ "entry-1", double(step.b % 3) });
        for (std::uint32_t other = 2; other < 2 + step.b / 3 % 4; ++other)
            event.live.push_back({ "entry-" + std::to_string(other), double(step.a / 2 % 7) });
        fireDueTimers();
        send(event);
    }

    /// Changes the endpoints of a pool. Each endpoint has three bits of \p endpointBits: bit 0 puts it into
    /// the pool, and it accepts requests if bit 1 or 2 is set.
    void changePool(std::uint32_t pool, std::uint32_t endpointBits, std::uint32_t slots)
    {
        PoolChanged event;
        event.pool = "pool-" + std::to_string(pool);
        event.settings.queueLimit = 4;
        event.settings.health.failuresToEject = 3;
        event.settings.health.maxEjectedShare = 1;
        event.settings.health.baseEjectionTime = 20ms;
        event.settings.health.slowStart = 50ms;
        for (std::uint32_t index = 0; index < endpointCount; ++index) {
            const auto bits = endpointBits >> (3 * index);
            if (bits & 1)
                event.endpoints.push_back({ "vm-" + std::to_string(index), slots, 0, (bits & 6) != 0,
                    index == 3 ? Duration(2ms) : Duration::zero() });
        }
        fireDueTimers();
        send(event);
    }

    TimePoint m_now { 1h };
    RequestId m_nextId = 0;
    std::vector<std::pair<RequestId, std::uint32_t>> m_inFlight; ///< attempts in flight
    std::vector<AttemptEnded> m_endedAttempts;
};

/// Whether a pool has accepting endpoints and all of them are ejected.
bool areAllEndpointsEjected(const Pool& pool)
{
    std::size_t accepting = 0;
    std::size_t ejected = 0;
    for (const auto& [id, endpoint] : pool.endpoints) {
        if (!endpoint.accepting || endpoint.isRemoved || endpoint.slots == 0)
            continue;
        ++accepting;
        ejected += endpoint.health.isEjected;
    }
    return accepting > 0 && ejected == accepting;
}

std::string firstViolation(const Simulation& simulation)
{
    const auto& violations = simulation.checker.violations();
    return violations.empty() ? "" : violations.front();
}

} // namespace

RC_BOOST_PROP(invariantsHoldInAnyEventOrder, ())
{
    const auto steps = *rc::gen::resize(400, rc::gen::container<std::vector<Step>>(genStep())).as("steps");
    Simulation simulation;
    for (const auto& step : steps)
        simulation.apply(step);
    simulation.drain();
    RC_CLASSIFY(simulation.checker.requests().size() > 50, "more than 50 requests");
    RC_ASSERT(firstViolation(simulation) == "");
}

RC_BOOST_PROP(noStateIsLeftAfterLastRequest, ())
{
    const auto steps = *rc::gen::resize(200, rc::gen::container<std::vector<Step>>(genStep())).as("steps");
    Simulation simulation;
    for (const auto& step : steps) {
        simulation.apply(step);
        for (const auto& [name, pool] : simulation.state.pools)
            RC_ASSERT(!areAllEndpointsEjected(pool));
    }
    simulation.drain();
    RC_ASSERT(simulation.state.requests.empty());
    RC_ASSERT(simulation.state.timers.empty());
    for (const auto& [name, pool] : simulation.state.pools) {
        RC_ASSERT(pool.ordinary.byCaller.empty() && pool.urgent.byCaller.empty());
        RC_ASSERT(pool.ordinary.size + pool.urgent.size + pool.backingOffCount == 0u);
        for (const auto& [id, endpoint] : pool.endpoints)
            RC_ASSERT(endpoint.inFlight == 0u);
    }
}
