/// \file
/// Counts the running nodes. Each node rewrites a row of its own now and then; the node that coordinates the
/// machines counts these rows and publishes the number in a row that every node follows anyway.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/table_follower.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace damask::fleet {

/// Table with one row for each node that runs, or ran a short time ago. Only the coordinator follows it.
inline constexpr std::string_view nodeTable = "nodes";
/// Part and key of the row in the control table that holds the number of nodes.
inline constexpr std::string_view fleetPart = "fleet";
inline constexpr std::string_view fleetSizeKey = "size";

/// Text of the row with the number of nodes; decodeFleetSize() returns nothing for malformed text.
std::string encodeFleetSize(std::size_t nodes);
std::optional<std::size_t> decodeFleetSize(std::string_view text);

/// When each node's row was last seen to change.
using NodeSightings = std::map<std::string, TimePoint, std::less<>>;
/// Removes the nodes that have not been seen for so long that they no longer run, and returns their names.
std::set<std::string> takeEndedNodes(NodeSightings& nodes, TimePoint now);
/// Whether \p counted differs enough from \p published (0: nothing is) to be worth a write, after which every
/// node adjusts its pace.
bool isWorthPublishing(std::size_t counted, std::size_t published);

/// Announces this node to the coordinator.
class NodePresence {
public:
    NodePresence(event_base* base, SharedTable& table, std::string node, std::uint64_t seed);
    ~NodePresence();
    NodePresence(const NodePresence&) = delete;
    NodePresence& operator=(const NodePresence&) = delete;

private:
    void announce();

    SharedTable& m_table;
    std::string m_node;
    std::mt19937_64 m_random;
    Timer m_timer;
    std::uint64_t m_announcements = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

/// Counts the nodes and publishes their number while this node coordinates the machines. Two coordinators at
/// once do no harm: the one that still is one corrects the row.
class FleetSizeCounter {
public:
    /// \p published returns the number in the row as this node knows it; 0: there is none.
    FleetSizeCounter(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics,
        std::function<std::size_t()> published, std::uint64_t seed);
    ~FleetSizeCounter();
    FleetSizeCounter(const FleetSizeCounter&) = delete;
    FleetSizeCounter& operator=(const FleetSizeCounter&) = delete;

private:
    void applyRow(const TableRow& row);
    void count();
    void publish(std::size_t nodes);
    void removeRows(const std::set<std::string>& nodes);

    SharedTable& m_table;
    const Clock& m_clock;
    Metrics& m_metrics;
    std::function<std::size_t()> m_published;
    NodeSightings m_nodes;
    TableFollower m_rows;
    Timer m_timer;
    bool m_isPublishing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
