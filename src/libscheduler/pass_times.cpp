#include <damaskworks/pass_times.h>

#include <algorithm>

namespace damask::fleet {
namespace {

/// A process that was suspended during a pass has to go on at once.
constexpr std::chrono::milliseconds maxGap { 100 };

} // namespace

TimePoint earliestPass(const PassTimes& last, TimePoint wanted)
{
    return std::max(wanted, last.endedAt + std::min<Duration>(last.endedAt - last.begunAt, maxGap));
}

} // namespace damask::fleet
