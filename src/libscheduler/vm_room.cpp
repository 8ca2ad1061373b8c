#include "vm_room_pvt.h"

#include "placement_choice_pvt.h"

#include <algorithm>

namespace damask::fleet {

void removeRoom(PoolState& state, VmState& vm)
{
    if (!vm.indexedRoom)
        return;
    const auto vms = state.vmRoom.byCapacity.find(vm.indexedRoom->capacityCpu);
    vms->second.erase({ vm.indexedRoom->freeCpu, vm.entry.id });
    if (vms->second.empty())
        state.vmRoom.byCapacity.erase(vms);
    vm.indexedRoom.reset();
}

void updateRoom(PoolState& state, VmState& vm)
{
    if (!mayAcceptWork(vm))
        return removeRoom(state, vm);
    const IndexedRoom room { vm.entry.capacity.cpu, vm.entry.capacity.cpu - vm.used.cpu };
    if (vm.indexedRoom == room)
        return;
    removeRoom(state, vm);
    state.vmRoom.byCapacity[room.capacityCpu].emplace(room.freeCpu, vm.entry.id);
    vm.indexedRoom = room;
}

void updateChangedRooms(PoolState& state)
{
    for (const auto& id : takeChanged(state.changedVms, state.vms, ChangeReader::Planning)) {
        if (const auto vm = state.vms.find(id); vm != state.vms.end())
            updateRoom(state, vm->second);
    }
}

std::int64_t largestFreeCpu(const VmRoom& room)
{
    std::int64_t largest = -1;
    for (const auto& [capacity, vms] : room.byCapacity)
        largest = std::max(largest, vms.rbegin()->first);
    return largest;
}

} // namespace damask::fleet
