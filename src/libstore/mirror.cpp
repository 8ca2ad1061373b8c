#include <damaskworks/snapshot.h>
#include <damaskworks/store.h>

#include <damaskworks/log.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace damask {
namespace {

/// Upper bound of the backoff between polls while the table is unreachable, as a multiple of the poll period.
constexpr int maxBackoffFactor = 8;
/// Number of deletions kept for rowsSince(); a peer that is further behind gets all rows.
constexpr std::size_t maxKeptDeletions = 4096;

} // namespace

Mirror::Mirror(event_base* base, Platform& platform, const Clock& clock, Metrics& metrics,
    MirrorSettings settings, std::uint64_t seed)
    : m_platform(platform)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_settings(std::move(settings))
    , m_random(seed)
    , m_pollTimer(base, [this] { poll(); })
{
}

void Mirror::start() { poll(); }

void Mirror::pollNow()
{
    if (m_isPolling) {
        m_shouldPollAgain = true;
        return;
    }
    poll();
}

void Mirror::addListener(Listener listener) { m_listeners.push_back(std::move(listener)); }

const Row* Mirror::find(std::string_view key) const
{
    auto it = m_rows.find(key);
    return it == m_rows.end() ? nullptr : &it->second;
}

RowSet Mirror::rowsSince(TableVersion since) const
{
    RowSet out { since >= m_deletionsCompleteSince ? since : 0, m_version, {} };
    for (const auto& [key, row] : m_rows) {
        if (row.version > out.since)
            out.rows.push_back(row);
    }
    for (const auto& row : m_deletions) {
        if (out.since > 0 && row.version > out.since)
            out.rows.push_back(row);
    }
    std::stable_sort(
        out.rows.begin(), out.rows.end(), [](const Row& a, const Row& b) { return a.version < b.version; });
    return out;
}

bool Mirror::applyIfNewer(const RowSet& set)
{
    if (set.version <= m_version || (set.since > 0 && (!m_isComplete || set.since > m_version)))
        return false;
    if (set.since == 0)
        replaceAll(set.version, set.rows);
    else
        apply(set.version, set.rows);
    return true;
}

void Mirror::scheduleNextPoll()
{
    // The jitter spreads the polls of the nodes, so that they do not all poll at once when the table recovers
    // from an outage.
    const auto factor = std::min(1 << std::min(m_consecutiveFailures, 3), maxBackoffFactor);
    const auto longest = m_settings.pollPeriod.count() * factor;
    std::uniform_int_distribution<std::int64_t> jitter(longest / 2, longest);
    m_pollTimer.startOnce(std::chrono::milliseconds(jitter(m_random)));
}

void Mirror::poll()
{
    if (m_isPolling)
        return;
    m_isPolling = true;
    m_pollStart = m_clock.now();
    m_pollTimer.stop();
    if (!m_isComplete && !m_hasTriedSnapshot && !m_settings.snapshotObjectName.empty())
        return readSnapshot();
    readTable();
}

/// Loads the snapshot from the object store, which saves a full read of the table, and then reads the table.
void Mirror::readSnapshot()
{
    m_platform.readObject(m_settings.snapshotObjectName, [this](PlatformResult<std::string> text) {
        m_hasTriedSnapshot = text || text.error().failure == PlatformFailure::NotFound;
        if (text) {
            const auto set = snapshot::decode(*text, m_settings.cluster);
            const bool isApplied = set && applyIfNewer(*set);
            m_metrics.count(isApplied ? "damask_snapshot_reads_total{result=\"taken\"}"
                                      : "damask_snapshot_reads_total{result=\"refused\"}");
            if (!set)
                logEvent(LogLevel::Warning, "snapshot_refused",
                    { { "reason", std::string(nameOf(snapshot::decodeFailureNames, set.error().failure)) } });
        }
        readTable();
    });
}

void Mirror::readTable()
{
    if (!m_isComplete)
        return readAll();
    m_platform.readChanges(m_settings.prefix, m_version, [this](PlatformResult<Changes> result) {
        if (result) {
            apply(result->version, result->rows);
            finishPoll(true);
            return;
        }
        if (result.error().failure == PlatformFailure::HistoryTruncated) {
            readAll();
            return;
        }
        finishPoll(false);
    });
}

void Mirror::readAll()
{
    m_metrics.count("damask_table_full_reads_total{rows=\"" + m_settings.prefix + "\"}");
    m_platform.readRows(m_settings.prefix, [this](PlatformResult<Changes> result) {
        if (result)
            replaceAll(result->version, std::move(result->rows));
        finishPoll(result.has_value());
    });
}

void Mirror::apply(TableVersion version, const std::vector<Row>& rows)
{
    if (version < m_version)
        return;
    // The copy already reflects every change up to this version, deletions included.
    const auto previousVersion = m_version;
    m_version = version;
    for (const auto& row : rows) {
        if (row.version > previousVersion)
            applyRow(row);
    }
}

void Mirror::applyRow(const Row& row)
{
    const auto* present = find(row.key);
    if (present && present->version >= row.version)
        return;
    if (row.deleted) {
        m_rows.erase(row.key);
        recordDeletion(row);
    } else {
        m_rows.insert_or_assign(row.key, row);
    }
    for (const auto& listener : m_listeners)
        listener(row);
}

void Mirror::replaceAll(TableVersion version, std::vector<Row> rows)
{
    if (version < m_version)
        return;
    std::set<std::string, std::less<>> presentKeys;
    for (const auto& row : rows)
        presentKeys.insert(row.key);
    for (const auto& [key, row] : m_rows) {
        if (!presentKeys.contains(key))
            rows.push_back({ key, version, "", true });
    }
    m_version = version;
    for (const auto& row : rows)
        applyRow(row);
    // The versions at which the missing rows were deleted are unknown, so rowsSince() can't report changes
    // from before this version.
    m_deletions.clear();
    m_deletionsCompleteSince = version;
    m_isComplete = true;
}

void Mirror::recordDeletion(const Row& row)
{
    m_deletions.push_back({ row.key, row.version, "", true });
    if (m_deletions.size() <= maxKeptDeletions)
        return;
    m_deletionsCompleteSince = m_deletions.front().version;
    m_deletions.pop_front();
}

void Mirror::finishPoll(bool succeeded)
{
    m_isPolling = false;
    m_lastEndedPollStart = m_pollStart;
    m_consecutiveFailures = succeeded ? 0 : m_consecutiveFailures + 1;
    m_metrics.count(succeeded ? "damask_table_polls_total{result=\"ok\"}"
                              : "damask_table_polls_total{result=\"failed\"}");
    if (succeeded)
        m_lastContact = m_clock.now();
    if (m_shouldPollAgain) {
        m_shouldPollAgain = false;
        poll();
        return;
    }
    scheduleNextPoll();
}

} // namespace damask
