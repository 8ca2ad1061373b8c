/// \file
/// Spacing of the passes in which a pool's holder plans.
#pragma once

#include <damaskworks/clock.h>

namespace damask::fleet {

/// Times of the last pass.
struct PassTimes {
    TimePoint begunAt {};
    TimePoint endedAt {};
};

/// Earliest time of the next pass, wanted at \p wanted. A pass visits all jobs and VMs of the pool; between
/// two of them at least the time of the last one is left for the responses that the node has received.
TimePoint earliestPass(const PassTimes& last, TimePoint wanted);

} // namespace damask::fleet
