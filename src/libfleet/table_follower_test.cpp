/// \file
/// Tests which requests a TableFollower makes and up to when it says that it is current.
#include "fakes_test.h"

#include <boost/test/unit_test.hpp>

#include <damaskworks/table_follower.h>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

/// Table whose responses to requests for changes are written by the test.
class ScriptedTable final : public SharedTable {
public:
    explicit ScriptedTable(FakeTable& rows)
        : m_rows(rows)
    {
    }
    void commit(const TableTransaction&, std::chrono::milliseconds, TableCallback<Version>) override { }
    void read(const std::string& table, const std::string& part, const std::string& from, int limit,
        TableCallback<TableRows> callback) override
    {
        ++reads;
        m_rows.readsToFail = failsEverySecondRead && reads % 2 == 0 ? 1 : 0;
        m_rows.read(table, part, from, limit, std::move(callback));
    }
    void parts(const std::string& table, const std::string& after,
        TableCallback<std::vector<std::string>> callback) override
    {
        m_rows.parts(table, after, std::move(callback));
    }
    void follow(const std::string&, Version after, std::chrono::milliseconds wait,
        TableCallback<TableRows> callback) override
    {
        followedFrom = after;
        followWait = wait;
        pending = std::move(callback);
    }
    void respond(TableResult<TableRows> result) { std::exchange(pending, {})(std::move(result)); }

    int reads = 0;
    bool failsEverySecondRead = false;
    Version followedFrom = 0;
    std::chrono::milliseconds followWait { 0 };
    TableCallback<TableRows> pending; ///< of the open request for changes

private:
    FakeTable& m_rows;
};

struct FollowerFixture {
    Loop loop;
    ManualClock clock;
    Metrics metrics;
    FakeTable rows { loop.base() };
    ScriptedTable table { rows };
    std::vector<std::string> applied;

    void listen(TableFollower& follower)
    {
        follower.setListeners(
            [this](const std::vector<TableRow>& all) {
                for (const auto& row : all)
                    applied.push_back("read " + row.value);
            },
            [this](const TableRow& row) { applied.push_back("change " + row.value); }, [] {});
        follower.start();
        waitForRequest();
    }

    /// Runs the loop until a request for changes is open.
    void waitForRequest()
    {
        BOOST_REQUIRE(loop.runUntil([this] { return bool(table.pending); }, 5s));
    }

