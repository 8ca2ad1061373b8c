#include <damaskworks/store.h>

#include <algorithm>

namespace damask {
namespace {

constexpr int maxFenceConflictsPerOperation = 8;
constexpr std::size_t maxDeletionsPerFenceWrite = 64;
/// Key prefix of fence rows and operation rows.
constexpr std::string_view operationPrefix = "o/";

/// The error for a transaction that has not committed and never will.
PlatformError notWritten(std::string detail)
{
    return { PlatformFailure::Unavailable, std::move(detail), "", 0 };
}

} // namespace

struct Store::Operation {
    Transaction transaction; ///< as given, without the conditions and the write that send() adds
    std::string key; ///< of the operation row
    TableVersion fenceVersion = 0; ///< version of the fence row that the last send() required
    int fenceConflicts = 0;
    int outcomeAttempts = 0;
    PlatformCallback<TableVersion> callback;
};

Store::Store(event_base* base, Platform& platform, const Clock& clock, Metrics& metrics, std::string node,
    std::uint64_t seed, StoreLimits limits)
    : m_platform(platform)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_node(std::move(node))
    , m_random(seed)
    , m_limits(limits)
    // The random part keeps a restarted node from reusing the rows of its earlier process.
    , m_fenceKey(std::string(operationPrefix) + m_node + "/" + std::to_string(m_random()))
    , m_outcomeTimer(base, [this] { resolvePendingOutcomes(); })
{
}

void Store::commit(Transaction transaction, PlatformCallback<TableVersion> callback)
{
    auto operation = std::make_shared<Operation>();
    operation->transaction = std::move(transaction);
    operation->key = m_fenceKey + "/" + std::to_string(m_nextOperation++);
    operation->callback = std::move(callback);
    m_metrics.count("damask_table_commits_total");
    const bool needsFenceWrite
        = m_fenceVersion == 0 || m_finishedOperations.size() >= m_limits.operationCleanupThreshold;
    if (needsFenceWrite || !m_fenceWaiters.empty())
        return sendAfterFenceWrite(operation);
    send(operation);
}

/// Writes the fence row, or waits for the write in flight, and then sends the operation.
void Store::sendAfterFenceWrite(const OperationPointer& operation)
{
    advanceFence([this, operation](PlatformResult<TableVersion> fence) {
        if (fence)
            return send(operation);
        finish(operation, tl::make_unexpected(notWritten("table unavailable")));
    });
}

void Store::send(const OperationPointer& operation)
{
    auto transaction = operation->transaction;
    transaction.conditions.push_back({ operation->key, 0 });
    transaction.conditions.push_back({ m_fenceKey, m_fenceVersion });
    transaction.writes.push_back({ operation->key, "{}" });
    operation->fenceVersion = m_fenceVersion;
    m_platform.commit(transaction, [this, operation](PlatformResult<TableVersion> result) {
        if (result)
            return finish(operation, std::move(result));
        const auto& error = result.error();
        if (error.failure == PlatformFailure::OutcomeUnknown) {
            m_metrics.count("damask_table_lost_answers_total");
            return resolveOutcome(operation);
        }
        const bool isFenceConflict = error.failure == PlatformFailure::Conflict && error.key == m_fenceKey;
        if (!isFenceConflict)
            return finish(operation, std::move(result));
        // The fence row changed while this transaction was in flight, so nothing was written.
        if (++operation->fenceConflicts > maxFenceConflictsPerOperation)
            return finish(operation, tl::make_unexpected(notWritten("fence row changed on every attempt")));
        if (operation->fenceVersion == m_fenceVersion)
            return sendAfterFenceWrite(operation);
        send(operation);
    });
}

void Store::finish(const OperationPointer& operation, PlatformResult<TableVersion> result)
{
    if (result || result.error().failure == PlatformFailure::OutcomeUnknown)
        m_finishedOperations.push_back(operation->key);
    operation->callback(std::move(result));
}

/// Determines the outcome of a commit whose response was lost. Once the fence row has changed, the operation
/// can no longer commit and its operation row tells whether it did.
void Store::resolveOutcome(const OperationPointer& operation)
{
    if (operation->fenceVersion != m_fenceVersion)
        return readOutcome(operation);
    advanceFence([this, operation](PlatformResult<TableVersion> fence) {
        if (fence)
            return readOutcome(operation);
        scheduleOutcomeRetry(operation);
    });
}

void Store::readOutcome(const OperationPointer& operation)
{
    m_platform.readRow(operation->key, [this, operation](PlatformResult<Row> row) {
        if (row)
            return finish(operation, row->version);
        if (row.error().failure == PlatformFailure::NotFound)
            return finish(
                operation, tl::make_unexpected(notWritten("response lost; transaction did not commit")));
        scheduleOutcomeRetry(operation);
    });
}

void Store::scheduleOutcomeRetry(const OperationPointer& operation)
{
    if (++operation->outcomeAttempts >= m_limits.maxOutcomeAttempts) {
        m_metrics.count("damask_table_unknown_outcomes_total");
        return finish(operation,
            tl::make_unexpected(PlatformError {
                PlatformFailure::OutcomeUnknown, "table unreachable after the commit was sent", "", 0 }));
    }
    // All unresolved operations share one attempt and its fence write, so more of them cause no more writes.
    m_unresolved.push_back(operation);
    if (m_unresolved.size() > 1)
        return;
    const auto longest = m_limits.outcomeBackoff.count() << (operation->outcomeAttempts - 1);
    std::uniform_int_distribution<std::int64_t> jitter(longest / 2, longest);
    m_outcomeTimer.startOnce(std::chrono::milliseconds(jitter(m_random)));
}

void Store::resolvePendingOutcomes()
{
    const auto operations = std::move(m_unresolved);
    m_unresolved.clear();
    for (const auto& operation : operations)
        resolveOutcome(operation);
}

/// Writes the fence row and calls \p callback with its new version. Calls during a write share that write.
void Store::advanceFence(FenceCallback callback)
{
    m_fenceWaiters.push_back(std::move(callback));
    if (m_fenceWaiters.size() == 1)
        writeFence();
}

void Store::writeFence()
{
    Transaction transaction { { { m_fenceKey, m_fenceVersion } }, { { m_fenceKey, "{}" } } };
    m_deletionsInFenceWrite = std::min(m_finishedOperations.size(), maxDeletionsPerFenceWrite);
    for (std::size_t i = 0; i < m_deletionsInFenceWrite; ++i)
        transaction.writes.push_back({ m_finishedOperations[i], std::nullopt });
    m_metrics.count("damask_table_fence_writes_total");
    m_platform.commit(transaction, [this](PlatformResult<TableVersion> result) {
        if (result) {
            const auto end
                = m_finishedOperations.begin() + static_cast<std::ptrdiff_t>(m_deletionsInFenceWrite);
            m_finishedOperations.erase(m_finishedOperations.begin(), end);
            return completeFenceWrite(std::move(result));
        }
        const auto failure = result.error().failure;
        if (failure == PlatformFailure::OutcomeUnknown || failure == PlatformFailure::Conflict)
            return readFence();
        completeFenceWrite(std::move(result));
    });
}

/// Reads the fence row after a conflict or a lost response: one of this process's earlier writes of it may
/// have taken effect.
void Store::readFence()
{
    m_platform.readRow(m_fenceKey, [this](PlatformResult<Row> row) {
        if (row && row->version != m_fenceVersion)
            return completeFenceWrite(row->version);
        completeFenceWrite(tl::make_unexpected(notWritten("fence row was not written")));
    });
}

void Store::completeFenceWrite(PlatformResult<TableVersion> result)
{
    if (result)
        m_fenceVersion = *result;
    auto callbacks = std::move(m_fenceWaiters);
    m_fenceWaiters.clear();
    for (const auto& callback : callbacks)
        callback(result);
}

} // namespace damask
