/// Transactions of a holder when commits fail, are delayed or lose their response, and when another node
/// acquires the lease.
#include "fakes_test.h"

#include <damaskworks/job_directory.h>
#include <damaskworks/pool_ledger.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

struct LedgerFixture {
    Loop loop;
    SystemClock clock;
    Metrics metrics;
    FakeTable table { loop.base() };
    std::string value = "first"; ///< to be written as the state of job a1
    bool written = false;
    int failures = 0;
    bool lost = false;
    bool released = false;
    std::unique_ptr<PoolLedger> ledger;

    LedgerFixture()
    {
        const LeaseRow row { "n1", "s1", 0, 0 };
        Version version = 0;
        table.commit(leaseTransaction(row, 0), 1s, [&](TableResult<Version> result) { version = *result; });
        loop.runUntil([&] { return version > 0; }, 1s);
        ledger = std::make_unique<PoolLedger>(loop.base(), table, clock, metrics, "pricing",
            AcquiredLease { row, version, clock.now() }, LeaseTiming {},
            PoolLedger::Callbacks { [this] { return batch(); },
                [this](const LedgerBatch& done) { written = written || !done.jobs.empty(); },
                [this](const LedgerBatch&) { ++failures; }, [] {}, [this] { lost = true; },
                [this] { released = true; } });
    }

    static TableTransaction leaseTransaction(const LeaseRow& row, Version expected)
    {
        const std::string table(controlTable);
        const std::string key(leaseKey);
        return { rows::poolPart("pricing"), { { table, key, expected } },
            { { table, key, encodeLease(row) } } };
    }

    LedgerBatch batch() const
    {
        if (written)
            return {};
        LedgerBatch out;
        out.writes.push_back({ std::string(jobTable), rows::stateKey("a1"), value });
        out.jobs.insert("a1");
        return out;
    }

    std::string stored() const
    {
        const auto* row = table.find(std::string(jobTable), rows::poolPart("pricing"), rows::stateKey("a1"));
        return row ? row->value : "";
    }

    void write(const std::string& text)
    {
        value = text;
        written = false;
        ledger->markDirty();
        BOOST_REQUIRE(loop.runUntil([&] { return written || lost; }, 5s));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(pool_ledger, LedgerFixture)

BOOST_AUTO_TEST_CASE(delayedTransactionCannotOverwriteANewerOne)
{
    table.faults = { CommitFault::Delayed };
    write("second");
    BOOST_TEST(failures == 1);
    BOOST_TEST(stored() == "second");
    value = "must not be stored";
    BOOST_TEST(table.applyDelayed() == 0);
    BOOST_TEST(stored() == "second");
}

BOOST_AUTO_TEST_CASE(holderRecognisesItsRenewalAfterLostResponse)
{
    // The write is delayed; then the renewal that invalidates it commits, but its response is lost.
    table.faults = { CommitFault::Delayed, CommitFault::ResponseLost };
    write("second");
    BOOST_TEST(!lost);
    BOOST_TEST(stored() == "second");
    BOOST_TEST(table.applyDelayed() == 0);
}

BOOST_AUTO_TEST_CASE(refusedTransactionIsRetried)
{
    table.faults = { CommitFault::Refused, CommitFault::Refused };
    write("second");
    BOOST_TEST(failures >= 1);
    BOOST_TEST(stored() == "second");
}

BOOST_AUTO_TEST_CASE(replacedHolderWritesNothing)
{
    const auto* row = table.find(std::string(controlTable), rows::poolPart("pricing"), std::string(leaseKey));
    BOOST_REQUIRE(row);
    bool isAcquired = false;
    table.commit(leaseTransaction({ "n2", "s2", 1, 0 }, row->version), 1s,
        [&](TableResult<Version> result) { isAcquired = result.has_value(); });
    BOOST_REQUIRE(loop.runUntil([&] { return isAcquired; }, 1s));
    write("second");
    BOOST_TEST(lost);
    BOOST_TEST(metrics.counter("lease_lost_total{pool=\"pricing\"}") == 1u);
    BOOST_TEST(!ledger->isLeaseValid());
    BOOST_TEST(stored() == "");
}

BOOST_AUTO_TEST_CASE(releaseWritesPendingProgressFirst)
{
    ledger->markDirty();
    ledger->release();
    BOOST_TEST(!ledger->isLeaseValid());
    BOOST_REQUIRE(loop.runUntil([&] { return released; }, 2s));
    BOOST_TEST(stored() == "first");
    const auto* row = table.find(std::string(controlTable), rows::poolPart("pricing"), std::string(leaseKey));
    BOOST_TEST(decodeLease(row->value)->node == "");
}

BOOST_AUTO_TEST_SUITE_END()
