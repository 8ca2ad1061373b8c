#include <boost/test/unit_test.hpp>

#include "slow_link_fixture.h"

#include <fstream>
#include <iterator>

using namespace damask;
using namespace damask::fleet;
using namespace damask::fleet::standin;
using namespace std::chrono_literals;

namespace {

/// \p levels arrays within each other.
std::string nested(std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

/// Fills the largest row.
const std::string deepRow = nested(32'000);

/// Entries that another program wrote among those of VMs, operators and machines.
struct OddEntriesFixture : SlowLinkFixture {
    const QueueSpec queue { "old", "pricing" };
    int jobCount = 0;

    OddEntriesFixture()
    {
        platform.addMachine("m1", "pricing", 2000);
        platform.addMachine("m2", "pricing", 2000);
    }

    /// Waits until the node's log has at least \p count lines with the event; false if the process ends.
    bool waitForLogged(const std::string& event, std::size_t count)
    {
        return loop.runUntil([&] { return process->hasEnded() || logged(event) >= count; }, 20s)
            && !process->hasEnded();
    }

    std::string processState()
    {
        return process->hasEnded() ? "process ended with " + std::to_string(process->wait()) : "process runs";
    }

    std::size_t logged(const std::string& event) const
    {
        std::ifstream file(folder / "n0.log");
        const std::string text { std::istreambuf_iterator<char>(file), {} };
        std::size_t count = 0;
        for (auto at = text.find("event=" + event); at != std::string::npos;
             at = text.find("event=" + event, at + 1))
            ++count;
        return count;
    }

    /// Status of the node's answer to a submission with this body.
    int submit(const std::string& body)
    {
        JobSpec job;
        job.id = std::to_string(++jobCount);
        job.id.insert(0, 16 - job.id.size(), '0');
        auto request = submission(queue, job);
        request.body = body;
        return call(node.callers, request);
    }

    /// Submits a job and waits for its end.
    bool runsJob()
    {
        JobSpec job;
        job.id = std::to_string(++jobCount);
        job.id.insert(0, 16 - job.id.size(), '0');
        job.spec = encodeBehaviour({ .milliseconds = 50 });
        StepSpec step;
        step.count = 4;
        step.need.cpu = 100;
        step.estimate = std::chrono::milliseconds(50);
        job.steps.push_back(step);
        if (call(node.callers, submission(queue, job)) != 200)
            return false;
        return loop.runUntil([&] { return process->hasEnded() || stateOf(job.id) == "completed"; }, 20s)
            && !process->hasEnded();
    }

    std::string stateOf(const std::string& job)
    {
        std::optional<std::string> state;
        client.send(node.callers, stateRequest(queue, job), 4s,
            [&](const HttpResult& result) { state = result ? decodeState(*result) : ""; });
        loop.runUntil([&] { return state.has_value(); }, 10s);
        return state.value_or("");
    }
};

std::string vmRow(const std::string& address, const std::string& more)
{
    return R"({"service":"pricing","addr":")" + address + R"(","state":"ready","machine":"mx","zone":"east",)"
        + R"("version":"v1","slots":8,"cold_left_ms":0,"seq":1,"labels":["a","r1"],)"
        + R"("capacity":{"cpu":2000,"mem_mb":8192,"gpu":0})" + more + "}";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(odd_entries, OddEntriesFixture)

BOOST_AUTO_TEST_CASE(oddVmsNeitherEndTheProcessNorHideOtherVms)
{
    BOOST_REQUIRE(runsJob());
    const std::vector<std::string> unreadable { "", "\xff\xfe", "7", "[]", "{", deepRow,
        vmRow("127.0.0.1:9", ",\"note\":" + deepRow.substr(200, deepRow.size() - 400)),
        vmRow("127.0.0.1:9", ",\"labels\":" + nested(20'000)), vmRow("127.0.0.1:9", ",\"born\":1e999"),
        vmRow("127.0.0.1:9", ",\"born\":18446744073709551615"),
        vmRow("127.0.0.1:9", ",\"capacity\":{\"cpu\":9223372036854775807}"),
        vmRow("127.0.0.1:9", ",\"capacity\":{\"cpu\":1000000000000000000,\"mem_mb\":-1}"),
        vmRow("127.0.0.1:0", ""), vmRow("127.0.0.1:65536", ""), vmRow("127.0.0.1:-1", ""),
        vmRow("127.0.0.1:99999999999999999999", ""),
        R"({"service":"pricing","addr":"127.0.0.1:9","state":"ready"})",
        vmRow("127.0.0.1:9", ",\"seq\":null"), vmRow("127.0.0.1:9", ",\"slots\":\"8\"") };
    std::size_t count = logged("vm_row_unreadable");
    for (std::size_t i = 0; i < unreadable.size(); ++i) {
        platform.table().write("servers", "", "odd-" + std::to_string(i), unreadable[i]);
        BOOST_REQUIRE_MESSAGE(waitForLogged("vm_row_unreadable", ++count),
            "row " << unreadable[i].substr(0, 160) << " is not reported: " << processState());
    }
    // Addresses to which no connection can be made.
    for (const auto* address : { "255.255.255.255:9", "0.0.0.0:9", "224.0.0.1:9" })
        platform.table().write("servers", "", std::string("unreachable-") + address, vmRow(address, ""));
    platform.table().truncateHistory(); // the node reads all rows again
    platform.addMachine("m3", "pricing", 2000);
    BOOST_TEST(runsJob());
    platform.crash("m1", 60s);
    platform.crash("m2", 60s);
    BOOST_TEST(runsJob()); // on the VM that registered after the odd ones
    BOOST_TEST(processState() == "process runs");
}

BOOST_AUTO_TEST_CASE(unreadableConfigurationLeavesTheLastOneInForce)
{
    const std::vector<std::string> unreadable { "", "\xff\xfe", deepRow, nested(400'000),
        R"({"version":1000000,"routes":)" + nested(400'000) + "}", R"({"version":1e999,"routes":[]})",
        R"({"version":18446744073709551615,"routes":[]})",
        R"({"version":1000000,"routes":[{"name":"x","service":"pricing","stretch":1e300}]})",
        R"({"version":1000000,"routes":[{"name":"x","service":"pricing","max_attempts":4294967296}]})",
        R"({"version":1000000,"routes":[],"limits":{"max_body_bytes":-1}})" };
    std::size_t count = 0;
    for (const auto& text : unreadable) {
        platform.table().write("op", "", "config", text);
        BOOST_REQUIRE_MESSAGE(waitForLogged("config_unreadable", ++count),
            "row " << text.substr(0, 160) << " is not reported: " << processState());
        BOOST_TEST(countStatus("old") == 200);
    }
    configure({ "new" }, 0);
    BOOST_TEST(loop.runUntil([this] { return countStatus("old") == 404 && countStatus("new") == 200; }, 10s));
    BOOST_TEST(processState() == "process runs");
}

// The process took every later configuration for an older one.
BOOST_AUTO_TEST_CASE(configurationAfterOneWithTheLargestNumberIsApplied)
{
    platform.table().write(
        "op", "", "config", R"({"version":9223372036854775807,"routes":[],"services":[]})");
    BOOST_REQUIRE(loop.runUntil([this] { return countStatus("old") == 404; }, 10s));
    configure({ "new" }, 0);
    BOOST_TEST(loop.runUntil([this] { return countStatus("new") == 200; }, 10s));
}

BOOST_AUTO_TEST_CASE(oddWavesAndMachinesDoNotHideOthers)
{
    const std::vector<std::string> entries { nested(200'000), "1e999", "7",
        R"({"machine":"mx","pool":"pricing","state":"up","labels":)" + nested(200'000) + "}",
        R"({"machine":7,"pool":1e999,"state":[]})",
        R"({"machine":"my","pool":"pricing","state":"up","capacity":{"cpu":1e999}})" };
    for (const auto& entry : entries)
        platform.addListEntry(entry);
    const std::vector<std::string> unreadable { "", deepRow,
        R"({"wave":2,"machines":)" + nested(20'000) + "}",
        R"({"wave":2,"machines":["m1"],"duration_s":1e300,"cap":1})",
        R"({"wave":2,"machines":["m1"],"duration_s":1e999,"cap":1})",
        R"({"wave":2,"machines":["m1"],"duration_s":60,"cap":4294967297})",
        R"({"wave":1,"machines":[],"duration_s":60,"cap":1})" };
    std::size_t count = 0;
    platform.requestWave(1, { "m1", "m2" }, 1, 60s);
    for (const auto& text : unreadable) {
        platform.table().write("op", "", "wave/2", text);
        BOOST_REQUIRE_MESSAGE(waitForLogged("wave_unreadable", ++count),
            "row " << text.substr(0, 160) << " is not reported: " << processState());
    }
    platform.requestWave(3, { "m1" }, 1, 60s);
    BOOST_TEST(loop.runUntil([&] { return process->hasEnded() || platform.isWaveCompleted(3); }, 40s));
    BOOST_TEST(loop.runUntil([&] { return process->hasEnded() || platform.isWaveCompleted(1); }, 40s));
    BOOST_TEST(processState() == "process runs");
}

BOOST_AUTO_TEST_CASE(oddSubmissionsAreRejectedAndTheNextOneIsAccepted)
{
    platform.table().write("op", "", "config",
        R"({"version":1000,"routes":[{"name":"old","host":"old.test","prefix":"/old/","service":"pricing",)"
        R"("max_attempts":3,"stretch":1.6,"timeout_ms":3000}],"services":[{"name":"pricing"}],)"
        R"("limits":{"max_body_bytes":4194304}})");
    BOOST_REQUIRE(waitForLogged("config_applied", 2));
    constexpr std::size_t levels = 2'000'000; // fills the largest body
    const std::vector<std::string> bodies { "", "\xff\xfe", nested(levels),
        R"({"steps":)" + nested(levels) + "}", R"({"steps":[{"cpu":1e999}]})",
        R"({"steps":[{"cpu":500}],"note":)" + nested(levels) + "}",
        R"({"steps":[{"cpu":500,"image":)" + nested(levels) + "}]}",
        R"({"steps":[{"cpu":500},{"after":[)" + nested(levels) + "]}]}",
        R"({"steps":[{"cpu":18446744073709551615}]})", R"({"steps":[{"cpu":1e300}]})" };
    for (const auto& body : bodies)
        BOOST_TEST(submit(body) == 400, body.substr(0, 60));
    BOOST_TEST(runsJob());
    BOOST_TEST(processState() == "process runs");
}

BOOST_AUTO_TEST_SUITE_END()
