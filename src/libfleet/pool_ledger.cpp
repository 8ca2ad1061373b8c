#include <damaskworks/job_directory.h>
#include <damaskworks/log.h>
#include <damaskworks/pool_ledger.h>

#include <algorithm>

namespace damask::fleet {
namespace {

using std::chrono::milliseconds;

/// A slow table responds within about 0.6 s.
constexpr milliseconds commitTimeout { 900 };
/// Changes within this time go into one transaction, which then records the ends of several runs.
constexpr milliseconds batchDelay { 15 };
constexpr milliseconds retryDelay { 100 };
/// Entries of a transaction besides the writes: the expectation on the lease row.
constexpr std::size_t reservedEntries = 1;
/// Bytes of a call besides its writes: the names of its lists and that expectation.
constexpr std::size_t reservedBytes = 512;

} // namespace

bool hasRoomFor(const LedgerBatch& batch, std::size_t entries, std::size_t bytes, const LedgerLimits& limits)
{
    return batch.writes.size() + reservedEntries + entries <= maxTransactionEntries
        && batch.bytes + reservedBytes + bytes <= std::min(limits.maxBatchBytes, maxTransactionBytes);
}

void addWrite(LedgerBatch& batch, TableWrite write, std::string_view part)
{
    batch.bytes += encodedSize(write, part);
    batch.writes.push_back(std::move(write));
}

bool addWriteIfRoom(LedgerBatch& batch, TableWrite write, std::string_view part, const LedgerLimits& limits)
{
    if (!hasRoomFor(batch, 1, encodedSize(write, part), limits))
        return false;
    addWrite(batch, std::move(write), part);
    return true;
}

PoolLedger::PoolLedger(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics,
    std::string pool, AcquiredLease lease, LeaseTiming timing, Callbacks callbacks)
    : m_table(table)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_pool(std::move(pool))
    , m_lease(std::move(lease.row))
    , m_leaseVersion(lease.version)
    , m_fencingToken(lease.version)
    , m_timing(timing)
    , m_callbacks(std::move(callbacks))
    , m_timer(base, [this] { sendNext(); })
    , m_renewedAt(lease.sentAt)
    , m_leaseValidUntil(lease.sentAt + timing.expiry - timing.safetyMargin)
    , m_nextRenewal(lease.sentAt + timing.renewalInterval)
{
    scheduleNext(timing.renewalInterval);
}

PoolLedger::~PoolLedger() { *m_alive = false; }

bool PoolLedger::isLeaseValid() const
{
    return !m_ended && !m_releasing && m_clock.now() < m_leaseValidUntil;
}

void PoolLedger::markDirty()
{
    if (m_dirty)
        return;
    m_dirty = true;
    m_dirtySince = m_clock.now();
    if (m_inFlight == Request::None)
        scheduleNext(batchDelay);
}

void PoolLedger::release()
{
    m_releasing = true;
    sendNext();
}

void PoolLedger::raiseFencingToken()
{
    if (m_raiseTokenOnRenewal)
        return;
    m_raiseTokenOnRenewal = true;
    m_nextRenewal = m_clock.now();
    sendNext();
}

void PoolLedger::scheduleNext(milliseconds delay) { m_timer.startOnce(delay); }

void PoolLedger::sendNext()
{
    if (m_inFlight != Request::None || m_ended)
        return;
    const auto now = m_clock.now();
    if (m_mustRenew || (now >= m_nextRenewal && !m_releasing))
        return renew();
    if (m_dirty && (m_releasing || now >= m_dirtySince + batchDelay))
        return writeProgress();
    if (m_releasing)
        return sendRelease();
    auto next = m_nextRenewal;
    if (m_dirty)
        next = std::min(next, m_dirtySince + batchDelay);
    scheduleNext(std::max(milliseconds(1), std::chrono::ceil<milliseconds>(next - now)));
}

void PoolLedger::send(Request request, TableTransaction transaction, TableCallback<Version> callback)
{
    m_inFlight = request;
    m_table.commit(transaction, commitTimeout,
        [this, alive = m_alive, sentAt = m_clock.now(), callback = std::move(callback)](
            TableResult<Version> result) {
            if (!*alive || m_ended)
                return;
            m_inFlight = Request::None;
            m_longestCommit = std::max(m_longestCommit, m_clock.now() - sentAt);
            if (!result)
                m_metrics.count("ledger_failures_total{pool=\"" + m_pool + "\",failure=\""
                    + std::string(nameOf(tableFailureNames, result.error())) + "\"}");
            callback(result);
        });
}

TableTransaction PoolLedger::leaseTransaction(const LeaseRow& row) const
{
    const std::string table(controlTable);
    const std::string key(leaseKey);
    return { rows::poolPart(m_pool), { { table, key, m_leaseVersion } },
        { { table, key, encodeLease(row) } } };
}

void PoolLedger::renew()
{
    const auto sentAt = m_clock.now();
    m_longestDelay = std::max(m_longestDelay, sentAt - m_nextRenewal);
    auto row = m_lease;
    ++row.renewals;
    send(Request::RenewLease, leaseTransaction(row), [this, row, sentAt](TableResult<Version> result) {
        if (result) {
            const bool hadExpired = !isLeaseValid() && !m_releasing;
            m_lease = row;
            m_leaseVersion = *result;
            m_mustRenew = false;
            if (m_raiseTokenOnRenewal)
                m_fencingToken = *result;
            m_raiseTokenOnRenewal = false;
            m_leaseValidUntil = sentAt + m_timing.expiry - m_timing.safetyMargin;
            m_nextRenewal = sentAt + m_timing.renewalInterval;
            if (hadExpired)
                logLeaseChange(LogLevel::Info, "lease_regained");
            m_renewedAt = sentAt;
            m_failedRenewals = 0;
            m_longestDelay = m_longestCommit = Duration {};
            m_callbacks.renewed();
            return sendNext();
        }
        ++m_failedRenewals;
        if (result.error() == TableFailure::Conflict)
            return readLease();
        m_mustRenew = m_mustRenew || result.error() == TableFailure::Unknown;
        m_nextRenewal = m_clock.now() + retryDelay;
        scheduleNext(retryDelay);
    });
}

void PoolLedger::writeProgress()
{
    auto batch = m_callbacks.collect();
    m_dirty = false;
    if (batch.writes.empty() && batch.ends.empty())
        return sendNext();
    if (batch.writes.empty()) { // ends that changed no job need no row
        m_callbacks.committed(batch);
        return sendNext();
    }
    TableTransaction transaction { rows::poolPart(m_pool),
        { { std::string(controlTable), std::string(leaseKey), m_leaseVersion } }, batch.writes };
    m_metrics.count("ledger_rows_total{pool=\"" + m_pool + "\"}", batch.writes.size());
    send(Request::WriteProgress, std::move(transaction),
        [this, batch = std::move(batch)](TableResult<Version> result) {
            if (result) {
                m_callbacks.committed(batch);
                if (!batch.isComplete)
                    m_dirtySince -= batchDelay;
                return sendNext();
            }
            const bool isRejected = result.error() == TableFailure::Invalid && m_callbacks.rejected;
            isRejected ? m_callbacks.rejected(batch) : m_callbacks.failed(batch);
            if (result.error() == TableFailure::Conflict)
                return readLease();
            m_mustRenew = m_mustRenew || result.error() == TableFailure::Unknown;
            if (!m_dirty) {
                m_dirty = true;
                m_dirtySince = m_clock.now();
            }
            scheduleNext(retryDelay);
        });
}

void PoolLedger::sendRelease()
{
    auto row = m_lease;
    row.node.clear();
    send(Request::ReleaseLease, leaseTransaction(row), [this](TableResult<Version> result) {
        if (result || result.error() == TableFailure::Conflict) {
            m_ended = true;
            return m_callbacks.released();
        }
        scheduleNext(retryDelay);
    });
}

void PoolLedger::readLease()
{
    m_inFlight = Request::ReadLease;
    const std::string key(leaseKey);
    m_table.read(std::string(controlTable), rows::poolPart(m_pool), key, 1,
        [this, alive = m_alive](TableResult<TableRows> rows) {
            if (!*alive || m_ended)
                return;
            m_inFlight = Request::None;
            if (!rows) {
                m_nextRenewal = m_clock.now() + retryDelay;
                m_mustRenew = true; // another conflict leads to another read
                return scheduleNext(retryDelay);
            }
            const auto lease = rows->rows.empty() ? std::nullopt : decodeLease(rows->rows.front().value);
            if (!lease || lease->session != m_lease.session || lease->node != m_lease.node)
                return onLeaseLost();
            // An earlier renewal by this node has committed although its response was lost.
            m_leaseVersion = rows->rows.front().version;
            m_lease = *lease;
            m_nextRenewal = m_clock.now();
            sendNext();
        });
}

void PoolLedger::logLeaseChange(LogLevel level, const std::string& event) const
{
    const auto inMilliseconds = [](Duration duration) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
    };
    logEvent(level, event,
        { { "pool", m_pool }, { "fence", std::to_string(m_fencingToken) },
            { "unrenewed_ms", inMilliseconds(m_clock.now() - m_renewedAt) },
            { "failed_renewals", std::to_string(m_failedRenewals) },
            { "delay_ms", inMilliseconds(m_longestDelay) },
            { "commit_ms", inMilliseconds(m_longestCommit) } });
    m_metrics.count(event + "_total{pool=\"" + m_pool + "\"}");
}

void PoolLedger::onLeaseLost()
{
    m_ended = true;
    logLeaseChange(LogLevel::Warning, "lease_lost");
    m_callbacks.lost();
}

} // namespace damask::fleet
