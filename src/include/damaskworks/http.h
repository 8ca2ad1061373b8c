/// \file
/// HTTP messages, the HTTP server (on libevhtp) and the HTTP client (on libevent's evhttp). All calls and
/// callbacks run on the thread of one libevent loop. Sizes are in bytes.
#pragma once

#include <damaskworks/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

struct event_base;

namespace damask {

/// Header fields in message order. Names are case-insensitive.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// An IPv4 address and a TCP port.
struct Address {
    std::string ip;
    std::uint16_t port = 0;
    auto operator<=>(const Address&) const = default;
};

/// A complete request.
struct HttpRequest {
    std::string method = "GET";
    std::string path; ///< without the query
    std::string query; ///< without the question mark
    HttpHeaders headers;
    std::string body;
};

/// A complete response.
struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

namespace http {

/// Returns the first value of the header field \p name, or nothing if it is absent.
std::optional<std::string_view> header(const HttpHeaders& headers, std::string_view name);
/// Returns the percent-decoded value of the query parameter \p name, or nothing if it is absent.
std::optional<std::string> queryValue(std::string_view query, std::string_view name);
/// Percent-encodes \p text for use in a path or a query.
std::string percentEncode(std::string_view text);
/// Parses `ip:port`, with an IPv4 address. Returns nothing if \p text is malformed.
std::optional<Address> parseAddress(std::string_view text);
/// Formats `ip:port`.
std::string toString(const Address& address);
/// Whether the header field \p name applies to one connection only and must not be forwarded. Content-Length
/// is included, because each connection frames the body itself.
bool isHopByHop(std::string_view name);

} // namespace http

/// Limits on what the other side of a connection may send.
struct HttpLimits {
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxHeaderBytes = 32 * 1024; ///< of a message's start line and header fields
    /// Longest wait for the next byte.
    std::chrono::milliseconds idleTimeout { 60'000 };
    /// Longest time from a request's first byte to its last.
    std::chrono::milliseconds requestTimeout { 30'000 };
    /// Client: connections to one address; 0: no limit. Further requests wait for one of them, in the time
    /// that their timeout leaves.
    std::size_t maxConnectionsPerAddress = 0;
};

/// A request being served, and its response. It stays valid after the caller has disconnected; responses are
/// then dropped.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest& request() const = 0;
    /// Sends the complete response. Only the first call has an effect.
    virtual void reply(HttpResponse response) = 0;
    /// Starts a chunked response, which stays open until endStream().
    virtual void startStream(int status, HttpHeaders headers) = 0;
    /// Sends one chunk of a chunked response.
    virtual void sendChunk(std::string_view data) = 0;
    /// Number of response bytes that are not yet written to the socket.
    virtual std::size_t unsentBytes() const = 0;
    /// Ends a chunked response.
    virtual void endStream() = 0;
    /// Whether the caller is still connected and the response is not complete.
    virtual bool isOpen() const = 0;
    /// Calls \p callback once if the caller disconnects before the response is complete.
    virtual void onCallerDisconnected(std::function<void()> callback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// A failed network operation.
struct NetError {
    std::string detail; ///< human-readable cause
};

/// HTTP server on one address. It refuses malformed, ambiguously framed and oversized requests before they
/// reach the handler.
class HttpServer {
public:
    HttpServer(event_base* base, HttpLimits limits, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    /// Binds and listens; port 0 takes a free port. Returns the bound port.
    tl::expected<std::uint16_t, NetError> listen(const Address& address);
    /// Stops accepting connections. Open connections stay open, and requests in progress continue.
    void stopAccepting();
    /// From now on, closes each connection after its next response.
    void startDraining();
    /// Closes the connections that have no request in progress and no response to send.
    void closeIdleConnections();
    /// Whether any response is not yet completely written to its socket.
    bool isSending() const;
    /// Number of open connections.
    std::size_t connections() const;
    /// Number of requests refused as malformed, ambiguously framed, too large or too slow.
    std::uint64_t refusedRequests() const;

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

/// Why an attempt at a request failed.
enum class HttpFailure {
    Connect, ///< no connection was established
    Timeout,
    Disconnected, ///< the connection closed before the response was complete
    BadResponse, ///< the response is malformed, ambiguously framed or too large
    Cancelled,
};

/// A failed attempt.
struct HttpClientError {
    HttpFailure failure = HttpFailure::Connect;
    bool mayHaveBeenSent = false; ///< whether the client may have sent any byte of the request
    std::size_t receivedBytes = 0; ///< of the incomplete response
};

using HttpResult = tl::expected<HttpResponse, HttpClientError>;
using HttpCallback = std::function<void(HttpResult)>;

/// Identifies an attempt for cancellation. 0 is never assigned.
using HttpAttemptId = std::uint64_t;

/// Time limits of a request whose response may be large for the link that it comes over.
struct HttpTimeouts {
    std::chrono::milliseconds firstByte; ///< from sending until the response begins to arrive
    std::chrono::milliseconds stall; ///< between two arrivals of bytes of the response
    std::chrono::milliseconds total; ///< from sending until the response is complete
};

/// HTTP client that keeps idle connections per address for reuse. A connection carries one request at a time.
/// The client closes a connection that has unread bytes, because they could be taken for the next response.
class HttpClient {
public:
    HttpClient(event_base* base, HttpLimits limits);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
    /// Sends \p request; calls \p callback exactly once, never from within this call. With a \p timeout, the
    /// response must be complete by then.
    HttpAttemptId send(const Address& address, const HttpRequest& request, std::chrono::milliseconds timeout,
        HttpCallback callback);
    HttpAttemptId send(const Address& address, const HttpRequest& request, const HttpTimeouts& timeouts,
        HttpCallback callback);
    /// Cancels an attempt and closes its connection. Does not call its callback.
    void cancel(HttpAttemptId attempt);
    /// Closes the idle connections to \p address.
    void closeIdleConnections(const Address& address);

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

/// A GET request whose response is read line by line as it arrives, for watch streams. Destroying it closes
/// the connection without a further callback.
class HttpLineStream {
public:
    /// Calls \p onLine with each line, without its line feed, and \p onEnd once at the end of the response
    /// with the status, or with 0 if there was no response. An unterminated last line is passed too.
    HttpLineStream(event_base* base, const Address& address, const std::string& target,
        std::function<void(std::string_view)> onLine, std::function<void(int)> onEnd);
    ~HttpLineStream();
    HttpLineStream(const HttpLineStream&) = delete;
    HttpLineStream& operator=(const HttpLineStream&) = delete;

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace damask
