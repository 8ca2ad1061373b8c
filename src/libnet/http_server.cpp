#include "http_chunk_pvt.h"
#include "http_head_pvt.h"

#include <damaskworks/http.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <evhtp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unordered_map>

namespace damask {
namespace {

/// Casts a callback to evhtp_hook: libevhtp passes all hooks as this one type, whatever their parameters are.
template <typename Function> evhtp_hook toHook(Function function)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void*>(function));
}

constexpr int listenBacklog = 1024;

timeval toTimeval(std::chrono::milliseconds time)
{
    return { static_cast<time_t>(time.count() / 1000), static_cast<suseconds_t>(time.count() % 1000 * 1000) };
}

const char* reasonPhrase(int status)
{
    switch (status) {
    case 400:
        return "Bad Request";
    case 408:
        return "Request Timeout";
    case 413:
        return "Payload Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return "Refused";
    }
}

/// What the server has found in the header fields of a request.
struct HeaderSummary {
    std::size_t bytes = 0; ///< of all names and values
    int contentLengthFields = 0;
    int transferEncodingFields = 0;
    int hostFields = 0;
    bool hasInvalidContentLength = false;
    bool hasUnsupportedTransferEncoding = false;
    std::uint64_t contentLength = 0;
};

/// Whether \p text is a valid Content-Length. A number of up to 18 digits always fits in 64 bits.
bool isContentLength(const char* text, std::size_t length)
{
    for (std::size_t i = 0; i < length; ++i) {
        if (text[i] < '0' || text[i] > '9')
            return false;
    }
    return length > 0 && length < 19;
}

/// Adds one header field to the HeaderSummary \p argument.
int addToSummary(evhtp_kv_t* kv, void* argument)
{
    auto& summary = *static_cast<HeaderSummary*>(argument);
    summary.bytes += kv->klen + kv->vlen;
    if (strcasecmp(kv->key, "content-length") == 0) {
        ++summary.contentLengthFields;
        summary.hasInvalidContentLength
            = summary.hasInvalidContentLength || !isContentLength(kv->val, kv->vlen);
        if (!summary.hasInvalidContentLength)
            summary.contentLength = std::strtoull(kv->val, nullptr, 10);
    }
    if (strcasecmp(kv->key, "transfer-encoding") == 0) {
        ++summary.transferEncodingFields;
        summary.hasUnsupportedTransferEncoding
            = summary.hasUnsupportedTransferEncoding || strcasecmp(kv->val, "chunked") != 0;
    }
    if (strcasecmp(kv->key, "host") == 0)
        ++summary.hostFields;
    return 0;
}

/// Returns the status with which the server refuses a request with these header fields, or 0. A request with
/// an ambiguous body length is refused, because the bytes after it could be taken for another request.
int headerRefusalStatus(const HeaderSummary& summary, const HttpLimits& limits)
{
    if (summary.bytes > limits.maxHeaderBytes)
        return 431;
    if (summary.contentLengthFields > 1 || summary.hasInvalidContentLength || summary.hostFields > 1)
        return 400;
    if (summary.transferEncodingFields > 0 && summary.contentLengthFields > 0)
        return 400;
    if (summary.transferEncodingFields > 1 || summary.hasUnsupportedTransferEncoding)
        return 501;
    if (summary.contentLength > limits.maxBodyBytes)
        return 413;
    return 0;
}

/// Writes the refusal directly to the socket: the connection is freed right after this call, and its buffered
/// output is lost with it.
void sendRefusal(evhtp_connection_t* connection, int status)
{
    const std::string body = std::string("{\"error\":\"request refused\",\"reason\":\"")
        + reasonPhrase(status) + "\",\"outcome\":\"not_run\"}\n";
    const std::string response = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status)
        + "\r\nContent-Type: application/json\r\nDamask-Outcome: not-run\r\nConnection: "
          "close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (evbuffer_get_length(bufferevent_get_output(connection->bev)) > 0)
        return; // A previous response is still being sent.
    const auto fd = bufferevent_getfd(connection->bev);
    [[maybe_unused]] auto sent = ::send(fd, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(fd, SHUT_WR);
}

int copyHeader(evhtp_kv_t* kv, void* argument)
{
    static_cast<HttpHeaders*>(argument)->emplace_back(
        std::string(kv->key, kv->klen), std::string(kv->val, kv->vlen));
    return 0;
}

} // namespace

namespace {
class Exchange;
struct Connection;
}

