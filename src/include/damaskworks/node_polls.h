/// \file
/// Applies the poll budget to the followers of a node, as the fleet grows and the node takes and loses
/// leases.
#pragma once

#include <damaskworks/deployment.h>
#include <damaskworks/fleet_size.h>
#include <damaskworks/poll_budget.h>
#include <damaskworks/pool_election.h>
#include <damaskworks/table_follower.h>

#include <memory>
#include <optional>

namespace damask::fleet {

/// What NodePolls sets the pace of.
struct PolledTables {
    TableFollower& operators;
    TableFollower& control;
    TableFollower& jobs;
    TableFollower& vms;
    PoolElection& election;
};

/// Keeps the number of nodes and the paces that follow from it. Where the table's rates are not known, the
/// node neither announces itself nor counts others, and the paces depend on its role alone.
class NodePolls {
public:
    NodePolls(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics,
        const NodeSettings& settings, PolledTables tables, std::uint64_t seed);
    /// Sets the first paces, before the followers start, and announces this node.
    void start();
    /// Applies a row of the control table; ignores all but that with the number of nodes.
    void applyRow(const TableRow& row);
    /// Sets what this node does, and how many leases there are in the fleet.
    void setRole(const NodeRole& role, std::size_t leases);

private:
    void update();

    event_base* m_base;
    SharedTable& m_table;
    const Clock& m_clock;
    Metrics& m_metrics;
    const NodeSettings& m_settings;
    PolledTables m_tables;
    std::uint64_t m_seed;
    NodeRole m_role;
    std::size_t m_leases = 0;
    std::size_t m_fleetSize = 0; ///< running nodes, as the coordinator has published; 0: not known
    std::optional<PollPlan> m_plan; ///< in use; none before start()
    std::unique_ptr<NodePresence> m_presence;
    std::unique_ptr<FleetSizeCounter> m_sizeCounter; ///< only while this node coordinates the machines
};

} // namespace damask::fleet
