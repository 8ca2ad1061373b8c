#include <damaskworks/rpc.h>

#include <event2/event.h>

namespace damask {
namespace {

/// Integrates kj's event loop with libevent: kj waits by running the libevent loop, and a libevent event runs
/// kj's queue.
class LibeventPort final : public kj::EventPort {
public:
    explicit LibeventPort(event_base* base)
        : m_base(base)
        , m_runEvent(event_new(base, -1, 0, onRunEvent, this))
    {
    }
    ~LibeventPort() noexcept(false) { event_free(m_runEvent); }

    void attach(kj::EventLoop& loop) { m_loop = &loop; }

    bool wait() override
    {
        event_base_loop(m_base, EVLOOP_ONCE);
        return false;
    }

    bool poll() override
    {
        event_base_loop(m_base, EVLOOP_NONBLOCK);
        return false;
    }

    void setRunnable(bool runnable) override
    {
        if (runnable)
            event_active(m_runEvent, EV_TIMEOUT, 0);
    }

private:
    /// Limits how long kj's queue may block the libevent loop.
    static constexpr unsigned maxTurnsPerRun = 256;

    static void onRunEvent(evutil_socket_t, short, void* argument)
    {
        auto& port = *static_cast<LibeventPort*>(argument);
        port.m_loop->run(maxTurnsPerRun);
        if (port.m_loop->isRunnable())
            event_active(port.m_runEvent, EV_TIMEOUT, 0);
    }

    event_base* m_base;
    event* m_runEvent;
    kj::EventLoop* m_loop = nullptr;
};

} // namespace

struct KjLoop::Impl {
    explicit Impl(event_base* base)
        : port(base)
        , loop(port)
        , scope(loop)
    {
        port.attach(loop);
    }
    LibeventPort port;
    kj::EventLoop loop;
    kj::WaitScope scope;
};

KjLoop::KjLoop(event_base* base)
    : m_impl(std::make_unique<Impl>(base))
{
}

KjLoop::~KjLoop() = default;

kj::WaitScope& KjLoop::waitScope() { return m_impl->scope; }

} // namespace damask
