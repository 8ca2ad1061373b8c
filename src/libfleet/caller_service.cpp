#include <damaskworks/caller_service.h>
#include <damaskworks/log.h>
#include <damaskworks/table_limits.h>

#include <algorithm>

namespace damask::fleet {
namespace {

/// Deadline of a request whose caller sets none.
constexpr milliseconds defaultDeadline { 3000 };
/// Part of the deadline that is left for the response to reach the caller.
constexpr milliseconds responseMargin { 150 };
/// Timeout of one transaction; a slow table responds within about 0.6 s.
constexpr milliseconds maxAttemptTimeout { 900 };
/// The platform's interface allows counts of queued jobs to be this old.
constexpr milliseconds maxCountAge { 2000 };
/// With less time left, the service makes no further attempt.
constexpr milliseconds minAttemptTimeout { 60 };
constexpr milliseconds retryBackoff { 60 }; ///< times the number of attempts so far
constexpr milliseconds maxRetryBackoff { 400 };
/// The service refuses a submission after the table has refused this many attempts. One retry covers a
/// transient refusal; more would only delay the response.
constexpr int maxRefusedAttempts = 2;
/// Fences are removed once so many of a part have expired, since each removal ends an epoch.
constexpr std::size_t minExpiredFences = 24;
/// Each removal takes three entries of a transaction.
constexpr std::size_t maxRemovedFences = 30;
constexpr milliseconds fenceRemovalTimeout { 900 };
/// Far longer than a caller repeats a request.
constexpr milliseconds minCancelledJobRetention { 10'000 };

std::string errorBody(std::string_view text) { return "{\"error\":\"" + std::string(text) + "\"}"; }

std::string inMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

} // namespace

/// A caller's request in progress.
struct CallerService::Call {
    std::shared_ptr<HttpExchange> exchange;
    CallerAction action = CallerAction::Unsupported;
    std::string id;
    Queue queue;
    CallerAuthorisation caller;
    TimePoint receivedAt {};
    TimePoint deadline {};
    JobSpec job;
    std::string part;
    Version epoch = 0; ///< of the part; named by a submission
    int attempts = 0;
    bool mayHaveCommitted = false; ///< an attempt had an unknown outcome, or the job's row exists
    std::unique_ptr<Timer> timer;
    std::optional<std::chrono::seconds> retryAfter; ///< of a refusal; nothing: as the table's contact says
};

CallerService::CallerService(CallerContext context)
    : m_context(context)
{
    m_context.cancelledJobRetention = std::max(m_context.cancelledJobRetention, minCancelledJobRetention);
}

void CallerService::setConfig(std::shared_ptr<const FleetConfig> config, CallerKeys keys)
{
    m_config = std::move(config);
    m_keys = std::move(keys);
    m_context.metrics.gauge("caller_keys", static_cast<double>(m_keys.size()));
}

void CallerService::reply(const CallPointer& call, int status, std::string body, std::string_view outcome)
{
    HttpResponse response { status, { { "Content-Type", "application/json" } }, std::move(body) };
    if (status == 429 || status == 503)
        response.headers.emplace_back("Retry-After",
            std::to_string(
                call->retryAfter.value_or(retryAfter(m_context.tableContact, m_context.clock.now()))
                    .count()));
    const auto elapsed = m_context.clock.now() - call->receivedAt;
    m_context.metrics.count("caller_answers_total{status=\"" + std::to_string(status) + "\"}");
    m_context.metrics.observe("caller_answer_seconds", elapsed);
    // The admission writes lines of its own, at a bounded rate.
    const bool isLogged = call->action != CallerAction::ReadState || status >= 400;
    if (isLogged && status != 429)
        logEvent(LogLevel::Info, "caller_answer",
            { { "method", call->exchange->request().method }, { "job", call->id },
                { "queue", call->queue.name }, { "organisation", call->caller.organisation },
                { "status", std::to_string(status) }, { "outcome", std::string(outcome) },
                { "attempts", std::to_string(call->attempts) },
                { "config", std::to_string(m_config ? m_config->version : 0) },
                { "config_age_ms", inMilliseconds(m_context.clock.now() - m_context.configCurrentAsOf()) },
                { "ms", inMilliseconds(elapsed) } });
    call->timer.reset();
    call->exchange->reply(std::move(response));
    --m_activeRequests;
}

void CallerService::handle(std::shared_ptr<HttpExchange> exchange)
{
    auto call = std::make_shared<Call>();
    call->exchange = std::move(exchange);
    call->receivedAt = m_context.clock.now();
    ++m_activeRequests;
    const auto& request = call->exchange->request();
    if (!m_config)
        return reply(call, 503, errorBody("no configuration yet"), "no_config");
    const auto host = http::header(request.headers, "host").value_or("");
    const auto* queue = m_config->route(host.substr(0, host.find(':')), request.path);
    if (!queue)
        return isConfigOutdated() ? refuseByOutdatedConfig(call)
                                  : reply(call, 404, errorBody("no such queue"), "no_queue");
    call->queue = *queue;
    if (!authorise(call))
        return;
    call->id = request.path.substr(queue->prefix.size());
    call->action = m_context.codec.action(request.method, call->id);
    auto requestTimeout = m_context.codec.callerDeadline(request).value_or(defaultDeadline);
    if (queue->timeout.count() > 0)
        requestTimeout = std::min(requestTimeout, queue->timeout);
    call->deadline = call->receivedAt + std::max(requestTimeout - responseMargin, minAttemptTimeout);
    call->part = rows::jobPart(queue->name, call->id);
    switch (call->action) {
    case CallerAction::Submit:
        return submit(call);
    case CallerAction::ReadState:
        return readState(call);
    case CallerAction::Cancel:
        return cancel(call);
    case CallerAction::CountPending:
        if (isConfigOutdated())
            return refuseByOutdatedConfig(call);
        if (!m_directoryLoaded)
            return reply(call, 503, errorBody("jobs are not loaded yet"), "not_loaded");
        if (!isDirectoryRecent())
            return reply(call, 503, errorBody("the count is out of date"), "stale");
        return reply(
            call, 200, m_context.codec.encodePending(m_context.directory.pendingJobs(queue->name)), "count");
    case CallerAction::Unsupported:
        return reply(call, 404, errorBody("no such job"), "unsupported");
    }
}

bool CallerService::authorise(const CallPointer& call)
{
    // The age is taken now, after the request was read: it was sent no later.
    const auto configAge = m_context.clock.now() - m_context.configCurrentAsOf();
    const auto key = m_context.codec.callerKey(call->exchange->request());
    call->caller = authoriseCaller(*m_config, m_keys, call->queue, key, configAge,
        { m_context.maxConfigAge, m_context.keyRevocationTime });
    if (call->caller.isAllowed())
        return true;
    countRefusal(nameOf(callerAccessNames, call->caller.access));
    if (call->caller.access == CallerAccess::UnknownKey)
        reply(call, 401, errorBody("unknown key"), "unknown_key");
    else
        reply(call, 503, errorBody("the keys may be out of date"), "keys_outdated");
    return false;
}

bool CallerService::mayAccessOrReply(const CallPointer& call, const JobRecord& record)
{
    if (mayAccess(call->caller, call->queue, record))
        return true;
    countRefusal("other_organisation");
    reply(call, 403, errorBody("the job is another organisation's"), "other_organisation");
    return false;
}

void CallerService::countRefusal(std::string_view reason)
{
    m_context.metrics.count("caller_access_refused_total{reason=\"" + std::string(reason) + "\"}");
}

bool CallerService::isDirectoryRecent() const
{
    return m_context.clock.now() - m_context.directoryCurrentAsOf() <= maxCountAge;
}

bool CallerService::isConfigOutdated() const
{
    return m_context.clock.now() - m_context.configCurrentAsOf() > m_context.maxConfigAge;
}

/// The queue may have been added, dropped or moved to another pool since. States and cancellations of known
/// jobs don't depend on that and are served.
void CallerService::refuseByOutdatedConfig(const CallPointer& call)
{
    reply(call, 503, errorBody("the configuration may be out of date"), "config_outdated");
}

bool CallerService::hasTimeLeft(const Call& call) const
{
    return m_context.clock.now() + minAttemptTimeout < call.deadline;
}

milliseconds CallerService::attemptTimeout(const Call& call) const
{
    const auto timeLeft = std::chrono::duration_cast<milliseconds>(call.deadline - m_context.clock.now());
    return std::clamp(timeLeft, minAttemptTimeout, maxAttemptTimeout);
}

void CallerService::retry(const CallPointer& call, void (CallerService::*operation)(const CallPointer&))
{
    // The timer's callback owns a reference to the call. reply() or the next retry() releases it.
    call->timer
        = std::make_unique<Timer>(m_context.base, [this, call, operation] { (this->*operation)(call); });
    call->timer->startOnce(std::min(retryBackoff * call->attempts, maxRetryBackoff));
}

void CallerService::submit(const CallPointer& call)
{
    const auto& body = call->exchange->request().body;
    if (m_config->maxBodyBytes > 0 && body.size() > m_config->maxBodyBytes)
        return reply(call, 413, errorBody("body too large"), "too_large");
    if (const auto* record = m_context.directory.find(call->id)) {
        if (mayAccessOrReply(call, *record))
            reply(call, 200, "{}", "known");
        return;
    }
    if (isConfigOutdated())
        return refuseByOutdatedConfig(call);
    const auto& fences = m_context.directory.fences();
    if (fences.contains(call->part, rows::cancelFenceKey(call->id, call->caller.organisation)))
        return reply(call, 410, errorBody("the job was cancelled"), "cancelled_before");
    call->epoch = fences.epoch(call->part);
    auto job = m_context.codec.decodeSubmission(body);
    if (!job)
        return reply(call, 400, errorBody(describe(job.error())), "invalid");
    call->job = std::move(*job);
    call->job.id = call->id;
    call->job.specBytes = call->job.spec.size();
    call->job.queue = call->queue.name;
    call->job.pool = call->queue.pool;
    call->job.organisation = call->caller.organisation;
    call->job.maxAttempts = call->queue.maxAttempts;
    call->job.acceptedAt = std::chrono::duration_cast<WallTime>(m_context.clock.wallNow().time_since_epoch());
    if (const auto excess = findExcess(jobTransaction(*call), m_context.maxRowBytes); !excess.empty())
        return reply(call, 413, errorBody("the job can't be stored: " + excess), "too_large");
    if (isUnreachable(m_context.tableContact, m_context.clock.now()))
        return reply(call, 503, errorBody("the table can't be reached"), "table_lost");
    if (m_context.admission && isDirectoryRecent())
        call->retryAfter = m_context.admission->refuse(call->job, *m_config, call->queue);
    if (call->retryAfter)
        return reply(call, 429, errorBody("the job can't be served in time"), "not_admitted");
    commitJob(call);
}

TableTransaction CallerService::jobTransaction(const Call& call)
{
    const std::string table(jobTable);
    const auto key = rows::jobKey(call.id);
    TableTransaction transaction { call.part,
        { { table, key, 0 }, { table, rows::cancelFenceKey(call.id, call.job.organisation), 0 },
            { table, std::string(rows::submissionEpochKey), call.epoch } },
        { { table, key, encodeJob(call.job) } } };
    if (call.job.specBytes > 0)
        transaction.writes.push_back({ std::string(specTable), call.id, call.job.spec });
    return transaction;
}

void CallerService::commitJob(const CallPointer& call)
{
    ++call->attempts;
    m_context.table.commit(jobTransaction(*call), attemptTimeout(*call),
        [this, call](TableResult<Version> result) { onSubmitted(call, result); });
}

void CallerService::onSubmitted(const CallPointer& call, TableResult<Version> result)
{
    if (result)
        return reply(call, 200, "{}", "accepted");
    logFailedAttempt(*call, result.error());
    if (result.error() == TableFailure::Conflict)
        return resolveConflict(call);
    if (result.error() == TableFailure::Invalid)
        return reply(
            call, call->mayHaveCommitted ? 504 : 503, errorBody("the job can't be stored"), "invalid_row");
    call->mayHaveCommitted = call->mayHaveCommitted || result.error() == TableFailure::Unknown;
    const bool isTableUnreachable = isUnreachable(m_context.tableContact, m_context.clock.now());
    const bool isRefused
        = !call->mayHaveCommitted && (call->attempts >= maxRefusedAttempts || isTableUnreachable);
    if (isRefused)
        return reply(call, 503, errorBody("the table does not take the job"), "not_accepted");
    // Nobody waits for the result of a further attempt; a caller that comes back sends its request again.
    if (!call->exchange->isOpen())
        return reply(call, 504, errorBody("the job may have been accepted"), "caller_left");
    // This node can't find out whether the job was accepted; another node can.
    if (!hasTimeLeft(*call) || isTableUnreachable)
        return reply(call, call->mayHaveCommitted ? 504 : 503, errorBody("the job may have been accepted"),
            "outcome_unknown");
    retry(call, &CallerService::commitJob);
}

void CallerService::logFailedAttempt(const Call& call, TableFailure failure) const
{
    logEvent(LogLevel::Info, "submission_attempt_failed",
        { { "job", call.id }, { "queue", call.queue.name }, { "attempt", std::to_string(call.attempts) },
            { "outcome", std::string(nameOf(tableFailureNames, failure)) },
            { "caller", call.exchange->isOpen() ? "connected" : "left" },
            { "ms", inMilliseconds(m_context.clock.now() - call.receivedAt) } });
}

void CallerService::resolveConflict(const CallPointer& call)
{
    call->mayHaveCommitted = true;
    readRecord(call, [this, call](const std::optional<JobRecord>& record) {
        if (!record)
            return resolveAbsentJob(call);
        // An earlier attempt or an earlier request of the caller has stored the job.
        if (mayAccessOrReply(call, *record))
            reply(call, 200, "{}", "known");
    });
}

void CallerService::resolveAbsentJob(const CallPointer& call)
{
    // The conflict came from the fence or the epoch, which keep out all attempts so far.
    call->mayHaveCommitted = false;
    const auto key = rows::cancelFenceKey(call->id, call->job.organisation);
    readRow(call, key, [this, call](const TableRow* fence) {
        if (fence)
            return reply(call, 410, errorBody("the job was cancelled"), "cancelled_before");
        renewEpoch(call);
    });
}

void CallerService::renewEpoch(const CallPointer& call)
{
    // A fence that was written since this call arrived may have been removed, unless the call is far younger
    // than the fences that are.
    const bool mayHaveBeenFenced
        = m_context.clock.now() - call->receivedAt >= m_context.cancelledJobRetention / 2;
    if (mayHaveBeenFenced || !hasTimeLeft(*call))
        return reply(call, 503, errorBody("the job was not stored in time"), "epoch_over");
    readRow(call, std::string(rows::submissionEpochKey), [this, call](const TableRow* epoch) {
        call->epoch = epoch ? epoch->version : 0;
        retry(call, &CallerService::commitJob);
    });
}

void CallerService::readState(const CallPointer& call)
{
    if (const auto* record = m_context.directory.find(call->id)) {
        if (mayAccessOrReply(call, *record))
            reply(call, 200, m_context.codec.encodeState(record->visibleState()), "state");
        return;
    }
    readRecord(call, [this, call](const std::optional<JobRecord>& record) {
        if (!record)
            return reply(call, 410, errorBody("no such job"), "absent");
        if (mayAccessOrReply(call, *record))
            reply(call, 200, m_context.codec.encodeState(record->visibleState()), "state_read");
    });
}

void CallerService::readRow(
    const CallPointer& call, std::string key, std::function<void(const TableRow*)> onRead)
{
    ++call->attempts;
    m_context.table.read(std::string(jobTable), call->part, key, 1,
        [this, call, key, onRead = std::move(onRead)](TableResult<TableRows> rows) {
            if (!rows)
                return reply(call, call->mayHaveCommitted ? 504 : 503, errorBody("the table can't be read"),
                    "table_unreachable");
            const bool isFound = !rows->rows.empty() && rows->rows.front().key == key;
            onRead(isFound ? &rows->rows.front() : nullptr);
        });
}

void CallerService::readRecord(const CallPointer& call, std::function<void(std::optional<JobRecord>)> onRead)
{
    readRow(call, rows::jobKey(call->id), [call, onRead = std::move(onRead)](const TableRow* row) {
        if (!row)
            return onRead(std::nullopt);
        JobDirectory singleJob;
        singleJob.apply(*row);
        const auto* record = singleJob.find(call->id);
        onRead(record ? std::optional(*record) : std::nullopt);
    });
}

void CallerService::cancel(const CallPointer& call)
{
    const auto* record = m_context.directory.find(call->id);
    if (!record)
        return commitFence(call);
    if (!mayAccessOrReply(call, *record))
        return;
    if (record->cancelled || isFinal(record->state))
        return reply(call, 200, "{}", "ended");
    commitCancellation(call);
}

void CallerService::commitFence(const CallPointer& call)
{
    ++call->attempts;
    const std::string table(jobTable);
    TableTransaction transaction { call->part, { { table, rows::jobKey(call->id), 0 } },
        { { table, rows::cancelFenceKey(call->id, call->caller.organisation), "{}" } } };
    if (const auto excess = findExcess(transaction, m_context.maxRowBytes); !excess.empty())
        return reply(call, 503, errorBody("the cancellation can't be stored: " + excess), "invalid_row");
    ageFences();
    if (call->attempts == 1)
        addExpiredFences(transaction, minExpiredFences);
    m_context.metrics.gauge("cancel_fences", static_cast<double>(m_context.directory.fences().size()));
    m_context.table.commit(transaction, attemptTimeout(*call), [this, call](TableResult<Version> result) {
        if (result)
            return reply(call, 410, errorBody("no such job"), "absent");
        if (result.error() == TableFailure::Conflict)
            return onFenceConflict(call);
        if (result.error() == TableFailure::Invalid)
            return reply(call, 503, errorBody("the cancellation can't be stored"), "invalid_row");
        if (!hasTimeLeft(*call))
            return reply(call, 504, errorBody("the job may have been cancelled"), "outcome_unknown");
        retry(call, &CallerService::commitFence);
    });
}

void CallerService::onFenceConflict(const CallPointer& call)
{
    readRecord(call, [this, call](const std::optional<JobRecord>& record) {
        if (record) {
            if (mayAccessOrReply(call, *record))
                commitCancellation(call);
            return;
        }
        // Another node has removed an expired fence meanwhile.
        if (!hasTimeLeft(*call))
            return reply(call, 504, errorBody("the job may have been cancelled"), "outcome_unknown");
        retry(call, &CallerService::commitFence);
    });
}

void CallerService::ageFences()
{
    const auto now = m_context.clock.now();
    if (now - m_agingSince < m_context.cancelledJobRetention)
        return;
    m_expiredVersion = m_agingVersion;
    m_agingVersion = m_context.directory.fences().newestVersion();
    m_agingSince = now;
}

void CallerService::addExpiredFences(TableTransaction& transaction, std::size_t least)
{
    const auto expired
        = m_context.directory.fences().oldest(transaction.part, m_expiredVersion, maxRemovedFences);
    if (expired.size() < least)
        return;
    const std::string table(jobTable);
    const auto ownKey = transaction.writes.empty() ? std::string() : transaction.writes.front().key;
    const auto earlierWrites = transaction.writes.size();
    for (const auto& fence : expired) {
        // The fence of a job that an earlier build has stored keeps it cancelled.
        const std::string job(parseCancelFenceKey(fence.key).job);
        if (fence.key == ownKey || m_context.directory.find(job))
            continue;
        transaction.preconditions.push_back({ table, rows::jobKey(job), 0 });
        transaction.preconditions.push_back({ table, fence.key, fence.version });
        transaction.writes.push_back({ table, fence.key, std::nullopt });
    }
    if (transaction.writes.size() == earlierWrites)
        return;
    transaction.writes.push_back({ table, std::string(rows::submissionEpochKey), "{}" });
    m_context.metrics.count("cancel_fence_removals_total");
}

void CallerService::removeExpiredFences()
{
    ageFences();
    const auto& fences = m_context.directory.fences();
    const auto parts = fences.parts();
    if (m_isRemovingFences || parts.empty())
        return;
    // Each removal ends an epoch, so a few fences are left alone until all of them have expired.
    const bool areAllExpired = fences.newestVersion() <= m_expiredVersion;
    // In turn, so that a part whose removal fails doesn't keep the others waiting.
    const auto next = parts.upper_bound(m_lastCleanedPart);
    m_lastCleanedPart = next == parts.end() ? *parts.begin() : *next;
    TableTransaction transaction { m_lastCleanedPart, {}, {} };
    addExpiredFences(transaction, areAllExpired ? 1 : minExpiredFences);
    if (transaction.writes.empty())
        return;
    m_isRemovingFences = true;
    m_context.table.commit(transaction, fenceRemovalTimeout,
        [this](const TableResult<Version>&) { m_isRemovingFences = false; });
}

void CallerService::commitCancellation(const CallPointer& call)
{
    ++call->attempts;
    // The write is idempotent, so a delayed duplicate of the transaction does no harm.
    const TableTransaction transaction { call->part, {},
        { { std::string(jobTable), rows::cancelKey(call->id), "{}" } } };
    m_context.table.commit(transaction, attemptTimeout(*call), [this, call](TableResult<Version> result) {
        if (result)
            return reply(call, 200, "{}", "cancelled");
        if (result.error() == TableFailure::Invalid)
            return reply(call, 503, errorBody("the cancellation can't be stored"), "invalid_row");
        if (!hasTimeLeft(*call))
            return reply(call, 504, errorBody("the job may have been cancelled"), "outcome_unknown");
        retry(call, &CallerService::commitCancellation);
    });
}

} // namespace damask::fleet
