/// \file
/// VMs of a pool by their free CPU, for the choice of a VM without a search of all.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/job.h>
#include <damaskworks/locality_wait.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace damask::fleet {

/// VMs that are alike but for their free CPU.
struct RoomClass {
    std::int64_t capacityCpu = 0; ///< thousandths of a core
    int freeMemory = 0; ///< class by sizeClass() of the megabytes that no run reserves
    auto operator<=>(const RoomClass&) const = default;
};

/// Position of a VM in the index.
struct IndexedRoom {
    RoomClass roomClass;
    std::int64_t freeCpu = 0; ///< that no run reserves, in thousandths of a core
    std::string rack;
    Resources capacity;
    bool operator==(const IndexedRoom&) const = default;
};

/// Index of the VMs that accept work, and what is known not to fit on any of them. VMs of one class are
/// ordered by their free CPU, then by id, so the first one with enough of it is the one that is used most.
struct VmRoom {
    std::map<RoomClass, std::set<std::pair<std::int64_t, std::string>>> byClass;
    /// Needs for which no VM has had room since room was last freed for them. None contains another.
    std::vector<Resources> failedNeeds;
    std::set<TimePoint> returnTimes; ///< at which VMs accept work again without an event
    Resources capacity; ///< of the VMs in the index
    TimePoint updatedAt {}; ///< of the last update
    std::uint64_t passes = 0; ///< number of these updates, one for each planning pass
    /// The same VMs by rack and id; none of the racks is empty.
    std::map<std::string, std::map<std::string, VmOutlook>, std::less<>> racks;
};

} // namespace damask::fleet
