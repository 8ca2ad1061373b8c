/// \file
/// Tests of the client against endpoints that respond wrongly. The client must pass on only complete and
/// unambiguous responses, and no byte of one response may be taken for the response to another request.
#include "../../testsuite/harness/raw_endpoint.h"

#include <boost/test/unit_test.hpp>

#include <damaskworks/loop.h>

using namespace damask;
using namespace damask::harness;
using namespace std::chrono_literals;

namespace {

const std::string okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::string responseWithBody(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct ClientFixture {
    Loop loop;
    HttpClient client { loop.base(), HttpLimits { 1000, 4000, 60s } };

    HttpResult send(
        const RawEndpoint& endpoint, const std::string& path, std::chrono::milliseconds timeout = 2s)
    {
        std::optional<HttpResult> result;
        client.send(endpoint.address(), { .path = path }, timeout,
            [&](HttpResult response) { result = std::move(response); });
        loop.runUntil([&] { return result.has_value(); }, 5s);
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    /// Runs the loop so that it handles all pending events.
    void runPendingEvents()
    {
        loop.runUntil([] { return false; }, 50ms);
    }
};

struct InvalidResponse {
    std::string name;
    std::string bytes;
    bool closesConnection = true;
};

const InvalidResponse invalidResponses[] = {
    { "short body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort" },
    { "chunked body without its last chunk",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n" },
    { "truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab" },
    { "no length, ends when the connection closes", "HTTP/1.1 200 OK\r\n\r\nwhole or cut?" },
    { "two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", false },
    { "length and chunked",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        false },
    { "unsupported encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc" },
    { "list of encodings",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" },
    { "signed length", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok", false },
    { "list of lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok", false },
    { "not HTTP", "hello\r\n\r\n", false },
    { "closed at once", "" },
    { "truncated header", "HTTP/1.1 200 OK\r\nContent-Le" },
    { "oversized body", responseWithBody(std::string(1001, 'x')), false },
    { "oversized header", "HTTP/1.1 200 OK\r\nX-Long: " + std::string(5000, 'x') + "\r\n\r\n", false },
    { "switching protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false },
};

} // namespace

BOOST_FIXTURE_TEST_CASE(invalidResponsesAreReportedAsErrors, ClientFixture)
{
    for (const auto& invalid : invalidResponses) {
        RawEndpoint endpoint(loop.base(), [&](const auto& connection, const std::string&) {
            connection->send(invalid.bytes);
            if (invalid.closesConnection)
                connection->close();
        });
        const auto result = send(endpoint, "/x", 500ms);
        BOOST_TEST(!result, invalid.name << " was passed on as " << (result ? result->status : 0));
        if (!result)
            BOOST_TEST(result.error().mayHaveBeenSent, invalid.name);
    }
}

BOOST_FIXTURE_TEST_CASE(endlessResponsesEndAtTheirLimits, ClientFixture)
{
    const std::string prefixes[] = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\n" };
    const std::string repeatedParts[]
        = { "5\r\nabcde\r\n", "X-More: and more\r\n", "HTTP/1.1 100 Continue\r\n\r\n" };
    for (std::size_t kind = 0; kind < std::size(prefixes); ++kind) {
        std::shared_ptr<RawConnection> connected;
        RawEndpoint endpoint(loop.base(), [&](const auto& connection, const std::string&) {
            connection->send(prefixes[kind]);
            connected = connection;
        });
        Timer sendMore(loop.base(), [&] {
            if (connected)
                connected->send(repeatedParts[kind]);
        });
        sendMore.startPeriodic(1ms);
        BOOST_TEST(!send(endpoint, "/x", 1s), "endless response of kind " << kind << " was passed on");
    }
}

BOOST_FIXTURE_TEST_CASE(extraBytesAreNeverTakenForTheNextResponse, ClientFixture)
{
    RawEndpoint endpoint(loop.base(), [&](const auto& connection, const std::string& request) {
        const bool first = request.find("/first") != std::string::npos;
        connection->send(
            first ? responseWithBody("first") + responseWithBody("stolen") : responseWithBody("own"));
    });
    BOOST_TEST(send(endpoint, "/first")->body == "first");
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(send(endpoint, "/next")->body == "own");
}

BOOST_FIXTURE_TEST_CASE(extraBytesOnIdleConnectionAreNeverTakenForTheNextResponse, ClientFixture)
{
    std::shared_ptr<RawConnection> idle;
    RawEndpoint endpoint(loop.base(), [&](const auto& connection, const std::string&) {
        idle = connection;
        connection->send(responseWithBody("own"));
    });
    BOOST_TEST(send(endpoint, "/first")->body == "own");
    idle->send(responseWithBody("stolen"));
    runPendingEvents();
    BOOST_TEST(send(endpoint, "/next")->body == "own");
    BOOST_TEST(endpoint.connections() == 2);
}

BOOST_FIXTURE_TEST_CASE(unreadExtraBytesAreNeverTakenForTheNextResponse, ClientFixture)
{
    // The extra bytes are in the socket, but the loop has not read them, when the client sends the next
    // request.
    std::shared_ptr<RawConnection> idle;
    RawEndpoint endpoint(loop.base(), [&](const auto& connection, const std::string&) {
        idle = connection;
        connection->send(responseWithBody("own"));
    });
    std::optional<HttpResult> second;
    Timer sendSecond(loop.base(), [&] {
        client.send(
            endpoint.address(), { .path = "/next" }, 2s, [&](HttpResult response) { second = response; });
    });
    BOOST_TEST(send(endpoint, "/first")->body == "own");
    idle->send(responseWithBody("stolen"));
    sendSecond.startOnce(0us);
    loop.runUntil([&] { return second.has_value(); }, 5s);
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST((!*second || (*second)->body == "own"));
}

BOOST_FIXTURE_TEST_CASE(connectionsToEndpointThatSentExtraBytesAreNotReused, ClientFixture)
{
    // Extra bytes that arrive while the next request is on its way can't be told from its response.
    RawEndpoint endpoint(loop.base(), [&](const auto& connection, const std::string& request) {
        const bool first = request.find("/first") != std::string::npos;
        connection->send(first ? okResponse + "x" : okResponse);
    });
    send(endpoint, "/first");
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(send(endpoint, "/next")->body == "ok");
    BOOST_TEST(endpoint.connections() == 4);
}

BOOST_FIXTURE_TEST_CASE(lateResponseAfterTimeoutIsDiscarded, ClientFixture)
{
    std::shared_ptr<RawConnection> slowConnection;
    RawEndpoint endpoint(loop.base(), [&](const auto& connection, const std::string& request) {
        if (request.find("/slow") == std::string::npos)
            return connection->send(responseWithBody("own"));
        slowConnection = connection;
    });
    const auto slow = send(endpoint, "/slow", 50ms);
    BOOST_REQUIRE(!slow);
    BOOST_TEST((slow.error().failure == HttpFailure::Timeout));
    BOOST_TEST(slow.error().mayHaveBeenSent);
    slowConnection->send(responseWithBody("late"));
    BOOST_TEST(send(endpoint, "/next")->body == "own");
    runPendingEvents();
    BOOST_TEST(send(endpoint, "/next")->body == "own");
}

BOOST_FIXTURE_TEST_CASE(responseToCancelledAttemptIsDiscarded, ClientFixture)
{
    std::shared_ptr<RawConnection> slowConnection;
    RawEndpoint endpoint(loop.base(), [&](const auto& connection, const std::string& request) {
        if (request.find("/slow") == std::string::npos)
            return connection->send(responseWithBody("own"));
        slowConnection = connection;
    });
    bool called = false;
    const auto attempt
        = client.send(endpoint.address(), { .path = "/slow" }, 2s, [&](const HttpResult&) { called = true; });
    loop.runUntil([&] { return slowConnection != nullptr; }, 5s);
    client.cancel(attempt);
    slowConnection->send(responseWithBody("late"));
    BOOST_TEST(send(endpoint, "/next")->body == "own");
    runPendingEvents();
    BOOST_TEST(!called);
}

BOOST_FIXTURE_TEST_CASE(connectionIsReusedAfterValidResponse, ClientFixture)
{
    RawEndpoint endpoint(
        loop.base(), [&](const auto& connection, const std::string&) { connection->send(okResponse); });
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(send(endpoint, "/x")->body == "ok");
    BOOST_TEST(endpoint.connections() == 1);
}

// A command that may have been received counted as one that was never sent, so that its task was started
// elsewhere.
BOOST_FIXTURE_TEST_CASE(requestOnAReusedConnectionThatClosesMayHaveBeenSent, ClientFixture)
{
    RawEndpoint endpoint(loop.base(), [&](const auto& connection, const std::string& request) {
        if (request.find("/first") != std::string::npos)
            return connection->send(okResponse);
        connection->close();
    });
    BOOST_TEST(send(endpoint, "/first")->body == "ok");
    const auto result = send(endpoint, "/next");
    BOOST_REQUIRE(!result);
    BOOST_TEST(result.error().mayHaveBeenSent);
    BOOST_TEST(endpoint.requests().size() == 2U);
    BOOST_TEST(endpoint.connections() == 1);
}

// The same with a connection that is closed with unread input, so that it is reset.
BOOST_FIXTURE_TEST_CASE(requestThatWasSentBeforeAResetMayHaveBeenSent, ClientFixture)
{
    RawEndpoint endpoint(loop.base(), [](const auto&, const std::string&) {});
    endpoint.setReadingDisabled(true);
    std::optional<HttpResult> result;
    client.send(
        endpoint.address(), { .path = "/" }, 2s, [&](HttpResult response) { result = std::move(response); });
    runPendingEvents();
    BOOST_REQUIRE(!result);
    endpoint.closeAll();
    BOOST_REQUIRE(loop.runUntil([&] { return result.has_value(); }, 5s));
    BOOST_REQUIRE(!result->has_value());
    BOOST_TEST(result->error().mayHaveBeenSent);
}

namespace {

/// Sends a response of ten bytes: one when the request arrives, then one more every \p interval, of \p count.
struct TricklingEndpoint {
    TricklingEndpoint(event_base* base, std::chrono::milliseconds interval, int count)
        : timer(base,
            [this, count] {
                if (sent++ < count)
                    connection->send("x");
            })
        , endpoint(base, [this, interval](const auto& accepted, const std::string&) {
            connection = accepted;
            connection->send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nx");
            timer.startPeriodic(interval);
        })
    {
    }

    int sent = 1;
    std::shared_ptr<RawConnection> connection;
    Timer timer;
    RawEndpoint endpoint;
};

} // namespace

// A large response on a slow link takes long in all, but bytes keep arriving.
BOOST_FIXTURE_TEST_CASE(responseIsNotCutOffWhileItsBytesKeepArriving, ClientFixture)
{
    TricklingEndpoint trickling(loop.base(), 60ms, 10);
    std::optional<HttpResult> result;
    client.send(trickling.endpoint.address(), { .path = "/" }, HttpTimeouts { 300ms, 300ms, 5s },
        [&](HttpResult response) { result = std::move(response); });
    BOOST_REQUIRE(loop.runUntil([&] { return result.has_value(); }, 5s));
    BOOST_REQUIRE(result->has_value());
    BOOST_TEST((*result)->body == "xxxxxxxxxx");
}

BOOST_FIXTURE_TEST_CASE(responseThatStopsArrivingTimesOut, ClientFixture)
{
    TricklingEndpoint trickling(loop.base(), 20ms, 5);
    std::optional<HttpResult> result;
    client.send(trickling.endpoint.address(), { .path = "/" }, HttpTimeouts { 5s, 200ms, 5s },
        [&](HttpResult response) { result = std::move(response); });
    BOOST_REQUIRE(loop.runUntil([&] { return result.has_value(); }, 3s));
    BOOST_REQUIRE(!result->has_value());
    BOOST_TEST((result->error().failure == HttpFailure::Timeout));
    BOOST_TEST(result->error().receivedBytes > 5U);
}

BOOST_FIXTURE_TEST_CASE(responseThatNeverCompletesTimesOut, ClientFixture)
{
    TricklingEndpoint trickling(loop.base(), 100ms, 9);
    std::optional<HttpResult> result;
    client.send(trickling.endpoint.address(), { .path = "/" }, HttpTimeouts { 1s, 1s, 400ms },
        [&](HttpResult response) { result = std::move(response); });
    BOOST_REQUIRE(loop.runUntil([&] { return result.has_value(); }, 700ms));
    BOOST_TEST(!result->has_value());
}

namespace {

/// Sends \p count requests to \p address at once over at most two connections, and collects the results.
struct LimitedClientFixture {
    Loop loop;
    HttpClient client { loop.base(), HttpLimits { .maxConnectionsPerAddress = 2 } };
    std::vector<HttpResult> results;

    void sendAll(const Address& address, int count, std::chrono::milliseconds timeout)
    {
        for (int i = 0; i < count; ++i)
            client.send(address, { .path = "/" }, timeout,
                [this](HttpResult result) { results.push_back(std::move(result)); });
    }
};

} // namespace

// A pool's holder opened a connection for each command that it had in flight at a VM: seven for a thousand
// VMs, close to the descriptors that it may have.
BOOST_FIXTURE_TEST_CASE(requestsBeyondTheConnectionLimitWaitAndAreAnswered, LimitedClientFixture)
{
    RawEndpoint endpoint(
        loop.base(), [](const auto& connection, const std::string&) { connection->send(okResponse); });
    sendAll(endpoint.address(), 7, 2s);
    BOOST_REQUIRE(loop.runUntil([&] { return results.size() == 7; }, 5s));
    for (const auto& result : results)
        BOOST_TEST(result.has_value());
    BOOST_TEST(endpoint.connections() == 2);
}

// With equal time limits, the end of a request that occupies a connection could send the one that waits.
BOOST_FIXTURE_TEST_CASE(requestThatTimesOutWhileItWaitsWasNotSent, LimitedClientFixture)
{
    RawEndpoint endpoint(loop.base(), [](const auto&, const std::string&) {});
    sendAll(endpoint.address(), 2, 2s);
    BOOST_REQUIRE(loop.runUntil([&] { return endpoint.requests().size() == 2; }, 1s));
    std::optional<HttpResult> waiting;
    client.send(endpoint.address(), { .path = "/waiting" }, 100ms,
        [&](HttpResult result) { waiting = std::move(result); });
    BOOST_REQUIRE(loop.runUntil([&] { return waiting.has_value(); }, 5s));
    BOOST_TEST(results.empty());
    BOOST_REQUIRE(!waiting->has_value());
    BOOST_TEST((waiting->error().failure == HttpFailure::Timeout));
    BOOST_TEST(!waiting->error().mayHaveBeenSent);
    BOOST_REQUIRE(loop.runUntil([&] { return results.size() == 2; }, 5s));
    for (const auto& result : results) {
        BOOST_REQUIRE(!result.has_value());
        BOOST_TEST(result.error().mayHaveBeenSent);
    }
    loop.runUntil([] { return false; }, 50ms);
    BOOST_TEST(endpoint.requests().size() == 2u);
}

BOOST_FIXTURE_TEST_CASE(waitingRequestsGoOnAfterOthersAreCancelled, LimitedClientFixture)
{
    RawEndpoint endpoint(loop.base(), [](const auto&, const std::string&) {});
    const auto first = client.send(endpoint.address(), { .path = "/" }, 2s, [](const HttpResult&) {});
    const auto second = client.send(endpoint.address(), { .path = "/" }, 2s, [](const HttpResult&) {});
    sendAll(endpoint.address(), 1, 2s);
    BOOST_REQUIRE(loop.runUntil([&] { return endpoint.requests().size() == 2; }, 5s));
    client.cancel(first);
    client.cancel(second);
    BOOST_TEST(loop.runUntil([&] { return endpoint.requests().size() == 3; }, 5s));
}

// Each idle connection that had gone silent cost a time-out of its own, so that a node with many of them was
// away from the table for half a minute (review/3).
BOOST_FIXTURE_TEST_CASE(connectionsThatGoSilentTogetherCostOneTimeout, ClientFixture)
{
    constexpr int connections = 6;
    int silentConnections = 0; // of those accepted first
    RawEndpoint endpoint(loop.base(), [&](const auto& connection, const std::string&) {
        if (connection->index() >= silentConnections)
            connection->send(okResponse);
    });
    int responses = 0;
    for (int i = 0; i < connections; ++i)
        client.send(endpoint.address(), { .path = "/x" }, 2s,
            [&](const HttpResult& result) { responses += result.has_value(); });
    BOOST_REQUIRE(loop.runUntil([&] { return responses == connections; }, 5s));
    silentConnections = endpoint.connections();
    BOOST_REQUIRE(silentConnections == connections);
    BOOST_TEST(!send(endpoint, "/x", 100ms));
    BOOST_TEST(send(endpoint, "/x", 100ms).has_value());
}

// A slow response shows nothing about connections that have carried another one meanwhile.
BOOST_FIXTURE_TEST_CASE(timeoutKeepsConnectionsThatHaveResponded, ClientFixture)
{
    RawEndpoint endpoint(loop.base(), [&](const auto& connection, const std::string& request) {
        if (request.find("/slow") == std::string::npos)
            connection->send(okResponse);
    });
    std::optional<HttpResult> slow;
    client.send(
        endpoint.address(), { .path = "/slow" }, 100ms, [&](HttpResult result) { slow = std::move(result); });
    BOOST_TEST(send(endpoint, "/x").has_value());
    BOOST_REQUIRE(loop.runUntil([&] { return slow.has_value(); }, 5s));
    BOOST_TEST(!slow->has_value());
    BOOST_TEST(send(endpoint, "/x").has_value());
    BOOST_TEST(endpoint.connections() == 2);
}
