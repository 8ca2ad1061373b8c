#include <damaskworks/budget.h>

#include <algorithm>

namespace damask::budget {

bool contains(const std::vector<Disruption>& disruptions, std::string_view vm)
{
    return std::any_of(
        disruptions.begin(), disruptions.end(), [vm](const auto& entry) { return entry.vm == vm; });
}

std::size_t unavailableCount(const Usage& usage)
{
    auto vms = usage.notReportedHealthy;
    for (const auto& entry : usage.disruptions)
        vms.insert(entry.vm);
    return vms.size();
}

bool mayDisrupt(const Usage& usage, std::string_view vm)
{
    if (contains(usage.disruptions, vm) || usage.notReportedHealthy.contains(std::string(vm)))
        return false;
    return unavailableCount(usage) + 1 <= usage.maxUnavailable;
}

} // namespace damask::budget
