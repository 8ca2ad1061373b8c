/// \file
/// Upkeep of the index of VMs by their free CPU, and searches in it.
#pragma once

#include <damaskworks/pool_state.h>

#include <algorithm>

namespace damask::fleet {

/// Moves the VM's entry to its present room; removes it if the VM does not accept work. Time alone may change
/// whether a VM in the index accepts work, see VmState::quarantinedUntil and VmState::reservedUntil.
void updateRoom(PoolState& state, VmState& vm);
/// Removes the VM's entry.
void removeRoom(PoolState& state, VmState& vm);
/// Updates the entries of all VMs that have changed.
void updateChangedRooms(PoolState& state);
/// The most CPU that is free on a VM in the index, in thousandths of a core; -1 if there is none.
std::int64_t largestFreeCpu(const VmRoom& room);

/// The most used VM with at least \p cpu free for which \p accepts returns true, the first by id among
/// equals; nullptr if there is none. Utilisation is relative to the VM's capacity.
template <typename Accepts> VmState* findMostUsed(PoolState& state, std::int64_t cpu, Accepts accepts)
{
    VmState* best = nullptr;
    double bestUse = 0;
    for (const auto& [capacity, vms] : state.vmRoom.byCapacity) {
        for (auto it = vms.lower_bound({ cpu, "" }); it != vms.end(); ++it) {
            auto& vm = state.vms.find(it->second)->second;
            ++state.work.vmChoices;
            if (!accepts(vm))
                continue;
            const auto use = static_cast<double>(vm.used.cpu)
                / static_cast<double>(std::max<std::int64_t>(vm.entry.capacity.cpu, 1));
            if (!best || use > bestUse || (use == bestUse && vm.entry.id < best->entry.id)) {
                best = &vm;
                bestUse = use;
            }
            break;
        }
    }
    return best;
}

} // namespace damask::fleet
