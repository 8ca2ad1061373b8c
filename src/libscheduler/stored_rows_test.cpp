/// Rows that another writer has damaged, as every node of the fleet role reads them.
#include "pool_fixture_test.h"
#include "progress_pvt.h"

#include <damaskworks/fleet_plan.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace damask;
using namespace damask::fleet;
using nlohmann::json;

namespace {

/// A value within many arrays.
std::string nested(int depth)
{
    return std::string(static_cast<std::size_t>(depth), '[') + "1"
        + std::string(static_cast<std::size_t>(depth), ']');
}

constexpr int deep = 200'000;

/// The row text \p valid with \p text in the member that a JSON pointer names.
std::string with(const std::string& valid, const std::string& pointer, const std::string& text)
{
    auto value = json::parse(valid);
    value[json::json_pointer(pointer)] = "@";
    auto out = value.dump();
    return out.replace(out.find("\"@\""), 3, text);
}

JobSpec makeScheduledJob()
{
    auto job = PoolFixture().makeJob("j1", { PoolFixture::makeStep(2), PoolFixture::makeStep(1) });
    job.steps[1].after = { 0 };
    job.occurrences = 3;
    job.firstDue = WallTime(1'000'000);
    job.period = milliseconds(1000);
    return job;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stored_rows)

// The values of "occurrences" were copied, one call a level.
BOOST_FIXTURE_TEST_CASE(deeplyNestedProgressEndsNoProcess, PoolFixture)
{
    for (const auto* member : { "occurrences", "state", "other" })
        submit(member, { makeStep(1) }, true, "{\"" + std::string(member) + "\":" + nested(deep) + "}");
    const std::string occurrence
        = "{\"state\":\"running\",\"occurrences\":[{\"number\":0,\"done\":[\"0\"],\"saved\":" + nested(deep)
        + "}]}";
    submit("j1", { makeStep(1) }, true, occurrence);
    BOOST_TEST(state.jobs.size() == 4u);
}

BOOST_AUTO_TEST_CASE(deeplyNestedRowsAreUnreadable)
{
    const auto job = encodeJob(makeScheduledJob());
    for (const auto* member : { "/steps", "/steps/0/after", "/id", "/other" })
        BOOST_TEST(!decodeJob(with(job, member, nested(deep))), member);
    const auto load = encodeLoad(PoolLoad {});
    for (const auto* member : { "/runs", "/serving", "/empty/m1", "/other" })
        BOOST_TEST(!decodeLoad(with(load, member, nested(deep))), member);
    const auto task = encodeTask(MachineTask { .machine = "m1" });
    for (const auto* member : { "/machine", "/other" })
        BOOST_TEST(!decodeTask(with(task, member, nested(deep))), member);
    BOOST_TEST((decodeState("{\"state\":" + nested(deep) + "}") == JobState::Queued));
}

// A holder keeps a state for each task, and a row could name a thousand million of them.
BOOST_AUTO_TEST_CASE(jobRowsWithNumbersOutOfRangeAreUnreadable)
{
    const auto valid = encodeJob(makeScheduledJob());
    BOOST_REQUIRE(decodeJob(valid));
    BOOST_TEST(encodeJob(*decodeJob(valid)) == valid);
    BOOST_TEST(decodeJob(valid)->organisation == ""); // as in the rows of earlier versions
    auto ofOrganisation = makeScheduledJob();
    ofOrganisation.organisation = "o";
    BOOST_TEST(decodeJob(encodeJob(ofOrganisation))->organisation == "o");
    const std::vector<std::pair<std::string, std::string>> odd {
        { "/steps/0/count", "0" },
        { "/steps/0/count", "1000000000" },
        { "/steps/0/count", "4294967297" },
        { "/steps/0/count", "1.5" },
        { "/steps/0/cpu", "-1" },
        { "/steps/0/cpu", "9223372036854775807" },
        { "/steps/0/memory", "18446744073709551615" },
        { "/steps/0/gpu", "1e300" },
        { "/steps/0/estimate", "-1" },
        { "/steps/0/estimate", "9223372036854775807" },
        { "/steps/0/latencyTarget", "-9223372036854775808" },
        { "/steps/0/maxPerVm", "4294967296" },
        { "/steps/0/maxUnavailable", "-1" },
        { "/steps/0/after", "[0]" },
        { "/steps/1/after", "[7]" },
        { "/steps/1/after", "[-1]" },
        { "/steps/1/after", "[4294967296]" },
        { "/steps/0/gang", "1" },
        { "/occurrences", "100000" },
        { "/occurrences", "-1" },
        { "/firstDue", "-9223372036854775808" },
        { "/period", "9223372036854775807" },
        { "/acceptedAt", "-1" },
        { "/acceptedAt", "9223372036854775807" },
        { "/attempts", "4294967297" },
        { "/specBytes", "-1" },
        { "/steps", "7" },
    };
    for (const auto& [member, text] : odd)
        BOOST_TEST(!decodeJob(with(valid, member, text)), member << " " << text);
}

// The holder opened the occurrence, and none before it was opened any more when it fell due. Those that the
// record lacks begin when they are due.
BOOST_FIXTURE_TEST_CASE(progressOfAnOccurrenceThatTheJobLacksIsLeftOut, PoolFixture)
{
    for (const auto* number : { "-1", "3", "2147483647", "4294967296", "1e300", "\"0\"" }) {
        JobEntry job;
        job.spec = makeScheduledJob();
        const auto record = std::string("{\"occurrences\":[{\"number\":") + number
            + ",\"done\":[\"3\",\"1\"]},{\"number\":1,\"done\":[\"3\",\"0\"]}]}";
        BOOST_TEST(!decodeProgress(job, record), number);
        BOOST_TEST(job.occurrences.size() == 1u, number);
        BOOST_TEST(job.nextOccurrence == 0, number);
        BOOST_REQUIRE(job.occurrences.contains(1));
        BOOST_TEST(job.occurrences.at(1).steps[0].doneTasks == 2);
    }
}

BOOST_AUTO_TEST_CASE(oddEntryOfProgressHidesNoOther)
{
    const std::vector<std::pair<std::string, std::string>> odd {
        { "failed", "[[0,0,[-1]]]" },
        { "failed", "[[0,0]]" },
        { "failed", "[7]" },
        { "failed", "[[0,7,[1]]]" },
        { "failed", "{\"a\":1}" },
        { "saved", "[[0,-1,\"c\"]]" },
        { "saved", "[[18446744073709551615,0,\"c\"]]" },
        { "crashes", "[[0,0,-5,0,true,0]]" },
        { "crashes", "[[0,0,1,4294967297,true,0]]" },
        { "atRisk", "[[0,0,4294967296,\"v\",1,true]]" },
        { "atRisk", "[[0,0,1,\"v\",1e300,true]]" },
    };
    for (const auto& [member, text] : odd) {
        JobEntry job;
        job.spec = makeScheduledJob();
        job.spec.occurrences = 0;
        json record
            = json::parse("{\"state\":\"running\",\"occurrences\":[{\"number\":0,\"done\":[\"1\",\"0\"],"
                          "\"saved\":[[0,1,\"kept\"]],\"atRisk\":[[0,1,3,\"v1\",5,true]]}]}");
        auto& entries = record["occurrences"][0][member];
        auto added = json::parse(text);
        if (added.is_array() && entries.is_array())
            entries.insert(entries.begin(), added.begin(), added.end());
        else
            entries = added;
        BOOST_TEST(!decodeProgress(job, record.dump()), member << " " << text);
        const auto& tasks = job.occurrences.at(0).steps[0].tasks;
        BOOST_TEST(tasks[0].done);
        BOOST_TEST(!tasks[1].done);
        BOOST_TEST(job.hasEarlierRuns);
        BOOST_TEST(tasks[1].checkpoint == "kept", member << " " << text);
        BOOST_REQUIRE(tasks[1].earlierRun);
        BOOST_TEST(tasks[1].earlierRun->number == 3u);
    }
}

// A task that counts as done is never run.
BOOST_AUTO_TEST_CASE(oddDoneBitsMarkNoTaskAsDone)
{
    for (const auto* digits : { "\" \"", "\"Z\"", "\"\\u00ff\"", "7", "[\"3\"]" }) {
        JobEntry job;
        job.spec = makeScheduledJob();
        BOOST_TEST(!decodeProgress(job,
                       std::string("{\"occurrences\":[{\"number\":0,\"done\":[") + digits + ",\"1\"]}]}"),
            digits);
        BOOST_TEST(job.occurrences.at(0).steps[0].doneTasks == 0, digits);
        BOOST_TEST(job.occurrences.at(0).steps[1].doneTasks == 1, digits);
    }
}

BOOST_AUTO_TEST_CASE(loadAndTaskRowsWithNumbersOutOfRangeAreUnreadable)
{
    PoolLoad load;
    load.runs["m1"] = 2;
    const auto valid = encodeLoad(load);
    BOOST_REQUIRE((decodeLoad(valid) == load));
    const std::vector<std::pair<std::string, std::string>> odd {
        { "/waitingCpu", "-1" },
        { "/waitingWork", "9223372036854775807" },
        { "/overdueCpu", "18446744073709551615" },
        { "/usedCpu", "1e300" },
        { "/capacityCpu", "\"1\"" },
        { "/workingMachines", "-1" },
        { "/workingMachines", "4294967297" },
        { "/minMachines", "2147483647" },
        { "/runs/m1", "-3" },
        { "/runs/m1", "4294967297" },
        { "/serving", "[7]" },
        { "/empty", "{\"m1\":7}" },
    };
    for (const auto& [member, text] : odd)
        BOOST_TEST(!decodeLoad(with(valid, member, text)), member << " " << text);
    const auto task = encodeTask(MachineTask { .machine = "m1" });
    BOOST_REQUIRE(decodeTask(task));
    BOOST_TEST(!decodeTask(with(task, "/wave", "1e300")));
    BOOST_TEST(!decodeTask(with(task, "/wave", "18446744073709551615")));
}

// A demand above the range of int, from a pool with a large backlog of small machines, was undefined.
BOOST_AUTO_TEST_CASE(hugeLoadMovesTheMachinesThatThereAre)
{
    ManualClock clock;
    FleetState state;
    state.config.pools = { { "a", { "a", false, false } }, { "standby", { "standby", true, false } } };
    state.machines = { { "a1", { "a1", "a", MachineState::Up, "v1" } },
        { "s1", { "s1", "standby", MachineState::Up, "" } } };
    auto& load = state.loads["a"];
    load.waitingCpu = load.waitingWork = load.unfitCpu = load.overdueCpu = load.overdueWork
        = 1'000'000'000'000'000'000;
    load.capacityCpu = 1;
    load.workingMachines = 1;
    const auto moves = planMoves(state, FleetLimits {}, clock.now());
    BOOST_REQUIRE(moves.size() == 1u);
    BOOST_TEST(moves[0].machine == "s1");
}

BOOST_AUTO_TEST_SUITE_END()
