#include "request_model_test.h"

namespace damask::request::test {

std::vector<Action> Checker::apply(State& state, const Event& event, TimePoint now)
{
    m_endedAttempt = nullptr;
    std::visit([&](const auto& typed) { recordEvent(typed, now); }, event);
    auto actions = decide(state, event, now);
    for (const auto& action : actions)
        std::visit([&](const auto& typed) { check(typed, now); }, action);
    checkInvariants(now);
    return actions;
}

void Checker::recordEvent(const Arrived& event, TimePoint)
{
    ObservedRequest request;
    request.pool = event.pool;
    request.deadline = event.deadline;
    request.idempotent = event.idempotent;
    request.isWaiting = true;
    m_requests.emplace(event.id, request);
}

void Checker::recordEvent(const AttemptEnded& event, TimePoint)
{
    auto found = m_requests.find(event.id);
    if (found == m_requests.end())
        return;
    auto& request = found->second;
    if (!request.inFlight || event.attempt != request.attempts)
        return; // late or duplicated event
    m_endedAttempt = &event;
    endAttempt(request);
    request.isWaiting = true;
    if (event.result != AttemptEnded::Result::NotStarted)
        request.mayHaveRun = true;
}

void Checker::recordEvent(const CallerDisconnected& event, TimePoint)
{
    auto found = m_requests.find(event.id);
    if (found == m_requests.end() || found->second.answered)
        return;
    found->second.isCallerDisconnected = true;
    found->second.isWaiting = false;
}

void Checker::recordEvent(const PoolChanged& event, TimePoint)
{
    auto& endpoints = m_endpoints[event.pool];
    for (auto& [id, endpoint] : endpoints)
        endpoint.accepting = false;
    for (const auto& update : event.endpoints) {
        endpoints[update.id].accepting = update.accepting;
        endpoints[update.id].slots = update.slots;
    }
    m_queueLimits[event.pool] = event.settings.queueLimit;
}

void Checker::check(const Dispatch& action, TimePoint now)
{
    auto& request = m_requests[action.id];
    auto& endpoint = m_endpoints[request.pool][action.endpoint];
    expect(!request.answered && !request.isCallerDisconnected, "no dispatch after the final reply");
    expect(!request.inFlight, "at most one attempt in flight per request");
    expect(!request.mayHaveRun || request.idempotent, "P5: non-idempotent request runs at most once");
    expect(endpoint.accepting, "P6: no dispatch to an endpoint that does not accept requests");
    expect(!m_stopping, "P7: no dispatch after a stop request");
    expect(now < request.deadline, "no dispatch after the deadline");
    expect(now + action.timeout <= request.deadline, "the timeout of an attempt ends by the deadline");
    request.inFlight = true;
    request.isWaiting = false;
    request.endpoint = action.endpoint;
    expect(action.attempt == ++request.attempts, "attempts are numbered from 1");
    expect(
        ++endpoint.inFlight <= endpoint.slots, "requests in flight do not exceed the slots of an endpoint");
}

void Checker::check(const Reply& action, TimePoint)
{
    auto& request = m_requests[action.id];
    expect(!request.answered, "one final reply per request");
    expect(!request.isCallerDisconnected, "no reply to a disconnected caller");
    expect(!request.inFlight, "no reply while an attempt is in flight");
    if (action.outcome == Outcome::NotRun)
        expect(!request.mayHaveRun, "P4: outcome not-run only if no endpoint may have run the request");
    if (action.outcome == Outcome::NotRun)
        expect(action.retryAfter.count() > 0, "a not-run reply has a Retry-After delay");
    if (action.outcome == Outcome::Done)
        expect(m_endedAttempt && m_endedAttempt->id == action.id
                && m_endedAttempt->result == AttemptEnded::Result::Answered,
            "P3: outcome done only with the response to the request's current attempt");
    if (action.outcome == Outcome::Unknown)
        expect(request.mayHaveRun, "outcome unknown only if an endpoint may have run the request");
    request.answered = true;
    request.isWaiting = false;
}

void Checker::check(const CancelAttempt& action, TimePoint)
{
    auto& request = m_requests[action.id];
    expect(request.inFlight && request.isCallerDisconnected,
        "an attempt is cancelled only if its caller has disconnected");
    endAttempt(request);
}

void Checker::endAttempt(ObservedRequest& request)
{
    request.inFlight = false;
    --m_endpoints[request.pool][request.endpoint].inFlight;
}

void Checker::checkInvariants(TimePoint now)
{
    std::map<std::string, std::size_t> waiting;
    for (const auto& [id, request] : m_requests) {
        expect(!request.isCallerDisconnected || !request.inFlight,
            "the attempt of a disconnected caller is cancelled");
        if (!request.isWaiting)
            continue;
        ++waiting[request.pool];
        expect(now < request.deadline, "a waiting request gets a reply when its deadline passes");
        expect(!m_stopping, "P7: waiting requests get a reply at once on a stop request");
    }
    for (const auto& [pool, count] : waiting)
        expect(count <= m_queueLimits[pool], "the queue is bounded");
    if (m_endedAttempt && m_endedAttempt->result == AttemptEnded::Result::Answered)
        expect(m_requests[m_endedAttempt->id].answered, "P3: a response is passed on when it arrives");
    if (m_endedAttempt && m_endedAttempt->result == AttemptEnded::Result::Failed
        && !m_requests[m_endedAttempt->id].idempotent)
        expect(
            m_requests[m_endedAttempt->id].answered, "a failed non-idempotent request gets a reply at once");
}

void Checker::checkAllAnswered()
{
    for (const auto& [id, request] : m_requests)
        expect(request.answered || request.isCallerDisconnected, "each request has a final reply");
}

void Checker::expect(bool holds, const std::string& invariant)
{
    if (!holds)
        m_violations.push_back(invariant);
}

} // namespace damask::request::test
