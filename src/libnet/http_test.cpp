/// \file
/// Tests of the HTTP server and client together, and of the server with raw requests.
#include <boost/test/unit_test.hpp>

#include <damaskworks/http.h>
#include <damaskworks/loop.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

/// Sends \p bytes over one connection. Returns what the server sends until it closes the connection or until
/// \p done returns true for the bytes received.
std::string rawExchange(
    Loop& loop, std::uint16_t port, const std::string& bytes, std::function<bool(const std::string&)> done)
{
    struct State {
        std::string received;
        bool isClosed = false;
    } state;
    auto* bev = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &target.sin_addr);
    auto onRead = [](bufferevent* source, void* argument) {
        char buffer[4096];
        while (auto n = bufferevent_read(source, buffer, sizeof(buffer)))
            static_cast<State*>(argument)->received.append(buffer, n);
    };
    auto onEvent = [](bufferevent*, short events, void* argument) {
        if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            static_cast<State*>(argument)->isClosed = true;
    };
    bufferevent_setcb(bev, onRead, nullptr, onEvent, &state);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    bufferevent_socket_connect(bev, reinterpret_cast<sockaddr*>(&target), sizeof(target));
    bufferevent_write(bev, bytes.data(), bytes.size());
    loop.runUntil([&] { return state.isClosed || done(state.received); }, 5s);
    bufferevent_free(bev);
    return state.received;
}

std::size_t countOccurrences(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++count;
    return count;
}

struct ServerFixture {
    Loop loop;
    int handled = 0;
    HttpServer server { loop.base(), HttpLimits { 1000, 4000, 60s },
        [this](std::shared_ptr<HttpExchange> exchange) {
            ++handled;
            exchange->reply({ 200, {}, "path=" + exchange->request().path + ";" });
        } };
    std::uint16_t port = *server.listen({ "127.0.0.1", 0 });
};

} // namespace

BOOST_FIXTURE_TEST_CASE(pipelinedRequestsAreAllAnsweredInOrder, ServerFixture)
{
    const std::string one = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string two = "GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
    const auto response = rawExchange(
        loop, port, one + two + one, [](const auto& text) { return countOccurrences(text, ";") == 3; });
    BOOST_TEST(handled == 3);
    BOOST_TEST(response.find("path=/a;") < response.find("path=/b;"));
    BOOST_TEST(response.find("path=/b;") < response.rfind("path=/a;"));
}

BOOST_FIXTURE_TEST_CASE(ambiguousFramingIsRefusedBeforeTheHandler, ServerFixture)
{
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string cases[] = {
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + smuggled,
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde" + smuggled,
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n" + smuggled,
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n" + smuggled,
    };
    for (const auto& bytes : cases) {
        const auto response = rawExchange(loop, port, bytes, [](const auto&) { return false; });
        BOOST_TEST(
            response.find("Damask-Outcome: not-run") != std::string::npos, bytes << " got " << response);
        BOOST_TEST(response.find("smuggled") == std::string::npos);
    }
    BOOST_TEST(handled == 0);
    BOOST_TEST(server.refusedRequests() == 4u);
}

BOOST_FIXTURE_TEST_CASE(concurrentRequestsGetTheirOwnResponses, ServerFixture)
{
    HttpClient client(loop.base(), {});
    int responses = 0;
    for (int i = 0; i < 20; ++i) {
        client.send(
            { "127.0.0.1", port }, { .path = "/r" + std::to_string(i) }, 2000ms, [&, i](HttpResult result) {
                BOOST_REQUIRE(result);
                BOOST_TEST(result->body == "path=/r" + std::to_string(i) + ";");
                ++responses;
            });
    }
    BOOST_TEST(loop.runUntil([&] { return responses == 20; }, 5s));
}

BOOST_FIXTURE_TEST_CASE(refusedConnectionReportsNoBytesSent, ServerFixture)
{
    server.stopAccepting();
    HttpClient client(loop.base(), {});
    std::optional<HttpClientError> error;
    client.send({ "127.0.0.1", port }, { .path = "/x" }, 2000ms, [&](HttpResult result) {
        BOOST_REQUIRE(!result);
        error = result.error();
    });
    BOOST_REQUIRE(loop.runUntil([&] { return error.has_value(); }, 5s));
    BOOST_TEST(!error->mayHaveBeenSent);
    BOOST_TEST((error->failure == HttpFailure::Connect));
}
