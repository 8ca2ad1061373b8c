#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "../../testsuite/standins/fake_platform.h"

#include <damaskworks/snapshot.h>

using namespace damask;
using namespace damask::standin;
using namespace std::chrono_literals;

namespace {

/// A mirror and what it needs, over a platform that several of them may share. The poll period of 1 h leaves
/// polls to the tests.
struct MirrorFixture {
    explicit MirrorFixture(FakePlatform& platform, std::string snapshotObject = {})
        : platform(platform)
        , mirror(loop.base(), platform, clock, metrics, { "f/", 1h, "c", std::move(snapshotObject) }, 1)
    {
    }
    void start()
    {
        mirror.start();
        answerAll();
    }
    void poll()
    {
        mirror.pollNow();
        answerAll();
    }
    void answerAll()
    {
        while (platform.pendingRequests() > 0)
            platform.completeNext(InjectedOutcome::Answer);
    }

    Loop loop;
    ManualClock clock;
    Metrics metrics;
    FakePlatform& platform;
    Mirror mirror;
};

void put(FakePlatform& platform, const std::string& key, std::optional<std::string> value)
{
    (void)platform.table.commit({ {}, { { key, std::move(value) } } });
}

std::map<std::string, std::string> valuesByKey(const std::map<std::string, Row, std::less<>>& rows)
{
    std::map<std::string, std::string> out;
    for (const auto& [key, row] : rows)
        out[key] = row.value;
    return out;
}

std::map<std::string, std::string> valuesByKey(const FakePlatform& platform)
{
    std::map<std::string, std::string> out;
    for (const auto& row : platform.table.rows("f/").rows)
        out[row.key] = row.value;
    return out;
}

/// A platform with two rows and a snapshot of them, and the text of that snapshot.
struct SnapshotFixture {
    SnapshotFixture()
    {
        put(platform, "f/a", "1");
        put(platform, "f/b", "2");
        MirrorFixture writer(platform);
        writer.start();
        SnapshotWriter snapshotWriter(platform, writer.mirror, writer.clock, writer.metrics, "c", 1min);
        snapshotWriter.writeIfDue(true);
        writer.answerAll();
        text = platform.objects.at("snapshot");
        platform.fullReads = 0;
    }
    FakePlatform platform;
    std::string text;
};

} // namespace

/// Applies polls, peer rows and outdated row sets in any order: the mirror's version must not decrease, no
/// row may be reported at an old version, and after a poll the mirror must equal the table.
RC_BOOST_PROP(mirrorVersionNeverDecreasesAndConvergesToTable, (const std::vector<std::uint8_t>& steps))
{
    FakePlatform platform;
    MirrorFixture ahead(platform);
    MirrorFixture behind(platform);
    MirrorFixture lagging(platform);
    put(platform, "f/0", "0");
    ahead.start();
    behind.start();
    lagging.start();
    std::vector<RowSet> earlierSets;
    std::map<std::string, TableVersion> reportedVersions;
    behind.mirror.addListener([&](const Row& row) {
        RC_ASSERT(row.version > reportedVersions[row.key]);
        reportedVersions[row.key] = row.version;
    });
    for (const auto step : steps) {
        const auto key = "f/" + std::to_string(step / 8U % 4U);
        const auto before = behind.mirror.version();
        switch (step % 8U) {
        case 0:
        case 1:
            put(platform, key, std::to_string(step));
            break;
        case 2:
            put(platform, key, std::nullopt);
            break;
        case 3:
            ahead.poll();
            earlierSets.push_back(ahead.mirror.rowsSince(step / 8U));
            break;
        case 4:
            behind.mirror.applyIfNewer(ahead.mirror.rowsSince(behind.mirror.version()));
            break;
        case 5:
            behind.mirror.applyIfNewer(lagging.mirror.rowsSince(0));
            break;
        case 6:
            if (!earlierSets.empty())
                behind.mirror.applyIfNewer(earlierSets[step % earlierSets.size()]);
            break;
        default:
            behind.poll();
        }
        RC_ASSERT(behind.mirror.version() >= before);
    }
    behind.poll();
    RC_ASSERT(valuesByKey(behind.mirror.rows()) == valuesByKey(platform));
}

