/// \file
/// Checker of the fleet model: compares every change of the table with the true state of the VMs.
#include "fleet_model.h"

#include <algorithm>

namespace damask::fleet_model {
namespace {

using nlohmann::json;

/// The controllers may not yet know of failures and budget changes that are more recent than this.
constexpr Duration maxDetectionDelay = 3s;

} // namespace

void Model::checkInvariants()
{
    std::map<std::string, std::uint32_t> permits;
    for (auto& [name, vm] : m_vms) {
        const auto row = status(Kind::Vm, name);
        const std::string phase = row.value("phase", "in_service");
        const auto pool = row.value("pool", vm.servedPool);
        if (pool != vm.servedPool && !vm.servedPool.empty()) {
            if (vm.isUp && !vm.isRebooting && (!vm.isDraining || vm.runningRequests > 0))
                reportViolation("P2: " + name + " changed pools before it was drained");
            if (phase == "in_service")
                reportViolation("P2: " + name + " serves its new pool before it is attached");
            vm.servedPool.clear();
        }
        const auto before = std::exchange(vm.phase, phase);
        if (before == "in_service" && phase != "in_service")
            ++permits[pool];
        if (before == "in_service" || phase != "in_service")
            continue;
        checkPermitEnd(name);
        vm.servedPool = pool;
    }
    checkPermits(permits);
}

/// Checks each commit of a permit against the present budget, by the table rows alone.
void Model::checkPermits(const std::map<std::string, std::uint32_t>& permits)
{
    for (const auto& [pool, count] : permits) {
        std::uint32_t outOfService = 0;
        for (const auto& [name, vm] : m_vms)
            outOfService += vm.servedPool == pool && vm.phase != "in_service";
        const auto limit = largestBudget(pool, 0s);
        if (outOfService > limit)
            reportViolation("P1: permits for " + std::to_string(outOfService) + " VMs of " + pool
                + ", budget " + std::to_string(limit));
    }
}

/// When a VM starts to drain, checks that it and all VMs that are truly out of service are within the budget.
void Model::checkDrain(const std::string& name)
{
    const auto& pool = m_vms[name].servedPool;
    std::uint32_t outOfService = 0;
    for (const auto& [other, vm] : m_vms) {
        const bool isDown = !vm.isUp && m_now - vm.downSince > maxDetectionDelay;
        outOfService += vm.servedPool == pool && (vm.phase != "in_service" || isDown);
    }
    const auto limit = largestBudget(pool, maxDetectionDelay);
    if (outOfService > limit)
        reportViolation("P1: " + std::to_string(outOfService) + " VMs of " + pool + " out of service, budget "
            + std::to_string(limit) + ", last " + name);
}

/// Largest budget of the pool that was in force within the last \p age.
std::uint32_t Model::largestBudget(const std::string& pool, Duration age) const
{
    const auto found = m_budgetHistory.find(pool);
    if (found == m_budgetHistory.end())
        return 1;
    std::uint32_t largest = found->second.back().second;
    for (std::size_t i = 0; i + 1 < found->second.size(); ++i) {
        if (found->second[i + 1].first >= m_now - age && age > 0s)
            largest = std::max(largest, found->second[i].second);
    }
    return largest;
}

void Model::checkPermitEnd(const std::string& name)
{
    const auto& vm = m_vms[name];
    if (vm.isRebooting || vm.isDraining || vm.isUnhealthy)
        reportViolation("P1: permit of " + name + " ended before it was healthy");
}

void Model::sendRequests()
{
    for (auto& routes : m_routes) {
        if (m_now - routes.readAt >= routes.lag) {
            routes = { routes.lag, m_now, {} };
            for (const auto& [name, vm] : m_vms) {
                if (vm.phase == "in_service" && !vm.servedPool.empty())
                    routes.vms[vm.servedPool].push_back(name);
            }
        }
        for (const auto& [pool, names] : routes.vms) {
            auto& vm = m_vms[names[m_random() % names.size()]];
            if (!vm.isUp || vm.isRebooting || vm.isDraining)
                continue;
            if (vm.servedPool != pool)
                reportViolation("P2: request for " + pool + " sent to a VM of another pool");
            ++vm.runningRequests;
            schedule(randomDelay(1s), nullptr, [&vm] { --vm.runningRequests; });
        }
    }
}

} // namespace damask::fleet_model
