/// \file
/// Sum of the amounts of the last seconds.
#pragma once

#include <damaskworks/clock.h>

#include <array>
#include <cstdint>

namespace damask {

/// Sums amounts over a window of time that slides in tenths of its length.
class SlidingSum {
public:
    explicit SlidingSum(Duration window)
        : m_window(window)
    {
    }
    Duration window() const { return m_window; }
    /// Adds \p amount at \p now, which does not go back.
    void add(TimePoint now, std::int64_t amount);
    /// Sum of what was added in the window before \p now.
    std::int64_t sum(TimePoint now) const;

private:
    static constexpr std::int64_t slotCount = 10;
    std::int64_t slotNumber(TimePoint time) const { return time.time_since_epoch() / (m_window / slotCount); }

    Duration m_window;
    std::array<std::int64_t, slotCount> m_amounts {};
    std::int64_t m_newestSlot = 0; ///< number of the slot of the last amount
};

} // namespace damask
