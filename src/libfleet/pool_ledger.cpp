#include <damaskworks/job_directory.h>
#include <damaskworks/log.h>
#include <damaskworks/pool_ledger.h>

#include <algorithm>

namespace damask::fleet {
namespace {

using std::chrono::milliseconds;

/// Longest wait for a transaction. A slow table answers within about 0.6 s.
constexpr milliseconds commitTimeout { 900 };
/// Changes are collected for this long, so that one transaction carries the ends of several tasks.
constexpr milliseconds collectDelay { 15 };
constexpr milliseconds retryDelay { 100 };

} // namespace

PoolLedger::PoolLedger(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics,
    std::string pool, TakenLease lease, LeaseLimits limits, Events events)
    : m_table(table)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_pool(std::move(pool))
    , m_lease(std::move(lease.row))
    , m_version(lease.version)
    , m_fence(lease.version)
    , m_limits(limits)
    , m_events(std::move(events))
    , m_timer(base, [this] { pump(); })
    , m_validUntil(lease.sentAt + limits.expiry - limits.margin)
    , m_nextRenewal(lease.sentAt + limits.renewal)
{
    pumpAfter(limits.renewal);
}

PoolLedger::~PoolLedger() { *m_alive = false; }

bool PoolLedger::mayOrder() const { return !m_ended && !m_releasing && m_clock.now() < m_validUntil; }

void PoolLedger::markDirty()
{
    if (m_dirty)
        return;
    m_dirty = true;
    m_dirtySince = m_clock.now();
    if (m_call == Call::None)
        pumpAfter(collectDelay);
}

void PoolLedger::release()
{
    m_releasing = true;
    pump();
}

void PoolLedger::raiseFence()
{
    if (m_raiseFence)
        return;
    m_raiseFence = true;
    m_nextRenewal = m_clock.now();
    pump();
}

void PoolLedger::pumpAfter(milliseconds delay) { m_timer.startOnce(delay); }

void PoolLedger::pump()
{
    if (m_call != Call::None || m_ended)
        return;
    const auto now = m_clock.now();
    if (m_mustRenew || (now >= m_nextRenewal && !m_releasing))
        return renew();
    if (m_dirty && (m_releasing || now >= m_dirtySince + collectDelay))
        return writeProgress();
    if (m_releasing)
        return sendRelease();
    auto wake = m_nextRenewal;
    if (m_dirty)
        wake = std::min(wake, m_dirtySince + collectDelay);
    pumpAfter(std::max(milliseconds(1), std::chrono::ceil<milliseconds>(wake - now)));
}

void PoolLedger::send(Call call, TableTransaction transaction, TableCallback<Version> callback)
{
    m_call = call;
    m_table.commit(transaction, commitTimeout,
        [this, alive = m_alive, callback = std::move(callback)](TableResult<Version> result) {
            if (!*alive || m_ended)
                return;
            m_call = Call::None;
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
    return { rows::poolPart(m_pool), { { table, key, m_version } }, { { table, key, encodeLease(row) } } };
}

void PoolLedger::renew()
{
    const auto sentAt = m_clock.now();
    auto row = m_lease;
    ++row.renewals;
    send(Call::Renew, leaseTransaction(row), [this, row, sentAt](TableResult<Version> result) {
        if (result) {
            const bool regained = !mayOrder() && !m_releasing;
            m_lease = row;
            m_version = *result;
            m_mustRenew = false;
            if (m_raiseFence)
                m_fence = *result;
            m_raiseFence = false;
            m_validUntil = sentAt + m_limits.expiry - m_limits.margin;
            m_nextRenewal = sentAt + m_limits.renewal;
            if (regained)
                logEvent(LogLevel::Info, "lease_regained", { { "pool", m_pool } });
            m_events.renewed();
            return pump();
        }
        if (result.error() == TableFailure::Conflict)
            return readLease();
        m_mustRenew = m_mustRenew || result.error() == TableFailure::Unknown;
        m_nextRenewal = m_clock.now() + retryDelay;
        pumpAfter(retryDelay);
    });
}

void PoolLedger::writeProgress()
{
    auto batch = m_events.collect();
    m_dirty = false;
    if (batch.writes.empty() && batch.ends.empty())
        return pump();
    if (batch.writes.empty()) { // ends that changed no job need no row
        m_events.committed(batch);
        return pump();
    }
    TableTransaction transaction { rows::poolPart(m_pool),
        { { std::string(controlTable), std::string(leaseKey), m_version } }, batch.writes };
    m_metrics.count("ledger_rows_total{pool=\"" + m_pool + "\"}", batch.writes.size());
    send(Call::Progress, std::move(transaction),
        [this, batch = std::move(batch)](TableResult<Version> result) {
            if (result) {
                m_events.committed(batch);
                return pump();
            }
            m_events.failed(batch);
            if (result.error() == TableFailure::Conflict)
                return readLease();
            m_mustRenew = m_mustRenew || result.error() == TableFailure::Unknown;
            if (!m_dirty) {
                m_dirty = true;
                m_dirtySince = m_clock.now();
            }
            pumpAfter(retryDelay);
        });
}

void PoolLedger::sendRelease()
{
    auto row = m_lease;
    row.node.clear();
    send(Call::Release, leaseTransaction(row), [this](TableResult<Version> result) {
        if (result || result.error() == TableFailure::Conflict) {
            m_ended = true;
            return m_events.released();
        }
        pumpAfter(retryDelay);
    });
}

void PoolLedger::readLease()
{
    m_call = Call::Read;
    const std::string key(leaseKey);
    m_table.read(std::string(controlTable), rows::poolPart(m_pool), key, 1,
        [this, alive = m_alive](TableResult<TableRows> rows) {
            if (!*alive || m_ended)
                return;
            m_call = Call::None;
            if (!rows) {
                m_nextRenewal = m_clock.now() + retryDelay;
                m_mustRenew = true; // the next conflict reads again
                return pumpAfter(retryDelay);
            }
            const auto lease = rows->rows.empty() ? std::nullopt : decodeLease(rows->rows.front().value);
            if (!lease || lease->session != m_lease.session || lease->node != m_lease.node)
                return lose();
            // A renewal of ours committed although its answer was lost.
            m_version = rows->rows.front().version;
            m_lease = *lease;
            m_nextRenewal = m_clock.now();
            pump();
        });
}

void PoolLedger::lose()
{
    m_ended = true;
    logEvent(LogLevel::Warning, "lease_lost", { { "pool", m_pool }, { "fence", std::to_string(m_fence) } });
    m_events.lost();
}

} // namespace damask::fleet
