#include "entry_pvt.h"

#include <damaskworks/log.h>

#include <algorithm>
#include <charconv>

namespace damask {
namespace {

constexpr std::string_view timeoutHeader = "Damask-Timeout-Ms";
constexpr std::string_view outcomeHeader = "Damask-Outcome";
constexpr std::string_view keyHeader = "Idempotency-Key";
/// Identifies the caller, so that a pool serves its callers fairly. Requests without it count as one
/// caller's.
constexpr std::string_view callerHeader = "Damask-Caller";
constexpr std::int64_t maxCallerTimeoutMs = 600'000;
/// Timeout of a request whose pool is unknown.
constexpr std::chrono::seconds defaultRequestTimeout { 10 };

int httpStatusFor(request::Outcome outcome, request::Reason reason)
{
    if (outcome == request::Outcome::Unknown)
        return 502;
    if (reason == request::Reason::NoRoute)
        return 404;
    if (reason == request::Reason::KeyInUse || reason == request::Reason::KeyOutcomeUnknown)
        return 409;
    return 503;
}

/// The timeout that the caller has set; nothing if there is none, -1 ms if the header is invalid.
std::optional<std::chrono::milliseconds> callerTimeout(const HttpHeaders& headers)
{
    const auto text = http::header(headers, timeoutHeader);
    if (!text)
        return std::nullopt;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size() || value < 1 || value > maxCallerTimeoutMs)
        return std::chrono::milliseconds(-1);
    return std::chrono::milliseconds(value);
}

bool isSafeMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

/// Whether the endpoint declined the request without running any part of it.
bool isNotRunResponse(const HttpResponse& response)
{
    return response.status == 503 && http::header(response.headers, outcomeHeader) == "not-run";
}

} // namespace

EntryProxy::EntryProxy(event_base* base, const Clock& clock, Metrics& metrics, TraceExporter* traceExporter,
    KeyClaims& keyClaims, FreshnessGuard& freshnessGuard, std::string dataCentre, std::uint64_t seed)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_traceExporter(traceExporter)
    , m_keyClaims(keyClaims)
    , m_freshnessGuard(freshnessGuard)
    , m_dataCentre(std::move(dataCentre))
    , m_random(seed)
    , m_client(base, HttpLimits {})
    , m_tickTimer(base, [this] { tick(); })
    , m_unsentTimer(base, [this] { reportUnsentAttempts(); })
    , m_declineTimer(base, [this] { sendPoolsToKernel(); })
{
    m_state.random.seed(seed);
}

void EntryProxy::serve(std::shared_ptr<HttpExchange> exchange)
{
    const auto& message = exchange->request();
    const auto timeout = callerTimeout(message.headers);
    if (timeout && timeout->count() < 0) {
        exchange->reply(
            { 400, { { "Content-Type", "application/json" }, { std::string(outcomeHeader), "not-run" } },
                "{\"error\":\"header Damask-Timeout-Ms: an integer from 1 to 600000 is allowed\"}\n" });
        return;
    }
    const auto key = http::header(message.headers, keyHeader);
    if (key && !idempotency::isValidKey(*key)) {
        exchange->reply(
            { 400, { { "Content-Type", "application/json" }, { std::string(outcomeHeader), "not-run" } },
                "{\"error\":\"header Idempotency-Key: 1 to 255 printable characters are allowed\"}\n" });
        return;
    }
    const auto now = m_clock.now();
    ActiveRequest active;
    active.exchange = exchange;
    active.arrivedAt = now;
    const auto* route = findRoute(message.path);
    active.pool = route ? route->pool : "";
    if (m_traceExporter) {
        std::optional<TraceContext> parent;
        if (auto header = http::header(message.headers, "traceparent"))
            parent = trace::parse(*header);
        active.span.context = trace::child(parent, m_random);
        active.span.parentSpanId = parent ? parent->spanId : "";
        active.span.name = "entry.request";
        active.span.start = m_clock.wallNow();
    }
    auto& arrival = active.arrival;
    arrival.pool = active.pool;
    Duration poolTimeout = defaultRequestTimeout;
    if (auto found = m_state.pools.find(active.pool); found != m_state.pools.end())
        poolTimeout = found->second.settings.requestTimeout;
    arrival.deadline = now + (timeout ? std::min<Duration>(*timeout, poolTimeout) : poolTimeout);
    arrival.idempotent = isSafeMethod(message.method) || (route && route->idempotent);
    arrival.urgent = route && route->urgent;
    arrival.callerId = std::string(http::header(message.headers, callerHeader).value_or(""));
    m_metrics.count("damask_requests_total");
    if (!m_freshnessGuard.isFresh())
        return refuse(active, request::Reason::ConfigurationStale);
    if (key && route && !arrival.idempotent && !m_state.stopping)
        return claimKey(std::move(active), *key);
    admit(std::move(active));
}

