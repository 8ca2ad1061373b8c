/// MachineCoordinator with an in-memory table and machines.
#include "fakes_test.h"
#include "fleet_rows_pvt.h"

#include <damaskworks/machine_coordinator.h>
#include <damaskworks/registry.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

/// In-memory machines. Each command takes effect at once: the machine has a new VM, or is down until
/// bringUp().
class FakeMachines final : public MachineControl {
public:
    explicit FakeMachines(event_base* base)
        : m_timer(base, [this] { sendResponses(); })
    {
    }

    std::map<std::string, Machine> machines;
    int maintenanceCommands = 0;
    std::set<std::string> commanded; ///< machines that have got a maintenance command
    bool ignoresCommands = false; ///< accepts maintenance commands without effect
    bool takesTime = false; ///< machines under maintenance are down until bringUp()
    bool losesResponses = false; ///< carries out commands without a response
    std::set<std::string> omitted; ///< machines that lists lack
    int lists = 0;

    void bringUp(const std::string& machine)
    {
        machines[machine].state = MachineState::Up;
        machines[machine].vm += "'";
    }

    void list(std::function<void(tl::expected<std::vector<Machine>, CommandOutcome>)> callback) override
    {
        ++lists;
        std::vector<Machine> out;
        for (const auto& [id, machine] : machines) {
            if (!omitted.contains(id))
                out.push_back(machine);
        }
        postResponse([callback, out] { callback(out); });
    }

    void move(
        const std::string& machine, const std::string& pool, std::uint64_t, CommandCallback callback) override
    {
        machines[machine].pool = pool;
        machines[machine].vm += "'";
        postResponse([callback] { callback(CommandOutcome::Accepted); });
    }

    void startMaintenance(
        const std::string& machine, std::int64_t, std::uint64_t, CommandCallback callback) override
    {
        if (machines[machine].state != MachineState::Up)
            return postResponse([callback] { callback(CommandOutcome::Refused); });
        ++maintenanceCommands;
        commanded.insert(machine);
        if (takesTime)
            machines[machine].state = MachineState::Maintenance;
        else if (!ignoresCommands)
            machines[machine].vm += "'";
        const auto outcome = losesResponses ? CommandOutcome::Unknown : CommandOutcome::Accepted;
        postResponse([callback, outcome] { callback(outcome); });
    }

private:
    void postResponse(std::function<void()> callback)
    {
        m_responses.push_back(std::move(callback));
        m_timer.startOnce(std::chrono::microseconds(1));
    }

    void sendResponses()
    {
        for (auto& callback : std::exchange(m_responses, {}))
            callback();
    }

    std::deque<std::function<void()>> m_responses;
    Timer m_timer;
};

} // namespace

/// A coordinator that holds its lease and has begun with wave 1.
struct CoordinatorFixture {
    CoordinatorFixture()
        : table(loop.base())
        , machines(loop.base())
        , adapter(Registry<AdapterPlugin>::instance().find("fleet")->open(loop.base(), NodeSettings {}))
    {
    }

    void begin()
    {
        const LeaseRow row { "n1", "s1", 0, 0 };
        Version version = 0;
        table.commit({ rows::poolPart(coordinatorPool), {},
                         { { std::string(controlTable), std::string(leaseKey), encodeLease(row) } } },
            1s, [&](TableResult<Version> result) { version = *result; });
        BOOST_REQUIRE(loop.runUntil([&] { return version > 0; }, 1s));
        coordinator = std::make_unique<MachineCoordinator>(
            CoordinatorContext { loop.base(), clock, metrics, table, machines, *adapter.codec, fleetRows },
            AcquiredLease { row, version, clock.now() }, LeaseTiming {}, [] {});
        if (beforeBegin)
            beforeBegin();
        coordinator->begin(config, { { 1, wave } });
    }

    bool isReportedDone() const
    {
        const auto* found = table.find(adapter.codec->statusTable(), "", adapter.codec->waveStatusKey(1));
        return found && found->value == adapter.codec->encodeWaveState(1, true);
    }

    Loop loop;
    SystemClock clock;
    Metrics metrics;
    FakeTable table;
    FakeMachines machines;
    Adapter adapter;
    FleetRows fleetRows;
    FleetConfig config;
    WaveRequest wave { 1, {}, 1s, 1 };
    std::unique_ptr<MachineCoordinator> coordinator;
    std::function<void()> beforeBegin; ///< called while the coordinator has its lease but has not begun
};

