/// \file
/// Guarantee P5: a request with an idempotency key runs at most once, whichever entry VM receives it and even
/// if the table fails.
#include "requests_fixture.h"

#include <csignal>

using namespace damask;
using namespace damask::harness;
using nlohmann::json;

namespace {

struct KeyFixture : RequestFixture {
    KeyFixture()
    {
        declare("e1", fleet.endpoint("e1").address);
        for (auto node : { "a", "b" }) {
            const HttpRequest request { "GET", "/metrics", "", {}, "" };
            BOOST_REQUIRE(fleet.eventually([&] {
                const auto metrics = fleet.call(fleet.daemon(node).admin, request);
                return metrics && metrics->body.find("damask_peers 1") != std::string::npos;
            }));
        }
    }

    /// Sends a keyed request and returns at once; the result appears in the returned object.
    std::shared_ptr<std::optional<HttpResult>> postAsync(const std::string& node, const std::string& id)
    {
        auto answer = std::make_shared<std::optional<HttpResult>>();
        HttpRequest request { "POST", "/pricing/order", "",
            { { "X-Request-Id", id }, { "Idempotency-Key", "key" } }, "cake" };
        fleet.client().send(fleet.daemon(node).callers, request, std::chrono::seconds(10),
            [answer](HttpResult result) { *answer = std::move(result); });
        return answer;
    }

    bool hasRun(const std::string& id) { return fleet.runCountsById().contains(id); }

    /// Number of POST requests that the endpoint ran.
    int orderRunCount()
    {
        int runs = 0;
        for (const auto& run : fleet.runsOf("e1"))
            runs += run.value("method", "") == "POST";
        return runs;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(repeatThroughAnotherEntryVmGetsTheStoredResponse, KeyFixture)
{
    const auto first = post("a", "one", "key");
    BOOST_TEST(first.status == 200);
    BOOST_TEST(outcomeOf(first) == "done");
    for (auto node : { "a", "b", "b" }) {
        HttpResponse repeat;
        // The write of the stored response may still be in progress; until it ends the key is in use.
        BOOST_TEST(fleet.eventually([&] { return (repeat = post(node, "again", "key")).status != 409; }));
        BOOST_TEST(repeat.status == 200);
        BOOST_TEST(repeat.body == first.body);
        BOOST_TEST(outcomeOf(repeat) == "done");
    }
    BOOST_TEST(orderRunCount() == 1);
    const auto other = post("b", "other", "key", "another body");
    BOOST_TEST(other.status == 422);
    BOOST_TEST(outcomeOf(other) == "not-run");
    BOOST_TEST(post("b", "two", "key-2").status == 200);
    BOOST_TEST(orderRunCount() == 2);
}

BOOST_FIXTURE_TEST_CASE(repeatWhileRunningIsRefused, KeyFixture)
{
    setMode("e1", { { "delayMs", 1500 } });
    auto first = postAsync("a", "one");
    BOOST_REQUIRE(fleet.eventually([&] { return hasRun("one"); }));
    for (auto node : { "a", "b" }) {
        const auto repeat = post(node, "again", "key");
        BOOST_TEST(reasonOf(repeat) == "key_in_use", node << " gave the reason " << reasonOf(repeat));
        BOOST_TEST(repeat.status == 409);
        BOOST_TEST(outcomeOf(repeat) == "not-run");
    }
    BOOST_REQUIRE(fleet.eventually([&] { return first->has_value(); }));
    BOOST_REQUIRE(**first);
    BOOST_TEST((**first)->status == 200);
    BOOST_TEST(orderRunCount() == 1);
}

BOOST_FIXTURE_TEST_CASE(keyOfAKilledEntryVmHasUnknownOutcome, KeyFixture)
{
    setMode("e1", { { "mode", "hang" } });
    auto first = postAsync("a", "one");
    BOOST_REQUIRE(fleet.eventually([&] { return hasRun("one"); }));
    fleet.daemon("a").process->signal(SIGKILL);
    fleet.daemon("a").process->wait();
    setMode("e1", json::object());
    HttpResponse repeat;
    BOOST_TEST(fleet.eventually(
        [&] { return reasonOf(repeat = post("b", "again", "key")) == "key_outcome_unknown"; }));
    BOOST_TEST(repeat.status == 409);
    BOOST_TEST(orderRunCount() == 1);
}

BOOST_FIXTURE_TEST_CASE(keyedRequestIsRefusedDuringATableOutage, KeyFixture)
{
    fleet.setPlatformFaults({ { "table", "down" } });
    const auto refused = post("a", "one", "key");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(outcomeOf(refused) == "not-run");
    BOOST_TEST(reasonOf(refused) == "key_unverifiable");
    BOOST_TEST(hasRetryAfter(refused));
    BOOST_TEST(post("a", "without").status == 200);
    BOOST_TEST(orderRunCount() == 1);
    fleet.setPlatformFaults(json::object());
    BOOST_TEST(fleet.eventually([&] { return post("b", "one", "key").status == 200; }));
    BOOST_TEST(orderRunCount() == 2);
}

BOOST_FIXTURE_TEST_CASE(lostTableResponsesDoNotDuplicateARequest, KeyFixture)
{
    int succeeded = 0;
    for (int i = 0; i < 6; ++i) {
        const auto key = "lost-" + std::to_string(i);
        fleet.setPlatformFaults({ { "loseNext", 1 + i % 3 } });
        HttpResponse response;
        for (int repeat = 0; repeat < 3; ++repeat) {
            response = post(repeat % 2 ? "b" : "a", key, key);
            BOOST_TEST((response.status == 200 || outcomeOf(response) == "not-run"));
        }
        BOOST_TEST(fleet.eventually([&] { return (response = post("b", key, key)).status == 200; }));
        succeeded += response.status == 200;
    }
    const auto runs = fleet.runCountsById();
    for (int i = 0; i < 6; ++i)
        BOOST_TEST(runs.at("lost-" + std::to_string(i)) == 1);
    BOOST_TEST(succeeded == 6);
}

BOOST_FIXTURE_TEST_CASE(requestThatDidNotRunReleasesItsKey, KeyFixture)
{
    setMode("e1", { { "mode", "refuse" } });
    const auto refused = post("a", "one", "key");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(outcomeOf(refused) == "not-run");
    setMode("e1", json::object());
    BOOST_TEST(fleet.eventually([&] { return post("b", "one", "key").status == 200; }));
    BOOST_TEST(orderRunCount() == 1);
}

BOOST_FIXTURE_TEST_CASE(invalidKeysAreRefused, KeyFixture)
{
    BOOST_TEST(post("a", "one", std::string(256, 'k')).status == 400);
    BOOST_TEST(post("a", "one", "white space").status == 400);
    BOOST_TEST(orderRunCount() == 0);
}
