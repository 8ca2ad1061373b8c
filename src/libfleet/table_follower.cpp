#include <damaskworks/log.h>
#include <damaskworks/table_follower.h>

#include <algorithm>
#include <utility>

namespace damask::fleet {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t rowsPerPage = 500;
constexpr milliseconds initialBackoff { 50 };
constexpr milliseconds maxBackoff { 400 };
/// Refusals in a row that don't count as an outage, after which rows are read anew.
constexpr int maxBriefRefusals = 3;
/// Parts that a load is expected to read as long as they are not listed.
constexpr std::size_t expectedParts = 32;
/// The table ends a response at 1 MB, after Base64. Rows that nodes write hold at most 64 KB, so a response
/// with less than this in values was not cut short.
constexpr std::size_t minTruncatedBytes = 512 * 1024;

/// Whether the table may have more changes than those in the response.
bool mayBeTruncated(const TableRows& changes)
{
    std::size_t bytes = 0;
    for (const auto& row : changes.rows)
        bytes += row.value.size();
    return changes.rows.size() >= rowsPerPage || bytes >= minTruncatedBytes;
}

/// Whether \p changes contain several versions of one row.
bool hasSupersededRows(const TableRows& changes)
{
    std::set<std::pair<std::string_view, std::string_view>> rows;
    for (const auto& row : changes.rows) {
        if (!rows.emplace(row.part, row.key).second)
            return true;
    }
    return false;
}

} // namespace

TableFollower::TableFollower(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics,
    FollowSettings settings, std::uint64_t seed)
    : m_table(table)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_settings(std::move(settings))
    , m_pace { m_settings.pauseAfterChanges, m_settings.maxWait }
    , m_random(seed)
    , m_timer(base, [this] { runNext(); })
{
}

TableFollower::~TableFollower() { *m_alive = false; }

void TableFollower::setListeners(ResetListener onReset, ChangeListener onChange, BatchListener onBatch)
{
    m_onReset = std::move(onReset);
    m_onChange = std::move(onChange);
    m_onBatch = std::move(onBatch);
}

void TableFollower::start() { scheduleNext(milliseconds(0)); }

void TableFollower::scheduleNext(milliseconds delay) { m_timer.startOnce(delay); }

void TableFollower::continueLoad(std::function<void()> step)
{
    if (m_restraint == milliseconds(0))
        return step();
    m_loadStep = std::move(step);
    scheduleNext(delayToNextPage(m_restraint, random()));
}

void TableFollower::onSuccess()
{
    if (m_failures > 0)
        logEvent(LogLevel::Info, "table_back",
            { { "table", m_settings.table }, { "failures", std::to_string(m_failures) } });
    m_failures = 0;
    m_restraint = restraintAfterResponse(m_restraint);
    m_loggedFailures.clear();
    m_lastContact = m_clock.now();
}

void TableFollower::onFailure(TableFailure failure, bool needsReload)
{
    // One line for each kind of failure, so that an outage that turns into time-outs shows both.
    if (m_loggedFailures.insert(failure).second)
        logEvent(LogLevel::Warning, "table_lost",
            { { "table", m_settings.table }, { "failure", std::string(nameOf(tableFailureNames, failure)) },
                { "version", std::to_string(m_version) }, { "failures", std::to_string(m_failures) } });
    m_metrics.count("table_follow_failures_total{table=\"" + m_settings.table + "\",failure=\""
        + std::string(nameOf(tableFailureNames, failure)) + "\"}");
    // A refusal or two take too little time for many versions, and a load would be three more requests.
    const bool isBrief = failure == TableFailure::Overloaded && m_failures < maxBriefRefusals;
    m_needsReload = m_needsReload || needsReload || (m_settings.readsRowsWhenBehind && !isBrief);
    scheduleNext(retryDelay(failure));
}

milliseconds TableFollower::retryDelay(TableFailure failure)
{
    const auto backoff = std::min(maxBackoff, initialBackoff * (1 << std::min(m_failures, 5)));
    ++m_failures;
    const auto delay = backoff / 2 + milliseconds(m_random() % static_cast<std::uint64_t>(backoff.count()));
    if (failure != TableFailure::Overloaded || !m_pace.yieldsWhenRefused)
        return delay;
    m_restraint = restraintAfterRefusal(m_restraint);
    milliseconds window { 0 };
    if (m_loadStep) {
        const bool isListed = m_partsToRead.empty() || !m_partsToRead.back().empty();
        window = loadRetryWindow(isListed ? m_partsToRead.size() + 1 : expectedParts, m_turn);
    }
    return std::max(delay, delayAfterRefusal(m_restraint, window, random()));
}

void TableFollower::runNext()
{
    if (!m_needsReload)
        return follow();
    if (!m_loadStep)
        return startLoad();
    const auto step = m_loadStep; // the call replaces m_loadStep
    step();
}

