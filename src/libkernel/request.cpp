#include "request_pvt.h"

#include <damaskworks/registry.h>

#include <algorithm>
#include <utility>

namespace damask::request {
namespace {

/// Arguments and result of one call to decide().
struct Context {
    State& state;
    TimePoint now;
    std::vector<Action>& actions;
};

FairQueue& queueOf(Pool& pool, const PendingRequest& pending)
{
    return pending.urgent ? pool.urgent : pool.ordinary;
}

std::size_t queuedCount(const Pool& pool) { return pool.urgent.size + pool.ordinary.size; }

void setTimer(Context& context, PendingRequest& pending, TimePoint at)
{
    if (pending.wakeAt != TimePoint::max())
        context.state.timers.erase({ pending.wakeAt, pending.id });
    pending.wakeAt = at;
    if (at != TimePoint::max())
        context.state.timers.emplace(at, pending.id);
}

/// Removes the request from its queue or its backoff and cancels its timer.
void stopWaiting(Context& context, Pool& pool, PendingRequest& pending)
{
    setTimer(context, pending, TimePoint::max());
    if (pending.stage == Stage::Queued)
        erase(queueOf(pool, pending), pending.callerId, pending.id);
    else if (pending.stage == Stage::BackingOff)
        --pool.backingOffCount;
}

Outcome outcomeOf(const PendingRequest& pending, Reason reason)
{
    if (reason == Reason::None)
        return Outcome::Done;
    return pending.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

/// Sends the final reply to a request that is neither queued nor in backoff, and forgets the request.
void reply(Context& context, Pool& pool, PendingRequest& pending, Reason reason)
{
    const auto outcome = outcomeOf(pending, reason);
    const auto delay = outcome == Outcome::NotRun ? retryAfter(pool, reason) : std::chrono::seconds(0);
    context.actions.push_back(Reply { pending.id, outcome, reason, delay });
    context.state.requests.erase(pending.id);
}

/// Ends a queued or backing-off request without another attempt.
void failWaiting(Context& context, Pool& pool, PendingRequest& pending, Reason reason)
{
    stopWaiting(context, pool, pending);
    reply(context, pool, pending, reason);
}

Reason deadlineReason(const Context& context, const PendingRequest& pending)
{
    return pending.deadline <= context.now ? Reason::DeadlinePassed : Reason::DeadlineNear;
}

/// Latest time at which an attempt is still expected to meet the deadline; the deadline itself if the
/// admission policy does not expire requests early.
TimePoint latestStart(const Pool& pool, const PendingRequest& pending)
{
    if (!pool.admission || !pool.admission->expiresEarly)
        return pending.deadline;
    const std::chrono::duration<double> bound(serviceTimeBound(pool));
    return pending.deadline - std::chrono::duration_cast<Duration>(bound);
}

void enqueue(Context& context, Pool& pool, PendingRequest& pending)
{
    pending.stage = Stage::Queued;
    push(queueOf(pool, pending), pending.callerId, pending.id);
    setTimer(context, pending, latestStart(pool, pending));
}

void dispatch(Context& context, Pool& pool, PendingRequest& pending, Endpoint& endpoint)
{
    takeSlot(pool, endpoint, context.now);
    pending.stage = Stage::InFlight;
    pending.endpoint = endpoint.id;
    pending.attemptStarted = context.now;
    ++pending.attempts;
    context.actions.push_back(
        Dispatch { pending.id, endpoint.id, pending.deadline - context.now, pending.attempts });
}

/// Takes the next request from the queues: urgent ones first, but an ordinary one after each urgentBurst
/// of them, so that ordinary requests do not starve.
PendingRequest& popNext(Context& context, Pool& pool)
{
    const bool ordinaryDue = pool.ordinary.size > 0 && pool.consecutiveUrgent >= pool.settings.urgentBurst;
    const bool urgent = pool.urgent.size > 0 && !ordinaryDue;
    pool.consecutiveUrgent = urgent ? pool.consecutiveUrgent + 1 : 0;
    auto& pending = context.state.requests.at(pop(urgent ? pool.urgent : pool.ordinary));
    setTimer(context, pending, TimePoint::max());
    pending.stage = Stage::InFlight;
    return pending;
}

void dispatchQueued(Context& context, Pool& pool)
{
    while (queuedCount(pool) > 0) {
        auto* endpoint = chooseEndpoint(pool, {}, queuedCount(pool), context.state.random, context.now);
        if (!endpoint)
            return;
        auto& pending = popNext(context, pool);
        if (latestStart(pool, pending) <= context.now) {
            reply(context, pool, pending, deadlineReason(context, pending));
            continue;
        }
        auto* other = pending.endpoint == endpoint->id
            ? chooseEndpoint(pool, pending.endpoint, queuedCount(pool) + 1, context.state.random, context.now)
            : nullptr;
        dispatch(context, pool, pending, other ? *other : *endpoint);
    }
}

/// The reason why the request may not wait, or std::nullopt if it may.
std::optional<Reason> refusalReason(const Context& context, const Pool& pool, const PendingRequest& pending)
{
    QueueView view;
    view.queued = waitingCount(pool);
    view.queueLimit = pool.settings.queueLimit;
    view.estimatedWait = estimatedWait(pool, pending.urgent, pending.callerId);
    view.serviceTimeBound = serviceTimeBound(pool);
    view.timeLeft = inSeconds(pending.deadline - context.now);
    if (pool.admission)
        return pool.admission->refuse(view);
    return view.queued >= view.queueLimit ? std::optional(Reason::QueueFull) : std::nullopt;
}

/// Evicts a request from a full queue in favour of \p pending. An urgent request replaces an ordinary one;
/// otherwise the caller with the most requests loses its newest one, if it has more requests than the
/// caller of \p pending would have (longest queue drop, B. Suter et al., 1998).
bool evictFor(Context& context, Pool& pool, const PendingRequest& pending)
{
    const auto ownLength = lengthOf(queueOf(pool, pending), pending.callerId);
    auto victim = newestOfLongestQueue(pool.ordinary, pending.urgent ? 0 : ownLength + 1);
    if (!victim && pending.urgent)
        victim = newestOfLongestQueue(pool.urgent, ownLength + 1);
    if (!victim)
        return false;
    ++pool.counters.evictions;
    failWaiting(context, pool, context.state.requests.at(*victim), Reason::QueueFull);
    return true;
}

void admit(Context& context, Pool& pool, PendingRequest& pending)
{
    if (queuedCount(pool) == 0) {
        if (auto* endpoint = chooseEndpoint(pool, {}, 1, context.state.random, context.now))
            return dispatch(context, pool, pending, *endpoint);
    }
    const auto reason = refusalReason(context, pool, pending);
    if (reason && !(*reason == Reason::QueueFull && evictFor(context, pool, pending)))
        return reply(context, pool, pending, *reason);
    enqueue(context, pool, pending);
    dispatchQueued(context, pool);
}

void refuseUnknownPool(Context& context, RequestId id)
{
    context.actions.push_back(Reply { id, Outcome::NotRun, Reason::NoRoute, std::chrono::seconds(1) });
}

void handle(Context& context, const Arrived& event)
{
    if (context.state.requests.contains(event.id))
        return;
    auto found = context.state.pools.find(event.pool);
    if (found == context.state.pools.end())
        return refuseUnknownPool(context, event.id);
    auto& pool = found->second;
    recordEvent(pool.arrivals, context.now);
    auto& pending = context.state.requests[event.id];
    pending.id = event.id;
    pending.pool = event.pool;
    pending.callerId = event.callerId;
    pending.arrived = context.now;
    pending.deadline
        = event.deadline == TimePoint {} ? context.now + pool.settings.requestTimeout : event.deadline;
    pending.idempotent = event.idempotent;
    pending.urgent = event.urgent;
    if (context.state.stopping)
        return reply(context, pool, pending, Reason::Stopping);
    if (pool.acceptingCount == 0)
        return reply(context, pool, pending, Reason::NoEndpoint);
    if (pending.deadline <= context.now)
        return reply(context, pool, pending, Reason::DeadlinePassed);
    admit(context, pool, pending);
}

/// Exponential backoff with full jitter: a random delay up to a bound that doubles with each attempt.
Duration backoff(const RetrySettings& settings, std::uint32_t attempts, std::mt19937_64& random)
{
    constexpr std::uint32_t maxDoublings = 16;
    const auto doublings = std::min(attempts - 1, maxDoublings);
    const auto bound = std::min(settings.baseBackoff * (1 << doublings), settings.maxBackoff);
    return Duration(std::uniform_int_distribution<Duration::rep>(0, bound.count())(random));
}

/// Starts the backoff before another attempt. Returns false if the request may not be retried.
bool scheduleRetry(Context& context, Pool& pool, PendingRequest& pending)
{
    const auto& settings = pool.settings.retry;
    if ((pending.mayHaveRun && !pending.idempotent) || pending.attempts >= settings.maxAttempts)
        return false;
    if (context.state.stopping || pool.acceptingCount == 0 || waitingCount(pool) >= pool.settings.queueLimit)
        return false;
    const auto at = context.now + backoff(settings, pending.attempts, context.state.random);
    if (at >= latestStart(pool, pending))
        return false;
    if (pool.retryTokens < 1) {
        ++pool.counters.retriesDenied;
        return false;
    }
    pool.retryTokens -= 1;
    ++pool.counters.retries;
    ++pool.backingOffCount;
    pending.stage = Stage::BackingOff;
    setTimer(context, pending, at);
    return true;
}

/// Whether the attempt failed only because the caller's deadline came before a response was due.
bool isCutShortByDeadline(
    const Pool& pool, const PendingRequest& pending, const AttemptEnded& event, TimePoint now)
{
    return event.result == AttemptEnded::Result::Failed && now >= pending.deadline
        && inSeconds(now - pending.attemptStarted) < serviceTimeBound(pool);
}

void recordAttemptEnd(Pool& pool, const PendingRequest& pending, const AttemptEnded& event, TimePoint now)
{
    AttemptRecord record;
    record.seconds = inSeconds(now - pending.attemptStarted);
    record.isSuccess = event.result == AttemptEnded::Result::Answered && !event.serverError;
    record.isEndpointFault = !record.isSuccess && !isCutShortByDeadline(pool, pending, event, now);
    recordAttempt(pool, pending.endpoint, record, now);
    if (!record.isSuccess)
        return;
    const auto& settings = pool.settings.retry;
    pool.retryTokens = std::min(pool.retryTokens + settings.budgetPerSuccess, settings.budgetBurst);
}

void handle(Context& context, const AttemptEnded& event)
{
    auto found = context.state.requests.find(event.id);
    if (found == context.state.requests.end())
        return;
    auto& pending = found->second;
    if (pending.stage != Stage::InFlight || pending.attempts != event.attempt)
        return;
    auto& pool = context.state.pools.at(pending.pool);
    recordAttemptEnd(pool, pending, event, context.now);
    releaseSlot(pool, pending.endpoint, context.now);
    if (event.result == AttemptEnded::Result::Failed)
        pending.mayHaveRun = true;
    if (event.result == AttemptEnded::Result::Answered)
        reply(context, pool, pending, Reason::None);
    else if (!scheduleRetry(context, pool, pending))
        reply(context, pool, pending,
            pending.deadline <= context.now ? Reason::DeadlinePassed : Reason::EndpointFailed);
    dispatchQueued(context, pool);
}

void handle(Context& context, const CallerDisconnected& event)
{
    auto found = context.state.requests.find(event.id);
    if (found == context.state.requests.end())
        return;
    auto& pending = found->second;
    auto& pool = context.state.pools.at(pending.pool);
    if (pending.stage == Stage::InFlight) {
        context.actions.push_back(CancelAttempt { event.id });
        releaseSlot(pool, pending.endpoint, context.now);
    } else {
        stopWaiting(context, pool, pending);
    }
    context.state.requests.erase(found);
    dispatchQueued(context, pool);
}

/// Ids of the queued and backing-off requests of \p pool, or of all pools if \p pool is empty.
std::vector<RequestId> waitingIds(const State& state, std::string_view pool)
{
    std::vector<RequestId> ids;
    for (const auto& [at, id] : state.timers) {
        if (pool.empty() || state.requests.at(id).pool == pool)
            ids.push_back(id);
    }
    return ids;
}

void failAllWaiting(Context& context, std::string_view poolName, Reason reason)
{
    for (auto id : waitingIds(context.state, poolName)) {
        auto& pending = context.state.requests.at(id);
        failWaiting(context, context.state.pools.at(pending.pool), pending, reason);
    }
}

void handle(Context& context, const PoolChanged& event)
{
    auto [found, isNew] = context.state.pools.try_emplace(event.pool);
    auto& pool = found->second;
    if (isNew)
        pool.retryTokens = event.settings.retry.budgetBurst;
    pool.settings = event.settings;
    pool.balancer = Registry<Balancer>::instance().find(pool.settings.balancer);
    pool.admission = Registry<Admission>::instance().find(pool.settings.admission);
    mergeEndpoints(pool, event.endpoints, context.now);
    if (pool.acceptingCount == 0)
        return failAllWaiting(context, event.pool, Reason::NoEndpoint);
    dispatchQueued(context, pool);
}

void handle(Context& context, const EntryVmsChanged& event)
{
    auto found = context.state.pools.find(event.pool);
    if (found == context.state.pools.end())
        return;
    updateEntryVms(found->second, event, context.now);
    dispatchQueued(context, found->second);
}

/// Handles the timer of a request: its backoff is over, or it can no longer be started in time.
void handleTimer(Context& context, PendingRequest& pending)
{
    auto& pool = context.state.pools.at(pending.pool);
    if (pending.stage == Stage::Queued)
        return failWaiting(context, pool, pending, deadlineReason(context, pending));
    stopWaiting(context, pool, pending);
    enqueue(context, pool, pending);
    dispatchQueued(context, pool);
}

void handle(Context&, const Tick&) { }

void handle(Context& context, const StopRequested&)
{
    context.state.stopping = true;
    failAllWaiting(context, {}, Reason::Stopping);
}

} // namespace

std::vector<Action> decide(State& state, const Event& event, TimePoint now)
{
    std::vector<Action> actions;
    Context context { state, now, actions };
    std::visit([&](const auto& typed) { handle(context, typed); }, event);
    while (!state.timers.empty() && state.timers.begin()->first <= now)
        handleTimer(context, state.requests.at(state.timers.begin()->second));
    return actions;
}

TimePoint nextTimerAt(const State& state)
{
    return state.timers.empty() ? TimePoint::max() : state.timers.begin()->first;
}

} // namespace damask::request
