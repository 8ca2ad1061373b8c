/// \file
/// Decides how often a node reads the changes of each table, so that all nodes together stay within the rates
/// of the platform's table. Free functions without I/O.
///
/// Load that it answers: 300 nodes that all start, or poll, at once. At the pace of a fleet of nine they ask
/// for 3,800 reads a second of a table that serves 2,000, and the refused calls hit renewals of leases and
/// submissions as well.
#pragma once

#include <damaskworks/poll_pace.h>

#include <chrono>
#include <cstddef>

namespace damask::fleet {

/// What a node does besides serving callers.
struct NodeRole {
    bool holdsPools = false;
    bool coordinatesMachines = false;
};

struct PollInputs {
    double readsPerSecond = 0; ///< that the table serves for all nodes; 0: not known
    std::size_t nodes = 0; ///< running nodes; 0: not known
    std::size_t leases = 0; ///< leases that nodes hold: those of pools and the coordinator's
    std::chrono::milliseconds configApplyTime { 0 }; ///< within which a configuration must be in force
};

/// Paces of one node.
struct PollPlan {
    PollPace operators; ///< the configuration and waves
    PollPace control; ///< leases and machine tasks
    PollPace jobs;
    PollPace vms; ///< registrations
    /// Time in which each node can make one request if they share the table equally; zero: not known.
    std::chrono::milliseconds turn { 0 };
    /// Whether the polls of nodes without a lease take no more than their part of the table's rate. If not,
    /// what callers and operators are owed needs more than that part.
    bool isWithinShare = true;

    bool operator==(const PollPlan&) const = default;
};

/// The paces of a node. Those of a fleet whose polls fit into their part of the table's rate don't depend on
/// its size. In a larger one, nodes without a lease wait longer: first for leases, then for the
/// configuration, then for job states, none of them beyond what depends on it. Nodes with leases are few and
/// keep their pace unless the leases themselves exceed their part.
PollPlan planPolls(const NodeRole& role, const PollInputs& inputs);

/// Most requests a second of a node without a lease.
double observerCallsPerSecond(const PollPlan& plan);
/// Most requests a second of a node with this plan and at least one lease.
double holderCallsPerSecond(const PollPlan& plan);

/// Time over which nodes spread their attempts at a lease, so that those that don't know of the first one yet
/// take only a part of the table's writes. The earliest of many still comes at once.
std::chrono::milliseconds electionWindow(std::size_t nodes, double writesPerSecond);

} // namespace damask::fleet
