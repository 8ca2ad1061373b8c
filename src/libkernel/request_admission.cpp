#include "request_pvt.h"

#include <algorithm>
#include <cmath>

namespace damask::request {
namespace {

constexpr double serviceTimeBoundDeviations = 4; // as for the retransmission timeout of RFC 6298
constexpr double minRetryAfter = 1; // seconds
constexpr double maxRetryAfter = 30; // seconds
constexpr double rateTimeConstant = 5; // seconds; rates decay by a factor of e in this time
constexpr std::chrono::seconds noEndpointRetryAfter { 5 };

/// Mean seconds until the next slot becomes free while all are taken (Little's law); 0 if not measured.
double secondsPerFreedSlot(const Pool& pool)
{
    return pool.slotHoldTime / std::max<std::uint32_t>(pool.usableSlots, 1);
}

/// Upper bound on the requests that are served before a new one.
std::size_t maxServedBefore(const Pool& pool, bool urgent, const std::string& caller)
{
    const std::size_t burst = std::max<std::uint32_t>(pool.settings.urgentBurst, 1);
    if (urgent) {
        const auto ahead = maxServedBefore(pool.urgent, caller);
        return ahead + std::min(pool.ordinary.size, ahead / burst);
    }
    const auto ahead = maxServedBefore(pool.ordinary, caller);
    return ahead + std::min(pool.urgent.size, (ahead + 1) * burst);
}

double decayedRate(const DecayingRate& rate, TimePoint now)
{
    return rate.perSecond * std::exp(-inSeconds(now - rate.lastEvent) / rateTimeConstant);
}

} // namespace

void recordEvent(DecayingRate& rate, TimePoint now)
{
    rate.perSecond = decayedRate(rate, now) + 1 / rateTimeConstant;
    rate.lastEvent = now;
}

Load loadOf(const Pool& pool, TimePoint now)
{
    Load load;
    load.arrivals = decayedRate(pool.arrivals, now);
    for (const auto& [id, endpoint] : pool.endpoints)
        load.inFlight += endpoint.inFlight;
    load.queued = std::uint32_t(waitingCount(pool));
    return load;
}

std::size_t waitingCount(const Pool& pool)
{
    return pool.urgent.size + pool.ordinary.size + pool.backingOffCount;
}

double estimatedWait(const Pool& pool, bool urgent, const std::string& caller)
{
    return double(maxServedBefore(pool, urgent, caller) + 1) * secondsPerFreedSlot(pool);
}

double serviceTimeBound(const Pool& pool)
{
    return pool.serviceTime + serviceTimeBoundDeviations * pool.serviceTimeDeviation;
}

std::chrono::seconds retryAfter(const Pool& pool, Reason reason)
{
    if (reason == Reason::NoEndpoint)
        return noEndpointRetryAfter;
    const auto secondsUntilEmpty = double(waitingCount(pool) + 1) * secondsPerFreedSlot(pool);
    return std::chrono::seconds(
        std::lround(std::ceil(std::clamp(secondsUntilEmpty, minRetryAfter, maxRetryAfter))));
}

} // namespace damask::request
