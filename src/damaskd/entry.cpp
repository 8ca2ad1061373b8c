#include "entry_pvt.h"

#include <damaskworks/log.h>

#include <algorithm>
#include <charconv>

namespace damask {
namespace {

constexpr std::string_view timeoutHeader = "Damask-Timeout-Ms";
constexpr std::string_view outcomeHeader = "Damask-Outcome";
constexpr std::string_view keyHeader = "Idempotency-Key";
/// Names the caller, for fairness between the callers of a pool; without it callers count as one.
constexpr std::string_view callerHeader = "Damask-Caller";
constexpr std::int64_t maxCallerTimeoutMs = 600'000;

int statusFor(request::Outcome outcome, request::Reason reason)
{
    if (outcome == request::Outcome::Unknown)
        return 502;
    if (reason == request::Reason::NoRoute)
        return 404;
    if (reason == request::Reason::KeyInUse || reason == request::Reason::KeyOutcomeUnknown)
        return 409;
    return 503;
}

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

bool saysNotRun(const HttpResponse& response)
{
    return response.status == 503 && http::header(response.headers, outcomeHeader) == "not-run";
}

} // namespace

Entry::Entry(event_base* base, const Clock& clock, Metrics& metrics, TraceExporter* exporter,
    KeyedRequests& keyed, Freshness& freshness, std::string dataCentre, std::uint64_t seed)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_exporter(exporter)
    , m_keyed(keyed)
    , m_freshness(freshness)
    , m_dataCentre(std::move(dataCentre))
    , m_random(seed)
    , m_client(base, HttpLimits {})
    , m_tick(base, [this] { tick(); })
    , m_notStartedTimer(base, [this] { reportNotStarted(); })
    , m_declineEnd(base, [this] { publishPools(); })
{
    m_state.random.seed(seed);
}

void Entry::serve(std::shared_ptr<HttpExchange> exchange)
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
    Active active;
    active.exchange = exchange;
    active.arrived = now;
    const auto* route = findRoute(message.path);
    active.pool = route ? route->pool : "";
    if (m_exporter) {
        std::optional<TraceContext> parent;
        if (auto header = http::header(message.headers, "traceparent"))
            parent = trace::parse(*header);
        active.span.context = trace::child(parent, m_random);
        active.span.parentSpanId = parent ? parent->spanId : "";
        active.span.name = "entry.request";
        active.span.start = m_clock.wallNow();
    }
    auto& event = active.event;
    event.pool = active.pool;
    Duration limit = std::chrono::seconds(10);
    if (auto found = m_state.pools.find(active.pool); found != m_state.pools.end())
        limit = found->second.settings.requestTimeout;
    event.deadline = now + (timeout ? std::min<Duration>(*timeout, limit) : limit);
    event.idempotent = isSafeMethod(message.method) || (route && route->idempotent);
    event.urgent = route && route->urgent;
    event.callerId = std::string(http::header(message.headers, callerHeader).value_or(""));
    m_metrics.count("damask_requests_total");
    if (!m_freshness.isFresh())
        return refuse(active, request::Reason::ConfigurationStale);
    if (key && route && !event.idempotent && !m_state.stopping)
        return claimKey(std::move(active), *key);
    admit(std::move(active));
}

void Entry::admit(Active active)
{
    const auto id = m_nextId++;
    active.event.id = id;
    active.exchange->onCallerGone([this, id] { handle(request::CallerDisconnected { id }); });
    const auto event = active.event;
    m_active.emplace(id, std::move(active));
    handle(event);
}

void Entry::claimKey(Active active, std::string_view key)
{
    const auto claiming = m_nextClaiming++;
    active.exchange->onCallerGone([this, claiming] { m_claiming.at(claiming).exchange = nullptr; });
    const auto& request = active.exchange->request();
    const auto pool = active.pool;
    const std::string ownKey(key);
    m_claiming.emplace(claiming, std::move(active));
    m_keyed.claim(pool, ownKey, request,
        [this, claiming](ClaimResult result) { keyClaimed(claiming, std::move(result)); });
}

void Entry::keyClaimed(std::uint64_t claiming, ClaimResult result)
{
    auto node = m_claiming.extract(claiming);
    auto& active = node.mapped();
    const bool held = result.kind == ClaimResult::Kind::Held;
    if (!active.exchange) { // the caller has gone
        if (held)
            m_keyed.release(std::move(result.held));
        return;
    }
    if (!held)
        return refuseKey(active, result);
    active.claim = std::move(result.held);
    admit(std::move(active));
}

