/// Rows of the control table that another writer has damaged.
#include <damaskworks/job_directory.h>
#include <damaskworks/machine_coordinator.h>

#include "fleet_rows_pvt.h"

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;

namespace {

TableRow row(const std::string& key, const std::string& value, Version version)
{
    return { rows::poolPart("a"), key, value, version };
}

std::string nested(const std::string& prefix, std::size_t depth)
{
    return prefix + std::string(depth, '[') + std::string(depth, ']') + "}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_rows)

// The record of a wave named "x" became that of wave 0, so that machines of wave 0 counted as maintained.
BOOST_AUTO_TEST_CASE(waveRowsWithoutAValidNumberAreLeftOut)
{
    FleetRows fleetRows;
    fleetRows.apply(row(rows::waveKey(0), encodeWave({ WallTime(5), { "m1" } }), 1));
    Version version = 1;
    for (const auto* number : { "x", "", "3x", "99999999999999999999", "1.5" })
        fleetRows.apply(
            row(std::string(wavePrefix) + number, encodeWave({ WallTime(7), { "m2" } }), ++version));
    BOOST_REQUIRE(fleetRows.waves().size() == 1u);
    BOOST_TEST(fleetRows.waves().at(0).done.contains("m1"));
}

BOOST_AUTO_TEST_CASE(unreadableRowsLeaveTheLastReadableOnesInForce)
{
    FleetRows fleetRows;
    const MachineTask task { .machine = "m1", .id = "7.1" };
    fleetRows.apply(row(rows::machineKey("m1"), encodeTask(task), 1));
    fleetRows.apply(row(rows::waveKey(3), encodeWave({ WallTime(5), { "m1" } }), 2));
    PoolLoad load;
    load.usedCpu = 4000;
    fleetRows.apply(row(std::string(loadKey), encodeLoad(load), 3));
    Version version = 3;
    for (const auto& text : { nested("{\"done\":", 200'000), nested("{\"other\":", 200'000),
             std::string("{\"begunAt\":1e300,\"done\":[]}"), std::string("{\"begunAt\":-1,\"done\":[]}"),
             std::string("{\"begunAt\":1,\"done\":[1]}"), std::string("7"), std::string() }) {
        fleetRows.apply(row(rows::machineKey("m1"), text, ++version));
        fleetRows.apply(row(rows::waveKey(3), text, ++version));
        fleetRows.apply(row(std::string(loadKey), text, ++version));
    }
    BOOST_REQUIRE(fleetRows.tasks().contains("m1"));
    BOOST_TEST((fleetRows.tasks().at("m1") == task));
    BOOST_TEST(fleetRows.evacuations().at("m1") == "7.1");
    BOOST_TEST(fleetRows.waves().at(3).begunAt.count() == 5);
    BOOST_TEST(fleetRows.loads().at("a").usedCpu == 4000);
    fleetRows.apply({ rows::poolPart("a"), rows::machineKey("m1"), "", ++version, true });
    BOOST_TEST(fleetRows.tasks().empty());
}

// The coordinator carries out the task for the machine that the task names.
BOOST_AUTO_TEST_CASE(machineTaskUnderTheKeyOfAnotherMachineIsLeftOut)
{
    FleetRows fleetRows;
    fleetRows.apply(row(rows::machineKey("m1"), encodeTask(MachineTask { .machine = "m2", .id = "7.1" }), 1));
    BOOST_TEST(fleetRows.tasks().empty());
}

BOOST_AUTO_TEST_SUITE_END()