void TableFollower::startLoad()
{
    m_loadedRows.clear();
    m_partsToRead.clear();
    m_loadVersion = 0;
    m_loadStartedAt = m_clock.now();
    m_isBehind = true;
    // The version of the first response is that of the load. Following from there repeats any later change
    // that another page already contains.
    readPart("", "");
    if (m_settings.isPartitioned)
        m_partsToRead.push_back(""); // makes readNextPart() list the parts
}

void TableFollower::readPart(const std::string& part, const std::string& from)
{
    m_loadStep = [this, part, from] { readPart(part, from); };
    m_table.read(m_settings.table, part, from, static_cast<int>(rowsPerPage),
        [this, part, alive = m_alive](TableResult<TableRows> rows) {
            if (!*alive)
                return;
            if (!rows)
                return onFailure(rows.error(), true);
            onSuccess();
            if (m_loadVersion == 0)
                m_loadVersion = rows->version;
            const bool hasMorePages = rows->hasMore && !rows->rows.empty();
            // A read includes its first key; the suffix skips the last row of this page.
            const std::string lastKey = hasMorePages ? rows->rows.back().key : "";
            for (auto& row : rows->rows)
                m_loadedRows.push_back(std::move(row));
            if (hasMorePages)
                return continueLoad([this, part, lastKey] { readPart(part, lastKey + '\x01'); });
            readNextPart();
        });
}

void TableFollower::readNextPart()
{
    if (m_partsToRead.empty())
        return finishLoad();
    const auto part = m_partsToRead.front();
    m_partsToRead.pop_front();
    continueLoad([this, part] { part.empty() ? listParts("") : readPart(part, ""); });
}

void TableFollower::listParts(const std::string& after)
{
    m_loadStep = [this, after] { listParts(after); };
    constexpr std::size_t namesPerPage = 1000;
    m_table.parts(
        m_settings.table, after, [this, alive = m_alive](TableResult<std::vector<std::string>> names) {
            if (!*alive)
                return;
            if (!names)
                return onFailure(names.error(), true);
            onSuccess();
            for (const auto& name : *names) {
                if (!name.empty())
                    m_partsToRead.push_back(name);
            }
            if (names->size() >= namesPerPage)
                return continueLoad([this, last = names->back()] { listParts(last); });
            readNextPart();
        });
}

void TableFollower::finishLoad()
{
    m_version = std::max(m_version, m_loadVersion);
    m_loadStep = nullptr;
    m_needsReload = false;
    m_isLoaded = true;
    m_currentAsOf = m_loadStartedAt;
    m_needsConfirmation = true;
    if (m_onReset)
        m_onReset(m_loadedRows);
    m_loadedRows.clear();
    if (m_onBatch)
        m_onBatch();
    follow();
}

void TableFollower::follow()
{
    const auto wait = std::exchange(m_needsConfirmation, false) ? milliseconds(0) : m_pace.maxWait;
    m_table.follow(m_settings.table, m_version, wait,
        [this, wait, alive = m_alive, sentAt = m_clock.now()](TableResult<TableRows> rows) {
            if (!*alive)
                return;
            if (!rows)
                return onFailure(rows.error(), rows.error() == TableFailure::HistoryTruncated);
            onSuccess();
            const bool hasChanges = !rows->rows.empty();
            m_isBehind = mayBeTruncated(*rows);
            // A response without changes means that the table waited for the whole time.
            if (!hasChanges)
                m_currentAsOf = sentAt + wait;
            else if (!m_settings.confirmsChanges && !m_isBehind)
                m_currentAsOf = sentAt;
            m_needsReload = m_settings.readsRowsWhenBehind && hasSupersededRows(*rows);
            m_needsConfirmation = m_isBehind || (hasChanges && m_settings.confirmsChanges);
            applyChanges(*rows);
            if (m_isBehind)
                return scheduleNext(milliseconds(0));
            if (m_needsReload || m_needsConfirmation)
                return scheduleNext(hasChanges ? m_pace.pauseAfterChanges : milliseconds(0));
            const auto sinceSent = std::chrono::duration_cast<milliseconds>(m_clock.now() - sentAt);
            scheduleNext(delayToNextPoll(m_pace, m_restraint, sinceSent, hasChanges, random()));
        });
}

void TableFollower::applyChanges(const TableRows& rows)
{
    for (const auto& row : rows.rows) {
        if (row.version > m_version)
            m_onChange(row);
    }
    m_version = std::max(m_version, rows.version);
    if (m_onBatch)
        m_onBatch();
}

bool isFresh(const TableFollower& follower, TimePoint now, milliseconds maxAge)
{
    return !follower.isBehind() && now - follower.lastContact() < maxAge;
}

} // namespace damask::fleet
