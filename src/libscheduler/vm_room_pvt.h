/// \file
/// Updates of the index of VMs by their free CPU, and searches in it.
#pragma once

#include <damaskworks/pool_state.h>

#include <algorithm>

namespace damask::fleet {

/// Moves the VM's entry to its present room; removes it if the VM does not accept work. Time alone may change
/// whether a VM in the index accepts work, see VmState::quarantinedUntil and VmState::reservedUntil.
void updateRoom(PoolState& state, VmState& vm);
/// Removes the VM's entry.
void removeRoom(PoolState& state, VmState& vm);
/// Updates the entries of all VMs that have changed, or that accept work again at \p now.
void updateChangedRooms(PoolState& state, TimePoint now);
/// Records that no VM in the index has room for \p need.
void addFailedNeed(VmRoom& room, const Resources& need);
/// Whether a VM may have room for \p need: nothing that needs as little or less is known to fit on none.
bool hasRoomFor(const VmRoom& room, const Resources& need);
/// The most CPU that is free on a VM in the index, in thousandths of a core; -1 if there is none.
std::int64_t largestFreeCpu(const VmRoom& room);

/// The most used VM with room for \p need for which \p accepts returns true, the first by id among equals;
/// nullptr if there is none. Utilisation is relative to the VM's capacity.
template <typename Accepts> VmState* findMostUsed(PoolState& state, const Resources& need, Accepts accepts)
{
    VmState* best = nullptr;
    double bestUse = 0;
    const int leastMemory = sizeClass(need.memoryMb);
    for (const auto& [roomClass, vms] : state.vmRoom.byClass) {
        if (roomClass.freeMemory < leastMemory)
            continue;
        const auto capacity = static_cast<double>(std::max<std::int64_t>(roomClass.capacityCpu, 1));
        for (auto it = vms.lower_bound({ need.cpu, "" }); it != vms.end(); ++it) {
            const double use = static_cast<double>(roomClass.capacityCpu - it->first) / capacity;
            if (best && (use < bestUse || (use == bestUse && best->entry.id < it->second)))
                break;
            auto& vm = state.vms.find(it->second)->second;
            ++state.work.vmChoices;
            if (!accepts(vm))
                continue;
            best = &vm;
            bestUse = use;
            break;
        }
    }
    return best;
}

} // namespace damask::fleet
