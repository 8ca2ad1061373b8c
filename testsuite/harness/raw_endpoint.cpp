#include "raw_endpoint.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <optional>
#include <stdexcept>

namespace damask::harness {
namespace {

sockaddr_in toSockaddr(const Address& address)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

std::string readInput(bufferevent* bev)
{
    auto* input = bufferevent_get_input(bev);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    return bytes;
}

/// Removes the first complete request from \p input and returns it; nothing if it is incomplete.
std::optional<std::string> extractRequest(std::string& input)
{
    const auto headerEnd = input.find("\r\n\r\n");
    if (headerEnd == std::string::npos)
        return std::nullopt;
    std::size_t length = headerEnd + 4;
    const auto field = input.find("Content-Length: ");
    if (field < headerEnd)
        length += std::stoul(input.substr(field + 16));
    if (input.size() < length)
        return std::nullopt;
    auto request = input.substr(0, length);
    input.erase(0, length);
    return request;
}

} // namespace

struct RawEndpoint::Impl {
    class Connection final : public RawConnection, public std::enable_shared_from_this<Connection> {
    public:
        Connection(Impl& owner, evutil_socket_t fd, int index)
            : m_owner(owner)
            , m_bev(bufferevent_socket_new(owner.base, fd, BEV_OPT_CLOSE_ON_FREE))
            , m_index(index)
        {
            bufferevent_setcb(m_bev, onRead, onWritten, onEvent, this);
            bufferevent_enable(m_bev, owner.isReadingDisabled ? EV_WRITE : EV_READ | EV_WRITE);
            if (owner.isReadingDisabled)
                bufferevent_disable(m_bev, EV_READ);
        }
        ~Connection() override { closeNow(); }

        void send(const std::string& bytes) override
        {
            if (m_bev)
                bufferevent_write(m_bev, bytes.data(), bytes.size());
        }

        void close() override
        {
            m_closing = true;
            if (m_bev && evbuffer_get_length(bufferevent_get_output(m_bev)) == 0)
                closeNow();
        }

        int index() const override { return m_index; }

        void closeNow()
        {
            if (m_bev)
                bufferevent_free(m_bev);
            m_bev = nullptr;
        }

    private:
        static void onRead(bufferevent* bev, void* argument)
        {
            auto self = static_cast<Connection*>(argument)->shared_from_this();
            self->m_input += readInput(bev);
            while (auto request = extractRequest(self->m_input)) {
                self->m_owner.requests.push_back(*request);
                self->m_owner.handler(self, *request);
            }
        }

        static void onWritten(bufferevent*, void* argument)
        {
            auto* self = static_cast<Connection*>(argument);
            if (self->m_closing)
                self->closeNow();
        }

        static void onEvent(bufferevent*, short events, void* argument)
        {
            if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                static_cast<Connection*>(argument)->closeNow();
        }

        Impl& m_owner;
        bufferevent* m_bev;
        int m_index;
        std::string m_input;
        bool m_closing = false;
    };

    event_base* base;
    RequestHandler handler;
    evconnlistener* listener = nullptr;
    Address address { "127.0.0.1", 0 };
    std::vector<std::shared_ptr<Connection>> connections;
    std::vector<std::string> requests;
    bool isReadingDisabled = false;
};

RawEndpoint::RawEndpoint(event_base* base, RequestHandler handler)
    : m_impl(new Impl { base, std::move(handler) })
{
    auto socketAddress = toSockaddr(m_impl->address);
    const auto onAccept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument) {
        auto& impl = *static_cast<Impl*>(argument);
        const auto index = static_cast<int>(impl.connections.size());
        impl.connections.push_back(std::make_shared<Impl::Connection>(impl, fd, index));
    };
    m_impl->listener = evconnlistener_new_bind(base, onAccept, m_impl.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr*>(&socketAddress), sizeof(socketAddress));
    if (!m_impl->listener)
        throw std::runtime_error("RawEndpoint cannot listen on 127.0.0.1");
    socklen_t length = sizeof(socketAddress);
    getsockname(
        evconnlistener_get_fd(m_impl->listener), reinterpret_cast<sockaddr*>(&socketAddress), &length);
    m_impl->address.port = ntohs(socketAddress.sin_port);
}

RawEndpoint::~RawEndpoint() { evconnlistener_free(m_impl->listener); }

Address RawEndpoint::address() const { return m_impl->address; }

const std::vector<std::string>& RawEndpoint::requests() const { return m_impl->requests; }

int RawEndpoint::connections() const { return static_cast<int>(m_impl->connections.size()); }

void RawEndpoint::closeAll()
{
    for (const auto& connection : m_impl->connections)
        connection->closeNow();
}

void RawEndpoint::setReadingDisabled(bool isReadingDisabled)
{
    m_impl->isReadingDisabled = isReadingDisabled;
}

struct RawCaller::Impl {
    bufferevent* bev = nullptr;
    std::string received;
    bool isConnectionClosed = false;
    bool isConnectionReset = false;
};

RawCaller::RawCaller(event_base* base, const Address& address)
    : m_impl(new Impl)
{
    m_impl->bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    const auto onRead
        = [](bufferevent* bev, void* argument) { static_cast<Impl*>(argument)->received += readInput(bev); };
    const auto onEvent = [](bufferevent*, short events, void* argument) {
        auto& impl = *static_cast<Impl*>(argument);
        impl.isConnectionClosed = impl.isConnectionClosed || (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR));
        impl.isConnectionReset = impl.isConnectionReset || (events & BEV_EVENT_ERROR);
    };
    bufferevent_setcb(m_impl->bev, onRead, nullptr, onEvent, m_impl.get());
    bufferevent_enable(m_impl->bev, EV_READ | EV_WRITE);
    auto socketAddress = toSockaddr(address);
    bufferevent_socket_connect(
        m_impl->bev, reinterpret_cast<sockaddr*>(&socketAddress), sizeof(socketAddress));
}

RawCaller::~RawCaller() { bufferevent_free(m_impl->bev); }

void RawCaller::send(const std::string& bytes) { bufferevent_write(m_impl->bev, bytes.data(), bytes.size()); }

const std::string& RawCaller::received() const { return m_impl->received; }

bool RawCaller::isClosed() const { return m_impl->isConnectionClosed; }

bool RawCaller::wasReset() const { return m_impl->isConnectionReset; }

} // namespace damask::harness
