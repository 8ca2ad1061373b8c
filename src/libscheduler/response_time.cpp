#include <damaskworks/response_time.h>

#include <algorithm>
#include <cmath>

namespace damask::fleet {
namespace {

using std::chrono::milliseconds;

/// Weights of a new response time and of the variation in the timeout, from RFC 6298.
constexpr double meanWeight = 1.0 / 8;
constexpr double variationWeight = 1.0 / 4;
constexpr double variationFactor = 4;
/// Responses take some 10 ms; the rest covers a burst of other calls ahead of this one.
constexpr milliseconds minTimeout { 150 };
constexpr int maxBackoffDoublings = 3;

} // namespace

void recordResponseTime(ResponseTimes& times, std::chrono::duration<double, std::milli> time)
{
    times.consecutiveTimeouts = 0;
    if (!times.hasSample) {
        times = { time, time / 2, true, 0 };
        return;
    }
    const auto error = std::chrono::duration<double, std::milli>(std::abs((time - times.mean).count()));
    times.variation = times.variation * (1 - variationWeight) + error * variationWeight;
    times.mean = times.mean * (1 - meanWeight) + time * meanWeight;
}

void recordTimeout(ResponseTimes& times)
{
    times.consecutiveTimeouts = std::min(times.consecutiveTimeouts + 1, maxBackoffDoublings);
}

milliseconds responseTimeout(const ResponseTimes& times, milliseconds limit)
{
    if (!times.hasSample)
        return limit;
    const auto expected = std::chrono::ceil<milliseconds>(times.mean + times.variation * variationFactor);
    return std::min(limit, std::max(expected, minTimeout) * (1 << times.consecutiveTimeouts));
}

} // namespace damask::fleet
