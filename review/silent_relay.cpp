#include "silent_relay.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace damask::review {
namespace {

sockaddr_in toSockaddr(const Address& address)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

/// Keeps the delay of the relay itself small, as on a link.
void setOption(bufferevent* connection, int option)
{
    const int isOn = 1;
    setsockopt(bufferevent_getfd(connection), IPPROTO_TCP, option, &isOn, sizeof(isOn));
}

} // namespace

SilentRelay::Pair::~Pair()
{
    bufferevent_free(downstream);
    bufferevent_free(upstream);
}

SilentRelay::SilentRelay(event_base* base, Address target)
    : m_base(base)
    , m_target(std::move(target))
{
    auto address = toSockaddr({ "127.0.0.1", 0 });
    m_listener = evconnlistener_new_bind(base, onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
        -1, reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

SilentRelay::~SilentRelay()
{
    m_pairs.clear();
    evconnlistener_free(m_listener);
}

Address SilentRelay::address() const
{
    sockaddr_in bound {};
    socklen_t size = sizeof(bound);
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&bound), &size);
    return { "127.0.0.1", ntohs(bound.sin_port) };
}

std::size_t SilentRelay::silenceOpenConnections()
{
    for (const auto& pair : m_pairs)
        pair->isSilent = true;
    return m_pairs.size();
}

void SilentRelay::onAccept(evconnlistener*, int socket, sockaddr*, int, void* argument)
{
    auto& self = *static_cast<SilentRelay*>(argument);
    auto pair = std::make_unique<Pair>();
    pair->relay = &self;
    pair->downstream = bufferevent_socket_new(self.m_base, socket, BEV_OPT_CLOSE_ON_FREE);
    pair->upstream = bufferevent_socket_new(self.m_base, -1, BEV_OPT_CLOSE_ON_FREE);
    auto address = toSockaddr(self.m_target);
    bufferevent_socket_connect(pair->upstream, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    for (auto* end : { pair->downstream, pair->upstream }) {
        bufferevent_setcb(end, onRead, nullptr, onEvent, pair.get());
        bufferevent_enable(end, EV_READ | EV_WRITE);
        setOption(end, TCP_NODELAY);
    }
    self.m_pairs.push_back(std::move(pair));
}

void SilentRelay::onRead(bufferevent* from, void* argument)
{
    auto& pair = *static_cast<Pair*>(argument);
    auto* bytes = bufferevent_get_input(from);
    setOption(from, TCP_QUICKACK);
    if (pair.isSilent) {
        evbuffer_drain(bytes, evbuffer_get_length(bytes));
        return;
    }
    bufferevent_write_buffer(from == pair.downstream ? pair.upstream : pair.downstream, bytes);
}

void SilentRelay::onEvent(bufferevent* from, short events, void* argument)
{
    if (!(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
        return;
    auto* pair = static_cast<Pair*>(argument);
    // The close of one end does not reach the other on a silent connection.
    if (pair->isSilent && from == pair->upstream) {
        bufferevent_disable(from, EV_READ | EV_WRITE);
        return;
    }
    std::erase_if(pair->relay->m_pairs, [&](const auto& one) { return one.get() == pair; });
}

} // namespace damask::review
