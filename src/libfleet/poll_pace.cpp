#include <damaskworks/poll_pace.h>

#include <algorithm>

namespace damask::fleet {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds firstRestraint { 100 };
constexpr milliseconds longestRestraint { 800 };
/// Below this, requests are made as before the overload.
constexpr milliseconds shortestRestraint { 25 };
/// Part of a restraint that is left after a response.
constexpr double restraintDecay = 0.75;
constexpr milliseconds longestWindow { 5000 };

milliseconds scaled(milliseconds time, double factor)
{
    return std::chrono::duration_cast<milliseconds>(time * factor);
}

/// From half to one and a half of \p restraint.
milliseconds spreadRestraint(milliseconds restraint, double random)
{
    return scaled(restraint, 0.5 + random);
}

} // namespace

milliseconds restraintAfterRefusal(milliseconds restraint)
{
    return std::clamp(restraint * 2, firstRestraint, longestRestraint);
}

milliseconds restraintAfterResponse(milliseconds restraint)
{
    const auto left = scaled(restraint, restraintDecay);
    return left < shortestRestraint ? milliseconds(0) : left;
}

milliseconds delayToNextPoll(
    const PollPace& pace, milliseconds restraint, milliseconds sinceSent, bool hasChanges, double random)
{
    const auto pause = hasChanges ? pace.pauseAfterChanges : milliseconds(0);
    constexpr double shortestIntervalFactor = 2 - longestIntervalFactor;
    const auto factor = shortestIntervalFactor + random * (longestIntervalFactor - shortestIntervalFactor);
    const auto leftOfInterval = scaled(pace.minInterval, factor) - sinceSent;
    return std::max({ pause, pace.minInterval > milliseconds(0) ? leftOfInterval : milliseconds(0),
        spreadRestraint(restraint, random) });
}

milliseconds delayToNextPage(milliseconds restraint, double random)
{
    return spreadRestraint(restraint, random);
}

milliseconds loadRetryWindow(std::size_t remainingReads, milliseconds turn)
{
    constexpr std::size_t manyReads = 1000;
    return std::min(turn * static_cast<int>(std::min(remainingReads, manyReads)), longestWindow);
}

milliseconds delayAfterRefusal(milliseconds restraint, milliseconds window, double random)
{
    return std::max(spreadRestraint(restraint, random), scaled(window, random));
}

} // namespace damask::fleet
