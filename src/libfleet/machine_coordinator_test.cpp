/// The coordinator against machines in memory.
#include "fakes_test.h"

#include <damaskworks/machine_coordinator.h>
#include <damaskworks/registry.h>

#include <boost/test/unit_test.hpp>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

/// Machines that come back with another VM as soon as the list is read again.
class FakeMachines final : public MachineControl {
public:
    explicit FakeMachines(event_base* base)
        : m_timer(base, [this] { answer(); })
    {
    }

    std::map<std::string, Machine> machines;
    int maintained = 0;

    void list(std::function<void(tl::expected<std::vector<Machine>, OrderOutcome>)> callback) override
    {
        std::vector<Machine> out;
        for (const auto& [id, machine] : machines)
            out.push_back(machine);
        later([callback, out] { callback(out); });
    }

    void move(const std::string& machine, const std::string& pool, std::uint64_t,
        EndpointControl::OrderCallback callback) override
    {
        machines[machine].pool = pool;
        machines[machine].vm += "'";
        later([callback] { callback(OrderOutcome::Accepted); });
    }

    void maintain(const std::string& machine, std::int64_t, std::uint64_t,
        EndpointControl::OrderCallback callback) override
    {
        ++maintained;
        machines[machine].vm += "'";
        later([callback] { callback(OrderOutcome::Accepted); });
    }

private:
    void later(std::function<void()> callback)
    {
        m_answers.push_back(std::move(callback));
        m_timer.startOnce(std::chrono::microseconds(1));
    }

    void answer()
    {
        for (auto& callback : std::exchange(m_answers, {}))
            callback();
    }

    std::deque<std::function<void()>> m_answers;
    Timer m_timer;
};

} // namespace

BOOST_AUTO_TEST_CASE(waveOfMoreMachinesThanATransactionHoldsIsCarriedOut)
{
    constexpr int count = 150;
    Loop loop;
    SystemClock clock;
    Metrics metrics;
    FakeTable table(loop.base());
    FakeMachines machines(loop.base());
    const auto& plugins = Registry<AdapterPlugin>::instance();
    BOOST_REQUIRE(plugins.find("fleet"));
    const auto adapter = plugins.find("fleet")->open(loop.base(), NodeSettings {});
    FleetRows rows;
    FleetConfig config;
    config.pools["off"] = { "off", true, false };
    WaveRequest wave { 1, {}, 1s, count };
    for (int i = 0; i < count; ++i) {
        const auto id = "m" + std::to_string(i);
        machines.machines[id] = { id, "off", MachineState::Up, "" };
        wave.machines.push_back(id);
    }
    const LeaseRow row { "n1", "s1", 0, 0 };
    Version version = 0;
    const std::string control(controlTable);
    table.commit(
        { rows::poolPart(coordinatorPool), {}, { { control, std::string(leaseKey), encodeLease(row) } } }, 1s,
        [&](TableResult<Version> result) { version = *result; });
    BOOST_REQUIRE(loop.runUntil([&] { return version > 0; }, 1s));
    MachineCoordinator coordinator({ loop.base(), clock, metrics, table, machines, *adapter.codec, rows },
        TakenLease { row, version, clock.now() }, LeaseLimits {}, [] {});
    coordinator.begin(config, { { 1, wave } });
    const auto status = [&] {
        const auto* found = table.find(adapter.codec->statusTable(), "", adapter.codec->waveStatusKey(1));
        return found ? found->value : "";
    };
    BOOST_TEST(loop.runUntil([&] { return status() == adapter.codec->encodeWaveState(1, true); }, 20s));
    BOOST_TEST(machines.maintained == count);
    BOOST_TEST(table.largestTransaction <= maxTransactionEntries);
}
