#include <damaskworks/fleet_size.h>
#include <damaskworks/job_directory.h>
#include <damaskworks/json_input.h>
#include <damaskworks/log.h>
#include <damaskworks/row_fields.h>

#include <nlohmann/json.hpp>

namespace damask::fleet {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Nodes that start together announce themselves over this time, within the writes that the table allows for
/// one part.
constexpr milliseconds firstAnnouncementWindow { 3000 };
constexpr milliseconds announcementInterval { 20'000 };
/// Between two announcements of a node at most one and a half intervals pass; the rest allows for failures.
constexpr milliseconds maxNodeAge { 50'000 };
constexpr milliseconds announcementTimeout { 900 };
constexpr milliseconds countInterval { 500 };
constexpr milliseconds nodeRowsPause { 500 };
constexpr milliseconds nodeRowsWait { 5000 };
constexpr std::int64_t maxNodes = 1'000'000;

} // namespace

std::string encodeFleetSize(std::size_t nodes) { return json({ { "nodes", nodes } }).dump(); }

std::optional<std::size_t> decodeFleetSize(std::string_view text)
{
    const auto value = parseJson(text);
    RowFields fields(value);
    const auto nodes = fields.integer("nodes", { 1, maxNodes });
    return fields.isValid() ? std::optional(static_cast<std::size_t>(nodes)) : std::nullopt;
}

std::set<std::string> takeEndedNodes(NodeSightings& nodes, TimePoint now)
{
    std::set<std::string> ended;
    for (const auto& [node, seenAt] : nodes) {
        if (now - seenAt > maxNodeAge)
            ended.insert(node);
    }
    for (const auto& node : ended)
        nodes.erase(node);
    return ended;
}

bool isWorthPublishing(std::size_t counted, std::size_t published)
{
    constexpr std::size_t worthwhileFraction = 10;
    if (counted == 0)
        return false;
    const auto difference = counted > published ? counted - published : published - counted;
    return difference * worthwhileFraction > published;
}

NodePresence::NodePresence(event_base* base, SharedTable& table, std::string node, std::uint64_t seed)
    : m_table(table)
    , m_node(std::move(node))
    , m_random(seed)
    , m_timer(base, [this] { announce(); })
{
    m_timer.startOnce(milliseconds(m_random() % firstAnnouncementWindow.count()));
}

NodePresence::~NodePresence() { *m_alive = false; }

void NodePresence::announce()
{
    const TableTransaction transaction { "", {},
        { { std::string(nodeTable), m_node, std::to_string(++m_announcements) } } };
    m_table.commit(
        transaction, announcementTimeout, [this, alive = m_alive](const TableResult<Version>& result) {
            if (!*alive)
                return;
            if (!result && result.error() != TableFailure::Overloaded)
                logEvent(LogLevel::Info, "announcement_failed",
                    { { "failure", std::string(nameOf(tableFailureNames, result.error())) } });
            // A failed one is repeated like a first one: the coordinator may not know this node yet.
            const auto shortest = result ? announcementInterval / 2 : firstAnnouncementWindow / 2;
            const auto range = result ? announcementInterval : firstAnnouncementWindow;
            m_timer.startOnce(shortest + milliseconds(m_random() % range.count()));
        });
}

FleetSizeCounter::FleetSizeCounter(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics,
    std::function<std::size_t()> published, std::uint64_t seed)
    : m_table(table)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_published(std::move(published))
    , m_rows(base, table, clock, metrics, FollowSettings { std::string(nodeTable) }, seed)
    , m_timer(base, [this] { count(); })
{
    m_rows.setListeners(
        [this](const std::vector<TableRow>& rows) {
            m_nodes.clear();
            for (const auto& row : rows)
                applyRow(row);
        },
        [this](const TableRow& row) { applyRow(row); }, [] {});
    m_rows.setPace({ nodeRowsPause, nodeRowsWait, milliseconds(0), true });
    m_rows.start();
    m_timer.startPeriodic(countInterval);
}

FleetSizeCounter::~FleetSizeCounter() { *m_alive = false; }

void FleetSizeCounter::applyRow(const TableRow& row)
{
    if (row.deleted)
        m_nodes.erase(row.key);
    else
        m_nodes[row.key] = m_clock.now();
}

void FleetSizeCounter::count()
{
    // Rows that were not read for a while would make running nodes look ended.
    constexpr milliseconds maxRowsAge = nodeRowsWait * 2;
    if (!m_rows.isLoaded() || !isFresh(m_rows, m_clock.now(), maxRowsAge))
        return;
    if (const auto ended = takeEndedNodes(m_nodes, m_clock.now()); !ended.empty())
        removeRows(ended);
    m_metrics.gauge("fleet_nodes", static_cast<double>(m_nodes.size()));
    if (!m_isPublishing && isWorthPublishing(m_nodes.size(), m_published()))
        publish(m_nodes.size());
}

void FleetSizeCounter::publish(std::size_t nodes)
{
    m_isPublishing = true;
    const TableTransaction transaction { std::string(fleetPart), {},
        { { std::string(controlTable), std::string(fleetSizeKey), encodeFleetSize(nodes) } } };
    m_table.commit(
        transaction, announcementTimeout, [this, nodes, alive = m_alive](const TableResult<Version>& result) {
            if (!*alive)
                return;
            m_isPublishing = false; // after a failure, the next count() tries again
            logEvent(LogLevel::Info, "fleet_size",
                { { "nodes", std::to_string(nodes) },
                    { "outcome",
                        result ? "published" : std::string(nameOf(tableFailureNames, result.error())) } });
        });
}

void FleetSizeCounter::removeRows(const std::set<std::string>& nodes)
{
    TableTransaction transaction;
    for (const auto& node : nodes) {
        if (transaction.writes.size() < maxTransactionEntries)
            transaction.writes.push_back({ std::string(nodeTable), node, std::nullopt });
    }
    // Rows that stay do no harm: the next coordinator counts them once more and removes them.
    m_table.commit(transaction, announcementTimeout, [](const TableResult<Version>& result) {
        if (!result)
            logEvent(LogLevel::Info, "node_rows_kept",
                { { "failure", std::string(nameOf(tableFailureNames, result.error())) } });
    });
}

} // namespace damask::fleet
