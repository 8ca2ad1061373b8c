/// \file
/// VM moves between pools: policies choose donor and receiver pools from each pool's demand. Policies are
/// plug-ins, registered by name in Registry<move::Policy>. Demand is in slots, needs are in VMs.
#pragma once

#include <damaskworks/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damask::move {

/// Input of a policy for one pool.
struct Pool {
    std::string name;
    double busySlots = 0; ///< slots in use now
    double queued = 0; ///< requests waiting for a slot
    std::uint32_t vms = 0; ///< in service and not leaving
    std::uint32_t arriving = 0; ///< moving into the pool
    std::uint32_t slotsPerVm = 8;
    std::uint32_t minVms = 1; ///< the pool keeps at least this many
    bool spare = false; ///< preferred donor
};

/// Cost weights of the organisation. Only their ratio matters.
struct Weights {
    double buffer = 1; ///< cost of an idle VM
    double rollout = 1; ///< cost of a longer maintenance wave
};

/// Settings of a policy.
struct Settings {
    Weights weights;
    Duration smoothing = std::chrono::minutes(10); ///< time constant of the mean demand
    double peakCover = 1.65; ///< slots to hold per slot of mean demand, before the weights apply
    double hysteresisVms = 0.25; ///< VMs above its need that a donor must keep
    std::uint32_t maxArriving = 3; ///< limit on concurrent moves, over all pools
};

/// State of a policy between calls.
struct State {
    /// Mean slots in use by pool, before division by totalWeight.
    std::map<std::string, double, std::less<>> weightedDemand;
    double totalWeight = 0; ///< sum of the observations' weights; tends to 1
    TimePoint startedAt {};
    TimePoint updatedAt {};
};

/// Moves one VM from pool \p from to pool \p to.
struct Move {
    std::string from;
    std::string to;
};

/// A policy returns the moves to start now. The caller runs it about once a second.
using Policy = std::function<std::vector<Move>(State&, const std::vector<Pool>&, const Settings&, TimePoint)>;

/// Updates the exponentially weighted mean demand of each pool with its current demand.
void updateDemand(State& state, const std::vector<Pool>& pools, Duration smoothing, TimePoint now);

/// Mean slots in use of a pool, corrected for the bias of the first observations; 0 if unknown.
double smoothedDemand(const State& state, std::string_view pool);

/// Slots to hold per slot of mean demand. Increases with the weight of roll-out time, because a wave can
/// reboot as many VMs at once as the pool holds above its need.
double headroomFactor(const Settings& settings);

/// VMs that \p pool needs for \p demandSlots, not rounded, at least its minimum.
double neededVms(const Pool& pool, double demandSlots, double headroomFactor);

/// Moves that bring each pool to its need. \p needs are in VMs, in the order of \p pools. Spare pools with
/// a surplus are the first donors. A donor must keep Settings::hysteresisVms above its own need. A pool
/// without that surplus may also donate if it then remains clearly better supplied than the receiver was.
std::vector<Move> balance(
    std::vector<Pool> pools, const std::vector<double>& needs, const Settings& settings);

} // namespace damask::move