    void write(const std::string& value)
    {
        rows.commit({ "", {}, { { "op", "config", value } } }, 1s, [](const auto&) {});
        loop.runUntil([] { return false; }, 5ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(
    followerOfLargeRowsReadsTheNewestRowAfterAFailureInsteadOfEachVersion, FollowerFixture)
{
    TableFollower follower(loop.base(), table, clock, metrics, { "op", false, 0ms, true }, 1);
    write("1");
    listen(follower);
    for (const char* version : { "2", "3", "4" })
        write(version);
    table.respond(tl::make_unexpected(TableFailure::TimedOut));
    waitForRequest();
    BOOST_TEST(
        applied == (std::vector<std::string> { "read 1", "read 4" }), boost::test_tools::per_element());
    BOOST_TEST(table.followedFrom == 4U);
}

BOOST_FIXTURE_TEST_CASE(followerOfLargeRowsReadsTheNewestRowAfterSeveralVersionsAtOnce, FollowerFixture)
{
    TableFollower follower(loop.base(), table, clock, metrics, { "op", false, 0ms, true }, 1);
    write("1");
    listen(follower);
    for (const char* version : { "2", "3", "4" })
        write(version);
    table.respond(TableRows { 3, { { "", "config", "2", 2 }, { "", "config", "3", 3 } } });
    waitForRequest();
    BOOST_TEST(applied.back() == "read 4");
    BOOST_TEST(table.followedFrom == 4U);
}

BOOST_FIXTURE_TEST_CASE(followerOfSmallRowsAsksForTheMissedChangesAfterAFailure, FollowerFixture)
{
    TableFollower follower(loop.base(), table, clock, metrics, { "op", false, 0ms, false }, 1);
    write("1");
    listen(follower);
    table.respond(tl::make_unexpected(TableFailure::TimedOut));
    waitForRequest();
    BOOST_TEST(table.reads == 1);
    BOOST_TEST(table.followedFrom == 1U);
}

BOOST_FIXTURE_TEST_CASE(changesProveNothingUntilARequestThatDoesNotWaitFindsNone, FollowerFixture)
{
    FollowSettings settings { "op" };
    settings.confirmsChanges = true;
    TableFollower follower(loop.base(), table, clock, metrics, settings, 1);
    write("1");
    listen(follower);
    BOOST_TEST(table.followWait.count() == 0); // the load may have taken long
    table.respond(TableRows { 1, {} });
    waitForRequest();
    BOOST_TEST(table.followWait.count() == 1000);
    const auto before = follower.currentAsOf();
    clock.advance(700ms);
    table.respond(TableRows { 2, { { "", "config", "2", 2 } } });
    waitForRequest();
    BOOST_TEST((follower.currentAsOf() == before));
    BOOST_TEST(table.followWait.count() == 0);
    clock.advance(100ms);
    table.respond(TableRows { 2, {} });
    BOOST_TEST((follower.currentAsOf() == before + 700ms)); // when the request was sent
}

// After an outage, a response of limited size held changes up to a time long before the request was sent.
BOOST_FIXTURE_TEST_CASE(responseThatMayBeTruncatedProvesNothing, FollowerFixture)
{
    TableFollower follower(loop.base(), table, clock, metrics, { "jobs" }, 1);
    write("1");
    listen(follower);
    clock.advance(300ms);
    table.respond(TableRows { 1, {} });
    waitForRequest(); // sent 300 ms after the load
    const auto before = follower.currentAsOf();
    clock.advance(1500ms);
    const std::string longValue(32 * 1024, 'x');
    TableRows many { 40, {} };
    for (Version version = 2; version < 40; ++version)
        many.rows.push_back({ "", "key" + std::to_string(version), longValue, version });
    table.respond(many);
    waitForRequest();
    BOOST_TEST((follower.currentAsOf() == before));
    BOOST_TEST(!isFresh(follower, clock.now(), 2000ms)); // a holder starts no tasks
    const auto sentAt = clock.now();
    table.respond(TableRows { 41, { { "", "key", "short", 41 } } });
    BOOST_TEST((follower.currentAsOf() == sentAt));
    BOOST_TEST(isFresh(follower, clock.now(), 2000ms));
    clock.advance(2s);
    BOOST_TEST(!isFresh(follower, clock.now(), 2000ms));
}

// On the large deployment hundreds of machines move within a second. The holder that followed them got 500
// rows in one response, waited a second for the next change before it knew that there were no more, and
// started nothing meanwhile.
BOOST_FIXTURE_TEST_CASE(responseThatMayBeTruncatedIsFollowedAtOnceByARequestThatDoesNotWait, FollowerFixture)
{
    TableFollower follower(loop.base(), table, clock, metrics, { "servers", false, 5000ms }, 1);
    listen(follower);
    TableRows full { 500, {}, false };
    for (Version version = 1; version <= 500; ++version)
        full.rows.push_back({ "", "vm" + std::to_string(version), "{}", version });
    table.respond(full);
    BOOST_TEST(follower.isBehind());
    BOOST_REQUIRE(loop.runUntil([this] { return bool(table.pending); }, 1s));
    BOOST_TEST(table.followWait.count() == 0);
    table.respond(TableRows { 500, {}, false });
    BOOST_TEST(!follower.isBehind());
}

// A refused node must not ask again at once, although it would after any other failure.
BOOST_FIXTURE_TEST_CASE(refusalsForOverloadDelayRequestsUntilTheTableResponds, FollowerFixture)
{
    TableFollower follower(loop.base(), table, clock, metrics, { "jobs" }, 1);
    follower.setPace({ .yieldsWhenRefused = true });
    listen(follower);
    const auto timeToRequest = [this] {
        const auto begunAt = std::chrono::steady_clock::now();
        waitForRequest();
        return std::chrono::steady_clock::now() - begunAt;
    };
    constexpr int refusals = 3; // restraints of 100, 200 and 400 ms, each spread by half
    for (int i = 0; i < refusals; ++i) {
        table.respond(tl::make_unexpected(TableFailure::Overloaded));
        timeToRequest();
    }
    table.respond(TableRows { 1, {} });
    BOOST_TEST((timeToRequest() >= 150ms)); // half of what is left of 400 ms
    table.respond(tl::make_unexpected(TableFailure::Overloaded));
    BOOST_TEST((timeToRequest() >= 300ms)); // half of twice that
}

// 300 nodes that started together each read the whole configuration again after each refusal.
BOOST_FIXTURE_TEST_CASE(largeRowsAreReadAnewOnlyAfterSeveralRefusals, FollowerFixture)
{
    TableFollower follower(loop.base(), table, clock, metrics, { "op", false, 0ms, true }, 1);
    listen(follower);
    const auto reads = table.reads;
    for (int i = 0; i < 3; ++i) {
        table.respond(tl::make_unexpected(TableFailure::Overloaded));
        waitForRequest();
    }
    BOOST_TEST(table.reads == reads);
    table.respond(tl::make_unexpected(TableFailure::Overloaded));
    waitForRequest();
    BOOST_TEST(table.reads > reads);
}

BOOST_FIXTURE_TEST_CASE(requestsKeepTheIntervalOfALargeFleet, FollowerFixture)
{
    TableFollower follower(loop.base(), table, clock, metrics, { "jobs" }, 1);
    follower.setPace({ 0ms, 100ms, 80ms });
    listen(follower);
    BOOST_TEST(table.followWait.count() == 0); // the first one confirms the load
    for (const bool hasChanges : { false, true, false }) {
        const auto answeredAt = std::chrono::steady_clock::now();
        table.respond(hasChanges ? TableRows { 2, { { "", "key", "x", 2 } } } : TableRows { 2, {} });
        waitForRequest();
        // The manual clock stands still, so that the whole interval is left, less an eighth.
        BOOST_TEST((std::chrono::steady_clock::now() - answeredAt >= 70ms));
        BOOST_TEST(table.followWait.count() == 100);
    }
}

// A node that started while the table refused a part of its calls began its load again with the first row
// each time, and never ended it.
BOOST_FIXTURE_TEST_CASE(loadGoesOnWhereARequestFailed, FollowerFixture)
{
    constexpr int parts = 12;
    for (int i = 0; i < parts; ++i)
        rows.commit({ "part" + std::to_string(i), {}, { { "jobs", "key", std::to_string(i) } } }, 1s,
            [](const auto&) {});
    table.failsEverySecondRead = true;
    TableFollower follower(loop.base(), table, clock, metrics, { "jobs", true }, 1);
    listen(follower);
    BOOST_TEST(applied.size() == static_cast<std::size_t>(parts));
    BOOST_TEST(table.reads <= 2 * (parts + 1));
}

// The first page of a reload made the rows of before an outage look recent while the other pages were read.
BOOST_FIXTURE_TEST_CASE(followerIsNotFreshWhileItReadsAllRowsAgain, FollowerFixture)
{
    constexpr int pages = 2;
    for (int i = 0; i < pages * 500; ++i)
        rows.commit(
            { "", {}, { { "servers", "vm" + std::to_string(1000 + i), "old" } } }, 1s, [](const auto&) {});
    TableFollower follower(loop.base(), table, clock, metrics, { "servers" }, 1);
    listen(follower);
    table.respond(TableRows { 1000, {} });
    waitForRequest();
    BOOST_TEST(isFresh(follower, clock.now(), 2000ms));
    clock.advance(10s);
    applied.clear();
    table.respond(tl::make_unexpected(TableFailure::HistoryTruncated));
    BOOST_REQUIRE(loop.runUntil([&] { return follower.lastContact() == clock.now(); }, 5s));
    BOOST_REQUIRE(applied.empty());
    BOOST_TEST(!isFresh(follower, clock.now(), 2000ms));
    waitForRequest();
    BOOST_TEST(applied.size() == 1000u);
    BOOST_TEST(table.followWait.count() == 0); // the first page may be old by now
    BOOST_TEST(!isFresh(follower, clock.now(), 2000ms));
    table.respond(TableRows { 1000, {} });
    BOOST_TEST(isFresh(follower, clock.now(), 2000ms));
}
