#include <damaskworks/response_time.h>

#include <algorithm>
#include <cmath>

namespace damask::fleet {
namespace {

using std::chrono::milliseconds;

/// Weights of a new answer, from RFC 6298.
constexpr double meanWeight = 1.0 / 8;
constexpr double variationWeight = 1.0 / 4;
constexpr double variationFactor = 4;
/// Answers take some 10 ms; the rest covers a burst of other calls before this one.
constexpr milliseconds shortestPatience { 150 };
constexpr int mostDoublings = 3;

} // namespace

void noteAnswer(ResponseTimes& times, std::chrono::duration<double, std::milli> time)
{
    times.silences = 0;
    if (!times.known) {
        times = { time, time / 2, true, 0 };
        return;
    }
    const auto error = std::chrono::duration<double, std::milli>(std::abs((time - times.mean).count()));
    times.variation = times.variation * (1 - variationWeight) + error * variationWeight;
    times.mean = times.mean * (1 - meanWeight) + time * meanWeight;
}

void noteSilence(ResponseTimes& times) { times.silences = std::min(times.silences + 1, mostDoublings); }

milliseconds patience(const ResponseTimes& times, milliseconds limit)
{
    if (!times.known)
        return limit;
    const auto expected = std::chrono::ceil<milliseconds>(times.mean + times.variation * variationFactor);
    return std::min(limit, std::max(expected, shortestPatience) * (1 << times.silences));
}

} // namespace damask::fleet
