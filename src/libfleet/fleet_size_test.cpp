/// \file
/// Counts of nodes, and nodes that announce themselves to a coordinator.
#include "fakes_test.h"

#include <damaskworks/fleet_size.h>
#include <damaskworks/job_directory.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

/// Passes calls on, and answers the first request for changes: there are none.
class UnchangedTable final : public SharedTable {
public:
    explicit UnchangedTable(FakeTable& rows)
        : m_rows(rows)
    {
    }
    void commit(const TableTransaction& transaction, std::chrono::milliseconds timeout,
        TableCallback<Version> callback) override
    {
        m_rows.commit(transaction, timeout, std::move(callback));
    }
    void read(const std::string& table, const std::string& part, const std::string& from, int limit,
        TableCallback<TableRows> callback) override
    {
        m_rows.read(table, part, from, limit, std::move(callback));
    }
    void parts(const std::string&, const std::string&, TableCallback<std::vector<std::string>>) override { }
    void follow(const std::string& table, Version after, std::chrono::milliseconds,
        TableCallback<TableRows> callback) override
    {
        if (!std::exchange(m_hasAnswered, true))
            m_rows.read(table, "", "", 0, [after, callback = std::move(callback)](const auto&) {
                callback(TableRows { after, {} });
            });
    }

private:
    FakeTable& m_rows;
    bool m_hasAnswered = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(sizeRowsThatAreDamagedAreNoSize)
{
    BOOST_TEST(*decodeFleetSize(encodeFleetSize(300)) == 300u);
    for (const char* text : { "", "{}", R"({"nodes":0})", R"({"nodes":-1})", R"({"nodes":"300"})", "[300]" })
        BOOST_TEST(!decodeFleetSize(text));
}

BOOST_AUTO_TEST_CASE(nodesThatStopAnnouncingThemselvesNoLongerCount)
{
    ManualClock clock;
    NodeSightings nodes { { "ended", clock.now() } };
    clock.advance(40s);
    nodes["runs"] = clock.now();
    BOOST_TEST(takeEndedNodes(nodes, clock.now()).empty());
    clock.advance(11s);
    BOOST_TEST((takeEndedNodes(nodes, clock.now()) == std::set<std::string> { "ended" }));
    BOOST_TEST(nodes.size() == 1u);
}

// A herd of 300 that starts within 3 s costs a few writes, and one node more or less none.
BOOST_AUTO_TEST_CASE(smallChangesAreNotPublished)
{
    int writes = 0;
    std::size_t published = 0;
    for (const std::size_t counted : { 0, 50, 100, 150, 200, 250, 300, 300, 301, 299, 290 }) {
        if (!isWorthPublishing(counted, published))
            continue;
        published = counted;
        ++writes;
    }
    BOOST_TEST(published == 300u);
    BOOST_TEST(writes == 6);
    BOOST_TEST(isWorthPublishing(1, 0));
    BOOST_TEST(isWorthPublishing(100, 300));
}

BOOST_AUTO_TEST_CASE(coordinatorPublishesWhatItCountsAlsoAfterARefusal)
{
    Loop loop;
    SystemClock clock;
    Metrics metrics;
    FakeTable table(loop.base());
    UnchangedTable unchanged(table);
    for (const char* node : { "a", "b", "c" })
        table.commit({ "", {}, { { std::string(nodeTable), node, "1" } } }, 1s, [](const auto&) {});
    loop.runUntil([] { return false; }, 5ms);
    table.faults = { CommitFault::Overloaded };
    FleetSizeCounter counter(
        loop.base(), unchanged, clock, metrics, [] { return std::size_t(0); }, 1);
    BOOST_REQUIRE(loop.runUntil(
        [&] {
            return table.find(std::string(controlTable), std::string(fleetPart), std::string(fleetSizeKey));
        },
        5s));
    const auto* row
        = table.find(std::string(controlTable), std::string(fleetPart), std::string(fleetSizeKey));
    BOOST_TEST(*decodeFleetSize(row->value) == 3u);
}
