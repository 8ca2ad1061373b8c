/// \file
/// Load generator: sends requests over a number of connections, one at a time on each, for a given
/// duration. Prints the results as one line of key=value pairs.
///
/// Usage: bench_load IP:PORT PATH CONNECTIONS MILLISECONDS
#include <damaskworks/http.h>
#include <damaskworks/loop.h>

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <iostream>
#include <memory>
#include <vector>

using namespace damask;

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

struct Totals {
    std::uint64_t ok = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::vector<float> latenciesUs;
};

/// One connection. It sends the next request when the answer to the last one is complete.
class LoadConnection {
public:
    LoadConnection(event_base* base, const Address& address, const std::string& request, Totals& totals)
        : m_bufferEvent(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE))
        , m_request(request)
        , m_totals(totals)
    {
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
        bufferevent_setcb(m_bufferEvent, onRead, nullptr, onEvent, this);
        bufferevent_enable(m_bufferEvent, EV_READ | EV_WRITE);
        bufferevent_socket_connect(m_bufferEvent, reinterpret_cast<sockaddr*>(&target), sizeof(target));
        send();
    }
    ~LoadConnection() { bufferevent_free(m_bufferEvent); }
    LoadConnection(const LoadConnection&) = delete;
    LoadConnection& operator=(const LoadConnection&) = delete;

private:
    void send()
    {
        m_sent = std::chrono::steady_clock::now();
        bufferevent_write(m_bufferEvent, m_request.data(), m_request.size());
    }

    /// Returns the size of the complete answer at the start of the buffer, or 0 if it is incomplete.
    std::size_t completeAnswerSize(std::string_view text) const
    {
        const auto headersEnd = text.find("\r\n\r\n");
        if (headersEnd == std::string_view::npos)
            return 0;
        const auto at = text.find("Content-Length: ");
        if (at == std::string_view::npos || at > headersEnd)
            return 0;
        const auto length = std::strtoul(text.data() + at + 16, nullptr, 10);
        return text.size() >= headersEnd + 4 + length ? headersEnd + 4 + length : 0;
    }

    static void onRead(bufferevent* bufferEvent, void* argument)
    {
        auto& self = *static_cast<LoadConnection*>(argument);
        auto* input = bufferevent_get_input(bufferEvent);
        const auto length = evbuffer_get_length(input);
        const std::string_view text(reinterpret_cast<char*>(evbuffer_pullup(input, -1)), length);
        const auto answerSize = self.completeAnswerSize(text);
        if (answerSize == 0)
            return;
        const bool isOk = text.substr(9, 3) == "200";
        ++(isOk ? self.m_totals.ok : self.m_totals.refused);
        const std::chrono::duration<float, std::micro> latency
            = std::chrono::steady_clock::now() - self.m_sent;
        self.m_totals.latenciesUs.push_back(latency.count());
        evbuffer_drain(input, answerSize);
        self.send();
    }

    static void onEvent(bufferevent*, short events, void* argument)
    {
        if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            ++static_cast<LoadConnection*>(argument)->m_totals.failed;
    }

    bufferevent* m_bufferEvent;
    const std::string& m_request;
    Totals& m_totals;
    SteadyTime m_sent;
};

float quantile(std::vector<float>& values, double share)
{
    if (values.empty())
        return 0;
    auto at = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto address = argc == 5 ? http::parseAddress(argv[1]) : std::nullopt;
    if (!address) {
        std::cerr << "usage: bench_load IP:PORT PATH CONNECTIONS MILLISECONDS\n";
        return 2;
    }
    const std::string request = "GET " + std::string(argv[2]) + " HTTP/1.1\r\nHost: bench\r\n\r\n";
    const std::chrono::milliseconds duration(std::stoi(argv[4]));
    Loop loop;
    Totals totals;
    std::vector<std::unique_ptr<LoadConnection>> connections;
    for (int i = 0; i < std::stoi(argv[3]); ++i)
        connections.push_back(std::make_unique<LoadConnection>(loop.base(), *address, request, totals));
    loop.runUntil([] { return false; }, duration);
    const double seconds = std::chrono::duration<double>(duration).count();
    std::cout << "event=load ok_per_s="
              << static_cast<std::uint64_t>(static_cast<double>(totals.ok) / seconds) << " refused_per_s="
              << static_cast<std::uint64_t>(static_cast<double>(totals.refused) / seconds)
              << " failed=" << totals.failed << " p50_us=" << quantile(totals.latenciesUs, 0.5)
              << " p99_us=" << quantile(totals.latenciesUs, 0.99) << std::endl;
}
