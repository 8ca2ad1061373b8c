#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "../../testsuite/standins/fake_platform.h"

#include <damaskworks/store.h>

#include <algorithm>

using namespace damask;
using namespace damask::standin;
using namespace std::chrono_literals;

namespace {

/// One commit and the outcome that the store reported for it.
struct CommitRecord {
    std::string key;
    std::optional<PlatformResult<TableVersion>> result; ///< empty while the commit is pending
};

/// A store over the fake platform, without backoff between attempts.
struct StoreFixture {
    StoreFixture() { commits.reserve(64); }

    void commit()
    {
        const auto index = commits.size();
        commits.push_back({ "f/" + std::to_string(index), {} });
        store.commit(
            { {}, { { commits[index].key, "{}" } } }, [this, index](PlatformResult<TableVersion> outcome) {
                commits[index].result = std::move(outcome);
            });
    }

    bool hasPendingCommit() const
    {
        return std::any_of(
            commits.begin(), commits.end(), [](const CommitRecord& record) { return !record.result; });
    }

    /// Runs the event loop until the store sends a request or no commit is pending, for at most 1 s.
    void runTimers()
    {
        loop.runUntil([this] { return platform.pendingRequests() > 0 || !hasPendingCommit(); }, 1s);
    }

    int countWrites(const std::string& key) const
    {
        const auto& history = platform.table.history();
        return static_cast<int>(
            std::count_if(history.begin(), history.end(), [&](const Row& row) { return row.key == key; }));
    }

    Loop loop;
    ManualClock clock;
    Metrics metrics;
    FakePlatform platform;
    Store store { loop.base(), platform, clock, metrics, "a", 1, { 3, 0ms, 2 } };
    std::vector<CommitRecord> commits;
};

} // namespace

/// Loses, delays and duplicates requests at random. Once all late writes have arrived, a commit reported as
/// successful must have been written exactly once, a commit of unknown outcome at most once and a failed
/// commit never.
RC_BOOST_PROP(reportedCommitOutcomeMatchesTableAfterLateWrites, (const std::vector<std::uint8_t>& schedule))
{
    constexpr std::size_t maxCommits = 12;
    constexpr InjectedOutcome fates[] = { InjectedOutcome::Answer, InjectedOutcome::Answer,
        InjectedOutcome::Refuse, InjectedOutcome::LoseRequest, InjectedOutcome::LoseAnswer,
        InjectedOutcome::Delay, InjectedOutcome::Duplicate };
    StoreFixture fixture;
    auto& platform = fixture.platform;
    for (const auto step : schedule) {
        const auto choice = step % 10U;
        if (choice >= 8 && fixture.commits.size() < maxCommits)
            fixture.commit();
        else if (choice == 7 && platform.delayedWrites() > 0)
            platform.deliverWrite(step / 10U);
        else if (choice < 7 && platform.pendingRequests() > 0)
            platform.completeNext(fates[choice]);
        if (platform.pendingRequests() == 0)
            fixture.runTimers();
    }
    while (fixture.hasPendingCommit() || platform.pendingRequests() > 0) {
        if (platform.pendingRequests() > 0)
            platform.completeNext(InjectedOutcome::Answer);
        else
            fixture.runTimers();
    }
    fixture.commit(); // may delete operation rows before the late writes arrive
    while (platform.pendingRequests() > 0)
        platform.completeNext(InjectedOutcome::Answer);
    while (platform.delayedWrites() > 0)
        platform.deliverWrite(0);
    for (const auto& record : fixture.commits) {
        const auto writes = fixture.countWrites(record.key);
        if (*record.result)
            RC_ASSERT(writes == 1);
        else if (record.result->error().failure == PlatformFailure::OutcomeUnknown)
            RC_ASSERT(writes <= 1);
        else
            RC_ASSERT(writes == 0);
    }
}

BOOST_AUTO_TEST_CASE(numberOfOperationRowsStaysBounded)
{
    StoreFixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.commit();
        while (fixture.platform.pendingRequests() > 0)
            fixture.platform.completeNext(InjectedOutcome::Answer);
    }
    BOOST_TEST(fixture.platform.table.rows("o/").rows.size() <= 4u);
}
