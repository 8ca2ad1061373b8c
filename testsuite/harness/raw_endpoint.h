/// \file
/// An endpoint and a caller that send raw bytes, valid HTTP or not, for tests of faulty peers.
#pragma once

#include <damaskworks/http.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

struct event_base;

namespace damask::harness {

/// One accepted connection of a RawEndpoint.
class RawConnection {
public:
    virtual ~RawConnection() = default;
    /// Sends \p bytes unchanged.
    virtual void send(const std::string& bytes) = 0;
    /// Closes the connection once all pending bytes are written.
    virtual void close() = 0;
    /// Index of the connection, from 0 in the order of acceptance.
    virtual int index() const = 0;
};

/// Listens on a free port of the loopback address and calls a handler for each complete request. A request
/// has a Content-Length body or no body.
class RawEndpoint {
public:
    using RequestHandler
        = std::function<void(const std::shared_ptr<RawConnection>&, const std::string& request)>;

    RawEndpoint(event_base* base, RequestHandler handler);
    ~RawEndpoint();
    RawEndpoint(const RawEndpoint&) = delete;
    RawEndpoint& operator=(const RawEndpoint&) = delete;
    Address address() const;
    /// The complete requests received, in order.
    const std::vector<std::string>& requests() const;
    /// Number of accepted connections, closed ones included.
    int connections() const;
    /// Closes all connections; the endpoint still accepts new ones.
    void closeAll();
    /// Sets whether connections accepted from now on are left unread.
    void setReadingDisabled(bool isDisabled);

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

/// A caller's connection that sends raw bytes.
class RawCaller {
public:
    RawCaller(event_base* base, const Address& address);
    ~RawCaller();
    RawCaller(const RawCaller&) = delete;
    RawCaller& operator=(const RawCaller&) = delete;
    void send(const std::string& bytes);
    const std::string& received() const;
    /// Whether the connection has ended, by a close of the peer or by an error.
    bool isClosed() const;
    /// Whether the connection ended with an error, such as a reset.
    bool wasReset() const;

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace damask::harness