// Between the lease and begin(), a node may learn of both rows of a VM that restarts under its id.
BOOST_FIXTURE_TEST_CASE(vmThatReturnsBeforeTheCoordinatorBeginsIsMaintained, CoordinatorFixture)
{
    wave.machines = { "m1" };
    machines.machines["m1"] = { "m1", "a", MachineState::Up, "vm-1" };
    beforeBegin = [this] {
        VmRegistration vm;
        vm.id = "vm-1";
        vm.machine = "m1";
        vm.pool = "a";
        coordinator->removeVm(vm);
        coordinator->applyVm(vm);
    };
    config.pools["a"] = { "a", true, false };
    begin();
    BOOST_TEST(loop.runUntil([this] { return machines.maintenanceCommands > 0; }, 5s));
}

BOOST_FIXTURE_TEST_CASE(waveLargerThanOneTransactionCompletes, CoordinatorFixture)
{
    constexpr int count = 150;
    config.pools["off"] = { "off", true, false };
    wave.maxDown = count;
    for (int i = 0; i < count; ++i) {
        const auto id = "m" + std::to_string(i);
        machines.machines[id] = { id, "off", MachineState::Up, "" };
        wave.machines.push_back(id);
    }
    begin();
    BOOST_TEST(loop.runUntil([&] { return isReportedDone(); }, 20s));
    BOOST_TEST(machines.maintenanceCommands == count);
    BOOST_TEST(table.largestTransaction <= maxTransactionEntries);
}

BOOST_FIXTURE_TEST_CASE(maintenanceThatAnEarlierCoordinatorHadDoneCounts, CoordinatorFixture)
{
    // A coordinator failed between sending a command and recording it (soak test, seed 122). The platform
    // accepted the next coordinator's command without effect, and that coordinator waited forever for a new
    // VM.
    config.pools["a"] = { "a", false, false };
    machines.machines["m1"] = { "m1", "a", MachineState::Up, "vm-2" };
    machines.ignoresCommands = true;
    wave.machines = { "m1" };
    begin();
    PoolLoad load; // shows the machine as empty for this coordinator's first task
    load.empty = { { "m1", std::to_string(coordinator->acquiredVersion()) + ".1" } };
    fleetRows.apply({ rows::poolPart("a"), std::string(loadKey), encodeLoad(load), 1 });
    BOOST_TEST(loop.runUntil([&] { return isReportedDone(); }, 20s));
}

BOOST_FIXTURE_TEST_CASE(machineThatAListLacksStillCountsAsDown, CoordinatorFixture)
{
    // The list has several pages, read one after the other. A machine may be on none of them while other
    // machines change their pools. Its maintenance was taken for finished, and the next one began.
    config.pools["off"] = { "off", true, false };
    machines.machines["m1"] = { "m1", "off", MachineState::Up, "" };
    machines.machines["m2"] = { "m2", "off", MachineState::Up, "" };
    machines.takesTime = true;
    wave.machines = { "m1", "m2" };
    begin();
    BOOST_REQUIRE(loop.runUntil([&] { return machines.maintenanceCommands == 1; }, 20s));
    machines.omitted = { "m1" };
    const int earlierLists = machines.lists;
    BOOST_REQUIRE(loop.runUntil([&] { return machines.lists > earlierLists + 1; }, 20s));
    BOOST_TEST(machines.maintenanceCommands == 1);
    machines.omitted.clear();
    machines.bringUp("m1");
    BOOST_REQUIRE(loop.runUntil([&] { return machines.maintenanceCommands == 2; }, 20s));
    machines.bringUp("m2");
    BOOST_TEST(loop.runUntil([&] { return isReportedDone(); }, 20s));
}

BOOST_FIXTURE_TEST_CASE(waveIsNotCompleteWhileAListLacksOneOfItsMachines, CoordinatorFixture)
{
    // The first list after a takeover lacked the wave's last machine, and the wave was reported as completed.
    config.pools["off"] = { "off", true, false };
    machines.machines["m1"] = { "m1", "off", MachineState::Up, "" };
    machines.omitted = { "m1" };
    wave.machines = { "m1" };
    begin();
    BOOST_REQUIRE(loop.runUntil([&] { return machines.lists == 2; }, 20s));
    BOOST_TEST(!isReportedDone());
    machines.omitted.clear();
    BOOST_TEST(loop.runUntil([&] { return isReportedDone(); }, 20s));
    BOOST_TEST(machines.maintenanceCommands == 1);
}

