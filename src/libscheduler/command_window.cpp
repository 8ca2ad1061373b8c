#include <damaskworks/command_window.h>

#include <algorithm>

namespace damask::fleet {
namespace {

using std::chrono::milliseconds;
using FractionalMilliseconds = std::chrono::duration<double, std::milli>;

/// Below this response time the window grows. VMs answer within a few milliseconds.
constexpr FractionalMilliseconds uncongestedTime { 30 };
/// Above this response time the window shrinks. It leaves commands far from their timeout.
constexpr FractionalMilliseconds congestedTime { 80 };
/// Longest response time that is recorded, so that a few silent VMs don't outweigh the others.
constexpr FractionalMilliseconds maxRecordedTime { 250 };
constexpr double smoothingWeight = 1.0 / 16;
constexpr double decreaseFactor = 0.7;
constexpr double growthPerResponse = 0.25;
/// Until the first decrease, each response adds one command, as in TCP's slow start.
constexpr double slowStartGrowthPerResponse = 1;
constexpr double minSize = 4;
constexpr double maxSize = 2048;
constexpr milliseconds maxReportPause { 300 };

} // namespace

int freeCommands(const CommandWindow& window, int outstanding)
{
    return std::max(0, static_cast<int>(window.size) - outstanding);
}

void recordCommandEnd(CommandWindow& window, Duration elapsed, int outstanding, TimePoint now)
{
    const auto sample = std::min(FractionalMilliseconds(elapsed), maxRecordedTime);
    window.responseTime += (sample - window.responseTime) * smoothingWeight;
    if (window.responseTime > congestedTime) {
        // The effect of a decrease shows only once the commands sent before it have ended.
        if (now - window.lastDecreaseAt < window.responseTime)
            return;
        window.size = std::max(minSize, window.size * decreaseFactor);
        window.lastDecreaseAt = now;
        return;
    }
    // A window that is not in use says nothing about what the link can carry.
    const bool isInUse = outstanding * 2 >= window.size;
    if (window.responseTime >= uncongestedTime || !isInUse)
        return;
    window.size += window.lastDecreaseAt == TimePoint {} ? slowStartGrowthPerResponse : growthPerResponse;
    window.size = std::min(window.size, maxSize);
}

milliseconds reportPause(const CommandWindow& window)
{
    if (window.responseTime < uncongestedTime)
        return milliseconds(0);
    return std::min(std::chrono::ceil<milliseconds>(window.responseTime * 2), maxReportPause);
}

} // namespace damask::fleet
