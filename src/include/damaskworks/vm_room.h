/// \file
/// VMs of a pool by their free CPU, for the choice of a VM without a search of all.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace damask::fleet {

/// Position of a VM in the index. Thousandths of a core.
struct IndexedRoom {
    std::int64_t capacityCpu = 0;
    std::int64_t freeCpu = 0; ///< not reserved by runs
    bool operator==(const IndexedRoom&) const = default;
};

/// Index of the VMs that accept work. VMs of one capacity are ordered by their free CPU, then by id, so the
/// first one with enough of it is the one that is used most.
struct VmRoom {
    std::map<std::int64_t, std::set<std::pair<std::int64_t, std::string>>> byCapacity;
};

} // namespace damask::fleet