BOOST_FIXTURE_TEST_CASE(machineOfAnUnansweredCommandCountsAsDown, CoordinatorFixture)
{
    // The platform carried out a command whose response was lost, so the registration of the machine's VM
    // ended. The machine was taken for a crashed one, and the next maintenance began.
    config.pools["a"] = { "a", false, false };
    for (const char* number : { "1", "2", "3", "4", "5", "6" }) {
        const auto id = std::string("m") + number;
        machines.machines[id] = { id, "a", MachineState::Up, std::string("vm-") + number };
    }
    machines.takesTime = machines.losesResponses = true;
    wave.machines = { "m1", "m2" };
    begin();
    PoolLoad load; // shows both machines as empty for this coordinator's first tasks
    const auto term = std::to_string(coordinator->acquiredVersion());
    load.empty = { { "m1", term + ".1" }, { "m2", term + ".2" } };
    fleetRows.apply({ rows::poolPart("a"), std::string(loadKey), encodeLoad(load), 1 });
    BOOST_REQUIRE(loop.runUntil([&] { return machines.maintenanceCommands == 1; }, 20s));
    VmRegistration vm;
    vm.id = "vm-1";
    vm.machine = "m1";
    coordinator->removeVm(vm);
    const int earlierLists = machines.lists;
    BOOST_REQUIRE(loop.runUntil([&] { return machines.lists > earlierLists + 1; }, 20s));
    BOOST_TEST(machines.maintenanceCommands == 1);
    machines.losesResponses = false;
    machines.bringUp("m1");
    BOOST_TEST(loop.runUntil([&] { return machines.maintenanceCommands == 2; }, 20s));
}

// An entry of another writer that named a machine in maintenance ended its task, and the next maintenance
// began (review/10).
BOOST_FIXTURE_TEST_CASE(entryOfAnotherWriterDoesNotEndAMaintenance, CoordinatorFixture)
{
    for (const char* pool : { "a", "b" }) {
        config.pools[pool] = { pool, false, false };
        for (const char* number : { "1", "2", "3", "4", "5", "6" }) {
            const auto id = std::string(pool) + number;
            machines.machines[id] = { id, pool, MachineState::Up, "vm-" + id };
        }
    }
    machines.takesTime = true;
    wave.machines = { "a1", "a2" };
    begin();
    PoolLoad load; // shows both machines as empty for this coordinator's first tasks
    const auto term = std::to_string(coordinator->acquiredVersion());
    load.empty = { { "a1", term + ".1" }, { "a2", term + ".2" } };
    fleetRows.apply({ rows::poolPart("a"), std::string(loadKey), encodeLoad(load), 1 });
    BOOST_REQUIRE(loop.runUntil([&] { return machines.maintenanceCommands == 1; }, 20s));
    const auto inMaintenance = *machines.commanded.begin();
    const int listsBefore = machines.lists;
    // An unknown pool, and that of another machine.
    for (const char* pool : { "retired", "b" }) {
        VmRegistration vm;
        vm.id = std::string("vm-of-") + pool;
        vm.machine = inMaintenance;
        vm.pool = pool;
        loop.runUntil([&] { return machines.lists > listsBefore; }, 20s); // the command's response has come
        coordinator->applyVm(vm);
        coordinator->reconcile();
        const int lists = machines.lists;
        BOOST_REQUIRE(loop.runUntil([&] { return machines.lists > lists + 1; }, 20s));
        BOOST_TEST(machines.maintenanceCommands == 1, "pool " << pool);
    }
    VmRegistration vm;
    vm.id = "vm-new";
    vm.machine = inMaintenance;
    vm.pool = "a";
    machines.machines[inMaintenance].state = MachineState::Up;
    machines.machines[inMaintenance].vm = vm.id;
    coordinator->applyVm(vm);
    BOOST_TEST(loop.runUntil([&] { return machines.maintenanceCommands == 2; }, 20s));
}

/// Six machines in pool `a`, of which a wave with limit 1 has two. Each command takes time.
struct TwoOfAWaveFixture : CoordinatorFixture {
    TwoOfAWaveFixture()
    {
        config.pools["a"] = { "a", false, false };
        for (const char* number : { "1", "2", "3", "4", "5", "6" }) {
            const auto id = std::string("m") + number;
            machines.machines[id] = { id, "a", MachineState::Up, std::string("vm-") + number };
        }
        machines.takesTime = true;
        wave.machines = { "m1", "m2" };
    }

