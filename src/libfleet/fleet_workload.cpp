#include <damaskworks/fleet_workload.h>
#include <damaskworks/job_timing.h>

#include <algorithm>

namespace damask::fleet {
namespace {

constexpr std::int64_t milliPerUnit = 1000;
/// Keeps the sums over all jobs within 64 bits.
constexpr double maxCpuTime = 1e12;

std::int64_t usedCpu(const JobWork& work)
{
    return work.cpuTime * milliPerUnit / std::max<std::int64_t>(work.criticalPath.count(), 1);
}

template <typename Map, typename... Arguments>
typename Map::mapped_type& entry(Map& map, std::string_view key, Arguments... arguments)
{
    auto found = map.find(key);
    if (found == map.end())
        found = map.try_emplace(std::string(key), arguments...).first;
    return found->second;
}

} // namespace

double burstOf(const Entitlement& entitlement) { return std::max(entitlement.weight, 1.0); }

double usedAt(const Entitlement& entitlement, TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - entitlement.updatedAt;
    return std::max(entitlement.used - entitlement.weight * elapsed.count(), 0.0);
}

void recordUse(Entitlement& entitlement, TimePoint now)
{
    if (entitlement.weight <= 0)
        return;
    entitlement.used = std::min(usedAt(entitlement, now) + 1, burstsInBucket * burstOf(entitlement));
    entitlement.updatedAt = now;
}

JobWork workOf(const JobSpec& job)
{
    if (!hasOneObjective(job))
        return {};
    double cpuTime = 0;
    for (const auto& step : job.steps) {
        if (!step.filler)
            cpuTime += static_cast<double>(step.count) * static_cast<double>(step.need.cpu)
                * static_cast<double>(step.estimate.count()) / milliPerUnit;
    }
    return { static_cast<std::int64_t>(std::min(cpuTime, maxCpuTime)), criticalPathLength(job.steps) };
}

void FleetWorkload::count(std::string_view pool, std::string_view queue, std::string_view organisation,
    JobState state, const JobWork& work, int amount)
{
    if (work.cpuTime == 0 || isFinal(state))
        return;
    auto& workload = entry(m_pools, pool);
    if (state == JobState::Running) {
        workload.runningCpu += usedCpu(work) * amount;
        return;
    }
    auto& waiting = entry(entry(workload.waiting, queue), organisation);
    waiting.jobs += amount;
    waiting.cpuTime += work.cpuTime * amount;
}

void FleetWorkload::recordAcceptance(std::string_view organisation)
{
    const auto found = m_entitlements.find(organisation);
    if (found != m_entitlements.end())
        recordUse(found->second, m_clock.now());
}

void FleetWorkload::recordCompletion(std::string_view pool, const JobWork& work)
{
    if (work.cpuTime > 0)
        entry(m_pools, pool).completedCpuTime.add(m_clock.now(), work.cpuTime);
}

void FleetWorkload::clear()
{
    for (auto& [name, workload] : m_pools) {
        workload.waiting.clear();
        workload.runningCpu = 0;
    }
}

const PoolWorkload* FleetWorkload::pool(std::string_view name) const
{
    const auto found = m_pools.find(name);
    return found == m_pools.end() ? nullptr : &found->second;
}

double FleetWorkload::throughput(const PoolWorkload& workload) const
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    const auto completed = static_cast<double>(workload.completedCpuTime.sum(m_clock.now()))
        / Milliseconds(workload.completedCpuTime.window()).count();
    return std::max(completed, static_cast<double>(workload.runningCpu) / milliPerUnit);
}

void FleetWorkload::setWeights(const FleetConfig& config)
{
    std::map<std::string, Entitlement, std::less<>> entitlements;
    for (const auto& [name, organisation] : config.organisations) {
        auto& entitlement = entitlements[name] = this->entitlement(name);
        entitlement.weight = organisation.weight;
    }
    m_entitlements = std::move(entitlements);
}

Entitlement FleetWorkload::entitlement(std::string_view organisation) const
{
    const auto found = m_entitlements.find(organisation);
    return found == m_entitlements.end() ? Entitlement {} : found->second;
}

} // namespace damask::fleet
