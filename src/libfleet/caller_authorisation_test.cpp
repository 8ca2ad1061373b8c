/// Which callers are served, by their keys and by the age of the configuration.
#include "caller_fakes_test.h"

#include <rapidcheck.h>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

constexpr KeyTiming timing { 3000ms, 5000ms };

FleetConfig makeConfig(std::vector<std::string> keysOfO = { "o-key" })
{
    FleetConfig config;
    Queue queue;
    queue.name = "quotes";
    queue.host = "shop.example";
    queue.prefix = "/quotes/";
    queue.pool = "pricing";
    auto open = queue;
    open.name = "open";
    open.prefix = "/open/";
    open.isPublic = true;
    config.queues = { queue, open };
    config.organisations["o"] = { "o", std::move(keysOfO) };
    config.organisations["p"] = { "p", { "p-key", "" } };
    return config;
}

/// A caller service of a deployment that revokes keys within 5 s.
struct KeyFixture : CallerFixture {
    KeyFixture()
        : CallerFixture(5000ms)
    {
        apply(makeConfig());
    }

    void apply(FleetConfig config)
    {
        auto keys = CallerKeys::takeFrom(config);
        service.setConfig(std::make_shared<const FleetConfig>(std::move(config)), std::move(keys));
    }

    /// The status of the response to a request with \p key.
    int call(const std::string& method, const std::string& id, const std::string& key,
        std::string_view prefix = "/quotes/")
    {
        auto exchange = std::make_shared<FakeExchange>(id, prefix, method);
        if (!key.empty())
            exchange->setKey(key);
        service.handle(exchange);
        loop.runUntil([&] { return exchange->sentResponse.has_value(); }, 10s);
        BOOST_REQUIRE(exchange->sentResponse);
        response = *exchange->sentResponse;
        return response.status;
    }

    /// Applies the stored rows of a job to the directory, as its follower does.
    void follow(const std::string& id, std::string_view queue = "quotes")
    {
        for (const auto& key : { rows::jobKey(id), rows::cancelKey(id) }) {
            if (const auto* row = fakeTable->find(std::string(jobTable), rows::jobPart(queue, id), key))
                directory.apply(*row);
        }
    }

    std::size_t storedRows() { return fakeTable->rows(std::string(jobTable)).size(); }

    HttpResponse response;
};

const std::vector<std::string> verbs { "POST", "GET", "DELETE" };

} // namespace

BOOST_FIXTURE_TEST_SUITE(caller_authorisation, KeyFixture)