    /// Shows both machines as empty for the coordinator's first tasks.
    void reportEmpty()
    {
        PoolLoad load;
        const auto term = std::to_string(coordinator->acquiredVersion());
        load.empty = { { "m1", term + ".1" }, { "m2", term + ".2" } };
        fleetRows.apply({ rows::poolPart("a"), std::string(loadKey), encodeLoad(load), 1 });
    }

    void waitForLists(int count)
    {
        const int earlierLists = machines.lists;
        BOOST_REQUIRE(loop.runUntil([&] { return machines.lists >= earlierLists + count; }, 20s));
    }

    static VmRegistration registrationOf(const std::string& machine, const std::string& id)
    {
        VmRegistration vm;
        vm.id = id;
        vm.machine = machine;
        vm.pool = "a";
        return vm;
    }
};

// The last write of the old VM's registration arrived after the response to the command. The machine counted
// as up, and, once the entry was removed, as crashed: the next maintenance began (review/9).
BOOST_FIXTURE_TEST_CASE(lateRegistrationOfTheOldVmEndsNoMaintenance, TwoOfAWaveFixture)
{
    begin();
    reportEmpty();
    BOOST_REQUIRE(loop.runUntil([&] { return machines.maintenanceCommands == 1; }, 20s));
    waitForLists(2); // the response has come
    const auto oldVm = registrationOf("m1", "vm-1");
    coordinator->applyVm(oldVm);
    coordinator->removeVm(oldVm);
    coordinator->reconcile();
    waitForLists(2);
    BOOST_TEST(machines.maintenanceCommands == 1);
    machines.bringUp("m1");
    coordinator->applyVm(registrationOf("m1", machines.machines["m1"].vm));
    BOOST_TEST(loop.runUntil([&] { return machines.maintenanceCommands == 2; }, 20s));
}

// As above, and the old VM was draining, so its registration alone shows the machine as down.
BOOST_FIXTURE_TEST_CASE(lateRegistrationOfADrainingVmEndsNoMaintenance, TwoOfAWaveFixture)
{
    begin();
    reportEmpty();
    BOOST_REQUIRE(loop.runUntil([&] { return machines.maintenanceCommands == 1; }, 20s));
    waitForLists(2); // the response has come
    auto oldVm = registrationOf("m1", "vm-1");
    oldVm.draining = true;
    coordinator->applyVm(oldVm);
    coordinator->reconcile();
    waitForLists(2);
    BOOST_TEST(machines.maintenanceCommands == 1);
}

// A command got no answer, and the machine restarted with another VM before the next attempt, which ended
// that VM. Its last registration was taken for that of the VM after the maintenance.
BOOST_FIXTURE_TEST_CASE(lateRegistrationOfAVmThatTheTaskDidNotBeginWithEndsNoMaintenance, TwoOfAWaveFixture)
{
    machines.takesTime = false;
    machines.ignoresCommands = machines.losesResponses = true;
    begin();
    reportEmpty();
    BOOST_REQUIRE(loop.runUntil([&] { return machines.maintenanceCommands == 1; }, 20s));
    const auto restarted = registrationOf("m1", "vm-1-restarted");
    machines.machines["m1"].vm = restarted.id;
    coordinator->applyVm(restarted);
    machines.ignoresCommands = machines.losesResponses = false;
    machines.takesTime = true;
    BOOST_REQUIRE(loop.runUntil([&] { return machines.maintenanceCommands == 2; }, 20s));
    waitForLists(2); // the response has come
    coordinator->applyVm(restarted);
    coordinator->reconcile();
    waitForLists(2);
    BOOST_TEST(machines.maintenanceCommands == 2);
    BOOST_TEST(machines.commanded.size() == 1U);
}

// A coordinator recorded that a command was accepted, which an earlier one had had carried out already, and
// was lost. The next coordinator waited for ever for another VM.
BOOST_FIXTURE_TEST_CASE(repeatedCommandThatAnEarlierCoordinatorRecordedCounts, TwoOfAWaveFixture)
{
    const MachineTask task { "m1", MachineAction::Maintain, 1, "", "vm-1", MachineTaskState::Ordered, "0.1" };
    fleetRows.apply({ rows::poolPart(coordinatorPool), rows::machineKey("m1"), encodeTask(task), 1 });
    wave.machines = { "m1" };
    begin();
    BOOST_TEST(loop.runUntil([&] { return isReportedDone(); }, 20s));
}

