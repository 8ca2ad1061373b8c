#include "soak.h"

#include <array>
#include <csignal>

namespace damask::soak {
namespace {

constexpr int maxShortDowntimeMs = 100;
constexpr int maxDowntimeMs = 3000;
constexpr milliseconds busyCheckInterval { 10 };
constexpr int maxBusyChecks = 300;
/// Shorter than the wait of a heartbeat, so that most VMs fall silent before they have reported.
constexpr int maxTimeToSilenceMs = 1000;
constexpr milliseconds minSilence { 5000 };
constexpr int silenceSpreadMs = 8000;
constexpr int nodesKilledWithAVm = 2;
constexpr milliseconds nodeDowntime { 300 };

} // namespace

void Soak::narrowLink()
{
    auto& node = m_nodes[static_cast<std::size_t>(randomConfigBelow(static_cast<int>(m_nodes.size())))];
    const int bytesPerSecond = 30'000 << randomConfigBelow(4);
    const milliseconds time(1000 + randomConfigBelow(6000));
    report("link of " + node.addresses.node + " carries " + std::to_string(bytesPerSecond) + " B/s for "
        + std::to_string(time.count()));
    setRelay(node, { { "bytesPerSecond", bytesPerSecond } });
    schedule(time, [this, &node] { setRelay(node, nlohmann::json::object()); });
}

void Soak::silenceConnections()
{
    const bool isForAll = randomLimitBelow(2) == 0;
    const auto chosen = static_cast<std::size_t>(randomLimitBelow(static_cast<int>(m_nodes.size())));
    report("open connections of " + (isForAll ? "all nodes" : m_nodes[chosen].addresses.node) + " go silent");
    for (const auto& node : m_nodes) {
        if (isForAll || node.relay == chosen)
            setRelay(node, { { "silencesConnections", true } });
    }
}

void Soak::injectFault()
{
    ++m_faultCount;
    const int kind = randomBelow(20);
    if (kind < 9)
        injectNodeFault(randomNode(), kind);
    else if (kind < 15)
        injectTableFault(kind - 9);
    else
        injectVmFault(kind - 15);
}

void Soak::killNode(Node& node)
{
    report("kill " + node.addresses.node);
    node.process->signal(SIGKILL);
    node.process->wait();
    node.isDown = true;
}

void Soak::injectNodeFault(Node& node, int kind)
{
    const milliseconds time(200 + randomBelow(3000));
    const auto& name = node.addresses.node;
    if (node.isDown)
        return;
    switch (kind) {
    case 0:
    case 1:
        killNode(node);
        return schedule(milliseconds(randomBelow(1500)), [this, &node] { startNode(node); });
    case 2:
        report("stop " + name);
        node.process->signal(SIGTERM);
        node.isDown = true;
        return schedule(milliseconds(7000), [this, &node] {
            node.process->signal(SIGKILL);
            node.process->wait();
            startNode(node);
        });
    case 3:
    case 4:
        report("pause " + name + " for " + std::to_string(time.count()));
        node.process->signal(SIGSTOP);
        node.isDown = true;
        return schedule(time, [&node] {
            node.process->signal(SIGCONT);
            node.isDown = false;
        });
    default:
        break;
    }
    static const std::array<nlohmann::json, 4> states { { { { "cut", true } }, { { "silent", "answers" } },
        { { "silent", "both" } }, { { "delayMs", 150 } } } };
    const auto& state = states.at(static_cast<std::size_t>(kind - 5));
    report("relay of " + name + " " + state.dump());
    setRelay(node, state);
    schedule(time, [this, &node] { setRelay(node, nlohmann::json::object()); });
}

void Soak::injectTableFault(int kind)
{
    auto& table = m_platform.table();
    const milliseconds time(300 + randomBelow(2500));
    static const char* const names[]
        = { "refuses calls", "overloaded", "loses answers", "commits late", "slow", "drops its history" };
    report(std::string("table ") + names[kind] + " for " + std::to_string(time.count()));
    switch (kind) {
    case 0:
        table.faults.refused = randomBelow(2) ? 1 : 0.4;
        break;
    case 1:
        table.faults.overloaded = 0.4;
        break;
    case 2:
        table.faults.lost = 0.4;
        break;
    case 3:
        table.faults.late = 0.2;
        break;
    case 4:
        table.faults.delay = milliseconds(50 + randomBelow(300));
        break;
    default:
        return table.truncateHistory();
    }
    schedule(time, [&table] { table.faults = {}; });
}

VmFaults Soak::lateCommands(double share)
{
    return {
        .late = share, .delaysHeartbeats = m_lateRandom() % 2 == 0, .maxDelay = m_options.maxCommandDelay
    };
}

void Soak::injectVmFault(int kind)
{
    auto& vms = m_platform.vms();
    if (vms.empty())
        return;
    auto chosen = vms.begin();
    std::advance(chosen, randomBelow(static_cast<int>(vms.size())));
    const auto machine = chosen->first;
    switch (kind) {
    case 0:
        report("crash of the VM of " + machine);
        return m_platform.crash(machine, milliseconds(200 + randomBelow(2000)));
    case 1:
        report("VM of " + machine + " refuses calls");
        chosen->second->faults.refused = 0.5;
        break;
    case 2:
    case 3:
        report("VM of " + machine + " executes commands late");
        chosen->second->faults = lateCommands(0.3);
        break;
    default: {
        std::set<std::string> machines;
        for (const auto& [id, vm] : vms) {
            if (randomBelow(3) == 0)
                machines.insert(id);
        }
        if (machines.empty() || m_waveCount >= 2)
            return;
        report("maintenance wave of " + std::to_string(machines.size()) + " machines");
        return m_platform.requestWave(++m_waveCount, machines, 2, seconds(20));
    }
    }
    schedule(milliseconds(500 + randomBelow(2000)), [this, machine] {
        const auto vm = m_platform.vms().find(machine);
        if (vm != m_platform.vms().end())
            vm->second->faults = {};
    });
}

void Soak::disturbVm()
{
    std::vector<std::string> machines;
    const bool wantsEmpty = randomRestartBelow(2) == 0;
    for (const auto& [machine, vm] : m_platform.vms()) {
        if (vm->isEmpty() || !wantsEmpty)
            machines.push_back(machine);
    }
    if (machines.empty())
        return;
    const auto& machine
        = machines[static_cast<std::size_t>(randomRestartBelow(static_cast<int>(machines.size())))];
    if (randomRestartBelow(3) != 0)
        return restartVm(machine);
    const std::int64_t cpu = machineCpu * (1 + randomRestartBelow(3)) / 4;
    const milliseconds time(1000 + randomRestartBelow(8000));
    report("VM of " + machine + " has " + std::to_string(cpu) + " millicores for "
        + std::to_string(time.count()));
    m_platform.setCapacity(machine, cpu);
    schedule(time, [this, machine] { m_platform.setCapacity(machine, machineCpu); });
}

void Soak::restartVm(const std::string& machine)
{
    const bool isShort = randomRestartBelow(2) == 0;
    const milliseconds downtime(randomRestartBelow(isShort ? maxShortDowntimeMs : maxDowntimeMs));
    const bool isLateBefore = randomRestartBelow(2) == 0;
    const milliseconds delay(isLateBefore ? 300 + randomRestartBelow(700) : 1);
    if (isLateBefore)
        m_platform.vms().at(machine)->faults = lateCommands(0.5);
    schedule(delay, [this, machine, downtime, isLateBefore] {
        report("VM of " + machine + " restarts under its id after " + std::to_string(downtime.count()) + " ms"
            + (isLateBefore ? ", after it has delayed commands" : ""));
        m_platform.restart(machine, downtime, true);
    });
}

void Soak::silenceVm()
{
    std::vector<std::string> machines;
    for (const auto& [machine, vm] : m_platform.vms()) {
        if (!vm->isSilent())
            machines.push_back(machine);
    }
    if (machines.empty())
        return;
    submitLongJob();
    submitLongJob();
    const auto& machine
        = machines[static_cast<std::size_t>(randomSilenceBelow(static_cast<int>(machines.size())))];
    static const std::array<milliseconds, 4> wallClockOffsets { milliseconds(0), milliseconds(-300),
        milliseconds(-60'000), milliseconds(60'000) };
    m_platform.setWallClockOffset(
        wallClockOffsets.at(static_cast<std::size_t>(randomSilenceBelow(wallClockOffsets.size()))));
    if (randomSilenceBelow(3) != 0) {
        report("VM of " + machine + " restarts under its id and will fall silent");
        m_platform.restart(machine, milliseconds(randomSilenceBelow(maxShortDowntimeMs)), true);
    }
    cutOffOnceBusy(machine, maxBusyChecks);
}

void Soak::cutOffOnceBusy(const std::string& machine, int attempts)
{
    const auto vm = m_platform.vms().find(machine);
    if (vm == m_platform.vms().end() || !vm->second->runsTaskOf(minLongTask)) {
        if (attempts > 0)
            schedule(busyCheckInterval, [this, machine, attempts] { cutOffOnceBusy(machine, attempts - 1); });
        return;
    }
    const milliseconds time = minSilence + milliseconds(randomSilenceBelow(silenceSpreadMs));
    const bool killsNodes = randomSilenceBelow(2) == 0;
    schedule(milliseconds(1 + randomSilenceBelow(maxTimeToSilenceMs)), [this, machine, time, killsNodes] {
        report("VM of " + machine + " is cut off for " + std::to_string(time.count()));
        m_platform.cutOff(machine, time);
        for (int i = 0; killsNodes && i < nodesKilledWithAVm; ++i) {
            auto& node
                = m_nodes[static_cast<std::size_t>(randomSilenceBelow(static_cast<int>(m_nodes.size())))];
            if (node.isDown)
                continue;
            killNode(node);
            schedule(nodeDowntime, [this, &node] { startNode(node); });
        }
    });
}

} // namespace damask::soak