struct HttpServer::Impl {
    event_base* base;
    HttpLimits limits;
    HttpHandler handler;
    evhtp_t* htp = nullptr;
    bool isAccepting = false;
    bool isDraining = false;
    std::uint64_t refusedCount = 0;
    /// Exchanges whose response was given within the handler. The server sends these responses after the
    /// handler has returned, because libevhtp otherwise loses pipelined requests.
    std::vector<std::shared_ptr<Exchange>> deferredExchanges;
    event* deferredEvent = nullptr; ///< sends the responses of deferredExchanges
    std::unordered_map<evhtp_connection_t*, std::unique_ptr<Connection>> connections;
};

namespace {

/// The server's state of one connection, in addition to that of libevhtp.
struct Connection {
    HttpServer::Impl& server;
    evhtp_connection_t* raw;
    /// Fires at the request's deadline, or at once to refuse the request or to close the connection.
    event* timer = nullptr;
    event* disconnectEvent = nullptr; ///< fires if the caller disconnects while its request is being served
    http::RequestHead head;
    std::optional<http::ChunkParser> chunkParser; ///< set if the body that follows the head is chunked
    bool hasRequestBytes = false; ///< whether the first byte of a request has arrived
    bool isServing = false; ///< whether a request of this connection waits for its response
    bool isClosing = false; ///< whether the connection closes after the response that is being sent
    int refusalStatus = 0; ///< status with which the request is refused, or 0
    bool isRefused = false; ///< whether the request has been refused
};

void refuse(Connection& connection, int status)
{
    if (connection.isRefused)
        return;
    connection.isRefused = true;
    ++connection.server.refusedCount;
    sendRefusal(connection.raw, status);
}

/// Refuses the request in the next iteration of the loop: a connection can't be freed while its input buffer
/// is being filled.
void scheduleRefusal(Connection& connection, int status)
{
    connection.refusalStatus = status;
    event_active(connection.timer, EV_TIMEOUT, 0);
}

std::string copyOut(evbuffer* input, std::size_t offset, std::size_t size)
{
    std::string bytes(size, '\0');
    evbuffer_ptr start;
    evbuffer_ptr_set(input, &start, offset, EVBUFFER_PTR_SET);
    evbuffer_copyout_from(input, &start, bytes.data(), bytes.size());
    return bytes;
}

/// Validates the framing of a chunked body. In \p input the new bytes start at \p offset.
void inspectBody(Connection& connection, evbuffer* input, std::size_t offset)
{
    if (!connection.chunkParser)
        return;
    if (!http::parseChunks(
            *connection.chunkParser, copyOut(input, offset, evbuffer_get_length(input) - offset)))
        scheduleRefusal(connection, 400);
}

/// Validates the bytes of the next request as they arrive. In \p input the new bytes start at \p offset.
void inspectInput(Connection& connection, evbuffer* input, std::size_t offset)
{
    const auto& limits = connection.server.limits;
    const auto newBytes = evbuffer_get_length(input) - offset;
    if (newBytes == 0 || connection.isServing || connection.isClosing)
        return;
    if (!connection.hasRequestBytes) {
        connection.hasRequestBytes = true;
        const auto time = toTimeval(limits.requestTimeout);
        event_add(connection.timer, &time);
    }
    if (connection.refusalStatus)
        return;
    if (connection.head.isComplete)
        return inspectBody(connection, input, offset);
    const auto headBytesLeft
        = limits.maxHeaderBytes + 1 - std::min(limits.maxHeaderBytes, connection.head.text.size());
    const auto bytes = copyOut(input, offset, std::min(newBytes, headBytesLeft));
    const auto excess = http::appendToHead(connection.head, bytes);
    if (connection.head.text.size() > limits.maxHeaderBytes)
        return scheduleRefusal(connection, 431);
    // libevhtp's parser refuses some requests whose path arrives in two pieces. So it gets to read the head
    // only when all of it is there.
    bufferevent_setwatermark(
        connection.raw->bev, EV_READ, connection.head.isComplete ? 0 : evbuffer_get_length(input) + 1, 0);
    if (!connection.head.isComplete)
        return;
    if (const int status = http::headRefusalStatus(connection.head))
        return scheduleRefusal(connection, status);
    if (http::isChunked(connection.head.text))
        connection.chunkParser.emplace();
    inspectBody(connection, input, offset + bytes.size() - excess);
}

void onInput(evbuffer* input, const evbuffer_cb_info* info, void* argument)
{
    if (info->n_added > 0)
        inspectInput(*static_cast<Connection*>(argument), input, info->orig_size);
}

/// Closes a connection once its last response is written. libevhtp leaves it open after the response to a
/// paused request, even if caller and server agreed to close it.
void onOutput(evbuffer* output, const evbuffer_cb_info* info, void* argument)
{
    auto& connection = *static_cast<Connection*>(argument);
    const bool closesAfterOutput = connection.isClosing || connection.refusalStatus;
    if (closesAfterOutput && info->n_deleted > 0 && evbuffer_get_length(output) == 0)
        event_active(connection.timer, EV_TIMEOUT, 0);
}

void onTimer(evutil_socket_t, short, void* argument)
{
    auto& connection = *static_cast<Connection*>(argument);
    const bool isSending = evbuffer_get_length(bufferevent_get_output(connection.raw->bev)) > 0;
    if (isSending && connection.refusalStatus)
        return; // The previous response is sent first.
    if (!connection.isClosing)
        refuse(connection, connection.refusalStatus ? connection.refusalStatus : 408);
    evhtp_connection_free(connection.raw);
}

void onDisconnect(evutil_socket_t, short, void* argument)
{
    evhtp_connection_free(static_cast<Connection*>(argument)->raw);
}

void beginServing(Connection& connection)
{
    connection.isServing = true;
    event_del(connection.timer);
}

void endServing(Connection& connection)
{
    if (!connection.isServing)
        return;
    connection.isServing = false;
    connection.hasRequestBytes = false;
    connection.head = {};
    connection.chunkParser.reset();
    // The input buffer may already hold bytes of a pipelined request.
    inspectInput(connection, bufferevent_get_input(connection.raw->bev), 0);
}

class Exchange final : public HttpExchange {
public:
    Exchange(Connection& connection, evhtp_request_t* request, std::string_view target)
        : m_server(connection.server)
        , m_connection(connection)
        , m_raw(request)
    {
        m_request.method = htparser_get_methodstr(request->conn->parser);
        // Uses the raw target: libevhtp truncates its copy at a fragment and at unusual bytes.
        const auto question = target.find('?');
        m_request.path = target.substr(0, question);
        if (question != std::string_view::npos)
            m_request.query = target.substr(question + 1);
        evhtp_headers_for_each(request->headers_in, copyHeader, &m_request.headers);
        const auto length = evbuffer_get_length(request->buffer_in);
        m_request.body.resize(length);
        evbuffer_copyout(request->buffer_in, m_request.body.data(), length);
    }

