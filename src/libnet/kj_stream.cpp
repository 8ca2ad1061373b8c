#include <damaskworks/rpc.h>

#include <arpa/inet.h>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <kj/debug.h>
#include <sys/socket.h>

namespace damask {
namespace {

/// A write completes at once while less output than this is buffered. Otherwise it waits for the socket.
constexpr std::size_t writeHighWaterBytes = 64 * 1024;
/// The stream stops reading from the socket while this much input is buffered.
constexpr std::size_t readHighWaterBytes = 256 * 1024;
constexpr int listenBacklog = 128;

/// A kj byte stream on a bufferevent, which it owns.
class BuffereventStream final : public kj::AsyncIoStream {
public:
    explicit BuffereventStream(bufferevent* bev)
        : m_bev(bev)
        , m_disconnected(kj::newPromiseAndFulfiller<void>())
        , m_whenDisconnected(m_disconnected.promise.fork())
    {
        bufferevent_setcb(m_bev, onRead, onWrite, onEvent, this);
        bufferevent_setwatermark(m_bev, EV_WRITE, writeHighWaterBytes / 2, 0);
        bufferevent_enable(m_bev, EV_READ | EV_WRITE);
    }

    ~BuffereventStream() noexcept(false) { bufferevent_free(m_bev); }

    kj::Promise<size_t> tryRead(void* buffer, size_t minBytes, size_t maxBytes) override
    {
        auto* input = bufferevent_get_input(m_bev);
        if (evbuffer_get_length(input) >= minBytes || m_isReadEnded)
            return readBuffered(buffer, maxBytes);
        KJ_REQUIRE(m_pendingRead.get() == nullptr, "a read is already pending");
        auto pair = kj::newPromiseAndFulfiller<size_t>();
        m_pendingRead = kj::heap<PendingRead>(
            PendingRead { static_cast<char*>(buffer), minBytes, maxBytes, 0, kj::mv(pair.fulfiller) });
        // Consumes the buffered input now: while the buffer is full, no read event follows.
        continueRead();
        return kj::mv(pair.promise);
    }

    kj::Promise<void> write(const void* buffer, size_t size) override
    {
        if (m_isWriteEnded)
            return KJ_EXCEPTION(DISCONNECTED, "connection is closed");
        bufferevent_write(m_bev, buffer, size);
        return whenBelowHighWater();
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        if (m_isWriteEnded)
            return KJ_EXCEPTION(DISCONNECTED, "connection is closed");
        for (auto piece : pieces)
            bufferevent_write(m_bev, piece.begin(), piece.size());
        return whenBelowHighWater();
    }

    kj::Promise<void> whenWriteDisconnected() override { return m_whenDisconnected.addBranch(); }

    void shutdownWrite() override
    {
        m_isShutdownRequested = true;
        m_isWriteEnded = true;
        shutdownIfOutputEmpty();
    }

    void abortRead() override { ::shutdown(bufferevent_getfd(m_bev), SHUT_RD); }

private:
    struct PendingRead {
        char* buffer;
        size_t minBytes;
        size_t maxBytes;
        size_t bytesRead;
        kj::Own<kj::PromiseFulfiller<size_t>> fulfiller;
    };

    /// Resolves once less than writeHighWaterBytes of output is buffered.
    kj::Promise<void> whenBelowHighWater()
    {
        if (evbuffer_get_length(bufferevent_get_output(m_bev)) < writeHighWaterBytes)
            return kj::READY_NOW;
        auto pair = kj::newPromiseAndFulfiller<void>();
        m_pendingWrite = kj::mv(pair.fulfiller);
        return kj::mv(pair.promise);
    }

    void shutdownIfOutputEmpty()
    {
        if (m_isShutdownRequested && evbuffer_get_length(bufferevent_get_output(m_bev)) == 0)
            ::shutdown(bufferevent_getfd(m_bev), SHUT_WR);
    }

    /// Moves up to \p maxBytes of the buffered input to \p buffer. Returns the number of bytes.
    size_t readBuffered(void* buffer, size_t maxBytes)
    {
        const auto count = evbuffer_remove(bufferevent_get_input(m_bev), buffer, maxBytes);
        updateReadSuspension();
        return count > 0 ? static_cast<size_t>(count) : 0;
    }

    /// Stops reading from the socket while the input buffer is full. The stream doesn't use libevent's
    /// high-water mark, with which libevent calls the read callback in a busy loop while the buffer is full.
    void updateReadSuspension()
    {
        const bool isFull = evbuffer_get_length(bufferevent_get_input(m_bev)) >= readHighWaterBytes;
        if (isFull == m_isReadSuspended)
            return;
        m_isReadSuspended = isFull;
        if (isFull)
            bufferevent_disable(m_bev, EV_READ);
        else
            bufferevent_enable(m_bev, EV_READ);
    }

