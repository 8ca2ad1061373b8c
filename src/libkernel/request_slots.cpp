#include <damaskworks/request_slots.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace damask::request {
namespace {

constexpr double minRelativeDemand = 0.125; // relative to the mean

/// Offset for systematic sampling: a hash of the endpoint in [0, 1), the same on all entry VMs.
double samplingOffset(std::string_view endpoint)
{
    constexpr int mantissaBits = 53;
    constexpr int unusedBits = 64 - mantissaBits;
    return std::ldexp(double(XXH64(endpoint.data(), endpoint.size(), 0) >> unusedBits), -mantissaBits);
}

} // namespace

std::vector<EntryVmWeight> slotWeights(const std::vector<EntryVmDemand>& live)
{
    double total = 0;
    for (const auto& vm : live)
        total += vm.demand;
    std::vector<EntryVmWeight> weights;
    for (const auto& vm : live) {
        const auto relativeDemand = total > 0 ? vm.demand * double(live.size()) / total : 1;
        weights.push_back(
            { vm.id, std::exp2(std::round(std::log2(std::max(relativeDemand, minRelativeDemand)))) });
    }
    return weights;
}

std::uint32_t slotShare(std::uint32_t slots, std::string_view endpoint, std::string_view self,
    const std::vector<EntryVmWeight>& live)
{
    double total = 0;
    for (const auto& vm : live)
        total += vm.weight;
    const double offset = samplingOffset(endpoint);
    double weightBefore = 0;
    for (std::size_t index = 0; index < live.size(); ++index) {
        const auto weightAfter = weightBefore + live[index].weight;
        const bool isLast = index + 1 == live.size();
        const auto end = isLast ? slots + offset : slots * weightAfter / total + offset;
        const auto start = slots * weightBefore / total + offset;
        weightBefore = weightAfter;
        if (live[index].id == self)
            return std::uint32_t(std::max(std::floor(end) - std::floor(start), 0.0));
    }
    return 0;
}

std::uint64_t affinity(std::string_view endpoint, std::string_view self)
{
    return XXH64(endpoint.data(), endpoint.size(), XXH64(self.data(), self.size(), 0));
}

} // namespace damask::request
