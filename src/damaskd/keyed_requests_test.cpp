/// Claims of idempotency keys whose rows another writer has damaged.
#include "../../testsuite/standins/fake_platform.h"
#include "keyed_requests_pvt.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace damask;
using namespace damask::standin;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

struct ClaimFixture {
    /// Claims the key of \p request and returns the result.
    ClaimResult claim()
    {
        std::optional<ClaimResult> out;
        claims.claim("pricing", "key-1", { "POST", "/orders", "", {}, "order" },
            [&](ClaimResult result) { out = std::move(result); });
        while (!out && platform.pendingRequests() > 0)
            platform.completeNext(InjectedOutcome::Answer);
        BOOST_REQUIRE(out.has_value());
        return *out;
    }

    Loop loop;
    ManualClock clock;
    Metrics metrics;
    FakePlatform platform;
    Store store { loop.base(), platform, clock, metrics, "a", 1, { 3, 0ms, 2 } };
    KeyClaims claims { loop.base(), store, clock, metrics, "a", 1,
        [](const std::string&, std::uint64_t) { return true; } };
};

std::string hexRow(const std::vector<std::uint8_t>& bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text = "\"";
    for (const auto byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 0xf];
    }
    return text + "\"";
}

std::string rowOf(const json& claim) { return hexRow(json::to_msgpack(claim)); }

/// A claim whose response is \p response.
json doneClaim(const json& response)
{
    return { { "node", "a" }, { "incarnation", 1 }, { "serial", 1 }, { "fingerprint", "f" },
        { "state", "done" }, { "answer", response } };
}

} // namespace

// A repeat of the request, which callers send again after an error, ended each daemon that it reached.
BOOST_AUTO_TEST_CASE(repeatOfARequestWithAnUnreadableClaimIsRefused)
{
    const auto body = json::binary({ 1, 2 });
    std::vector<std::uint8_t> deep(400'000, 0x91); // arrays of one element
    deep.push_back(0xc0);
    const std::vector<std::string> odd { hexRow(deep), "\"", "\"zz\"", rowOf(7), rowOf(json::object()),
        rowOf({ { "state", 7 } }), rowOf({ { "state", "done" }, { "node", 7 } }),
        rowOf({ { "state", "done" }, { "incarnation", -1 } }),
        rowOf({ { "state", "done" }, { "serial", 1e300 } }), rowOf(doneClaim(7)),
        rowOf(doneClaim(json::object())),
        rowOf(doneClaim({ { "status", 200 }, { "headers", json::array() }, { "body", "text" } })),
        rowOf(doneClaim({ { "status", "ok" }, { "headers", json::array() }, { "body", body } })),
        rowOf(doneClaim({ { "status", 4294967496 }, { "headers", json::array() }, { "body", body } })),
        rowOf(doneClaim({ { "status", 200 }, { "headers", { 7 } }, { "body", body } })),
        rowOf(doneClaim({ { "status", 200 }, { "headers", { { "only-a-name" } } }, { "body", body } })) };
    for (const auto& text : odd) {
        ClaimFixture fixture;
        const auto first = fixture.claim();
        BOOST_REQUIRE((first.kind == ClaimResult::Kind::Acquired));
        (void)fixture.platform.table.commit({ {}, { { first.held.row, text } } });
        BOOST_TEST((fixture.claim().kind == ClaimResult::Kind::Unverifiable), text.substr(0, 60));
    }
}

BOOST_AUTO_TEST_CASE(storedResponseIsReplayed)
{
    ClaimFixture fixture;
    auto first = fixture.claim();
    fixture.claims.recordDone(first.held, { 201, { { "X", "1" } }, std::string("\0\xff", 2) });
    while (fixture.platform.pendingRequests() > 0)
        fixture.platform.completeNext(InjectedOutcome::Answer);
    const auto repeat = fixture.claim();
    BOOST_REQUIRE((repeat.decision == idempotency::RepeatDecision::Replay));
    BOOST_TEST(repeat.storedResponse->status == 201);
    BOOST_TEST(repeat.storedResponse->body == std::string("\0\xff", 2));
}
