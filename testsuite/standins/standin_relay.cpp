/// \file
/// TCP relays with which a test disconnects processes from each other. Each relay listens on one port;
/// `/admin/relays` sets its target and whether it forwards, discards or delays bytes.
#include <damaskworks/http.h>
#include <damaskworks/log.h>
#include <damaskworks/loop.h>

#include <arpa/inet.h>
#include <csignal>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <nlohmann/json.hpp>
#include <vector>

using namespace damask;
using nlohmann::json;

namespace {

sockaddr_in toSockaddr(const Address& address)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

class Relay;

/// Faults that a relay injects.
struct RelayFaults {
    bool isCut = false; ///< existing and new connections are closed
    bool losesRequests = false; ///< bytes to the target are discarded
    bool losesAnswers = false; ///< bytes from the target are discarded
    std::chrono::milliseconds delay { 0 }; ///< before bytes are forwarded
    std::size_t bytesPerSecond = 0; ///< that all connections together carry each way; 0: no limit
};

/// Limits the bandwidth of a group of connections.
class BandwidthLimit {
public:
    BandwidthLimit(event_base* base, std::size_t bytesPerSecond)
    {
        constexpr int ticksPerSecond = 50;
        const timeval tick { 0, 1'000'000 / ticksPerSecond };
        const auto rate = std::max<std::size_t>(bytesPerSecond / ticksPerSecond, 1); // of one tick
        m_config = ev_token_bucket_cfg_new(rate, rate, rate, rate, &tick);
        m_group = bufferevent_rate_limit_group_new(base, m_config);
    }
    ~BandwidthLimit()
    {
        bufferevent_rate_limit_group_free(m_group);
        ev_token_bucket_cfg_free(m_config);
    }
    BandwidthLimit(const BandwidthLimit&) = delete;
    BandwidthLimit& operator=(const BandwidthLimit&) = delete;
    void add(bufferevent* connection) { bufferevent_add_to_rate_limit_group(connection, m_group); }

private:
    ev_token_bucket_cfg* m_config = nullptr;
    bufferevent_rate_limit_group* m_group = nullptr;
};

/// A client connection joined to a connection to the target; both close when either closes.
struct ConnectionPair {
    Relay* relay = nullptr;
    bufferevent* downstream = nullptr;
    bufferevent* upstream = nullptr;
    std::unique_ptr<Timer> delayTimer; ///< forwards delayed bytes when it fires
    bool isSilent = false; ///< carries nothing any more, though both ends stay open
    ~ConnectionPair()
    {
        // libevent removes a freed connection from its group only later, when the group may be gone.
        bufferevent_remove_from_rate_limit_group(upstream);
        bufferevent_free(downstream);
        bufferevent_free(upstream);
    }
};

class Relay {
public:
    explicit Relay(event_base* base)
        : m_base(base)
    {
        auto address = toSockaddr({ "127.0.0.1", 0 });
        m_listener
            = evconnlistener_new_bind(base, onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
                reinterpret_cast<sockaddr*>(&address), sizeof(address));
    }
    ~Relay() { evconnlistener_free(m_listener); }
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    std::uint16_t port() const
    {
        sockaddr_in bound {};
        socklen_t size = sizeof(bound);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&bound), &size);
        return ntohs(bound.sin_port);
    }

    void set(const Address& target, const RelayFaults& faults)
    {
        m_target = target;
        m_faults = faults;
        for (const auto& pair : m_pairs)
            bufferevent_remove_from_rate_limit_group(pair->upstream);
        m_limit.reset();
        if (faults.isCut)
            m_pairs.clear();
        if (faults.bytesPerSecond == 0)
            return;
        m_limit = std::make_unique<BandwidthLimit>(m_base, faults.bytesPerSecond);
        for (const auto& pair : m_pairs)
            m_limit->add(pair->upstream);
    }

    /// Lets the open connections go silent for good. New ones work.
    void silenceConnections()
    {
        for (const auto& pair : m_pairs)
            pair->isSilent = true;
    }

