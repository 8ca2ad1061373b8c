#include <damaskworks/log.h>
#include <damaskworks/table_follower.h>

#include <algorithm>

namespace damask::fleet {
namespace {

using std::chrono::milliseconds;

/// Longest wait of one call for a change. Short, so that a connection that has gone silent is
/// noticed well within the time in which a configuration has to be in force.
constexpr milliseconds followWait { 1000 };
constexpr int rowsPerRead = 500;
constexpr milliseconds firstBackoff { 50 };
constexpr milliseconds longestBackoff { 400 };

} // namespace

TableFollower::TableFollower(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics,
    FollowSettings settings, std::uint64_t seed)
    : m_table(table)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_settings(std::move(settings))
    , m_random(seed)
    , m_timer(base, [this] { m_reload ? load() : follow(); })
{
}

void TableFollower::listen(ResetListener onReset, ChangeListener onChange, BatchListener onBatch)
{
    m_onReset = std::move(onReset);
    m_onChange = std::move(onChange);
    m_onBatch = std::move(onBatch);
}

void TableFollower::start() { resume(milliseconds(0)); }

void TableFollower::resume(milliseconds delay) { m_timer.startOnce(delay); }

void TableFollower::succeed()
{
    if (m_failures > 0)
        logEvent(LogLevel::Info, "table_back",
            { { "table", m_settings.table }, { "failures", std::to_string(m_failures) } });
    m_failures = 0;
    m_lastContact = m_clock.now();
}

void TableFollower::fail(TableFailure failure, bool reload)
{
    if (m_failures == 0)
        logEvent(LogLevel::Warning, "table_lost",
            { { "table", m_settings.table }, { "failure", std::string(nameOf(tableFailureNames, failure)) },
                { "version", std::to_string(m_version) } });
    m_metrics.count("table_follow_failures_total{table=\"" + m_settings.table + "\"}");
    m_reload = m_reload || reload;
    const auto backoff = std::min(longestBackoff, firstBackoff * (1 << std::min(m_failures, 5)));
    ++m_failures;
    resume(backoff / 2 + milliseconds(m_random() % static_cast<std::uint64_t>(backoff.count())));
}

void TableFollower::load()
{
    m_loading.clear();
    m_partsToRead.clear();
    m_loadVersion = 0;
    m_loadBegan = m_clock.now();
    // The first answer's version is that of the load: later changes come with the feed as well.
    readPart("", "");
    if (m_settings.manyParts)
        m_partsToRead.push_back(""); // stands for the list of parts, read next
}

void TableFollower::readPart(const std::string& part, const std::string& from)
{
    m_table.read(m_settings.table, part, from, rowsPerRead, [this, part](TableResult<TableRows> rows) {
        if (!rows)
            return fail(rows.error(), true);
        succeed();
        if (m_loadVersion == 0)
            m_loadVersion = rows->version;
        const bool more = rows->hasMore && !rows->rows.empty();
        // The range begins with the key given, so the next page repeats this page's last row.
        const std::string last = more ? rows->rows.back().key : "";
        for (auto& row : rows->rows)
            m_loading.push_back(std::move(row));
        if (more)
            return readPart(part, last + '\x01');
        nextPart();
    });
}

void TableFollower::nextPart()
{
    if (m_partsToRead.empty())
        return finishLoad();
    const auto part = m_partsToRead.front();
    m_partsToRead.pop_front();
    part.empty() ? listParts("") : readPart(part, "");
}

void TableFollower::listParts(const std::string& after)
{
    constexpr std::size_t namesPerAnswer = 1000;
    m_table.parts(m_settings.table, after, [this](TableResult<std::vector<std::string>> names) {
        if (!names)
            return fail(names.error(), true);
        succeed();
        for (const auto& name : *names) {
            if (!name.empty())
                m_partsToRead.push_back(name);
        }
        if (names->size() >= namesPerAnswer)
            return listParts(names->back());
        nextPart();
    });
}

void TableFollower::finishLoad()
{
    m_version = std::max(m_version, m_loadVersion);
    m_reload = false;
    m_loaded = true;
    m_freshAt = m_loadBegan;
    if (m_onReset)
        m_onReset(m_loading);
    m_loading.clear();
    if (m_onBatch)
        m_onBatch();
    follow();
}

void TableFollower::follow()
{
    m_table.follow(
        m_settings.table, m_version, followWait, [this, sentAt = m_clock.now()](TableResult<TableRows> rows) {
            if (!rows)
                return fail(rows.error(), rows.error() == TableFailure::HistoryGone);
            succeed();
            // Without changes the table has waited for the whole time.
            m_freshAt = rows->rows.empty() ? sentAt + followWait : sentAt;
            take(*rows);
            resume(rows->rows.empty() ? milliseconds(0) : m_settings.gap);
        });
}

void TableFollower::take(const TableRows& rows)
{
    for (const auto& row : rows.rows) {
        if (row.version > m_version)
            m_onChange(row);
    }
    m_version = std::max(m_version, rows.version);
    if (m_onBatch)
        m_onBatch();
}

} // namespace damask::fleet