    const HttpRequest& request() const override { return m_request; }

    void reply(HttpResponse response) override
    {
        if (!isOpen())
            return;
        m_onCallerDisconnected = nullptr;
        m_isFinished = true;
        if (m_isInHandler) {
            m_response = std::move(response);
            return;
        }
        sendResponse(response);
    }

    /// Sends the response that was given within the handler, unless libevhtp has freed the request.
    void sendDeferredResponse()
    {
        if (m_raw)
            sendResponse(m_response);
    }

    /// Records whether the handler is running. Returns whether a response has been given.
    bool setInHandler(bool isInHandler)
    {
        m_isInHandler = isInHandler;
        return m_isFinished;
    }

    void sendResponse(HttpResponse& response)
    {
        auto* raw = m_raw;
        auto& connection = m_connection;
        connection.isClosing = m_server.isDraining || !(raw->flags & EVHTP_REQ_FLAG_KEEPALIVE);
        if (connection.isClosing)
            response.headers.emplace_back("Connection", "close");
        addHeaders(response.headers);
        evbuffer_add(raw->buffer_out, response.body.data(), response.body.size());
        evhtp_send_reply(raw, static_cast<evhtp_res>(response.status));
        resume(raw);
        endServing(connection);
    }

    void startStream(int status, HttpHeaders headers) override
    {
        if (!isOpen())
            return;
        if (m_isInHandler)
            setInHandler(false); // Streams are never pipelined, so this response needs no deferral.
        addHeaders(headers);
        evhtp_send_reply_chunk_start(m_raw, static_cast<evhtp_res>(status));
        // The connection must be read during a stream: that is how the server notices a disconnect.
        resume(m_raw);
    }

    void sendChunk(std::string_view data) override
    {
        if (!isOpen() || data.empty())
            return;
        auto* buffer = evbuffer_new();
        evbuffer_add(buffer, data.data(), data.size());
        evhtp_send_reply_chunk(m_raw, buffer);
        evbuffer_free(buffer);
    }

    std::size_t unsentBytes() const override
    {
        return m_raw ? evbuffer_get_length(bufferevent_get_output(m_raw->conn->bev)) : 0;
    }

    void endStream() override
    {
        if (!isOpen())
            return;
        m_isFinished = true;
        m_onCallerDisconnected = nullptr;
        evhtp_send_reply_chunk_end(m_raw);
    }

