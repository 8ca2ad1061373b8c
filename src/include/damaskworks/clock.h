/// \file
/// Time sources. Components get a Clock passed in, so that tests can run on a manual one.
#pragma once

#include <chrono>
#include <ctime>

namespace damask {

/// A monotonic instant, used for deadlines, leases and time-outs.
using TimePoint = std::chrono::steady_clock::time_point;
/// A span of monotonic time.
using Duration = std::chrono::steady_clock::duration;

/// Source of monotonic and calendar time.
class Clock {
public:
    virtual ~Clock() = default;
    /// Current monotonic time.
    virtual TimePoint now() const = 0;
    /// Current calendar time, for display and traces only.
    virtual std::chrono::system_clock::time_point wallNow() const = 0;
};

/// Clock backed by the operating system.
class SystemClock final : public Clock {
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
    std::chrono::system_clock::time_point wallNow() const override
    {
        return std::chrono::system_clock::now();
    }
};

/// Clock that includes the time during which the machine was suspended (CLOCK_BOOTTIME). After a resume, a
/// process thus sees that its lease has expired.
class BootClock final : public Clock {
public:
    TimePoint now() const override
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
    std::chrono::system_clock::time_point wallNow() const override
    {
        return std::chrono::system_clock::now();
    }
};

/// Clock for tests that moves only through advance().
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    std::chrono::system_clock::time_point wallNow() const override
    {
        return std::chrono::system_clock::time_point(
            std::chrono::duration_cast<std::chrono::system_clock::duration>(m_now.time_since_epoch()));
    }
    /// Moves the clock forward by \p step.
    void advance(Duration step) { m_now += step; }

private:
    TimePoint m_now { std::chrono::hours(1) };
};

} // namespace damask
