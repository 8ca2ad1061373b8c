/// \file
/// Limit of the commands that a pool's holder has outstanding at the VMs of its pool.
#pragma once

#include <damaskworks/clock.h>

#include <chrono>

namespace damask::fleet {

/// A congestion window for commands to VMs. It answers the load pattern of a turn's peak: thousands of tasks
/// become ready within a second, and their start commands would fill the holder's link or its processor for
/// longer than a command's timeout. Unanswered starts then have unknown outcomes, and are stopped and
/// repeated, which loads the link further.
///
/// The window is delay-based like that of TCP Vegas (Brakmo and Peterson, "TCP Vegas: End to End Congestion
/// Avoidance on a Global Internet", 1995): it shrinks when responses take longer than a healthy VM needs,
/// before any is lost. The response time is smoothed over all VMs, so a few slow VMs hardly change it.
struct CommandWindow {
    double size = 64; ///< commands that may be outstanding
    std::chrono::duration<double, std::milli> responseTime { 0 }; ///< smoothed
    TimePoint lastDecreaseAt {}; ///< zero: the window has never been decreased
};

/// Number of further commands that may be sent while \p outstanding are planned or in flight; not negative.
int freeCommands(const CommandWindow& window, int outstanding);
/// Adjusts the window after a command was answered or has timed out. \p elapsed is the time since it was
/// sent, \p outstanding the number of commands before it ended.
void recordCommandEnd(CommandWindow& window, Duration elapsed, int outstanding, TimePoint now);
/// Pause between two reports of a VM: zero while commands are answered quickly, else long enough for several
/// ends of runs to share a report.
std::chrono::milliseconds reportPause(const CommandWindow& window);

} // namespace damask::fleet
