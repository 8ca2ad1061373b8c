/// \file
/// Malformed and truncated endpoint responses through a real daemon: what callers see of guarantees P3 and
/// P4.
#include "requests_fixture.h"

using namespace damask;
using namespace damask::harness;

namespace {

struct FaultyEndpointFixture : RequestFixture {
    FaultyEndpointFixture() { declare("raw", endpoint.address()); }

    std::string responseBytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    bool closesAfterResponse = false;
    int orderCount = 0;
    RawEndpoint endpoint { fleet.loop().base(),
        [this](const std::shared_ptr<RawConnection>& connection, const std::string& request) {
            const bool isOrder = request.starts_with("POST");
            orderCount += isOrder;
            connection->send(isOrder ? responseBytes : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            if (isOrder && closesAfterResponse)
                connection->close();
        } };
};

} // namespace

BOOST_FIXTURE_TEST_CASE(truncatedResponsesHaveUnknownOutcomeAndAreNotRetried, FaultyEndpointFixture)
{
    const std::string truncatedResponses[] = {
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
        "HTTP/1.1 200 OK\r\n\r\nwhole or cut?",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "",
    };
    closesAfterResponse = true;
    for (const auto& answer : truncatedResponses) {
        responseBytes = answer;
        orderCount = 0;
        const auto response = post("a", "cut");
        BOOST_TEST(response.status == 502, answer);
        BOOST_TEST(outcomeOf(response) == "unknown", answer);
        BOOST_TEST(orderCount == 1, answer);
    }
}

BOOST_FIXTURE_TEST_CASE(extraBytesNeverReachAnotherCaller, FaultyEndpointFixture)
{
    responseBytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
                    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen";
    BOOST_TEST(post("a", "first").body == "first");
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(get("a", "/pricing/next").body == "ok");
}

BOOST_FIXTURE_TEST_CASE(successfulResponseCannotClaimNotRun, FaultyEndpointFixture)
{
    responseBytes = "HTTP/1.1 200 OK\r\nDamask-Outcome: not-run\r\nContent-Length: 2\r\n\r\nok";
    const auto response = post("a", "claims");
    BOOST_TEST(outcomeOf(response) == "done");
}
