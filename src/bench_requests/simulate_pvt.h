/// \file
/// Simulates the request kernel of one entry VM on a virtual clock, with a pool of endpoints that have
/// random service times. Counts the outcomes that callers see.
#pragma once

#include <damaskworks/names.h>

#include <cstdint>
#include <string>

namespace damask::bench {

/// Fault of one endpoint of the pool.
enum class Fault {
    None,
    Slow, ///< ten times the service time
    Dead, ///< never answers
    FastFailing, ///< answers at once with a server error
    Refusing, ///< refuses connections at once
};

inline constexpr NameTable<Fault, 5> faultNames { {
    { Fault::None, "none" },
    { Fault::Slow, "slow" },
    { Fault::Dead, "dead" },
    { Fault::FastFailing, "fast-failing" },
    { Fault::Refusing, "refusing" },
} };

/// How the demand varies over time.
enum class DemandPattern {
    Steady,
    Peaks, ///< 3 s at five times the mean and 6 s at a twentieth of it in every 20 s
};

inline constexpr NameTable<DemandPattern, 2> demandPatternNames { {
    { DemandPattern::Steady, "steady" },
    { DemandPattern::Peaks, "peaks" },
} };

/// Parameters of one run.
struct Scenario {
    std::string balancer = "weighted";
    std::string admission = "deadline";
    bool ejection = true;
    DemandPattern pattern = DemandPattern::Steady;
    double load = 1; ///< mean demand as a multiple of the capacity of the whole pool
    Fault fault = Fault::None;
    std::uint64_t seed = 1;
};

/// Counts of one run. Every request is in exactly one of good, late, refused and failed.
struct Result {
    std::uint64_t offered = 0;
    std::uint64_t good = 0; ///< complete answers before the deadline
    std::uint64_t late = 0; ///< accepted, but not answered before the deadline
    std::uint64_t refused = 0; ///< rejected before the deadline without being run
    std::uint64_t failed = 0; ///< server errors and failed attempts before the deadline
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    double seconds = 0;
    double p50 = 0; ///< milliseconds, of good answers
    double p99 = 0; ///< milliseconds, of good answers

    double goodput() const { return double(good) / seconds; }
};

/// Requests per second that the pool can serve without a fault.
double capacity();

/// Runs the scenario; the same scenario gives the same result.
Result simulate(const Scenario& scenario);

} // namespace damask::bench