/// Of two machines in a wave with limit 1, the first has crashed after an unanswered command.
struct LateCommandFixture : CoordinatorFixture {
    LateCommandFixture()
    {
        config.pools["a"] = { "a", false, false };
        for (const char* number : { "1", "2", "3", "4", "5", "6" }) {
            const auto id = std::string("m") + number;
            machines.machines[id] = { id, "a", MachineState::Up, std::string("vm-") + number };
        }
        machines.ignoresCommands = machines.losesResponses = true;
        wave.machines = { "m1", "m2" };
    }

    void reportEmpty(const std::map<std::string, std::string>& empty)
    {
        PoolLoad load;
        load.empty = empty;
        fleetRows.apply({ rows::poolPart("a"), std::string(loadKey), encodeLoad(load), 1 });
    }

    void waitForLists(int count)
    {
        const int earlierLists = machines.lists;
        BOOST_REQUIRE(loop.runUntil([&] { return machines.lists >= earlierLists + count; }, 20s));
    }
};

BOOST_FIXTURE_TEST_CASE(machineOfACommandThatMayBeCarriedOutLateCountsAsDown, LateCommandFixture)
{
    // A list read after the unanswered command was taken as proof that it had not been carried out.
    begin();
    const auto term = std::to_string(coordinator->acquiredVersion());
    reportEmpty({ { "m1", term + ".1" }, { "m2", term + ".2" } });
    BOOST_REQUIRE(loop.runUntil([&] { return !machines.commanded.empty(); }, 20s));
    machines.machines["m1"].state = MachineState::Down;
    waitForLists(4);
    BOOST_TEST(machines.commanded.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(machineThatAnEarlierCoordinatorMayHaveCommandedCountsAsDown, LateCommandFixture)
{
    // The next coordinator did not know of the earlier one's unanswered command.
    const MachineTask task { "m1", MachineAction::Maintain, 1, "", "vm-1", MachineTaskState::Emptying,
        "0.1" };
    fleetRows.apply({ rows::poolPart(coordinatorPool), rows::machineKey("m1"), encodeTask(task), 1 });
    machines.machines["m1"].state = MachineState::Down;
    begin();
    reportEmpty({ { "m2", std::to_string(coordinator->acquiredVersion()) + ".1" } });
    waitForLists(4);
    BOOST_TEST(machines.commanded.empty());
}

// All waves that a coordinator finds without a record were in one transaction, which the table rejected for
// good.
BOOST_FIXTURE_TEST_CASE(moreWavesThanATransactionHoldsAreRecorded, CoordinatorFixture)
{
    constexpr int waves = 150;
    begin();
    for (int number = 2; number <= waves; ++number)
        coordinator->applyWave({ number, { "x" + std::to_string(number) }, 60s, 1 });
    const auto part = rows::poolPart(coordinatorPool);
    const auto areAllRecorded = [&] {
        for (int number = 1; number <= waves; ++number) {
            if (!table.find(std::string(controlTable), part, rows::waveKey(number)))
                return false;
        }
        return true;
    };
    BOOST_TEST(loop.runUntil(areAllRecorded, 5s));
    BOOST_TEST(table.rejectedTransactions == 0);
}

// The rows of all other machines were in the transaction that the table rejected.
BOOST_FIXTURE_TEST_CASE(rejectedRowOfAMachineHoldsBackNoOtherMachine, CoordinatorFixture)
{
    constexpr int count = 5;
    config.pools["off"] = { "off", true, false };
    wave.maxDown = count;
    for (int i = 0; i < count; ++i) {
        const auto id = "m" + std::to_string(i);
        machines.machines[id] = { id, "off", MachineState::Up, "" };
        wave.machines.push_back(id);
    }
    table.rejectedKey = rows::machineKey("m2");
    begin();
    BOOST_TEST(loop.runUntil([&] { return machines.commanded.size() == count - 1u; }, 10s));
    BOOST_TEST(table.rejectedTransactions > 0);
    BOOST_TEST(!machines.commanded.contains("m2"));
    table.rejectedKey.clear();
    BOOST_TEST(loop.runUntil([&] { return isReportedDone(); }, 10s));
}