void EntryProxy::admit(ActiveRequest active)
{
    const auto id = m_nextRequestId++;
    active.arrival.id = id;
    active.exchange->onCallerDisconnected([this, id] { handle(request::CallerDisconnected { id }); });
    const auto arrival = active.arrival;
    m_activeRequests.emplace(id, std::move(active));
    handle(arrival);
}

void EntryProxy::claimKey(ActiveRequest active, std::string_view key)
{
    const auto claimId = m_nextClaimId++;
    active.exchange->onCallerDisconnected(
        [this, claimId] { m_awaitingClaim.at(claimId).exchange = nullptr; });
    const auto& request = active.exchange->request();
    const auto pool = active.pool;
    const std::string keyCopy(key);
    m_awaitingClaim.emplace(claimId, std::move(active));
    m_keyClaims.claim(pool, keyCopy, request,
        [this, claimId](ClaimResult result) { onClaimResult(claimId, std::move(result)); });
}

void EntryProxy::onClaimResult(std::uint64_t claimId, ClaimResult result)
{
    auto node = m_awaitingClaim.extract(claimId);
    auto& active = node.mapped();
    const bool isAcquired = result.kind == ClaimResult::Kind::Acquired;
    if (!active.exchange) { // the caller has disconnected
        if (isAcquired)
            m_keyClaims.release(std::move(result.held));
        return;
    }
    if (!isAcquired)
        return answerUnclaimed(active, result);
    active.claim = std::move(result.held);
    admit(std::move(active));
}

void EntryProxy::answerUnclaimed(ActiveRequest& active, const ClaimResult& result)
{
    using idempotency::RepeatDecision;
    const bool isRepeat = result.kind == ClaimResult::Kind::AlreadyClaimed;
    m_metrics.count("damask_key_repeats_total{verdict=\""
        + std::string(
            isRepeat ? nameOf(idempotency::repeatDecisionNames, result.decision) : "key_unverifiable")
        + "\"}");
    if (!isRepeat)
        return refuse(active, request::Reason::KeyUnverifiable);
    if (result.decision == RepeatDecision::Replay) {
        HttpResponse response { result.storedResponse->status, result.storedResponse->headers,
            result.storedResponse->body };
        response.headers.emplace_back("Idempotency-Replayed", "true");
        finishSpan(active.span, "replayed");
        return active.exchange->reply(std::move(response));
    }
    if (result.decision == RepeatDecision::InUse)
        return refuse(active, request::Reason::KeyInUse);
    if (result.decision == RepeatDecision::OutcomeUnknown)
        return refuse(active, request::Reason::KeyOutcomeUnknown);
    const auto reason = nameOf(idempotency::repeatDecisionNames, result.decision);
    const nlohmann::json body = { { "outcome", "not-run" }, { "reason", reason } };
    finishSpan(active.span, reason);
    active.exchange->reply({ result.decision == RepeatDecision::OtherRequest ? 422 : 409,
        { { "Content-Type", "application/json" }, { std::string(outcomeHeader), "not-run" } },
        body.dump() + "\n" });
}

