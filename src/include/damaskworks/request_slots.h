/// \file
/// Division of an endpoint's slots (its limit of concurrent requests) among the entry VMs. There is no
/// central counter: each entry VM computes its own share from the live entry VMs and their demand.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damask::request {

/// An entry VM and its demand on one pool.
struct EntryVmDemand {
    std::string id;
    double demand = 0; ///< requests per second
};

/// An entry VM and its weight in the division of the slots.
struct EntryVmWeight {
    std::string id;
    double weight = 1;
    bool operator==(const EntryVmWeight&) const = default;
};

/// Weights in proportion to demand. Each weight is the demand relative to the mean, rounded to a power
/// of two so that noise does not move slots, and at least 1/8, so that an idle entry VM can serve a
/// first request.
std::vector<EntryVmWeight> slotWeights(const std::vector<EntryVmDemand>& live);

/// Number of the \p slots of \p endpoint that entry VM \p self may use; 0 if it is not in \p live.
/// \p live must be sorted by id. The shares of entry VMs that use the same \p live add up to \p slots.
/// Over many endpoints, the share of each entry VM is proportional to its weight.
/// Systematic sampling (W. G. Madow and L. H. Madow, 1944) with an offset hashed from the endpoint.
std::uint32_t slotShare(std::uint32_t slots, std::string_view endpoint, std::string_view self,
    const std::vector<EntryVmWeight>& live);

/// Score of \p endpoint for entry VM \p self; the endpoint with the highest score is preferred
/// (rendezvous hashing).
std::uint64_t affinity(std::string_view endpoint, std::string_view self);

} // namespace damask::request
