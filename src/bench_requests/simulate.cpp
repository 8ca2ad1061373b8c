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
constexpr Duration requestTimeout = 1s;
const std::string poolName = "pricing";
const std::string faultyEndpoint = "vm-3";

/// Returns the demand as a multiple of its mean. In each period of 20 s, Peaks has 3 s at 5, then 11 s at the
/// level that makes the mean 1, then 6 s at 1/20.
double demandFactor(DemandPattern pattern, double seconds)
{
    constexpr double period = 20;
    constexpr double peakEnd = 3;
    constexpr double lowStart = 14;
    constexpr double peak = 5;
    constexpr double low = 0.05;
    constexpr double rest = (period - peakEnd * peak - (period - lowStart) * low) / (lowStart - peakEnd);
    if (pattern == DemandPattern::Steady)
        return 1;
    const double phase = std::fmod(seconds, period);
    if (phase < peakEnd)
        return peak;
    return phase < lowStart ? rest : low;
}

/// A scheduled end of an attempt.
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
        handleEvent(change);
    }

    Result run()
    {
        scheduleArrival();
        while (true) {
            const auto end = m_attemptEnds.empty() ? TimePoint::max() : m_attemptEnds.top().at;
            const auto tick = request::nextTimerAt(m_state);
            m_now = std::max(m_now, std::min({ m_nextArrival, end, tick }));
            if (m_now == TimePoint::max())
                return finish();
            if (m_nextArrival <= m_now)
                arrive();
            else if (end <= m_now)
                endAttempt();
            else
                handleEvent(request::Tick {});
        }
    }

private:
    struct OpenRequest {
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
        const auto rate = capacity() * m_scenario.load * demandFactor(m_scenario.pattern, elapsed());
        m_nextArrival = m_now + duration(exponential(1 / rate));
        if (m_nextArrival - m_start >= duration(runSeconds))
            m_nextArrival = TimePoint::max();
    }

    void arrive()
    {
        request::Arrived event;
        event.id = ++m_result.offered;
        event.pool = poolName;
        event.deadline = m_now + requestTimeout;
        event.idempotent = uniform() < idempotentShare;
        event.urgent = uniform() < urgentShare;
        event.callerId = "caller-" + std::to_string(m_random() % callerCount);
        m_openRequests[event.id] = { m_now };
        scheduleArrival();
        handleEvent(event);
    }

    void endAttempt()
    {
        const auto event = m_attemptEnds.top().event;
        m_attemptEnds.pop();
        m_openRequests[event.id].serverError = event.serverError;
        handleEvent(event);
    }

    void handleEvent(const request::Event& event)
    {
        for (const auto& action : request::decide(m_state, event, m_now))
            std::visit([this](const auto& typed) { execute(typed); }, action);
    }

    void execute(const request::Dispatch& action)
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
        m_attemptEnds.push({ m_now + duration(seconds), event });
    }

    void execute(const request::Reply& action)
    {
        const auto& openRequest = m_openRequests.at(action.id);
        const bool isInTime = m_now < openRequest.arrived + requestTimeout;
        if (!isInTime)
            ++m_result.late;
        else if (action.outcome == request::Outcome::NotRun)
            ++m_result.refused;
        else if (action.outcome == request::Outcome::Unknown || openRequest.serverError)
            ++m_result.failed;
        else
            m_latencies.push_back(
                std::chrono::duration<double, std::milli>(m_now - openRequest.arrived).count());
        m_openRequests.erase(action.id);
    }

    void execute(const request::CancelAttempt&) { }

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
    std::priority_queue<AttemptEnd, std::vector<AttemptEnd>, std::greater<>> m_attemptEnds;
    std::unordered_map<request::RequestId, OpenRequest> m_openRequests;
    std::vector<double> m_latencies; ///< milliseconds, of good answers
    Result m_result;
};

} // namespace

double capacity() { return endpointCount * slotsPerEndpoint / (minServiceSeconds + extraServiceSeconds); }

Result simulate(const Scenario& scenario) { return Simulation(scenario).run(); }

} // namespace damask::bench
