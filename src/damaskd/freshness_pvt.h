/// \file
/// Detects pauses of this process, after which its view of the fleet may be out of date.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/store.h>

#include <optional>

namespace damask {

/// Detects gaps in the execution of the event loop, for example after the process or its VM was
/// suspended. After a gap the view is stale until a table poll that started after the gap has ended.
/// A failed poll counts too: it shows that the table is unreachable.
class FreshnessGuard {
public:
    FreshnessGuard(event_base* base, const Clock& clock, Metrics& metrics, Mirror& mirror);
    /// Whether the view is fresh enough to serve requests. Also checks for a gap since the last call.
    bool isFresh();

private:
    Metrics& m_metrics;
    const Clock& m_clock;
    Mirror& m_mirror;
    Timer m_checkTimer;
    Timer m_rowsAppliedTimer; ///< fires after the rows of the poll have been applied
    TimePoint m_lastCheck;
    std::optional<TimePoint> m_gapEndedAt; ///< set while the view is stale
};

} // namespace damask