void Entry::refuseKey(Active& active, const ClaimResult& result)
{
    using idempotency::RepeatDecision;
    const bool repeat = result.kind == ClaimResult::Kind::Claimed;
    m_metrics.count("damask_key_repeats_total{verdict=\""
        + std::string(repeat ? nameOf(idempotency::repeatDecisionNames, result.verdict) : "key_unverifiable")
        + "\"}");
    if (!repeat)
        return refuse(active, request::Reason::KeyUnverifiable);
    if (result.verdict == RepeatDecision::Replay) {
        HttpResponse response { result.answer->status, result.answer->headers, result.answer->body };
        response.headers.emplace_back("Idempotency-Replayed", "true");
        finishSpan(active.span, "replayed");
        return active.exchange->reply(std::move(response));
    }
    if (result.verdict == RepeatDecision::InUse)
        return refuse(active, request::Reason::KeyInUse);
    if (result.verdict == RepeatDecision::OutcomeUnknown)
        return refuse(active, request::Reason::KeyOutcomeUnknown);
    const auto reason = nameOf(idempotency::repeatDecisionNames, result.verdict);
    const nlohmann::json body = { { "outcome", "not-run" }, { "reason", reason } };
    finishSpan(active.span, reason);
    active.exchange->reply({ result.verdict == RepeatDecision::OtherRequest ? 422 : 409,
        { { "Content-Type", "application/json" }, { std::string(outcomeHeader), "not-run" } },
        body.dump() + "\n" });
}

void Entry::refuse(Active& active, request::Reason reason)
{
    const std::chrono::seconds retryAfter(reason == request::Reason::KeyOutcomeUnknown ? 0 : 1);
    const request::Reply reply { 0, request::Outcome::NotRun, reason, retryAfter };
    answer(active, reply);
    m_metrics.count("damask_answers_total{pool=\"" + active.pool + "\",outcome=\"not-run\"}");
    finishSpan(active.span, "not-run");
}

void Entry::settleKey(Active& active, const request::Reply& reply)
{
    if (!active.claim)
        return;
    if (reply.outcome == request::Outcome::Done)
        m_keyed.finish(std::move(*active.claim), active.response);
    else if (reply.outcome == request::Outcome::NotRun)
        m_keyed.release(std::move(*active.claim));
    else
        m_keyed.finishUnknown(std::move(*active.claim));
    active.claim.reset();
}

const Entry::Route* Entry::findRoute(std::string_view path) const
{
    for (const auto& route : m_routes) {
        if (path.starts_with(route.prefix))
            return &route;
    }
    return nullptr;
}

void Entry::handle(const request::Event& event)
{
    for (const auto& action : request::decide(m_state, event, m_clock.now()))
        std::visit([this](const auto& typed) { carryOut(typed); }, action);
    if (const auto* gone = std::get_if<request::CallerDisconnected>(&event)) {
        // A request that was sent may have run, whoever still waits for it.
        if (auto found = m_active.find(gone->id); found != m_active.end()) {
            const bool sent = found->second.wasSent;
            settleKey(found->second,
                { gone->id, sent ? request::Outcome::Unknown : request::Outcome::NotRun,
                    request::Reason::None, {} });
            m_active.erase(found);
        }
    }
    scheduleTick();
}

void Entry::carryOut(const request::Dispatch& action)
{
    auto found = m_active.find(action.id);
    if (found == m_active.end())
        return;
    auto& active = found->second;
    if (!m_freshness.isFresh()) {
        // The list of endpoints may be out of date: nothing is sent by it.
        m_notStarted.push_back({ action.id, action.attempt });
        m_notStartedTimer.startOnce(std::chrono::microseconds(0));
        return;
    }
    active.wasSent = true;
    active.endpoint = action.endpoint;
    HttpRequest forwarded = active.exchange->request();
    std::erase_if(forwarded.headers, [](const auto& header) { return http::isHopByHop(header.first); });
    if (m_exporter) {
        std::erase_if(forwarded.headers,
            [](const auto& header) { return http::header({ header }, "traceparent").has_value(); });
        active.attemptSpan = Span { trace::child(active.span.context, m_random), active.span.context.spanId,
            "endpoint.attempt", m_clock.wallNow(), {}, { { "endpoint", action.endpoint } } };
        forwarded.headers.emplace_back("traceparent", trace::format(active.attemptSpan.context));
    }
    const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(action.timeout);
    active.attempt = m_client.send(m_addresses[action.endpoint], forwarded, timeout,
        [this, id = action.id, attempt = action.attempt](
            HttpResult result) { attemptEnded(id, attempt, std::move(result)); });
    m_metrics.count("damask_attempts_total");
}

