#include <damaskworks/job_directory.h>
#include <damaskworks/log.h>
#include <damaskworks/pool_election.h>

#include <algorithm>

namespace damask::fleet {
namespace {

using std::chrono::milliseconds;

/// Interval between checks for free leases; a tenth of LeaseTiming::expiry.
constexpr milliseconds checkInterval { 200 };
constexpr milliseconds acquireTimeout { 900 };
constexpr std::string_view poolPartPrefix = "pool/";
/// Holder of a lease whose row is unreadable; no node has this name.
constexpr std::string_view unknownHolder = "?";

/// Stands for the content of an unreadable row, so that the pool gets a holder again once the lease that the
/// row may have granted has expired. Without an earlier row the term is taken from the version, which every
/// term has increased.
LeaseRow replacementFor(const ObservedLease& last, Version version)
{
    const auto term = last.version > 0 ? last.row.term : std::min<Version>(version, maxTerm / 2);
    return { std::string(unknownHolder), "", term, last.row.renewals };
}

} // namespace

PoolElection::PoolElection(event_base* base, SharedTable& table, const Clock& clock, std::string node,
    std::string session, NodeCapacity capacity, std::uint64_t seed, LeaseTiming timing, Callbacks callbacks)
    : m_table(table)
    , m_clock(clock)
    , m_node(std::move(node))
    , m_session(std::move(session))
    , m_capacity(capacity)
    , m_random(seed)
    , m_timing(timing)
    , m_callbacks(std::move(callbacks))
    , m_timer(base, [this] { check(); })
{
    m_timer.startOnce(checkInterval);
}

PoolElection::~PoolElection() { *m_alive = false; }

void PoolElection::setPools(std::set<std::string> pools)
{
    m_pools = std::move(pools);
    check();
}

void PoolElection::applyRow(const TableRow& row)
{
    if (row.key != leaseKey || !row.part.starts_with(poolPartPrefix))
        return;
    auto& observed = m_leases[row.part.substr(poolPartPrefix.size())];
    if (row.version <= observed.version)
        return;
    auto lease = decodeLease(row.value);
    if (!lease) {
        logEvent(LogLevel::Error, "lease_row_unreadable", { { "part", row.part } });
        lease = replacementFor(observed, row.version);
    }
    observed = { std::move(*lease), row.version, m_clock.now() };
}

void PoolElection::reset(const std::vector<TableRow>& rows)
{
    for (const auto& row : rows)
        applyRow(row);
}

std::set<std::string> PoolElection::poolsHeldWithin(milliseconds time) const
{
    std::set<std::string> out;
    const auto now = m_clock.now();
    for (const auto& [pool, lease] : m_leases) {
        if (lease.version > 0 && pool != coordinatorPool && now - lease.changedAt < time)
            out.insert(pool);
    }
    return out;
}

TimePoint PoolElection::attemptTime(const FreeLease& lease) const
{
    // Attempts in progress count as held, so that this pool goes to a node that holds fewer pools.
    const auto held = m_callbacks.heldPools() + m_acquiring.size();
    return lease.since + electionDelay(held, m_capacity, lease.jitter, m_window);
}

std::set<std::string> PoolElection::wantedPools() const
{
    auto out = m_pools;
    for (const auto& [pool, lease] : m_leases) {
        if (lease.version > 0 && !lease.row.node.empty())
            out.insert(pool);
    }
    return out;
}

void PoolElection::updateFreeLeases(TimePoint now)
{
    for (const auto& pool : wantedPools()) {
        const bool isTaken = m_callbacks.isHeld(pool) || m_acquiring.contains(pool)
            || !isAcquirable(m_leases[pool], m_node, m_timing, now);
        if (isTaken)
            m_freeLeases.erase(pool);
        else if (!m_freeLeases.contains(pool))
            m_freeLeases[pool] = { now, std::uniform_real_distribution<>(0, 1)(m_random) };
    }
}

void PoolElection::check()
{
    const auto now = m_clock.now();
    if (m_callbacks.mayAcquire())
        updateFreeLeases(now);
    else
        m_freeLeases.clear();
    auto next = now + checkInterval;
    while (!m_freeLeases.empty()) {
        const auto earliest = std::min_element(m_freeLeases.begin(), m_freeLeases.end(),
            [this](const auto& a, const auto& b) { return attemptTime(a.second) < attemptTime(b.second); });
        const auto at = attemptTime(earliest->second);
        if (at > now) {
            next = std::min(next, at);
            break;
        }
        acquire(std::string(earliest->first));
    }
    m_timer.startOnce(std::max(std::chrono::ceil<milliseconds>(next - now), milliseconds(1)));
}

void PoolElection::acquire(const std::string& pool)
{
    m_freeLeases.erase(pool);
    m_acquiring.insert(pool);
    const auto& current = m_leases[pool];
    if (current.row.session == m_session && !current.row.node.empty())
        logEvent(LogLevel::Warning, "lease_without_holder",
            { { "pool", pool }, { "term", std::to_string(current.row.term) },
                { "version", std::to_string(current.version) } });
    const LeaseRow row { m_node, m_session, current.version == 0 ? 0 : current.row.term + 1,
        ++m_acquireAttempts };
    const std::string table(controlTable);
    const std::string key(leaseKey);
    const TableTransaction transaction { rows::poolPart(pool), { { table, key, current.version } },
        { { table, key, encodeLease(row) } } };
    const auto sentAt = m_clock.now();
    m_table.commit(
        transaction, acquireTimeout, [this, alive = m_alive, pool, row, sentAt](TableResult<Version> result) {
            if (*alive)
                onAcquireResult(pool, row, sentAt, result);
        });
}

void PoolElection::onAcquireResult(
    const std::string& pool, const LeaseRow& row, TimePoint sentAt, TableResult<Version> result)
{
    if (!result && result.error() == TableFailure::Unknown)
        return verifyAcquisition(pool, row, sentAt);
    m_acquiring.erase(pool);
    logEvent(LogLevel::Info, "lease_take",
        { { "pool", pool }, { "term", std::to_string(row.term) },
            { "outcome", result ? "taken" : std::string(nameOf(tableFailureNames, result.error())) } });
    if (!result)
        return;
    m_leases[pool] = { row, *result, m_clock.now() };
    m_callbacks.acquired(pool, { row, *result, sentAt });
}

void PoolElection::verifyAcquisition(const std::string& pool, const LeaseRow& row, TimePoint sentAt)
{
    m_table.read(std::string(controlTable), rows::poolPart(pool), std::string(leaseKey), 1,
        [this, alive = m_alive, pool, row, sentAt](TableResult<TableRows> rows) {
            if (!*alive)
                return;
            m_acquiring.erase(pool);
            const auto lease
                = rows && !rows->rows.empty() ? decodeLease(rows->rows.front().value) : std::nullopt;
            const bool isTaken = lease && *lease == row;
            logEvent(LogLevel::Info, "lease_take",
                { { "pool", pool }, { "term", std::to_string(row.term) },
                    { "outcome", isTaken ? "taken" : "unknown" } });
            // The transaction may still be performed. The next check tries again, from the row as it is then.
            if (!isTaken)
                return;
            const auto version = rows->rows.front().version;
            m_leases[pool] = { row, version, m_clock.now() };
            m_callbacks.acquired(pool, { row, version, sentAt });
        });
}

} // namespace damask::fleet
