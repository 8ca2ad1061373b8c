/// \file
/// Simulates the demand of two organisations and the decisions of a move policy on a virtual clock. Work
/// is modelled as a fluid: a queue holds slot-seconds in first-in first-out order, and refuses work that
/// has waited until its deadline.
#pragma once

#include <damaskworks/move.h>

namespace damask::policy {

/// One service and its pool.
struct Service {
    std::string name;
    std::uint32_t vms = 10; ///< current number of VMs
    double busiestHour = 0; ///< hour of the day at which the daily drift is highest
    bool spare = false;
};

/// An organisation with its services and its weights for the move policy.
struct Organisation {
    std::string name;
    std::vector<Service> services;
    move::Weights weights;
};

/// Model of the demand and assumptions about the fleet.
struct Scenario {
    double meanUtilisation = 0.25; ///< mean demand of a pool as a share of its current slots
    double driftAmplitude = 0.8; ///< amplitude of the daily drift as a share of the mean
    double peakFactor = 5; ///< demand in a peak as a multiple of the mean
    double restFactor = 0.05; ///< demand between peaks as a multiple of the mean
    double peakSeconds = 5; ///< mean length of a peak; lengths vary by up to a fifth
    double moveSeconds = 20; ///< time to drain and attach a VM, which serves neither pool meanwhile
    double deadlineSeconds = 10; ///< a request that waits longer is refused
    std::uint32_t slotsPerVm = 8;
    double days = 2;
    std::uint32_t seed = 20261203;
};

/// Result of one run.
struct Result {
    double idleVmSeconds = 0;
    double refusedShare = 0;
    std::uint32_t moves = 0;
};

/// A policy bound to its state. The simulation calls it once per second with the pools in the order of
/// the services.
using DecideFunction = std::function<std::vector<move::Move>(const std::vector<move::Pool>&, double seconds)>;

Organisation sugarcraft();
Organisation linBrothers();

/// Demand of one service at a given time without peaks, in slots.
double meanDemand(const Scenario& scenario, const Service& service, double seconds);
/// Splits \p fleet VMs in proportion to \p weights, with at least one VM for each pool.
std::vector<std::uint32_t> split(std::uint32_t fleet, const std::vector<double>& weights);
/// Runs the scenario with a fleet that starts with \p vms VMs in each pool.
Result simulate(const Organisation& organisation, const Scenario& scenario,
    const std::vector<std::uint32_t>& vms, const DecideFunction& decide);

/// Runs a static split of \p fleet VMs in proportion to each pool's highest demand of the day.
Result runStatic(const Organisation& organisation, const Scenario& scenario, std::uint32_t fleet);
/// Runs a registered policy. The initial split is proportional to the demand at the start.
Result runPolicy(const Organisation& organisation, const Scenario& scenario, std::uint32_t fleet,
    const std::string& policy);
/// Runs an offline policy that knows the drift in advance, as a reference for the number of moves. It moves
/// a VM only when a pool would otherwise hold less than a cover factor times its mean demand, and takes the
/// VM from the pool that needs it again last (Belady's rule). Lowers the cover factor from the peak factor
/// until the refused share exceeds \p limit, and returns the run with the fewest moves within the limit.
/// Returns nothing if there is none.
std::optional<Result> runClairvoyant(
    const Organisation& organisation, const Scenario& scenario, std::uint32_t fleet, double limit);
/// Runs one shared pool, in which every VM serves any service without a move: a bound for all policies.
Result runPooled(const Organisation& organisation, const Scenario& scenario, std::uint32_t fleet);
/// Number of VMs that the mean demand keeps busy, rounded down. No smaller fleet can serve the demand.
std::uint32_t fleetForMean(const Organisation& organisation, const Scenario& scenario);

/// A fleet size and the result of its run.
struct SizedFleet {
    std::uint32_t fleet = 0;
    Result result;
};
/// Runs a fleet of the given size. Returns nothing if the policy can't run with so few VMs.
using RunFunction = std::function<std::optional<Result>(std::uint32_t)>;
/// Returns the smallest fleet size in [\p from, \p to] whose refused share is within \p limit, or nothing.
std::optional<SizedFleet> smallestFleet(
    std::uint32_t from, std::uint32_t to, double limit, const RunFunction& run);

} // namespace damask::policy
