/// \file
/// The event loop of the process, timers and signal handling.
#pragma once

#include <chrono>
#include <functional>
#include <memory>

struct event_base;

namespace damask {

/// Owns the libevent loop. All work of the process runs on this loop, on one thread.
class Loop {
public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;
    event_base* base() const { return m_base; }
    /// Runs until stop().
    void run();
    /// Makes run() return after the current callback.
    void stop();
    /// Runs until \p done returns true or \p timeout has passed. Returns the last result of \p done.
    bool runUntil(const std::function<bool()>& done, std::chrono::milliseconds timeout);

private:
    event_base* m_base;
};

/// A timer on a loop. Destroying it cancels it.
class Timer {
public:
    Timer(event_base* base, std::function<void()> callback);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    /// Fires once after \p delay. Replaces an earlier startOnce() that has not fired yet.
    void startOnce(std::chrono::microseconds delay);
    /// Fires every \p period, for the first time after one period.
    void startPeriodic(std::chrono::microseconds period);
    /// Cancels startOnce() and startPeriodic().
    void stop();

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

/// Calls a function on the loop each time the process receives a signal. Destroying it stops this.
class SignalWatch {
public:
    SignalWatch(event_base* base, int signal, std::function<void()> callback);
    ~SignalWatch();
    SignalWatch(const SignalWatch&) = delete;
    SignalWatch& operator=(const SignalWatch&) = delete;

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace damask
