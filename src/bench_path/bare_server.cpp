/// \file
/// A libevhtp server that answers every request with the same body. It is the baseline for the
/// measurements of the daemon's request path. Prints its port.
#include <arpa/inet.h>
#include <cstdio>
#include <event2/event.h>
#include <event2/listener.h>
#include <evhtp.h>
#include <sys/socket.h>

namespace {

void onRequest(evhtp_request_t* request, void*)
{
    static constexpr char body[] = "{\"price\":1250}\n";
    evbuffer_add(request->buffer_out, body, sizeof(body) - 1);
    evhtp_send_reply(request, EVHTP_RES_OK);
}

} // namespace

int main()
{
    auto* base = event_base_new();
    auto* server = evhtp_new(base, nullptr);
    evhtp_set_gencb(server, onRequest, nullptr);
    if (evhtp_bind_socket(server, "127.0.0.1", 0, 1024) != 0)
        return 1;
    sockaddr_in bound {};
    socklen_t length = sizeof(bound);
    getsockname(evconnlistener_get_fd(server->server), reinterpret_cast<sockaddr*>(&bound), &length);
    std::printf("event=listening port=%d\n", ntohs(bound.sin_port));
    std::fflush(stdout);
    event_base_loop(base, 0);
}
