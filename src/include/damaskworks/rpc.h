/// \file
/// Cap'n Proto RPC on the libevent loop: a kj event loop driven by libevent, and kj byte streams on
/// bufferevents.
#pragma once

#include <damaskworks/http.h>

#include <functional>
#include <kj/async-io.h>
#include <kj/async.h>
#include <memory>

struct event_base;
struct bufferevent;

namespace damask {

/// Runs a kj event loop within the libevent loop. Create one per process, before any kj promise.
class KjLoop {
public:
    explicit KjLoop(event_base* base);
    ~KjLoop();
    KjLoop(const KjLoop&) = delete;
    KjLoop& operator=(const KjLoop&) = delete;
    /// For code that blocks on a promise, such as tests.
    kj::WaitScope& waitScope();

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

namespace rpc {

/// Wraps \p bev in a kj byte stream, which takes ownership of it.
kj::Own<kj::AsyncIoStream> wrapBufferevent(bufferevent* bev);
/// Starts to connect to \p address. A connection failure is reported by the stream's reads and writes.
kj::Own<kj::AsyncIoStream> connect(event_base* base, const Address& address);

} // namespace rpc

/// Accepts TCP connections and passes each to its handler as a kj byte stream.
class RpcListener {
public:
    using Handler = std::function<void(kj::Own<kj::AsyncIoStream>)>;
    RpcListener(event_base* base, Handler handler);
    ~RpcListener();
    RpcListener(const RpcListener&) = delete;
    RpcListener& operator=(const RpcListener&) = delete;
    /// Binds and listens; port 0 takes a free port. Returns the bound port.
    tl::expected<std::uint16_t, NetError> listen(const Address& address);

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace damask
