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

/// A base that collects changes of interest in a socket and applies those that remain once a turn,
/// which saves system calls for each request. Safe because no descriptor is duplicated.
event_base* makeBase()
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
    : m_base(makeBase())
{
    if (!m_base)
        throw std::runtime_error("cannot create the event loop");
}

Loop::~Loop() { event_base_free(m_base); }

void Loop::run() { event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY); }

void Loop::stop() { event_base_loopbreak(m_base); }

bool Loop::runUntil(const std::function<bool()>& done, std::chrono::milliseconds limit)
{
    bool expired = false;
    Timer timer(m_base, [&] { expired = true; });
    timer.startOnce(limit);
    // A loop whose callbacks keep making others active would not return for a single round.
    constexpr std::chrono::milliseconds longestRound { 20 };
    Timer pace(m_base, [this] { event_base_loopbreak(m_base); });
    pace.startPeriodic(longestRound);
    while (!done() && !expired)
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
