#include <damaskworks/job_directory.h>
#include <damaskworks/log.h>
#include <damaskworks/pool_election.h>

#include <algorithm>

namespace damask::fleet {
namespace {

using std::chrono::milliseconds;

/// Interval at which leases are looked at; a fifth of the time that a lease lasts without renewal.
constexpr milliseconds checkInterval { 200 };
constexpr milliseconds takeTimeout { 900 };
constexpr std::string_view poolPartPrefix = "pool/";

} // namespace

PoolElection::PoolElection(event_base* base, SharedTable& table, const Clock& clock, std::string node,
    std::string session, NodeStrength strength, std::uint64_t seed, LeaseLimits limits, Events events)
    : m_table(table)
    , m_clock(clock)
    , m_node(std::move(node))
    , m_session(std::move(session))
    , m_strength(strength)
    , m_random(seed)
    , m_limits(limits)
    , m_events(std::move(events))
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
    auto lease = decodeLease(row.value);
    if (!lease) {
        logEvent(LogLevel::Error, "lease_row_unreadable", { { "part", row.part } });
        return;
    }
    auto& observed = m_leases[row.part.substr(poolPartPrefix.size())];
    if (row.version <= observed.version)
        return;
    observed = { std::move(*lease), row.version, m_clock.now() };
}

void PoolElection::reset(const std::vector<TableRow>& rows)
{
    for (const auto& row : rows)
        applyRow(row);
}

TimePoint PoolElection::attemptAt(const FreeLease& lease) const
{
    // A node that has just taken another pool leaves this one to those that hold fewer.
    const auto held = m_events.heldPools() + m_taking.size();
    return lease.since + electionDelay(held, m_strength, lease.spread);
}

void PoolElection::findFree(TimePoint now)
{
    for (const auto& pool : m_pools) {
        const auto& lease = m_leases[pool];
        const bool mine = lease.row.session == m_session && !lease.row.node.empty();
        if (mine || m_taking.contains(pool) || !isTakeable(lease, m_node, m_limits, now))
            m_free.erase(pool);
        else if (!m_free.contains(pool))
            m_free[pool] = { now, std::uniform_real_distribution<>(0, 1)(m_random) };
    }
}

void PoolElection::check()
{
    const auto now = m_clock.now();
    if (m_events.mayTake())
        findFree(now);
    else
        m_free.clear();
    auto next = now + checkInterval;
    while (!m_free.empty()) {
        const auto first = std::min_element(m_free.begin(), m_free.end(),
            [this](const auto& a, const auto& b) { return attemptAt(a.second) < attemptAt(b.second); });
        const auto at = attemptAt(first->second);
        if (at > now) {
            next = std::min(next, at);
            break;
        }
        take(std::string(first->first));
    }
    m_timer.startOnce(std::max(std::chrono::ceil<milliseconds>(next - now), milliseconds(1)));
}

void PoolElection::take(const std::string& pool)
{
    m_free.erase(pool);
    m_taking.insert(pool);
    const auto& old = m_leases[pool];
    const LeaseRow row { m_node, m_session, old.version == 0 ? 0 : old.row.term + 1, ++m_takes };
    const std::string table(controlTable);
    const std::string key(leaseKey);
    const TableTransaction transaction { rows::poolPart(pool), { { table, key, old.version } },
        { { table, key, encodeLease(row) } } };
    const auto sentAt = m_clock.now();
    m_table.commit(
        transaction, takeTimeout, [this, alive = m_alive, pool, row, sentAt](TableResult<Version> result) {
            if (*alive)
                onTaken(pool, row, sentAt, result);
        });
}

void PoolElection::onTaken(
    const std::string& pool, const LeaseRow& row, TimePoint sentAt, TableResult<Version> result)
{
    if (!result && result.error() == TableFailure::Unknown)
        return readBack(pool, row, sentAt);
    m_taking.erase(pool);
    logEvent(LogLevel::Info, "lease_take",
        { { "pool", pool }, { "term", std::to_string(row.term) },
            { "outcome", result ? "taken" : std::string(nameOf(tableFailureNames, result.error())) } });
    if (!result)
        return;
    m_leases[pool] = { row, *result, m_clock.now() };
    m_events.taken(pool, { row, *result, sentAt });
}

void PoolElection::readBack(const std::string& pool, const LeaseRow& row, TimePoint sentAt)
{
    m_table.read(std::string(controlTable), rows::poolPart(pool), std::string(leaseKey), 1,
        [this, alive = m_alive, pool, row, sentAt](TableResult<TableRows> rows) {
            if (!*alive)
                return;
            m_taking.erase(pool);
            if (!rows || rows->rows.empty())
                return; // tried again with the next check
            const auto lease = decodeLease(rows->rows.front().value);
            if (!lease || !(*lease == row))
                return;
            const auto version = rows->rows.front().version;
            m_leases[pool] = { row, version, m_clock.now() };
            m_events.taken(pool, { row, version, sentAt });
        });
}

} // namespace damask::fleet