    /// Passes buffered input to the pending read, if any, and completes the read once it has enough.
    void continueRead()
    {
        updateReadSuspension();
        if (m_pendingRead.get() == nullptr)
            return;
        auto& pending = *m_pendingRead;
        pending.bytesRead
            += readBuffered(pending.buffer + pending.bytesRead, pending.maxBytes - pending.bytesRead);
        if (pending.bytesRead < pending.minBytes && !m_isReadEnded)
            return;
        auto finished = kj::mv(m_pendingRead);
        m_pendingRead = nullptr;
        finished->fulfiller->fulfill(kj::cp(finished->bytesRead));
    }

    /// Ends reading; a pending read completes with what has arrived.
    void endRead()
    {
        m_isReadEnded = true;
        continueRead();
    }

    /// Ends both directions after a connection error; a pending write fails.
    void failConnection()
    {
        m_isWriteEnded = true;
        m_disconnected.fulfiller->fulfill();
        if (m_pendingWrite.get() != nullptr) {
            m_pendingWrite->reject(KJ_EXCEPTION(DISCONNECTED, "connection is closed"));
            m_pendingWrite = nullptr;
        }
        endRead();
    }

    static void onRead(bufferevent*, void* argument)
    {
        static_cast<BuffereventStream*>(argument)->continueRead();
    }

    static void onWrite(bufferevent* bev, void* argument)
    {
        auto& stream = *static_cast<BuffereventStream*>(argument);
        stream.shutdownIfOutputEmpty();
        if (stream.m_pendingWrite.get() == nullptr
            || evbuffer_get_length(bufferevent_get_output(bev)) >= writeHighWaterBytes)
            return;
        auto finished = kj::mv(stream.m_pendingWrite);
        stream.m_pendingWrite = nullptr;
        finished->fulfill();
    }

    static void onEvent(bufferevent*, short events, void* argument)
    {
        auto& stream = *static_cast<BuffereventStream*>(argument);
        if (events & BEV_EVENT_ERROR)
            stream.failConnection();
        else if (events & BEV_EVENT_EOF)
            stream.endRead();
    }

    bufferevent* m_bev;
    kj::PromiseFulfillerPair<void> m_disconnected;
    kj::ForkedPromise<void> m_whenDisconnected;
    kj::Own<PendingRead> m_pendingRead;
    kj::Own<kj::PromiseFulfiller<void>> m_pendingWrite;
    bool m_isReadSuspended = false;
    bool m_isReadEnded = false;
    bool m_isWriteEnded = false;
    bool m_isShutdownRequested = false;
};

sockaddr_in toSocketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

} // namespace

namespace rpc {

kj::Own<kj::AsyncIoStream> wrapBufferevent(bufferevent* bev) { return kj::heap<BuffereventStream>(bev); }

kj::Own<kj::AsyncIoStream> connect(event_base* base, const Address& address)
{
    auto* bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    auto stream = wrapBufferevent(bev);
    auto target = toSocketAddress(address);
    bufferevent_socket_connect(bev, reinterpret_cast<sockaddr*>(&target), sizeof(target));
    return stream;
}

} // namespace rpc

struct RpcListener::Impl {
    event_base* base;
    Handler handler;
    evconnlistener* listener = nullptr;

    static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument)
    {
        auto& impl = *static_cast<Impl*>(argument);
        impl.handler(rpc::wrapBufferevent(
            bufferevent_socket_new(impl.base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)));
    }
};

RpcListener::RpcListener(event_base* base, Handler handler)
    : m_impl(new Impl { base, std::move(handler) })
{
}

RpcListener::~RpcListener()
{
    if (m_impl->listener)
        evconnlistener_free(m_impl->listener);
}

tl::expected<std::uint16_t, NetError> RpcListener::listen(const Address& address)
{
    auto target = toSocketAddress(address);
    m_impl->listener = evconnlistener_new_bind(m_impl->base, Impl::onAccept, m_impl.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, listenBacklog, reinterpret_cast<sockaddr*>(&target),
        sizeof(target));
    if (!m_impl->listener)
        return tl::make_unexpected(
            NetError { "cannot listen on " + http::toString(address) + ": " + std::strerror(errno) });
    sockaddr_in bound {};
    socklen_t length = sizeof(bound);
    getsockname(evconnlistener_get_fd(m_impl->listener), reinterpret_cast<sockaddr*>(&bound), &length);
    return ntohs(bound.sin_port);
}

} // namespace damask
