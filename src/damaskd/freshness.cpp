#include "freshness_pvt.h"

#include <damaskworks/log.h>

namespace damask {
namespace {

constexpr std::chrono::milliseconds checkPeriod { 100 };
/// A longer time between two checks counts as a gap.
constexpr std::chrono::milliseconds maxLoopGap { 1000 };

} // namespace

FreshnessGuard::FreshnessGuard(event_base* base, const Clock& clock, Metrics& metrics, Mirror& mirror)
    : m_metrics(metrics)
    , m_clock(clock)
    , m_mirror(mirror)
    , m_checkTimer(base, [this] { isFresh(); })
    , m_rowsAppliedTimer(base,
          [this] {
              if (m_gapEndedAt && m_mirror.lastEndedPollStart() >= *m_gapEndedAt)
                  m_gapEndedAt.reset();
          })
    , m_lastCheck(clock.now())
{
    m_checkTimer.startPeriodic(checkPeriod);
}

bool FreshnessGuard::isFresh()
{
    const auto now = m_clock.now();
    const auto gap = now - m_lastCheck;
    m_lastCheck = now;
    if (gap > maxLoopGap) {
        m_gapEndedAt = now;
        m_metrics.count("damask_loop_gaps_total");
        const auto gapMs = std::chrono::duration_cast<std::chrono::milliseconds>(gap).count();
        logEvent(LogLevel::Warning, "loop_gap_detected", { { "gap_ms", std::to_string(gapMs) } });
        m_mirror.pollNow();
    }
    // A poll that started before the gap may return rows from before the gap, so it does not count.
    if (m_gapEndedAt && m_mirror.lastEndedPollStart() >= *m_gapEndedAt)
        m_rowsAppliedTimer.startOnce(std::chrono::microseconds(0));
    return !m_gapEndedAt;
}

} // namespace damask