BOOST_AUTO_TEST_CASE(olderRowsOfPeerAreRefused)
{
    FakePlatform platform;
    put(platform, "f/a", "old");
    MirrorFixture lagging(platform);
    lagging.start();
    put(platform, "f/a", "new");
    MirrorFixture fixture(platform);
    fixture.start();
    BOOST_TEST(!fixture.mirror.applyIfNewer(lagging.mirror.rowsSince(0)));
    BOOST_TEST(fixture.mirror.find("f/a")->value == "new");
}

BOOST_AUTO_TEST_CASE(changesWithGapAreRefused)
{
    FakePlatform platform;
    MirrorFixture fixture(platform);
    fixture.start();
    BOOST_TEST(!fixture.mirror.applyIfNewer({ 5, 6, { { "f/a", 6, "x" } } }));
}

BOOST_FIXTURE_TEST_CASE(startFromSnapshotAvoidsFullTableRead, SnapshotFixture)
{
    put(platform, "f/a", std::nullopt);
    put(platform, "f/c", "3");
    MirrorFixture fixture(platform, "snapshot");
    fixture.start();
    BOOST_TEST(platform.fullReads == 0u);
    BOOST_TEST((valuesByKey(fixture.mirror.rows()) == valuesByKey(platform)));
}

BOOST_FIXTURE_TEST_CASE(onlyTheSnapshotWriterWritesAndAtALimitedRate, SnapshotFixture)
{
    MirrorFixture writer(platform);
    writer.start();
    platform.objectWrites = 0;
    SnapshotWriter snapshotWriter(platform, writer.mirror, writer.clock, writer.metrics, "c", 1min);
    for (int second = 0; second < 600; ++second) {
        put(platform, "f/x", std::to_string(second));
        writer.poll();
        snapshotWriter.writeIfDue(second < 300);
        writer.answerAll();
        writer.clock.advance(1s);
    }
    BOOST_TEST(platform.objectWrites == 5u);
}

BOOST_FIXTURE_TEST_CASE(snapshotTruncatedOrChangedAtAnyByteIsRefused, SnapshotFixture)
{
    for (std::size_t length = 0; length < text.size(); ++length)
        BOOST_TEST(!snapshot::decode(text.substr(0, length), "c"));
    const auto intact = snapshot::decode(text, "c");
    BOOST_REQUIRE(intact);
    for (std::size_t position = 0; position < text.size(); ++position) {
        auto changed = text;
        changed[position] = changed[position] == '7' ? '8' : '7';
        BOOST_TEST(!snapshot::decode(changed, "c"), "byte " << position);
    }
}

BOOST_FIXTURE_TEST_CASE(snapshotOfAnotherClusterIsRefusedAndTableIsRead, SnapshotFixture)
{
    const auto foreign = snapshot::decode(text, "other");
    BOOST_REQUIRE(!foreign);
    BOOST_TEST((foreign.error().failure == snapshot::DecodeFailure::ForeignCluster));
    platform.objects["snapshot"] = snapshot::encode({ 0, 99, { { "f/z", 99, "foreign" } } }, "other");
    MirrorFixture fixture(platform, "snapshot");
    fixture.start();
    BOOST_TEST(fixture.metrics.counter("damask_snapshot_reads_total{result=\"refused\"}") == 1u);
    BOOST_TEST((valuesByKey(fixture.mirror.rows()) == valuesByKey(platform)));
}

BOOST_FIXTURE_TEST_CASE(snapshotOlderThanKeptHistoryCausesFullTableRead, SnapshotFixture)
{
    FakePlatform later;
    later.table = TableModel(2);
    for (int i = 0; i < 8; ++i)
        put(later, "f/" + std::to_string(i), "new");
    later.objects["snapshot"] = text;
    MirrorFixture fixture(later, "snapshot");
    fixture.start();
    BOOST_TEST(later.fullReads == 1u);
    BOOST_TEST((valuesByKey(fixture.mirror.rows()) == valuesByKey(later)));
}

// Every node reads the snapshot when it starts.
BOOST_AUTO_TEST_CASE(deeplyNestedSnapshotIsMalformed)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    for (const auto* member : { "rows", "other" }) {
        const auto set = snapshot::decode("{\"format\":1,\"cluster\":\"c\",\"version\":5,\"hash\":\"1\",\""
                + std::string(member) + "\":" + deep + "}",
            "c");
        BOOST_REQUIRE(!set);
        BOOST_TEST((set.error().failure == snapshot::DecodeFailure::Malformed));
    }
}
