#include <damaskworks/loop.h>

#include <event2/event.h>
#include <stdexcept>

namespace damask {
namespace {

timeval toTimeval(std::chrono::microseconds time)
{
    return { static_cast<time_t>(time.count() / 1'000'000),
        static_cast<suseconds_t>(time.count() % 1'000'000) };
}

/// Creates an event base with epoll's changelist: it merges the changes to a socket's events and applies them
/// once per iteration, which saves system calls on each request. libevent forbids this mode if descriptors
/// are duplicated; the process duplicates none.
event_base* createEventBase()
{
    auto* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
    auto* base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

} // namespace

Loop::Loop()
    : m_base(createEventBase())
{
    if (!m_base)
        throw std::runtime_error("cannot create the event loop");
}

Loop::~Loop() { event_base_free(m_base); }

void Loop::run() { event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY); }

void Loop::stop() { event_base_loopbreak(m_base); }

bool Loop::runUntil(const std::function<bool()>& done, std::chrono::milliseconds timeout)
{
    bool isExpired = false;
    Timer deadline(m_base, [&] { isExpired = true; });
    deadline.startOnce(timeout);
    // With callbacks that keep activating others, one event_base_loop() call might never return. This timer
    // ends each call, so that the conditions are checked.
    constexpr std::chrono::milliseconds maxIterationTime { 20 };
    Timer iterationTimer(m_base, [this] { event_base_loopbreak(m_base); });
    iterationTimer.startPeriodic(maxIterationTime);
    while (!done() && !isExpired)
        event_base_loop(m_base, EVLOOP_ONCE);
    return done();
}

struct Timer::Impl {
    event_base* base;
    std::function<void()> callback;
    event* once = nullptr;
    event* periodic = nullptr;

    static void fire(evutil_socket_t, short, void* argument) { static_cast<Impl*>(argument)->callback(); }
};

Timer::Timer(event_base* base, std::function<void()> callback)
    : m_impl(new Impl { base, std::move(callback) })
{
    m_impl->once = event_new(base, -1, 0, Impl::fire, m_impl.get());
    m_impl->periodic = event_new(base, -1, EV_PERSIST, Impl::fire, m_impl.get());
}

Timer::~Timer()
{
    event_free(m_impl->once);
    event_free(m_impl->periodic);
}

void Timer::startOnce(std::chrono::microseconds delay)
{
    const auto time = toTimeval(delay);
    event_add(m_impl->once, &time);
}

void Timer::startPeriodic(std::chrono::microseconds period)
{
    const auto time = toTimeval(period);
    event_add(m_impl->periodic, &time);
}

void Timer::stop()
{
    event_del(m_impl->once);
    event_del(m_impl->periodic);
}

struct SignalWatch::Impl {
    std::function<void()> callback;
    event* signal = nullptr;

    static void fire(evutil_socket_t, short, void* argument) { static_cast<Impl*>(argument)->callback(); }
};

SignalWatch::SignalWatch(event_base* base, int signal, std::function<void()> callback)
    : m_impl(new Impl { std::move(callback) })
{
    m_impl->signal = evsignal_new(base, signal, Impl::fire, m_impl.get());
    event_add(m_impl->signal, nullptr);
}

SignalWatch::~SignalWatch() { event_free(m_impl->signal); }

} // namespace damask
