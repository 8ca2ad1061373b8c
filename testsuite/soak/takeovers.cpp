#include "soak.h"

#include <csignal>

namespace damask::soak {
namespace {

constexpr int nodesLostAtOnce = 2;
constexpr milliseconds nodeDowntime { 300 };
/// Longer than the lease of a pool's holder.
constexpr milliseconds minFreeze { 2500 };
constexpr int freezeSpreadMs = 2500;
constexpr milliseconds minServiceFault { 500 };
constexpr int serviceFaultSpreadMs = 3000;
constexpr int maxServiceDelayMs = 1500;
/// From cuts that a holder may not notice to those that outlast the leases of VMs.
constexpr milliseconds minCut { 300 };
constexpr int cutSpreadMs = 7000;
constexpr int maxDowntimeMs = 1000;

} // namespace

void Soak::disturbTakeover()
{
    const bool freezesNodes = randomTakeoverBelow(2) == 0;
    switch (randomTakeoverBelow(5)) {
    case 0:
        break;
    case 1:
    case 2:
        disturbMachineService();
        break;
    case 3:
        cutVmsOffFromHolders();
        break;
    default: {
        const auto first = randomMachine();
        const auto second = randomMachine();
        report("VMs of " + first + " and " + second + " restart, each at the address of the other");
        m_platform.exchangeAddresses(first, second, milliseconds(randomTakeoverBelow(maxDowntimeMs)));
    }
    }
    schedule(
        milliseconds(randomTakeoverBelow(maxDowntimeMs)), [this, freezesNodes] { loseNodes(freezesNodes); });
}

void Soak::loseNodes(bool freezesNodes)
{
    const milliseconds time = minFreeze + milliseconds(randomTakeoverBelow(freezeSpreadMs));
    for (int i = 0; i < nodesLostAtOnce; ++i) {
        auto& node = m_nodes[static_cast<std::size_t>(randomTakeoverBelow(static_cast<int>(m_nodes.size())))];
        if (node.isDown)
            continue;
        if (!freezesNodes) {
            killNode(node);
            schedule(nodeDowntime, [this, &node] { startNode(node); });
            continue;
        }
        report("pause " + node.addresses.node + " for " + std::to_string(time.count()));
        node.process->signal(SIGSTOP);
        node.isDown = true;
        schedule(time, [&node] {
            node.process->signal(SIGCONT);
            node.isDown = false;
        });
    }
}

void Soak::disturbMachineService()
{
    auto& faults = m_platform.machineServiceFaults;
    const milliseconds time = minServiceFault + milliseconds(randomTakeoverBelow(serviceFaultSpreadMs));
    switch (randomTakeoverBelow(3)) {
    case 0:
        report("machine service does not respond for " + std::to_string(time.count()));
        faults.isSilent = true;
        break;
    case 1:
        faults.delay = milliseconds(1 + randomTakeoverBelow(maxServiceDelayMs));
        report("machine service takes " + std::to_string(faults.delay.count()) + " ms for "
            + std::to_string(time.count()));
        break;
    default:
        for (const auto& [machine, vm] : m_platform.vms()) {
            if (randomTakeoverBelow(3) == 0)
                faults.unlisted.insert(machine);
        }
        report("lists lack " + std::to_string(faults.unlisted.size()) + " machines for "
            + std::to_string(time.count()));
    }
    schedule(time, [&faults] { faults = {}; });
}

void Soak::cutVmsOffFromHolders()
{
    const bool isOneWay = randomTakeoverBelow(2) == 0;
    const milliseconds time = minCut + milliseconds(randomTakeoverBelow(cutSpreadMs));
    for (const auto& [machine, vm] : m_platform.vms()) {
        if (randomTakeoverBelow(3) != 0)
            continue;
        report("VM of " + machine + " is cut off from its holder for " + std::to_string(time.count())
            + (isOneWay ? ", one way" : ""));
        vm->cutOffFromHolder(isOneWay);
        schedule(time, [this, machine = machine] {
            const auto found = m_platform.vms().find(machine);
            if (found != m_platform.vms().end())
                found->second->endCutFromHolder();
        });
    }
}

std::string Soak::randomMachine()
{
    const auto& vms = m_platform.vms();
    if (vms.empty())
        return "";
    return std::next(vms.begin(), randomTakeoverBelow(static_cast<int>(vms.size())))->first;
}

} // namespace damask::soak