void Entry::attemptEnded(request::RequestId id, std::uint32_t attempt, HttpResult result)
{
    auto found = m_active.find(id);
    if (found == m_active.end())
        return;
    auto& active = found->second;
    active.attempt = 0;
    request::AttemptEnded event { id };
    event.attempt = attempt;
    const auto endpoint = active.endpoint;
    event.serverError = result && result->status >= 500;
    if (result && !saysNotRun(*result)) {
        event.result = request::AttemptEnded::Result::Answered;
        active.response = std::move(*result);
    } else if (result || !result.error().bytesSent) {
        event.result = request::AttemptEnded::Result::NotStarted;
        active.wasSent = false;
    } else {
        event.result = request::AttemptEnded::Result::Failed;
    }
    finishSpan(active.attemptSpan, result ? std::to_string(active.response.status) : "failed");
    if (result && event.result == request::AttemptEnded::Result::NotStarted)
        declined(endpoint);
    handle(event);
}

void Entry::carryOut(const request::Reply& action)
{
    auto found = m_active.find(action.id);
    if (found == m_active.end())
        return;
    auto active = std::move(found->second);
    m_active.erase(found);
    if (action.outcome == request::Outcome::Done)
        std::erase_if(active.response.headers, [](const auto& header) {
            return http::isHopByHop(header.first) || http::header({ header }, outcomeHeader);
        });
    if (action.outcome == request::Outcome::Done)
        active.response.headers.emplace_back(outcomeHeader, "done");
    settleKey(active, action);
    answer(active, action);
    const std::string labels = "{pool=\"" + active.pool + "\",outcome=\""
        + std::string(nameOf(request::outcomeNames, action.outcome)) + "\"}";
    m_metrics.count("damask_answers_total" + labels);
    m_metrics.observe("damask_request_seconds", m_clock.now() - active.arrived);
    finishSpan(active.span, nameOf(request::outcomeNames, action.outcome));
}

void Entry::answer(Active& active, const request::Reply& reply)
{
    if (reply.outcome == request::Outcome::Done) {
        active.exchange->reply(std::move(active.response));
        return;
    }
    const auto outcome = nameOf(request::outcomeNames, reply.outcome);
    const nlohmann::json body
        = { { "outcome", outcome }, { "reason", nameOf(request::reasonNames, reply.reason) } };
    HttpResponse response { statusFor(reply.outcome, reply.reason),
        { { "Content-Type", "application/json" }, { std::string(outcomeHeader), std::string(outcome) } },
        body.dump() + "\n" };
    if (reply.retryAfter.count() > 0)
        response.headers.emplace_back("Retry-After", std::to_string(reply.retryAfter.count()));
    active.exchange->reply(std::move(response));
}

void Entry::carryOut(const request::CancelAttempt& action)
{
    auto found = m_active.find(action.id);
    if (found != m_active.end() && found->second.attempt)
        m_client.cancel(found->second.attempt);
}

void Entry::reportNotStarted()
{
    auto attempts = std::move(m_notStarted);
    m_notStarted.clear();
    for (const auto& [id, attempt] : attempts) {
        request::AttemptEnded event { id };
        event.attempt = attempt;
        event.result = request::AttemptEnded::Result::NotStarted;
        handle(event);
    }
}

void Entry::tick()
{
    m_tickAt = TimePoint::max();
    handle(request::Tick {});
}

void Entry::scheduleTick()
{
    const auto deadline = request::nextTimerAt(m_state);
    // A tick that comes too early finds nothing to do and is set anew, so it is only moved forward.
    if (deadline >= m_tickAt)
        return;
    m_tickAt = deadline;
    const auto delay = std::max<Duration>(deadline - m_clock.now(), std::chrono::milliseconds(1));
    m_tick.startOnce(std::chrono::ceil<std::chrono::microseconds>(delay));
}

void Entry::finishSpan(Span& span, std::string_view outcome)
{
    if (!m_exporter || span.name.empty())
        return;
    span.end = m_clock.wallNow();
    span.attributes["outcome"] = std::string(outcome);
    m_exporter->exportSpan(span);
    span.name.clear();
}

} // namespace damask