void EntryProxy::refuse(ActiveRequest& active, request::Reason reason)
{
    const std::chrono::seconds retryAfter(reason == request::Reason::KeyOutcomeUnknown ? 0 : 1);
    const request::Reply reply { 0, request::Outcome::NotRun, reason, retryAfter };
    sendReply(active, reply);
    m_metrics.count("damask_answers_total{pool=\"" + active.pool + "\",outcome=\"not-run\"}");
    finishSpan(active.span, "not-run");
}

void EntryProxy::recordOutcome(ActiveRequest& active, const request::Reply& reply)
{
    if (!active.claim)
        return;
    if (reply.outcome == request::Outcome::Done)
        m_keyClaims.recordDone(std::move(*active.claim), active.response);
    else if (reply.outcome == request::Outcome::NotRun)
        m_keyClaims.release(std::move(*active.claim));
    else
        m_keyClaims.recordUnknown(std::move(*active.claim));
    active.claim.reset();
}

const EntryProxy::Route* EntryProxy::findRoute(std::string_view path) const
{
    for (const auto& route : m_routes) {
        if (path.starts_with(route.prefix))
            return &route;
    }
    return nullptr;
}

void EntryProxy::handle(const request::Event& event)
{
    for (const auto& action : request::decide(m_state, event, m_clock.now()))
        std::visit([this](const auto& typed) { carryOut(typed); }, action);
    if (const auto* disconnected = std::get_if<request::CallerDisconnected>(&event)) {
        // A request that was sent may have run although its caller has disconnected.
        if (auto found = m_activeRequests.find(disconnected->id); found != m_activeRequests.end()) {
            const bool mayHaveRun = found->second.mayHaveBeenSent;
            recordOutcome(found->second,
                { disconnected->id, mayHaveRun ? request::Outcome::Unknown : request::Outcome::NotRun,
                    request::Reason::None, {} });
            m_activeRequests.erase(found);
        }
    }
    scheduleTick();
}

void EntryProxy::carryOut(const request::Dispatch& action)
{
    auto found = m_activeRequests.find(action.id);
    if (found == m_activeRequests.end())
        return;
    auto& active = found->second;
    if (!m_freshnessGuard.isFresh()) {
        // The endpoint list may be out of date, so the attempt is not sent.
        m_unsentAttempts.push_back({ action.id, action.attempt });
        m_unsentTimer.startOnce(std::chrono::microseconds(0));
        return;
    }
    active.mayHaveBeenSent = true;
    active.endpoint = action.endpoint;
    HttpRequest forwarded = active.exchange->request();
    std::erase_if(forwarded.headers, [](const auto& header) { return http::isHopByHop(header.first); });
    if (m_traceExporter) {
        std::erase_if(forwarded.headers,
            [](const auto& header) { return http::header({ header }, "traceparent").has_value(); });
        active.attemptSpan = Span { trace::child(active.span.context, m_random), active.span.context.spanId,
            "endpoint.attempt", m_clock.wallNow(), {}, { { "endpoint", action.endpoint } } };
        forwarded.headers.emplace_back("traceparent", trace::format(active.attemptSpan.context));
    }
    const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(action.timeout);
    active.httpAttempt = m_client.send(m_endpointAddresses[action.endpoint], forwarded, timeout,
        [this, id = action.id, attempt = action.attempt](
            HttpResult result) { onAttemptEnded(id, attempt, std::move(result)); });
    m_metrics.count("damask_attempts_total");
}

