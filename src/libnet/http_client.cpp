#include <damaskworks/http.h>

#include "flush_pvt.h"

#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <list>
#include <set>
#include <strings.h>
#include <sys/socket.h>
#include <unordered_map>

namespace damask {
namespace {

constexpr std::size_t maxIdleConnectionsPerAddress = 64;

struct MethodName {
    evhttp_cmd_type command;
    std::string_view name;
};
constexpr MethodName methodNames[] = { { EVHTTP_REQ_GET, "GET" }, { EVHTTP_REQ_POST, "POST" },
    { EVHTTP_REQ_PUT, "PUT" }, { EVHTTP_REQ_DELETE, "DELETE" }, { EVHTTP_REQ_HEAD, "HEAD" },
    { EVHTTP_REQ_PATCH, "PATCH" }, { EVHTTP_REQ_OPTIONS, "OPTIONS" } };

evhttp_cmd_type toCommand(std::string_view method)
{
    for (const auto& entry : methodNames) {
        if (entry.name == method)
            return entry.command;
    }
    return EVHTTP_REQ_GET;
}

timeval toTimeval(std::chrono::microseconds time)
{
    return { static_cast<time_t>(time.count() / 1'000'000),
        static_cast<suseconds_t>(time.count() % 1'000'000) };
}

/// Whether \p text is a valid Content-Length. A number of up to 18 digits always fits in 64 bits.
bool isContentLength(std::string_view text)
{
    return !text.empty() && text.size() < 19
        && text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// Whether the header fields delimit the body in exactly one way. A body that ends only when the connection
/// closes is refused: it can't be told from a truncated one.
bool hasUnambiguousFraming(const evkeyvalq* headers, int status, bool isHeadRequest)
{
    int framings = 0;
    for (const evkeyval* header = headers->tqh_first; header; header = header->next.tqe_next) {
        const bool isLength = strcasecmp(header->key, "content-length") == 0;
        const bool isEncoding = strcasecmp(header->key, "transfer-encoding") == 0;
        if ((isLength && !isContentLength(header->value))
            || (isEncoding && strcasecmp(header->value, "chunked") != 0))
            return false;
        framings += isLength || isEncoding;
    }
    if (framings == 1)
        return true;
    return framings == 0 && (isHeadRequest || status == 204 || status == 304);
}

/// Unread input of a connection that carries no request.
enum class UnreadInput { None, Bytes, EndOfStream };

UnreadInput unreadInput(bufferevent* bev)
{
    if (evbuffer_get_length(bufferevent_get_input(bev)) > 0)
        return UnreadInput::Bytes;
    char byte = 0;
    const auto received = recv(bufferevent_getfd(bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0)
        return UnreadInput::Bytes;
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? UnreadInput::None
                                                                     : UnreadInput::EndOfStream;
}

} // namespace

struct HttpClient::Impl {
    struct Connection {
        evhttp_connection* raw = nullptr;
        Address address;
    };
    /// An open connection that carries no request.
    struct IdleConnection {
        evhttp_connection* raw = nullptr;
        std::uint64_t usedAt = 0; ///< position of its last response in the order of sends and responses
    };
    struct Attempt {
        Impl* client = nullptr;
        HttpAttemptId id = 0;
        Connection connection;
        std::uint64_t sentAt = 0; ///< position in the order of sends and responses; 0: not sent
        evhttp_request* raw = nullptr;
        HttpRequest request; ///< until it is given to a connection
        evbuffer_cb_entry* outputCallback = nullptr; ///< sets hasSentBytes
        evbuffer_cb_entry* inputCallback = nullptr; ///< counts receivedBytes
        event* timer = nullptr; ///< for HttpTimeouts::total
        event* arrivalTimer = nullptr; ///< for the other limits of HttpTimeouts
        timeval stallTimeout {};
        HttpCallback callback;
        HttpFailure failure = HttpFailure::Connect;
        std::size_t receivedBytes = 0;
        bool hasSentBytes = false;
        bool hasUnsolicitedBytes = false; ///< whether bytes arrived before the request was sent
        bool isHeadRequest = false;
    };

    event_base* base;
    HttpLimits limits;
    HttpAttemptId nextId = 1;
    std::unordered_map<HttpAttemptId, std::unique_ptr<Attempt>> attempts;
    std::uint64_t lastEvent = 0; ///< position of the last send or response
    std::map<Address, std::list<IdleConnection>> idle;
    std::map<Address, std::size_t> inUse; ///< connections that carry a request
    std::map<Address, std::deque<HttpAttemptId>> waiting; ///< attempts without a connection, oldest first
    std::set<Address> unsolicitedSenders; ///< addresses that have sent bytes without a request
    std::vector<evhttp_connection*> discarded; ///< connections that wait for freeDiscarded()
    event* discardEvent = nullptr;

    /// Frees the connection in the next iteration of the loop: it can't be freed inside its own callback.
    void discard(evhttp_connection* connection)
    {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        discarded.push_back(connection);
        event_active(discardEvent, EV_TIMEOUT, 0);
    }

    static void freeDiscarded(evutil_socket_t, short, void* argument)
    {
        auto& impl = *static_cast<Impl*>(argument);
        auto connections = std::move(impl.discarded);
        impl.discarded.clear();
        for (auto* connection : connections)
            evhttp_connection_free(connection);
    }

    static void onIdleClosed(evhttp_connection* connection, void* argument)
    {
        auto& impl = *static_cast<Impl*>(argument);
        for (auto& [address, connections] : impl.idle) {
            for (auto it = connections.begin(); it != connections.end(); ++it) {
                if (it->raw != connection)
                    continue;
                connections.erase(it);
                impl.discard(connection);
                return;
            }
        }
    }

    /// Whether the connection has no unread input. From the first time that an address sends bytes without a
    /// request, its connections carry one request each, so that such bytes can't be taken for a response.
    bool checkNoUnreadInput(const Address& address, bufferevent* bev)
    {
        const auto input = unreadInput(bev);
        if (input == UnreadInput::Bytes)
            unsolicitedSenders.insert(address);
        return input == UnreadInput::None;
    }

    /// Returns an idle connection to \p address that can be reused, or null.
    evhttp_connection* takeIdleConnection(const Address& address)
    {
        auto found = idle.find(address);
        if (found == idle.end())
            return nullptr;
        while (!found->second.empty()) {
            auto* connection = found->second.back().raw;
            found->second.pop_back();
            evhttp_connection_set_closecb(connection, nullptr, nullptr);
            auto* bev = evhttp_connection_get_bufferevent(connection);
            if (checkNoUnreadInput(address, bev))
                return connection;
            discard(connection);
        }
        return nullptr;
    }

    evhttp_connection* createConnection(const Address& address)
    {
        auto* connection = evhttp_connection_base_bufferevent_new(
            base, nullptr, nullptr, address.ip.c_str(), address.port);
        evhttp_connection_set_max_body_size(connection, static_cast<ev_ssize_t>(limits.maxBodyBytes));
        evhttp_connection_set_max_headers_size(connection, static_cast<ev_ssize_t>(limits.maxHeaderBytes));
        return connection;
    }

    /// Keeps the connection for reuse or discards it.
    void releaseConnection(Connection& connection, bool isReusable)
    {
        auto* bev = evhttp_connection_get_bufferevent(connection.raw);
        auto& idleConnections = idle[connection.address];
        if (!isReusable || idleConnections.size() >= maxIdleConnectionsPerAddress
            || !checkNoUnreadInput(connection.address, bev)
            || unsolicitedSenders.contains(connection.address)) {
            discard(connection.raw);
            return;
        }
        evhttp_connection_set_closecb(connection.raw, onIdleClosed, this);
        idleConnections.push_back({ connection.raw, ++lastEvent });
    }

    /// Discards the idle connections to the address that have carried nothing since the attempt was sent.
    /// Connections can go silent without a reset, all at once. Each of them would cost a time-out of its own.
    void discardUnprovenConnections(const Attempt& attempt)
    {
        const auto found = idle.find(attempt.connection.address);
        if (found == idle.end() || attempt.sentAt == 0)
            return;
        std::erase_if(found->second, [&](const IdleConnection& connection) {
            if (connection.usedAt > attempt.sentAt)
                return false;
            discard(connection.raw);
            return true;
        });
    }

    static void onOutput(evbuffer*, const evbuffer_cb_info* info, void* argument)
    {
        auto& attempt = *static_cast<Attempt*>(argument);
        if (info->n_deleted == 0 || attempt.hasSentBytes)
            return;
        attempt.hasSentBytes = true;
        auto* bev = evhttp_connection_get_bufferevent(attempt.connection.raw);
        attempt.hasUnsolicitedBytes = evbuffer_get_length(bufferevent_get_input(bev)) > 0;
    }

    static void onInput(evbuffer*, const evbuffer_cb_info* info, void* argument)
    {
        auto& attempt = *static_cast<Attempt*>(argument);
        attempt.receivedBytes += info->n_added;
        if (info->n_added > 0)
            event_add(attempt.arrivalTimer, &attempt.stallTimeout);
    }

    static void onError(evhttp_request_error error, void* argument)
    {
        auto& attempt = *static_cast<Attempt*>(argument);
        switch (error) {
        case EVREQ_HTTP_TIMEOUT:
            attempt.failure = HttpFailure::Timeout;
            break;
        case EVREQ_HTTP_INVALID_HEADER:
        case EVREQ_HTTP_DATA_TOO_LONG:
            attempt.failure = HttpFailure::BadResponse;
            break;
        case EVREQ_HTTP_REQUEST_CANCEL:
            attempt.failure = HttpFailure::Cancelled;
            break;
        default:
            attempt.failure = HttpFailure::Disconnected;
            break;
        }
    }

    static void onTimeout(evutil_socket_t, short, void* argument)
    {
        auto& attempt = *static_cast<Attempt*>(argument);
        if (attempt.receivedBytes == 0)
            attempt.client->discardUnprovenConnections(attempt);
        attempt.client->finish(attempt.id,
            tl::make_unexpected(
                HttpClientError { HttpFailure::Timeout, attempt.hasSentBytes, attempt.receivedBytes }),
            true);
    }

    static void onDone(evhttp_request* request, void* argument)
    {
        auto& attempt = *static_cast<Attempt*>(argument);
        auto& impl = *attempt.client;
        attempt.raw = nullptr; // libevent frees the request after this callback.
        const int status = request ? evhttp_request_get_response_code(request) : 0;
        if (status == 0) {
            if (!attempt.hasSentBytes)
                attempt.failure = HttpFailure::Connect;
            impl.finish(attempt.id,
                tl::make_unexpected(
                    HttpClientError { attempt.failure, attempt.hasSentBytes, attempt.receivedBytes }),
                false);
            return;
        }
        const auto* headers = evhttp_request_get_input_headers(request);
        if (attempt.hasUnsolicitedBytes || !hasUnambiguousFraming(headers, status, attempt.isHeadRequest)) {
            impl.finish(
                attempt.id, tl::make_unexpected(HttpClientError { HttpFailure::BadResponse, true }), false);
            return;
        }
        HttpResponse response;
        response.status = status;
        for (const evkeyval* header = headers->tqh_first; header; header = header->next.tqe_next)
            response.headers.emplace_back(header->key, header->value);
        auto* body = evhttp_request_get_input_buffer(request);
        response.body.resize(evbuffer_get_length(body));
        evbuffer_copyout(body, response.body.data(), response.body.size());
        const auto connectionHeader = http::header(response.headers, "connection");
        const bool willClose
            = connectionHeader && strcasecmp(std::string(*connectionHeader).c_str(), "close") == 0;
        impl.finish(attempt.id, std::move(response), false, !willClose);
    }

    /// Ends the attempt and calls its callback. If \p shouldCancel, also cancels its request in libevent.
    void finish(HttpAttemptId id, HttpResult result, bool shouldCancel, bool isReusable = false)
    {
        auto found = attempts.find(id);
        if (found == attempts.end())
            return;
        auto attempt = std::move(found->second);
        attempts.erase(found);
        cleanUp(*attempt, shouldCancel, isReusable);
        sendNextWaiting(attempt->connection.address);
        if (attempt->callback)
            attempt->callback(std::move(result));
    }

    bool hasFreeConnection(const Address& address) const
    {
        const auto count = inUse.find(address);
        return limits.maxConnectionsPerAddress == 0 || count == inUse.end()
            || count->second < limits.maxConnectionsPerAddress;
    }

    /// Gives a free connection to the attempt that has waited longest for one.
    void sendNextWaiting(const Address& address)
    {
        const auto queue = waiting.find(address);
        if (queue == waiting.end())
            return;
        while (!queue->second.empty() && hasFreeConnection(address)) {
            const auto next = attempts.find(queue->second.front());
            queue->second.pop_front();
            if (next != attempts.end()) // else it has timed out
                connect(*next->second);
        }
        if (queue->second.empty())
            waiting.erase(queue);
    }

    /// Gives the attempt a connection and sends its request.
    void connect(Attempt& attempt);

    /// Frees what belongs to the attempt and releases its connection.
    void cleanUp(Attempt& attempt, bool shouldCancel, bool isReusable)
    {
        event_free(attempt.timer);
        event_free(attempt.arrivalTimer);
        if (!attempt.connection.raw)
            return; // it was still waiting for a connection
        auto* bev = evhttp_connection_get_bufferevent(attempt.connection.raw);
        evbuffer_remove_cb_entry(bufferevent_get_output(bev), attempt.outputCallback);
        evbuffer_remove_cb_entry(bufferevent_get_input(bev), attempt.inputCallback);
        if (shouldCancel && attempt.raw) {
            evhttp_request_set_error_cb(attempt.raw, nullptr);
            evhttp_cancel_request(attempt.raw);
        }
        releaseConnection(attempt.connection, isReusable);
        if (auto count = inUse.find(attempt.connection.address); --count->second == 0)
            inUse.erase(count);
    }
};

HttpClient::HttpClient(event_base* base, HttpLimits limits)
    : m_impl(new Impl { base, limits })
{
    m_impl->discardEvent = event_new(base, -1, 0, Impl::freeDiscarded, m_impl.get());
}

HttpClient::~HttpClient()
{
    while (!m_impl->attempts.empty())
        cancel(m_impl->attempts.begin()->first);
    for (auto& [address, connections] : m_impl->idle) {
        for (const auto& connection : connections)
            m_impl->discard(connection.raw);
    }
    Impl::freeDiscarded(-1, 0, m_impl.get());
    event_free(m_impl->discardEvent);
}

HttpAttemptId HttpClient::send(const Address& address, const HttpRequest& request,
    std::chrono::milliseconds timeout, HttpCallback callback)
{
    return send(address, request, HttpTimeouts { timeout, timeout, timeout }, std::move(callback));
}

HttpAttemptId HttpClient::send(
    const Address& address, const HttpRequest& request, const HttpTimeouts& timeouts, HttpCallback callback)
{
    auto& impl = *m_impl;
    auto owned = std::make_unique<Impl::Attempt>();
    auto& attempt = *owned;
    attempt.client = &impl;
    attempt.id = impl.nextId++;
    attempt.callback = std::move(callback);
    attempt.isHeadRequest = request.method == "HEAD";
    attempt.connection.address = address;
    attempt.request = request;
    attempt.timer = event_new(impl.base, -1, 0, Impl::onTimeout, &attempt);
    attempt.arrivalTimer = event_new(impl.base, -1, 0, Impl::onTimeout, &attempt);
    attempt.stallTimeout = toTimeval(timeouts.stall);
    const auto total = toTimeval(timeouts.total);
    const auto firstByte = toTimeval(timeouts.firstByte);
    event_add(attempt.timer, &total);
    event_add(attempt.arrivalTimer, &firstByte);
    const auto id = attempt.id;
    impl.attempts.emplace(id, std::move(owned));
    if (impl.hasFreeConnection(address))
        impl.connect(attempt);
    else
        impl.waiting[address].push_back(id);
    return id;
}

void HttpClient::Impl::connect(Attempt& attempt)
{
    const auto& address = attempt.connection.address;
    const auto request = std::move(attempt.request);
    ++inUse[address];
    attempt.sentAt = ++lastEvent;
    auto* connection = takeIdleConnection(address);
    const bool isReused = connection != nullptr;
    if (!connection)
        connection = createConnection(address);
    attempt.connection.raw = connection;
    auto* bev = evhttp_connection_get_bufferevent(connection);
    attempt.outputCallback = evbuffer_add_cb(bufferevent_get_output(bev), onOutput, &attempt);
    attempt.inputCallback = evbuffer_add_cb(bufferevent_get_input(bev), onInput, &attempt);
    attempt.raw = evhttp_request_new(onDone, &attempt);
    evhttp_request_set_error_cb(attempt.raw, onError);
    auto* headers = evhttp_request_get_output_headers(attempt.raw);
    if (!http::header(request.headers, "host"))
        evhttp_add_header(headers, "Host", http::toString(address).c_str());
    for (const auto& [name, value] : request.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(attempt.raw), request.body.data(), request.body.size());
    if (!request.body.empty())
        evhttp_add_header(headers, "Content-Length", std::to_string(request.body.size()).c_str());
    const std::string target = request.query.empty() ? request.path : request.path + "?" + request.query;
    const auto id = attempt.id;
    // On failure libevent has already freed the request. The attempt's timer then ends the attempt as a
    // timeout.
    if (evhttp_make_request(connection, attempt.raw, toCommand(request.method), target.c_str()) != 0) {
        auto found = attempts.find(id);
        if (found != attempts.end()) {
            found->second->raw = nullptr;
            event_active(found->second->timer, EV_TIMEOUT, 0);
        }
    } else if (isReused) {
        net::flushOutput(bev);
    }
}

void HttpClient::cancel(HttpAttemptId attempt)
{
    auto found = m_impl->attempts.find(attempt);
    if (found == m_impl->attempts.end())
        return;
    found->second->callback = nullptr;
    m_impl->finish(attempt, tl::make_unexpected(HttpClientError { HttpFailure::Cancelled, true }), true);
}

void HttpClient::closeIdleConnections(const Address& address)
{
    auto found = m_impl->idle.find(address);
    if (found == m_impl->idle.end())
        return;
    for (const auto& connection : found->second)
        m_impl->discard(connection.raw);
    m_impl->idle.erase(found);
}

} // namespace damask