    bool isOpen() const override { return m_raw && !m_isFinished; }

    void onCallerDisconnected(std::function<void()> callback) override
    {
        m_onCallerDisconnected = std::move(callback);
    }

    /// Pauses the connection until the response is sent, so that pipelined requests are answered in order.
    void pause()
    {
        m_isPaused = true;
        evhtp_request_pause(m_raw);
        event_add(m_connection.disconnectEvent, nullptr);
    }

    HttpServer::Impl& server() const { return m_server; }

    /// Drops the reference to libevhtp's request, which is about to be freed, and calls the callback of
    /// onCallerDisconnected().
    void detach()
    {
        m_raw = nullptr;
        auto callback = std::move(m_onCallerDisconnected);
        m_onCallerDisconnected = nullptr;
        if (callback)
            callback();
    }

private:
    void addHeaders(const HttpHeaders& headers)
    {
        for (const auto& [name, value] : headers)
            evhtp_headers_add_header(m_raw->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
    }

    void resume(evhtp_request_t* raw)
    {
        if (!m_isPaused)
            return;
        m_isPaused = false;
        event_del(m_connection.disconnectEvent);
        evhtp_request_resume(raw);
    }

    HttpServer::Impl& m_server;
    Connection& m_connection; ///< valid while m_raw is set
    evhtp_request_t* m_raw;
    HttpRequest m_request;
    std::function<void()> m_onCallerDisconnected;
    HttpResponse m_response;
    bool m_isPaused = false;
    bool m_isFinished = false;
    bool m_isInHandler = false;
};

evhtp_res onRequestFinished(evhtp_request_t* request, void* argument)
{
    auto* exchange = static_cast<std::shared_ptr<Exchange>*>(argument);
    // If libevhtp is freeing the whole connection, its entry has already been erased.
    auto& connections = (*exchange)->server().connections;
    if (auto found = connections.find(request->conn); found != connections.end())
        endServing(*found->second);
    (*exchange)->detach();
    delete exchange;
    return EVHTP_RES_OK;
}

void onRequest(evhtp_request_t* request, void* argument)
{
    auto& impl = *static_cast<HttpServer::Impl*>(argument);
    auto& connection = *impl.connections.at(request->conn);
    if (connection.isClosing)
        return;
    if (connection.refusalStatus || !connection.head.isComplete)
        return scheduleRefusal(connection, connection.refusalStatus ? connection.refusalStatus : 400);
    auto exchange = std::make_shared<Exchange>(connection, request, http::requestTarget(connection.head));
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini, toHook(onRequestFinished),
        new std::shared_ptr<Exchange>(exchange));
    beginServing(connection);
    exchange->pause();
    exchange->setInHandler(true);
    impl.handler(exchange);
    if (!exchange->setInHandler(false))
        return;
    impl.deferredExchanges.push_back(exchange);
    event_active(impl.deferredEvent, EV_TIMEOUT, 0);
}

void onDeferred(evutil_socket_t, short, void* argument)
{
    auto& impl = *static_cast<HttpServer::Impl*>(argument);
    auto exchanges = std::move(impl.deferredExchanges);
    impl.deferredExchanges.clear();
    for (const auto& exchange : exchanges)
        exchange->sendDeferredResponse();
}

/// Refuses the request from within a libevhtp hook, which makes libevhtp close the connection.
evhtp_res refuseInHook(Connection& connection, int status)
{
    refuse(connection, status);
    return EVHTP_RES_BADREQ;
}

evhtp_res onHeaders(evhtp_request_t*, evhtp_headers_t* headers, void* argument)
{
    auto& connection = *static_cast<Connection*>(argument);
    HeaderSummary summary;
    evhtp_headers_for_each(headers, addToSummary, &summary);
    if (connection.refusalStatus)
        return refuseInHook(connection, connection.refusalStatus);
    if (!connection.head.isComplete || (summary.hostFields == 0 && http::requiresHost(connection.head)))
        return refuseInHook(connection, 400);
    const int status = headerRefusalStatus(summary, connection.server.limits);
    return status ? refuseInHook(connection, status) : EVHTP_RES_OK;
}

evhtp_res onBody(evhtp_request_t* request, evbuffer* data, void* argument)
{
    auto& connection = *static_cast<Connection*>(argument);
    if (connection.refusalStatus)
        return refuseInHook(connection, connection.refusalStatus);
    const auto length = evbuffer_get_length(request->buffer_in) + evbuffer_get_length(data);
    return length > connection.server.limits.maxBodyBytes ? refuseInHook(connection, 413) : EVHTP_RES_OK;
}

evhtp_res onConnectionFinished(evhtp_connection_t* raw, void* argument)
{
    auto& connection = *static_cast<Connection*>(argument);
    // libevhtp closes the connection without a response if its parser finds an error.
    if (!connection.isServing && htparser_get_error(raw->parser) != htparse_error_none)
        refuse(connection, 400);
    event_free(connection.timer);
    event_free(connection.disconnectEvent);
    connection.server.connections.erase(raw);
    return EVHTP_RES_OK;
}

evhtp_res onAccepted(evhtp_connection_t* raw, void* argument)
{
    auto& impl = *static_cast<HttpServer::Impl*>(argument);
    // A started process that kept the socket open would keep it registered with epoll after it is closed
    // here.
    evutil_make_socket_closeonexec(bufferevent_getfd(raw->bev));
    auto& connection = *impl.connections.emplace(raw, new Connection { impl, raw }).first->second;
    connection.timer = event_new(impl.base, -1, 0, onTimer, &connection);
    connection.disconnectEvent
        = event_new(impl.base, bufferevent_getfd(raw->bev), EV_CLOSED, onDisconnect, &connection);
    evbuffer_add_cb(bufferevent_get_input(raw->bev), onInput, &connection);
    evbuffer_add_cb(bufferevent_get_output(raw->bev), onOutput, &connection);
    evhtp_connection_set_hook(raw, evhtp_hook_on_headers, toHook(onHeaders), &connection);
    evhtp_connection_set_hook(raw, evhtp_hook_on_read, toHook(onBody), &connection);
    evhtp_connection_set_hook(raw, evhtp_hook_on_connection_fini, toHook(onConnectionFinished), &connection);
    return EVHTP_RES_OK;
}

} // namespace

