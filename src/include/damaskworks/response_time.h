/// \file
/// Adaptive timeout for calls to a service, from the response times of earlier calls.
#pragma once

#include <chrono>

namespace damask::fleet {

/// Smoothed response time of a service and its variation, as in RFC 6298, "Computing TCP's Retransmission
/// Timer".
struct ResponseTimes {
    std::chrono::duration<double, std::milli> mean { 0 };
    std::chrono::duration<double, std::milli> variation { 0 };
    bool hasSample = false; ///< at least one response time was recorded
    int consecutiveTimeouts = 0; ///< since the last response, capped at the largest backoff
};

/// Adds the time of a response. Resets the backoff.
void recordResponseTime(ResponseTimes& times, std::chrono::duration<double, std::milli> time);
/// Records a call that timed out. Doubles the timeout of the next calls.
void recordTimeout(ResponseTimes& times);
/// Timeout for the next call, at most \p limit.
std::chrono::milliseconds responseTimeout(const ResponseTimes& times, std::chrono::milliseconds limit);

} // namespace damask::fleet
