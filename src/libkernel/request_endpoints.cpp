#include "request_pvt.h"

#include <algorithm>
#include <cmath>

namespace damask::request {
namespace {

constexpr double endpointSmoothingWeight = 0.2; // of the newest attempt
constexpr double poolSmoothingWeight = 0.05; // of the newest attempt
// Above this failure rate of the pool, the fault is probably not in a single endpoint.
constexpr double maxPoolFailureRateForEjection = 0.5;
constexpr std::uint32_t maxEjectionDoublings = 10; // bounds the shift

/// Exponential moving average. A value of 0 means that nothing was observed before.
void updateMovingAverage(double& value, double observed, double weight)
{
    value = value == 0 ? observed : value + weight * (observed - value);
}

std::vector<Endpoint*>& availableList(Pool& pool, const Endpoint& endpoint)
{
    return endpoint.extraLatency == Duration::zero() ? pool.availableLocal : pool.availableRemote;
}

/// Number of slots that may be used now: one while probing, a growing number during slow start.
std::uint32_t allowedSlots(const Pool& pool, const Endpoint& endpoint, TimePoint now)
{
    if (!endpoint.accepting || endpoint.isRemoved || endpoint.health.isEjected)
        return 0;
    if (endpoint.health.isProbing)
        return std::min(endpoint.slots, 1u);
    const auto slowStart = pool.settings.health.slowStart;
    if (endpoint.health.slowStartFrom == TimePoint::min() || slowStart <= Duration::zero())
        return endpoint.slots;
    const auto share = inSeconds(now - endpoint.health.slowStartFrom) / inSeconds(slowStart);
    const auto allowed = std::uint32_t(std::ceil(std::clamp(share, 0.0, 1.0) * endpoint.slots));
    return std::min(std::max(allowed, 1u), endpoint.slots);
}

void removeAvailable(std::vector<Endpoint*>& list, Endpoint& endpoint)
{
    list.back()->availableIndex = endpoint.availableIndex;
    list[*endpoint.availableIndex] = list.back();
    list.pop_back();
    endpoint.availableIndex.reset();
}

/// Adds the endpoint to the list of endpoints with a free slot, or removes it, as its slots require.
void updateAvailable(Pool& pool, Endpoint& endpoint, TimePoint now)
{
    auto& list = availableList(pool, endpoint);
    const bool isAvailable = endpoint.inFlight < allowedSlots(pool, endpoint, now);
    if (isAvailable == endpoint.availableIndex.has_value())
        return;
    if (!isAvailable)
        return removeAvailable(list, endpoint);
    endpoint.availableIndex = list.size();
    list.push_back(&endpoint);
}

/// Recounts endpoints and slots and rebuilds the lists of endpoints with a free slot.
void rebuildAvailability(Pool& pool, TimePoint now)
{
    pool.availableLocal.clear();
    pool.availableRemote.clear();
    pool.acceptingCount = pool.usableCount = 0;
    pool.usableSlots = pool.localSlots = 0;
    for (auto& [id, endpoint] : pool.endpoints) {
        endpoint.availableIndex.reset();
        if (!endpoint.accepting || endpoint.isRemoved || endpoint.slots == 0)
            continue;
        ++pool.acceptingCount;
        if (endpoint.health.isEjected)
            continue;
        ++pool.usableCount;
        pool.usableSlots += endpoint.slots;
        if (endpoint.extraLatency == Duration::zero())
            pool.localSlots += endpoint.slots;
        updateAvailable(pool, endpoint, now);
    }
}

/// Ends an ejection. The endpoint is limited to one request in flight until one succeeds.
void endEjection(Pool& pool, Endpoint& endpoint)
{
    pool.ejectedUntil.erase({ endpoint.health.ejectedUntil, endpoint.id });
    endpoint.health.isEjected = false;
    endpoint.health.isProbing = true;
}

/// Ends all ejections if every accepting endpoint is ejected.
void ensureUsableEndpoint(Pool& pool, TimePoint now)
{
    if (pool.usableCount > 0 || pool.acceptingCount == 0)
        return;
    for (auto& [id, endpoint] : pool.endpoints) {
        if (endpoint.health.isEjected)
            endEjection(pool, endpoint);
    }
    rebuildAvailability(pool, now);
}

bool canEject(const Pool& pool, const Endpoint& endpoint)
{
    const auto& settings = pool.settings.health;
    const auto& health = endpoint.health;
    if (settings.failuresToEject == 0 || health.isEjected || !endpoint.accepting || endpoint.isRemoved)
        return false;
    if (!health.isProbing && health.consecutiveFailures < settings.failuresToEject)
        return false;
    if (pool.failureRate > maxPoolFailureRateForEjection || pool.usableCount < 2)
        return false;
    const auto ejectedCount = pool.acceptingCount - pool.usableCount + 1;
    return double(ejectedCount) <= settings.maxEjectedShare * double(pool.acceptingCount);
}

void eject(Pool& pool, Endpoint& endpoint, TimePoint now)
{
    const auto& settings = pool.settings.health;
    auto& health = endpoint.health;
    const auto doublings = std::min(health.ejections, maxEjectionDoublings);
    health.ejectedUntil
        = now + std::min(settings.baseEjectionTime * (1 << doublings), settings.maxEjectionTime);
    health.isEjected = true;
    health.isProbing = false;
    ++health.ejections;
    ++pool.counters.ejections;
    pool.ejectedUntil.emplace(health.ejectedUntil, endpoint.id);
    rebuildAvailability(pool, now);
}

void recordSuccess(Pool& pool, Endpoint& endpoint, double seconds, TimePoint now)
{
    auto& health = endpoint.health;
    updateMovingAverage(health.latency, seconds, endpointSmoothingWeight);
    health.latencyMeasuredAt = now;
    health.consecutiveFailures = 0;
    health.ejections = 0;
    if (health.isProbing) {
        health.isProbing = false;
        health.slowStartFrom = now;
    }
    const auto deviation = std::abs(seconds - pool.serviceTime);
    if (pool.serviceTime > 0)
        updateMovingAverage(pool.serviceTimeDeviation, deviation, poolSmoothingWeight);
    updateMovingAverage(pool.serviceTime, seconds, poolSmoothingWeight);
}

/// Changes the share of slots to \p target: reduces it at once, raises it after shareGrowthDelay.
void setSlotShare(const Pool& pool, Endpoint& endpoint, std::uint32_t target, TimePoint now)
{
    if (target <= endpoint.slots) {
        endpoint.slots = target;
        endpoint.pendingSlotsAt = TimePoint::max();
        return;
    }
    if (endpoint.pendingSlotsAt == TimePoint::max()) {
        endpoint.pendingSlotsAt = now + pool.settings.shareGrowthDelay;
        endpoint.pendingSlots = target;
    }
    endpoint.pendingSlots = std::min(endpoint.pendingSlots, target);
    if (endpoint.pendingSlotsAt > now)
        return;
    endpoint.slots = endpoint.pendingSlots;
    endpoint.pendingSlotsAt = TimePoint::max();
}

/// The endpoint that gives this entry VM one slot beyond its shares if all its shares are 0; otherwise
/// nullptr. A pool may have fewer slots than there are entry VMs, and no entry VM may refuse all its callers.
const Endpoint* fallbackEndpoint(const Pool& pool)
{
    const Endpoint* fallback = nullptr;
    for (const auto& [id, endpoint] : pool.endpoints) {
        if (!endpoint.accepting || endpoint.isRemoved || endpoint.declaredSlots == 0)
            continue;
        if (slotShare(endpoint.declaredSlots, id, pool.self, pool.entryVms) > 0)
            return nullptr;
        if (!fallback || affinity(id, pool.self) > affinity(fallback->id, pool.self))
            fallback = &endpoint;
    }
    return fallback;
}

/// Sets the slots of each endpoint to this entry VM's share of them.
void updateSlotShares(Pool& pool, TimePoint now)
{
    if (pool.entryVms.empty()) {
        for (auto& [id, endpoint] : pool.endpoints)
            endpoint.slots = endpoint.declaredSlots;
        return;
    }
    const auto* fallback = fallbackEndpoint(pool);
    pool.hasPendingSlots = false;
    for (auto& [id, endpoint] : pool.endpoints) {
        const auto share = slotShare(endpoint.declaredSlots, id, pool.self, pool.entryVms);
        setSlotShare(pool, endpoint, &endpoint == fallback ? 1 : share, now);
        pool.hasPendingSlots = pool.hasPendingSlots || endpoint.pendingSlotsAt != TimePoint::max();
    }
}

Candidates candidatesFrom(
    Pool& pool, const std::vector<Endpoint*>& list, std::mt19937_64& random, TimePoint now)
{
    return { list, pool.cursor, pool.serviceTime, pool.settings.health.slowStart, now, random };
}

Endpoint& chooseFrom(Pool& pool, const std::vector<Endpoint*>& list, const EndpointId& avoided,
    std::mt19937_64& random, TimePoint now)
{
    if (!pool.balancer)
        return *list.front();
    const auto candidates = candidatesFrom(pool, list, random, now);
    auto& chosen = pool.balancer->choose(candidates);
    return chosen.id == avoided ? pool.balancer->choose(candidates) : chosen;
}

/// Whether \p endpoint, in another data centre, is expected to respond sooner than an endpoint of this
/// data centre, where \p queued requests wait for slots.
bool isSpillFaster(const Pool& pool, const Endpoint& endpoint, std::size_t queued)
{
    if (pool.localSlots == 0)
        return true;
    const auto wait = double(queued) * pool.slotHoldTime / pool.localSlots;
    return wait > inSeconds(endpoint.extraLatency);
}

} // namespace

void mergeEndpoints(Pool& pool, const std::vector<Endpoint>& endpoints, TimePoint now)
{
    const bool hadUsableEndpoint = pool.usableCount > 0;
    for (auto& [id, endpoint] : pool.endpoints)
        endpoint.isRemoved = true;
    for (const auto& update : endpoints) {
        auto [found, isNew] = pool.endpoints.try_emplace(update.id);
        auto& endpoint = found->second;
        const bool isReturning = isNew || (update.accepting && !endpoint.accepting);
        if (isNew)
            endpoint.slots = update.slots;
        if (isReturning)
            endpoint.health.slowStartFrom = hadUsableEndpoint ? now : TimePoint::min();
        endpoint.id = update.id;
        endpoint.declaredSlots = update.slots;
        endpoint.accepting = update.accepting;
        endpoint.extraLatency = update.extraLatency;
        endpoint.isRemoved = false;
    }
    for (auto& [id, endpoint] : pool.endpoints) {
        if (endpoint.isRemoved && endpoint.health.isEjected)
            endEjection(pool, endpoint);
    }
    std::erase_if(pool.endpoints,
        [](const auto& entry) { return entry.second.isRemoved && entry.second.inFlight == 0; });
    updateSlotShares(pool, now);
    rebuildAvailability(pool, now);
    ensureUsableEndpoint(pool, now);
}

void updateEntryVms(Pool& pool, const EntryVmsChanged& event, TimePoint now)
{
    auto weights = slotWeights(event.live);
    if (pool.self == event.self && pool.entryVms == weights && !pool.hasPendingSlots)
        return;
    pool.self = event.self;
    pool.entryVms = std::move(weights);
    updateSlotShares(pool, now);
    rebuildAvailability(pool, now);
    ensureUsableEndpoint(pool, now);
}

void endExpiredEjections(Pool& pool, TimePoint now)
{
    bool anyEnded = false;
    while (!pool.ejectedUntil.empty() && pool.ejectedUntil.begin()->first <= now) {
        endEjection(pool, pool.endpoints.at(pool.ejectedUntil.begin()->second));
        anyEnded = true;
    }
    if (anyEnded)
        rebuildAvailability(pool, now);
}

Endpoint* chooseEndpoint(
    Pool& pool, const EndpointId& avoided, std::size_t queued, std::mt19937_64& random, TimePoint now)
{
    endExpiredEjections(pool, now);
    if (!pool.availableLocal.empty())
        return &chooseFrom(pool, pool.availableLocal, avoided, random, now);
    if (pool.availableRemote.empty())
        return nullptr;
    auto& remoteEndpoint = chooseFrom(pool, pool.availableRemote, avoided, random, now);
    return isSpillFaster(pool, remoteEndpoint, queued) ? &remoteEndpoint : nullptr;
}

void takeSlot(Pool& pool, Endpoint& endpoint, TimePoint now)
{
    ++endpoint.inFlight;
    updateAvailable(pool, endpoint, now);
    if (endpoint.extraLatency > Duration::zero())
        ++pool.counters.spills;
}

void releaseSlot(Pool& pool, const EndpointId& id, TimePoint now)
{
    auto found = pool.endpoints.find(id);
    if (found == pool.endpoints.end())
        return;
    auto& endpoint = found->second;
    --endpoint.inFlight;
    if (endpoint.isRemoved && endpoint.inFlight == 0)
        pool.endpoints.erase(found);
    else
        updateAvailable(pool, endpoint, now);
}

void recordAttempt(Pool& pool, const EndpointId& id, const AttemptRecord& record, TimePoint now)
{
    updateMovingAverage(pool.slotHoldTime, record.seconds, poolSmoothingWeight);
    auto found = pool.endpoints.find(id);
    if (found == pool.endpoints.end() || (!record.isSuccess && !record.isEndpointFault))
        return;
    auto& endpoint = found->second;
    const double failure = record.isSuccess ? 0 : 1;
    endpoint.health.failureRate += endpointSmoothingWeight * (failure - endpoint.health.failureRate);
    pool.failureRate += poolSmoothingWeight * (failure - pool.failureRate);
    if (record.isSuccess)
        recordSuccess(pool, endpoint, record.seconds, now);
    else if (++endpoint.health.consecutiveFailures; canEject(pool, endpoint))
        eject(pool, endpoint, now);
    updateAvailable(pool, endpoint, now);
}

} // namespace damask::request