private:
    static void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* argument)
    {
        auto& self = *static_cast<Relay*>(argument);
        if (self.m_faults.isCut || self.m_target.port == 0) {
            evutil_closesocket(socket);
            return;
        }
        auto pair = std::make_unique<ConnectionPair>();
        pair->relay = &self;
        pair->downstream = bufferevent_socket_new(self.m_base, socket, BEV_OPT_CLOSE_ON_FREE);
        pair->upstream = bufferevent_socket_new(self.m_base, -1, BEV_OPT_CLOSE_ON_FREE);
        auto address = toSockaddr(self.m_target);
        bufferevent_socket_connect(pair->upstream, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        for (auto* end : { pair->downstream, pair->upstream }) {
            bufferevent_setcb(end, onRead, nullptr, onEvent, pair.get());
            bufferevent_enable(end, EV_READ | EV_WRITE);
        }
        if (self.m_limit)
            self.m_limit->add(pair->upstream);
        self.m_pairs.push_back(std::move(pair));
    }

    static void onRead(bufferevent* from, void* argument)
    {
        auto& pair = *static_cast<ConnectionPair*>(argument);
        auto& self = *pair.relay;
        auto* bytes = bufferevent_get_input(from);
        const bool isDiscarded = pair.isSilent
            || (from == pair.downstream ? self.m_faults.losesRequests : self.m_faults.losesAnswers);
        if (isDiscarded)
            evbuffer_drain(bytes, evbuffer_get_length(bytes));
        if (self.m_faults.delay.count() == 0)
            return forward(pair);
        if (!pair.delayTimer)
            pair.delayTimer = std::make_unique<Timer>(self.m_base, [&pair] { forward(pair); });
        pair.delayTimer->startOnce(self.m_faults.delay);
    }

    static void forward(ConnectionPair& pair)
    {
        bufferevent_write_buffer(pair.upstream, bufferevent_get_input(pair.downstream));
        bufferevent_write_buffer(pair.downstream, bufferevent_get_input(pair.upstream));
    }

    static void onEvent(bufferevent*, short events, void* argument)
    {
        if (!(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
            return;
        auto* pair = static_cast<ConnectionPair*>(argument);
        std::erase_if(pair->relay->m_pairs, [&](const auto& one) { return one.get() == pair; });
    }

    event_base* m_base;
    evconnlistener* m_listener;
    Address m_target;
    RelayFaults m_faults;
    std::unique_ptr<BandwidthLimit> m_limit; ///< of all pairs; outlives them
    std::vector<std::unique_ptr<ConnectionPair>> m_pairs;
};

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Loop loop;
    std::vector<std::unique_ptr<Relay>> relays;
    std::string ports;
    for (int i = 0; i < (argc > 1 ? std::stoi(argv[1]) : 1); ++i) {
        relays.push_back(std::make_unique<Relay>(loop.base()));
        ports += (i > 0 ? "," : "") + std::to_string(relays.back()->port());
    }
    HttpServer admin(loop.base(), {}, [&](std::shared_ptr<HttpExchange> exchange) {
        const auto body = json::parse(exchange->request().body, nullptr, false);
        const auto target = http::parseAddress(body.value("target", "")).value_or(Address {});
        const auto silent = body.value("silent", "");
        const RelayFaults faults { body.value("cut", false), silent == "requests" || silent == "both",
            silent == "answers" || silent == "both", std::chrono::milliseconds(body.value("delayMs", 0)),
            body.value("bytesPerSecond", std::size_t { 0 }) };
        auto& relay = *relays.at(body.value("relay", 0U));
        body.value("silencesConnections", false) ? relay.silenceConnections() : relay.set(target, faults);
        exchange->reply({ 200, {}, "{}" });
    });
    initializeLogging(LogLevel::Info, "relay");
    const auto port = *admin.listen({ "127.0.0.1", 0 });
    logEvent(LogLevel::Info, "listening", { { "port", std::to_string(port) }, { "ports", ports } });
    loop.run();
}
