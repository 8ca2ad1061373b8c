/// \file
/// Balancer `weighted`: picks two endpoints at random and chooses the one with the lower expected
/// response time (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
#include <damaskworks/registry.h>
#include <damaskworks/request_policy.h>

#include <algorithm>

namespace damask::request {
namespace {

constexpr double latencyExpirySeconds = 10; ///< age from which a measured latency is ignored
constexpr double minSuccessRate = 0.05;
constexpr double minSlowStartFactor = 0.1;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// The endpoint's latency, blended into the pool's latency as the measurement ages, so that an endpoint
/// that was slow once is tried again.
double expectedLatency(const Candidates& candidates, const Endpoint& endpoint)
{
    if (endpoint.health.latency == 0)
        return candidates.poolLatency;
    const auto age = secondsBetween(endpoint.health.latencyMeasuredAt, candidates.now);
    const auto weight = std::clamp(1 - age / latencyExpirySeconds, 0.0, 1.0);
    return weight * endpoint.health.latency + (1 - weight) * candidates.poolLatency;
}

/// Share of its normal load that the endpoint gets: grows from minSlowStartFactor to 1 in slow start.
double slowStartFactor(const Candidates& candidates, const Endpoint& endpoint)
{
    if (endpoint.health.slowStartFrom == TimePoint::min() || candidates.slowStart <= Duration::zero())
        return 1;
    const auto slowStartSeconds = std::chrono::duration<double>(candidates.slowStart).count();
    return std::clamp(secondsBetween(endpoint.health.slowStartFrom, candidates.now) / slowStartSeconds,
        minSlowStartFactor, 1.0);
}

/// Expected cost of one more request; the endpoint with the lower cost is chosen.
double cost(const Candidates& candidates, const Endpoint& endpoint)
{
    const auto utilisation = double(endpoint.inFlight + 1) / endpoint.slots;
    const auto successRate = std::max(1 - endpoint.health.failureRate, minSuccessRate);
    const auto latency = expectedLatency(candidates, endpoint)
        + std::chrono::duration<double>(endpoint.extraLatency).count();
    return latency * utilisation / (successRate * slowStartFactor(candidates, endpoint));
}

Endpoint& choose(const Candidates& candidates)
{
    const auto& endpoints = candidates.endpoints;
    if (endpoints.size() == 1)
        return *endpoints.front();
    const auto firstIndex = std::size_t(candidates.random() % endpoints.size());
    const auto step = 1 + std::size_t(candidates.random() % (endpoints.size() - 1));
    auto& first = *endpoints[firstIndex];
    auto& second = *endpoints[(firstIndex + step) % endpoints.size()];
    return cost(candidates, second) < cost(candidates, first) ? second : first;
}

const bool registered = Registry<Balancer>::instance().add("weighted", Balancer { choose });

} // namespace
} // namespace damask::request