BOOST_AUTO_TEST_CASE(unknownKeyIsRejectedForAllVerbsAndNothingIsStored)
{
    for (const std::string key : { "", "x", "o-ke", "o-key1" }) {
        for (const auto& verb : verbs)
            BOOST_TEST(call(verb, "a1", key) == 401);
        BOOST_TEST(call("GET", "", key) == 401);
    }
    BOOST_TEST(storedRows() == 0u);
    BOOST_TEST(metrics.counter("caller_access_refused_total{reason=\"unknown_key\"}") == 16u);
    BOOST_TEST(response.body.find("o-key") == std::string::npos);
    BOOST_TEST(metrics.text().find("o-key") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(jobOfAKnownKeyBelongsToItsOrganisation)
{
    BOOST_TEST(call("POST", "a1", "o-key") == 200);
    follow("a1");
    BOOST_REQUIRE(directory.find("a1"));
    BOOST_TEST(directory.find("a1")->organisation == "o");
    BOOST_TEST(directory.find("a1")->encodedJob.find("o-key") == std::string::npos);
    for (const auto& verb : verbs)
        BOOST_TEST(call(verb, "a1", "o-key") == 200);
}

BOOST_AUTO_TEST_CASE(keysAreAddedAndRemovedByConfigurations)
{
    apply(makeConfig({ "o-key", "o-new" }));
    BOOST_TEST(call("POST", "a1", "o-new") == 200);
    follow("a1");
    apply(makeConfig({ "o-new" }));
    for (const auto& verb : verbs)
        BOOST_TEST(call(verb, "a1", "o-key") == 401);
    BOOST_TEST(call("GET", "a1", "o-new") == 200); // the job goes on
    BOOST_TEST(!directory.find("a1")->cancelled);
}

BOOST_AUTO_TEST_CASE(lastOrganisationRemovedOpensNoQueue)
{
    auto config = makeConfig();
    config.organisations.clear();
    apply(std::move(config));
    BOOST_TEST(call("POST", "a1", "o-key") == 401);
    BOOST_TEST(call("POST", "a1", "") == 401);
}

// The node is cut off from the table, or was frozen or suspended and has just woken: in both cases its clock
// shows how old its configuration is.
BOOST_AUTO_TEST_CASE(nodeThatMayNotKnowOfARemovalRefusesAllVerbsAsNotRun)
{
    call("POST", "a1", "o-key");
    follow("a1");
    configAge = maxAgeToTrustKeys(timing);
    for (const auto& verb : verbs)
        BOOST_TEST(call(verb, "a1", "o-key") == 200);
    configAge += 1ms;
    for (const std::string key : { "o-key", "added-since", "" }) {
        for (const auto& verb : verbs) {
            BOOST_TEST(call(verb, "a1", key) == 503);
            BOOST_TEST(http::header(response.headers, "Retry-After").has_value());
        }
        BOOST_TEST(call("POST", "a2", key) == 503);
    }
    BOOST_TEST(storedRows() == 2u); // the job and its cancellation, from before
    BOOST_TEST(metrics.counter("caller_access_refused_total{reason=\"undecided\"}") == 12u);
}

BOOST_AUTO_TEST_CASE(jobOfAnotherOrganisationIsForbidden)
{
    call("POST", "a1", "o-key");
    // Before the directory has the job, its row in the table is read.
    for (const auto& verb : verbs)
        BOOST_TEST(call(verb, "a1", "p-key") == 403);
    BOOST_TEST(call("POST", "a1", "o-key") == 200);
    follow("a1");
    for (const auto& verb : verbs)
        BOOST_TEST(call(verb, "a1", "p-key") == 403);
    // Nor does the path of a public queue lead to it.
    for (const auto& verb : verbs)
        BOOST_TEST(call(verb, "a1", "", "/open/") == 403);
    BOOST_TEST(storedRows() == 1u);
}

BOOST_AUTO_TEST_CASE(ownerThatCannotBeReadIsNotReportedAsNotRun)
{
    call("POST", "a1", "o-key");
    fakeTable->readsToFail = 1;
    BOOST_TEST(call("POST", "a1", "o-key") == 504);
    fakeTable->readsToFail = 1;
    BOOST_TEST(call("GET", "a1", "o-key") == 503);
}

// A submission under way when its key is removed was sent before the removal; a repetition was not.
BOOST_AUTO_TEST_CASE(commitThatOutlivesItsKeyCounts)
{
    fakeTable->faults = { CommitFault::ResponseLost };
    auto exchange = std::make_shared<FakeExchange>("a1");
    exchange->setKey("o-key");
    service.handle(exchange);
    apply(makeConfig({}));
    loop.runUntil([&] { return exchange->sentResponse.has_value(); }, 10s);
    BOOST_TEST(exchange->sentResponse->status == 200);
    BOOST_TEST(call("POST", "a1", "o-key") == 401);
}

BOOST_AUTO_TEST_CASE(publicQueueNeedsNoKeyAndIgnoresOne)
{
    configAge = 3000ms;
    for (const std::string key : { "", "x", "o-key" })
        BOOST_TEST(call("POST", "a" + key, key, "/open/") == 200);
    follow("ao-key", "open");
    BOOST_TEST(directory.find("ao-key")->organisation.empty());
    configAge = 1h;
    BOOST_TEST(call("GET", "ao-key", "", "/open/") == 200);
}

BOOST_AUTO_TEST_CASE(keysAreMovedOutOfTheConfiguration)
{
    auto config = makeConfig();
    const auto keys = CallerKeys::takeFrom(config);
    BOOST_TEST(keys.size() == 2u); // an empty key is none
    BOOST_TEST(config.organisations["o"].keys.empty());
    BOOST_REQUIRE(keys.organisation("p-key"));
    BOOST_TEST(*keys.organisation("p-key") == "p");
    BOOST_TEST(!keys.organisation(""));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(configurationWithoutOrganisationsNeedsNoKeys, CallerFixture)
{
    BOOST_TEST(submit("a1")->sentResponse->status == 200);
    configAge = 1h;
    directory.apply(
        *fakeTable->find(std::string(jobTable), rows::jobPart("quotes", "a1"), rows::jobKey("a1")));
    BOOST_TEST(submit("a1")->sentResponse->status == 200);
}

BOOST_AUTO_TEST_CASE(withoutABoundOnRevocationOnlyUnknownKeysWaitForTheConfiguration)
{
    auto config = makeConfig();
    const auto keys = CallerKeys::takeFrom(config);
    const auto access = [&](std::string_view key, Duration age) {
        return authoriseCaller(config, keys, config.queues[0], key, age, { 3000ms, 0ms }).access;
    };
    BOOST_TEST((access("o-key", 1h) == CallerAccess::Organisation));
    BOOST_TEST((access("x", 3000ms) == CallerAccess::UnknownKey));
    BOOST_TEST((access("x", 3001ms) == CallerAccess::Undecided));
}

/// A node confirms its configuration, the key is removed, and a request is sent around the bound. Times in
/// milliseconds.
BOOST_AUTO_TEST_CASE(noRequestSentAfterTheBoundPassesWithARemovedKey)
{
    BOOST_TEST(rc::check([] {
        const auto drawTime = [](int least, int most) {
            return milliseconds(*rc::gen::resize(100, rc::gen::inRange(least, most)));
        };
        const KeyTiming drawn { drawTime(100, 20'000), drawTime(100, 10'000) };
        auto config = makeConfig();
        const auto keys = CallerKeys::takeFrom(config);
        const auto confirmedAt = drawTime(0, 10'000);
        const auto removedAt = confirmedAt + drawTime(1, 1000);
        const auto sentAt = removedAt + drawn.keyRevocationTime + drawTime(-1000, 1000);
        const auto readAt = sentAt + drawTime(0, 1000);
        const auto access
            = authoriseCaller(config, keys, config.queues[0], "o-key", readAt - confirmedAt, drawn).access;
        RC_ASSERT(access != CallerAccess::Organisation || sentAt <= removedAt + drawn.keyRevocationTime);
        RC_ASSERT(access != CallerAccess::UnknownKey);
    }));
}
