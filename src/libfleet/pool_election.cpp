#include <damaskworks/job_directory.h>
#include <damaskworks/log.h>
#include <damaskworks/pool_election.h>

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
    m_timer.startPeriodic(checkInterval);
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

void PoolElection::check()
{
    if (!m_events.mayTake())
        return m_attempts.clear();
    const auto now = m_clock.now();
    for (const auto& pool : m_pools) {
        const auto& lease = m_leases[pool];
        const bool mine = lease.row.session == m_session && !lease.row.node.empty();
        if (mine || m_taking.contains(pool) || !isTakeable(lease, m_node, m_limits, now)) {
            m_attempts.erase(pool);
            continue;
        }
        const auto held = m_events.heldPools() + m_taking.size();
        auto& attempt = m_attempts[pool];
        // A node that has just taken another pool leaves this one to those that hold fewer.
        if (attempt.at == TimePoint {} || attempt.held != held) {
            const double spread = std::uniform_real_distribution<>(0, 1)(m_random);
            attempt = { now + electionDelay(held, m_strength, spread), held };
        }
        if (now >= attempt.at)
            take(pool);
    }
}

void PoolElection::take(const std::string& pool)
{
    m_attempts.erase(pool);
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
