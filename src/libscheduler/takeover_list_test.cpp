/// \file
/// Tests of which VMs a new holder waits for, by the lists of machines and the registry.
#include "pool_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

/// A pool after a takeover, with a recovered job that waits. VM v1 has reported; v2 is silent, and may run
/// the job's task. Both are registered.
struct ListFixture : PoolFixture {
    static constexpr milliseconds listInterval { 1000 };

    ListFixture()
    {
        state.term = 1;
        state.limits.maxVmLease = 10s;
        state.recoveryDeadline = recoveryDeadlineAfter(state.limits, clock.now());
        submit("j1", { makeStep(1) }, true);
        addVm("v1");
        addVm("v2", 4000, "r1", false);
    }

    /// Time until the recovered task is started, with a list at once and after each interval. The registry
    /// removes v2 after \p registeredFor.
    milliseconds timeToStart(const std::vector<Machine>& machines, milliseconds registeredFor)
    {
        const auto begin = clock.now();
        auto nextListAt = begin;
        while (clock.now() < state.recoveryDeadline + 1s) {
            if (clock.now() >= begin + registeredFor)
                unlistVm(state, "v2");
            if (clock.now() >= nextListAt) {
                applyMachineList(state, machines);
                nextListAt += listInterval;
            }
            if (!starts().empty())
                break;
            advance(100ms);
        }
        return std::chrono::duration_cast<milliseconds>(clock.now() - begin);
    }
};

/// Longer than the wait for the deadline.
constexpr milliseconds forGood { 20'000 };

} // namespace

BOOST_FIXTURE_TEST_SUITE(takeover_list, ListFixture)

// The list, read page by page, lacked a VM that ran the task, which was started on another VM as well.
BOOST_AUTO_TEST_CASE(registeredVmThatTheFirstListLacksIsWaitedFor)
{
    listMachinesOf({ "v1" });
    BOOST_TEST(starts().empty());
    advance(listInterval);
    listMachinesOf({ "v1" });
    advance(listInterval);
    listMachinesOf({ "v1" });
    BOOST_TEST(starts().empty());
    VmReport late;
    late.bootTime = 1;
    late.running.push_back({ { "j1", 0, 0, 0 }, 1, "", 50, 0 });
    applyReport(state, "v2", late, clock.now(), clock.now());
    BOOST_TEST(starts().empty());
    BOOST_TEST(planStops(state, clock.now()).empty());
}

// The registry removes a VM that is cut off, while its machine is on the later page of a list.
BOOST_AUTO_TEST_CASE(unregisteredVmThatOnlyOneListLacksIsWaitedFor)
{
    unlistVm(state, "v2");
    listMachinesOf({ "v1" });
    BOOST_TEST(starts().empty());
    listMachinesOf({ "v1", "v2" });
    listMachinesOf({ "v1" });
    BOOST_TEST(starts().empty());
    listMachinesOf({ "v1" });
    BOOST_TEST(starts().size() == 1U);
}

// A VM whose state or pool could not be read counted as down, or as one of another pool.
BOOST_AUTO_TEST_CASE(vmOfAnUnreadableMachineIsWaitedFor)
{
    auto withoutState = machineOf("v2");
    withoutState.state = MachineState::Unknown;
    auto withoutPool = machineOf("v2");
    withoutPool.pool.clear();
    auto withoutVm = machineOf("v2");
    withoutVm.vm.clear();
    withoutVm.state = MachineState::Unknown;
    for (const auto& machine : { withoutState, withoutPool, withoutVm }) {
        state.platformVms.reset();
        applyMachineList(state, { machineOf("v1"), machine });
        BOOST_TEST(starts().empty());
    }
    // Nor is it known that the VM of an unreadable machine is another one.
    auto withOtherVm = machineOf("v2");
    withOtherVm.vm = "v3";
    withOtherVm.state = MachineState::Unknown;
    state.platformVms.reset();
    applyMachineList(state, { machineOf("v1"), withOtherVm });
    BOOST_TEST(starts().empty());
}

// The registry had lost the VM in an outage, and the machine was listed as down while its VM ran on.
BOOST_AUTO_TEST_CASE(vmThatIsListedOnAMachineThatIsDownIsWaitedFor)
{
    auto down = machineOf("v3");
    down.state = MachineState::Down;
    report("v2");
    applyMachineList(state, { machineOf("v1"), machineOf("v2"), down });
    BOOST_TEST(starts().empty());
}

// An entry that names no VM adds none to wait for, so a VM whose entry can't be read is known by its machine.
BOOST_AUTO_TEST_CASE(vmOfAMachineIsWaitedForWithoutARegistration)
{
    report("v2");
    listMachinesOf({ "v1", "v2", "v3" });
    BOOST_TEST((findAwaitedVms(state) == std::vector<std::string> { "v3" }));
    BOOST_TEST(starts().empty());
    addVm("v3");
    BOOST_TEST(starts().size() == 1U);
}

// Registrations remain for seconds after a move, maintenance or crash, and recovery took as long.
BOOST_AUTO_TEST_CASE(vmWhoseMachineRunsItNoLongerDoesNotDelayRecovery)
{
    const std::vector<Machine> machines {
        { "m-v2", "billing", MachineState::Up, "v9" },
        { "m-v2", "pricing", MachineState::Up, "v9" },
        { "m-v2", "billing", MachineState::Moving, "" },
        { "m-v2", "pricing", MachineState::Maintenance, "v2" },
        { "m-v2", "pricing", MachineState::Down, "" },
    };
    for (const auto& machine : machines) {
        PoolState before = state;
        if (machine.vm == "v9" && machine.pool == "pricing") {
            addVm("v9");
            state.vms.at("v9").entry.machine = "m-v2";
        }
        BOOST_TEST(timeToStart({ machineOf("v1"), machine }, forGood).count() == 0);
        state = std::move(before);
    }
}

// Without a machine in the list, a crashed VM delays recovery until the registry and two lists lack it.
BOOST_AUTO_TEST_CASE(vmWithoutAMachineDelaysRecoveryUntilItsRegistrationEnds)
{
    const PoolState before = state;
    BOOST_TEST(timeToStart({ machineOf("v1") }, 0ms).count() == 1000);
    state = before;
    state.recoveryDeadline = recoveryDeadlineAfter(state.limits, clock.now());
    BOOST_TEST(timeToStart({ machineOf("v1") }, 2500ms).count() == 3000);
    state = before;
    state.recoveryDeadline = recoveryDeadlineAfter(state.limits, clock.now());
    const auto longest = timeToStart({ machineOf("v1") }, forGood);
    BOOST_TEST((longest > 10'500ms && longest < 10'700ms));
}

// A VM that had reported ended and was removed; tasks of recovered jobs then waited for it until two lists
// lacked it.
BOOST_AUTO_TEST_CASE(recoveryStaysCompleteOnceAVmThatHadReportedEnds)
{
    const std::vector<Machine> machines { machineOf("v1"), machineOf("v2") };
    applyMachineList(state, machines);
    reportEmpty("v2");
    BOOST_REQUIRE(isRecoveryComplete(state, clock.now()));
    unlistVm(state, "v2");
    advance(listInterval);
    markUnresponsive(state, "v2");
    state.vms.at("v2").leaseUntil = milliseconds(0);
    expireLeases(state, clock.now());
    BOOST_REQUIRE(!state.vms.contains("v2"));
    BOOST_TEST(isRecoveryComplete(state, clock.now()));
    BOOST_TEST(starts().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