void EntryProxy::onAttemptEnded(request::RequestId id, std::uint32_t attempt, HttpResult result)
{
    auto found = m_activeRequests.find(id);
    if (found == m_activeRequests.end())
        return;
    auto& active = found->second;
    active.httpAttempt = 0;
    request::AttemptEnded event { id };
    event.attempt = attempt;
    const auto endpoint = active.endpoint;
    event.serverError = result && result->status >= 500;
    if (result && !isNotRunResponse(*result)) {
        event.result = request::AttemptEnded::Result::Answered;
        active.response = std::move(*result);
    } else if (result || !result.error().mayHaveBeenSent) {
        event.result = request::AttemptEnded::Result::NotStarted;
        active.mayHaveBeenSent = false;
    } else {
        event.result = request::AttemptEnded::Result::Failed;
    }
    finishSpan(active.attemptSpan, result ? std::to_string(active.response.status) : "failed");
    if (result && event.result == request::AttemptEnded::Result::NotStarted)
        onEndpointDeclined(endpoint);
    handle(event);
}

void EntryProxy::carryOut(const request::Reply& action)
{
    auto found = m_activeRequests.find(action.id);
    if (found == m_activeRequests.end())
        return;
    auto active = std::move(found->second);
    m_activeRequests.erase(found);
    if (action.outcome == request::Outcome::Done)
        std::erase_if(active.response.headers, [](const auto& header) {
            return http::isHopByHop(header.first) || http::header({ header }, outcomeHeader);
        });
    if (action.outcome == request::Outcome::Done)
        active.response.headers.emplace_back(outcomeHeader, "done");
    recordOutcome(active, action);
    sendReply(active, action);
    const std::string labels = "{pool=\"" + active.pool + "\",outcome=\""
        + std::string(nameOf(request::outcomeNames, action.outcome)) + "\"}";
    m_metrics.count("damask_answers_total" + labels);
    m_metrics.observe("damask_request_seconds", m_clock.now() - active.arrivedAt);
    finishSpan(active.span, nameOf(request::outcomeNames, action.outcome));
}

void EntryProxy::sendReply(ActiveRequest& active, const request::Reply& reply)
{
    if (reply.outcome == request::Outcome::Done) {
        active.exchange->reply(std::move(active.response));
        return;
    }
    const auto outcome = nameOf(request::outcomeNames, reply.outcome);
    const nlohmann::json body
        = { { "outcome", outcome }, { "reason", nameOf(request::reasonNames, reply.reason) } };
    HttpResponse response { httpStatusFor(reply.outcome, reply.reason),
        { { "Content-Type", "application/json" }, { std::string(outcomeHeader), std::string(outcome) } },
        body.dump() + "\n" };
    if (reply.retryAfter.count() > 0)
        response.headers.emplace_back("Retry-After", std::to_string(reply.retryAfter.count()));
    active.exchange->reply(std::move(response));
}

void EntryProxy::carryOut(const request::CancelAttempt& action)
{
    auto found = m_activeRequests.find(action.id);
    if (found != m_activeRequests.end() && found->second.httpAttempt)
        m_client.cancel(found->second.httpAttempt);
}

void EntryProxy::reportUnsentAttempts()
{
    auto attempts = std::move(m_unsentAttempts);
    m_unsentAttempts.clear();
    for (const auto& [id, attempt] : attempts) {
        request::AttemptEnded event { id };
        event.attempt = attempt;
        event.result = request::AttemptEnded::Result::NotStarted;
        handle(event);
    }
}

void EntryProxy::tick()
{
    m_nextTickAt = TimePoint::max();
    handle(request::Tick {});
}

void EntryProxy::scheduleTick()
{
    const auto deadline = request::nextTimerAt(m_state);
    // The timer is only ever moved to an earlier time: a tick that fires too early has no effect and is
    // rescheduled.
    if (deadline >= m_nextTickAt)
        return;
    m_nextTickAt = deadline;
    const auto delay = std::max<Duration>(deadline - m_clock.now(), std::chrono::milliseconds(1));
    m_tickTimer.startOnce(std::chrono::ceil<std::chrono::microseconds>(delay));
}

void EntryProxy::finishSpan(Span& span, std::string_view outcome)
{
    if (!m_traceExporter || span.name.empty())
        return;
    span.end = m_clock.wallNow();
    span.attributes["outcome"] = std::string(outcome);
    m_traceExporter->exportSpan(span);
    span.name.clear();
}

} // namespace damask