HttpServer::HttpServer(event_base* base, HttpLimits limits, HttpHandler handler)
    : m_impl(new Impl { base, limits, std::move(handler) })
{
    m_impl->htp = evhtp_new(base, nullptr);
    m_impl->deferredEvent = event_new(base, -1, 0, onDeferred, m_impl.get());
    const auto timeout = toTimeval(limits.idleTimeout);
    evhtp_set_timeouts(m_impl->htp, &timeout, &timeout);
    evhtp_set_post_accept_cb(m_impl->htp, onAccepted, m_impl.get());
    evhtp_set_gencb(m_impl->htp, onRequest, m_impl.get());
}

HttpServer::~HttpServer()
{
    stopAccepting();
    while (!m_impl->connections.empty())
        evhtp_connection_free(m_impl->connections.begin()->first);
    event_free(m_impl->deferredEvent);
    evhtp_free(m_impl->htp);
}

tl::expected<std::uint16_t, NetError> HttpServer::listen(const Address& address)
{
    if (evhtp_bind_socket(m_impl->htp, address.ip.c_str(), address.port, listenBacklog) != 0)
        return tl::make_unexpected(
            NetError { "cannot listen on " + http::toString(address) + ": " + std::strerror(errno) });
    m_impl->isAccepting = true;
    sockaddr_in bound {};
    socklen_t length = sizeof(bound);
    getsockname(evconnlistener_get_fd(m_impl->htp->server), reinterpret_cast<sockaddr*>(&bound), &length);
    return ntohs(bound.sin_port);
}

void HttpServer::stopAccepting()
{
    if (!m_impl->isAccepting)
        return;
    m_impl->isAccepting = false;
    evhtp_unbind_socket(m_impl->htp);
}

void HttpServer::startDraining() { m_impl->isDraining = true; }

void HttpServer::closeIdleConnections()
{
    std::vector<evhtp_connection_t*> idleConnections;
    for (const auto& [raw, connection] : m_impl->connections) {
        // A request that has arrived in the socket but is not yet read is served first.
        char byte = 0;
        const bool hasNoInput = recv(bufferevent_getfd(raw->bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
        const bool isOutputEmpty = evbuffer_get_length(bufferevent_get_output(raw->bev)) == 0;
        if (hasNoInput && isOutputEmpty && !connection->isServing && !connection->hasRequestBytes)
            idleConnections.push_back(raw);
    }
    for (auto* raw : idleConnections)
        evhtp_connection_free(raw);
}

bool HttpServer::isSending() const
{
    return std::any_of(m_impl->connections.begin(), m_impl->connections.end(),
        [](const auto& entry) { return evbuffer_get_length(bufferevent_get_output(entry.first->bev)) > 0; });
}

std::size_t HttpServer::connections() const { return m_impl->connections.size(); }

std::uint64_t HttpServer::refusedRequests() const { return m_impl->refusedCount; }

} // namespace damask
