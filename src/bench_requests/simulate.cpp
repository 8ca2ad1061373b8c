#include "simulate_pvt.h"

#include <damaskworks/request.h>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace damask::bench {
namespace {

using namespace std::chrono_literals;

constexpr int endpointCount = 10;
constexpr std::uint32_t slotsPerEndpoint = 8;
constexpr double minServiceSeconds = 0.025;
constexpr double extraServiceSeconds = 0.025; // mean of an exponential distribution
constexpr double slowFactor = 10;
constexpr double fastFailSeconds = 0.001;
constexpr double runSeconds = 20; // one period of the demand
constexpr double urgentShare = 0.1;
constexpr double idempotentShare = 0.5;
constexpr int callerCount = 20;
constexpr Duration timeLimit = 1s;
const std::string poolName = "pricing";
const std::string faultyEndpoint = "vm-3";

/// Demand over its mean during one period of 20 s: 3 s at 5, 6 s at 1/20, else the rest.
double demandFactor(Shape shape, double seconds)
{
    constexpr double period = 20;
    constexpr double peakEnd = 3;
    constexpr double lowBegin = 14;
    constexpr double peak = 5;
    constexpr double low = 0.05;
    constexpr double rest = (period - peakEnd * peak - (period - lowBegin) * low) / (lowBegin - peakEnd);
    if (shape == Shape::Steady)
        return 1;
    const double phase = std::fmod(seconds, period);
    if (phase < peakEnd)
        return peak;
    return phase < lowBegin ? rest : low;
}

/// The end of an attempt at the endpoint.
struct AttemptEnd {
    TimePoint at;
    request::AttemptEnded event;
    bool operator>(const AttemptEnd& other) const
    {
        return std::pair(at, event.id) > std::pair(other.at, other.event.id);
    }
};

class Simulation {
public:
    explicit Simulation(const Scenario& scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        m_state.random.seed(scenario.seed);
        request::PoolChanged change { poolName, {}, {} };
        change.settings.balancer = scenario.balancer;
        change.settings.admission = scenario.admission;
        if (!scenario.ejection)
            change.settings.health.failuresToEject = 0;
        for (int index = 0; index < endpointCount; ++index)
            change.endpoints.push_back({ "vm-" + std::to_string(index), slotsPerEndpoint, 0, true });
        give(change);
    }

    Result run()
    {
        scheduleArrival();
        while (true) {
            const auto end = m_ends.empty() ? TimePoint::max() : m_ends.top().at;
            const auto tick = request::nextTimerAt(m_state);
            m_now = std::max(m_now, std::min({ m_nextArrival, end, tick }));
            if (m_now == TimePoint::max())
                return finish();
            if (m_nextArrival <= m_now)
                arrive();
            else if (end <= m_now)
                endAttempt();
            else
                give(request::Tick {});
        }
    }

private:
    struct Open {
        TimePoint arrived;
        bool serverError = false;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(m_random); }

    static Duration duration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    double elapsed() const { return std::chrono::duration<double>(m_now - m_start).count(); }

    void scheduleArrival()
    {
        const auto rate = capacity() * m_scenario.load * demandFactor(m_scenario.shape, elapsed());
        m_nextArrival = m_now + duration(exponential(1 / rate));
        if (m_nextArrival - m_start >= duration(runSeconds))
            m_nextArrival = TimePoint::max();
    }

    void arrive()
    {
        request::Arrived event;
        event.id = ++m_result.offered;
        event.pool = poolName;
        event.deadline = m_now + timeLimit;
        event.idempotent = uniform() < idempotentShare;
        event.urgent = uniform() < urgentShare;
        event.callerId = "caller-" + std::to_string(m_random() % callerCount);
        m_open[event.id] = { m_now };
        scheduleArrival();
        give(event);
    }

    void endAttempt()
    {
        const auto event = m_ends.top().event;
        m_ends.pop();
        m_open[event.id].serverError = event.serverError;
        give(event);
    }

    void give(const request::Event& event)
    {
        for (const auto& action : request::decide(m_state, event, m_now))
            std::visit([this](const auto& typed) { carryOut(typed); }, action);
    }

    void carryOut(const request::Dispatch& action)
    {
        ++m_result.attempts;
        m_result.retries += action.attempt > 1;
        auto seconds = minServiceSeconds + exponential(extraServiceSeconds);
        request::AttemptEnded event { action.id };
        event.attempt = action.attempt;
        const auto fault = action.endpoint == faultyEndpoint ? m_scenario.fault : Fault::None;
        if (fault == Fault::Slow)
            seconds *= slowFactor;
        if (fault == Fault::FastFailing || fault == Fault::Refusing)
            seconds = fastFailSeconds;
        event.serverError = fault == Fault::FastFailing;
        if (fault == Fault::Refusing)
            event.result = request::AttemptEnded::Result::NotStarted;
        if (fault == Fault::Dead || duration(seconds) > action.timeout) {
            event.result = request::AttemptEnded::Result::Failed;
            seconds = std::chrono::duration<double>(action.timeout).count();
        }
        m_ends.push({ m_now + duration(seconds), event });
    }

    void carryOut(const request::Reply& action)
    {
        const auto& open = m_open.at(action.id);
        const bool inTime = m_now < open.arrived + timeLimit;
        if (!inTime)
            ++m_result.late;
        else if (action.outcome == request::Outcome::NotRun)
            ++m_result.refused;
        else if (action.outcome == request::Outcome::Unknown || open.serverError)
            ++m_result.failed;
        else
            m_latencies.push_back(std::chrono::duration<double, std::milli>(m_now - open.arrived).count());
        m_open.erase(action.id);
    }

    void carryOut(const request::CancelAttempt&) { }

    Result finish()
    {
        std::sort(m_latencies.begin(), m_latencies.end());
        m_result.good = m_latencies.size();
        m_result.seconds = runSeconds;
        if (!m_latencies.empty()) {
            m_result.p50 = m_latencies[m_latencies.size() / 2];
            m_result.p99 = m_latencies[m_latencies.size() * 99 / 100];
        }
        return m_result;
    }

    const Scenario m_scenario;
    std::mt19937_64 m_random;
    const TimePoint m_start { 1h };
    TimePoint m_now = m_start;
    TimePoint m_nextArrival = TimePoint::max();
    request::State m_state;
    std::priority_queue<AttemptEnd, std::vector<AttemptEnd>, std::greater<>> m_ends;
    std::unordered_map<request::RequestId, Open> m_open;
    std::vector<double> m_latencies; ///< milliseconds, of good answers
    Result m_result;
};

} // namespace

double capacity() { return endpointCount * slotsPerEndpoint / (minServiceSeconds + extraServiceSeconds); }

Result simulate(const Scenario& scenario) { return Simulation(scenario).run(); }

} // namespace damask::bench
