#include "vm_room_pvt.h"

#include "placement_choice_pvt.h"

#include <algorithm>

namespace damask::fleet {
namespace {

/// Removes the VM from the index by free CPU and from the capacity; its entry of the rack remains.
void removeFromClass(PoolState& state, VmState& vm)
{
    const auto vms = state.vmRoom.byClass.find(vm.indexedRoom->roomClass);
    vms->second.erase({ vm.indexedRoom->freeCpu, vm.entry.id });
    if (vms->second.empty())
        state.vmRoom.byClass.erase(vms);
    state.vmRoom.capacity -= vm.indexedRoom->capacity;
}

void removeFromRack(PoolState& state, VmState& vm)
{
    const auto vms = state.vmRoom.racks.find(vm.indexedRoom->rack);
    vms->second.erase(vm.entry.id);
    if (vms->second.empty())
        state.vmRoom.racks.erase(vms);
}

} // namespace

void removeRoom(PoolState& state, VmState& vm)
{
    if (!vm.indexedRoom)
        return;
    removeFromClass(state, vm);
    removeFromRack(state, vm);
    vm.indexedRoom.reset();
}

void updateRoom(PoolState& state, VmState& vm)
{
    if (!mayAcceptWork(vm))
        return removeRoom(state, vm);
    auto free = vm.entry.capacity;
    free -= vm.used;
    free -= vm.reserved;
    std::erase_if(state.vmRoom.failedNeeds, [&](const Resources& need) { return fits(need, free); });
    for (const auto until : { vm.quarantinedUntil, vm.reservedUntil }) {
        if (until > state.vmRoom.updatedAt)
            state.vmRoom.returnTimes.insert(until);
    }
    const IndexedRoom room { { vm.entry.capacity.cpu,
                                 sizeClass(vm.entry.capacity.memoryMb - vm.used.memoryMb) },
        vm.entry.capacity.cpu - vm.used.cpu, vm.entry.rack, vm.entry.capacity };
    if (vm.indexedRoom == room)
        return;
    const bool isInRack = vm.indexedRoom && vm.indexedRoom->rack == room.rack;
    if (isInRack)
        removeFromClass(state, vm);
    else
        removeRoom(state, vm);
    if (!isInRack)
        state.vmRoom.racks[room.rack].try_emplace(vm.entry.id);
    state.vmRoom.byClass[room.roomClass].emplace(room.freeCpu, vm.entry.id);
    state.vmRoom.capacity += room.capacity;
    vm.indexedRoom = room;
}

void updateChangedRooms(PoolState& state, TimePoint now)
{
    auto& room = state.vmRoom;
    room.updatedAt = now;
    ++room.passes;
    for (const auto& id : takeChanged(state.changedVms, state.vms, ChangeReader::Planning)) {
        if (const auto vm = state.vms.find(id); vm != state.vms.end())
            updateRoom(state, vm->second);
    }
    if (room.returnTimes.empty() || now < *room.returnTimes.begin())
        return;
    room.returnTimes.erase(room.returnTimes.begin(), room.returnTimes.upper_bound(now));
    room.failedNeeds.clear();
}

void addFailedNeed(VmRoom& room, const Resources& need)
{
    std::erase_if(room.failedNeeds, [&](const Resources& larger) { return fits(need, larger); });
    room.failedNeeds.push_back(need);
}

bool hasRoomFor(const VmRoom& room, const Resources& need)
{
    return std::none_of(room.failedNeeds.begin(), room.failedNeeds.end(),
        [&](const Resources& smaller) { return fits(smaller, need); });
}

std::int64_t largestFreeCpu(const VmRoom& room)
{
    std::int64_t largest = -1;
    for (const auto& [roomClass, vms] : room.byClass)
        largest = std::max(largest, vms.rbegin()->first);
    return largest;
}

} // namespace damask::fleet
