/// \file
/// TCP relay whose open connections can go silent for good while new ones work.
#pragma once

#include <damaskworks/http.h>

#include <event2/bufferevent.h>
#include <memory>
#include <vector>

struct evconnlistener;

namespace damask::review {

/// Listens on a free port of 127.0.0.1 and forwards each connection to the target.
class SilentRelay {
public:
    SilentRelay(event_base* base, Address target);
    ~SilentRelay();
    SilentRelay(const SilentRelay&) = delete;
    SilentRelay& operator=(const SilentRelay&) = delete;

    Address address() const;
    /// From now on the connections that are open carry nothing, in either direction, and are not closed.
    /// Returns their number.
    std::size_t silenceOpenConnections();

private:
    struct Pair {
        SilentRelay* relay = nullptr;
        bufferevent* downstream = nullptr;
        bufferevent* upstream = nullptr;
        bool isSilent = false;
        ~Pair();
    };

    static void onAccept(evconnlistener*, int socket, struct sockaddr*, int, void* argument);
    static void onRead(bufferevent* from, void* argument);
    static void onEvent(bufferevent* from, short events, void* argument);

    event_base* m_base;
    Address m_target;
    evconnlistener* m_listener = nullptr;
    std::vector<std::unique_ptr<Pair>> m_pairs;
};

} // namespace damask::review
