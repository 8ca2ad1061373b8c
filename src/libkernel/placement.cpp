#include "placement_pvt.h"

#include <algorithm>

namespace damask::placement {
namespace {

/// Number of successful tasks of a class before their observed use corrects the declared size.
constexpr std::uint32_t minEstimateSamples = 3;
/// Factor of safety over the highest observed use.
constexpr double estimateMargin = 1.2;
/// Largest factor by which observed use raises or lowers the declared size.
constexpr double maxCorrection = 4;

double correctedSize(double declared, double peak)
{
    return std::clamp(peak * estimateMargin, declared / maxCorrection, declared * maxCorrection);
}

} // namespace

Resources operator+(const Resources& a, const Resources& b)
{
    return { a.cpu + b.cpu, a.memoryMb + b.memoryMb, a.accelerators + b.accelerators };
}

Resources operator-(const Resources& a, const Resources& b)
{
    return { a.cpu - b.cpu, a.memoryMb - b.memoryMb, a.accelerators - b.accelerators };
}

bool fits(const Resources& demand, const Resources& available)
{
    constexpr double roundingTolerance = 1e-6;
    return demand.cpu <= available.cpu + roundingTolerance
        && demand.memoryMb <= available.memoryMb + roundingTolerance
        && demand.accelerators <= available.accelerators + roundingTolerance;
}

bool isFinal(Phase phase)
{
    return phase == Phase::Succeeded || phase == Phase::Failed || phase == Phase::Cancelled;
}

bool holdsWorker(Phase phase) { return phase == Phase::Placed || phase == Phase::Running; }

std::string jobClassOf(const JobSpec& spec)
{
    const auto end = spec.name.find_last_not_of("0123456789-");
    return spec.team + "/" + spec.name.substr(0, end + 1);
}

Resources estimatedSize(const State& state, const JobSpec& spec)
{
    const auto found = state.estimates.find(jobClassOf(spec));
    if (found == state.estimates.end() || found->second.samples < minEstimateSamples)
        return spec.declared;
    const auto& peak = found->second.peak;
    return { correctedSize(spec.declared.cpu, peak.cpu), correctedSize(spec.declared.memoryMb, peak.memoryMb),
        spec.declared.accelerators };
}

void enqueue(State& state, Job& job)
{
    state.pools[job.spec.pool].queue.insert({ job.spec.priority, job.sequence, job.spec.name });
    state.dirtyPools.insert(job.spec.pool);
}

void dequeue(State& state, Job& job)
{
    auto& pool = state.pools[job.spec.pool];
    pool.queue.erase({ job.spec.priority, job.sequence, job.spec.name });
    pool.unschedulable.erase(job.spec.name);
}

void reserve(State& state, Job& job, const Resources& size)
{
    job.reserved = size;
    auto& team = state.teams[job.spec.team];
    team.used = team.used + size;
    auto& worker = state.workers[job.progress.vm];
    worker.used = worker.used + size;
    worker.jobs.insert(job.spec.name);
}

void release(State& state, Job& job)
{
    auto& team = state.teams[job.spec.team];
    team.used = team.used - job.reserved;
    state.dirtyPools.merge(team.waitingPools);
    team.waitingPools.clear();
    auto worker = state.workers.find(job.progress.vm);
    if (worker != state.workers.end()) {
        worker->second.used = worker->second.used - job.reserved;
        worker->second.jobs.erase(job.spec.name);
        state.dirtyPools.insert(worker->second.pool);
    }
    job.reserved = {};
}

void requeueOrCancel(State& state, Job& job)
{
    release(state, job);
    const bool isCancelled = job.progress.stopReason == StopReason::Cancel || job.spec.cancelled;
    job.progress.phase = isCancelled ? Phase::Cancelled : Phase::Queued;
    job.progress.stopReason = StopReason::None;
    job.progress.condition.clear();
    job.progress.vm.clear();
    state.changedJobs.insert(job.spec.name);
    if (!isCancelled)
        enqueue(state, job);
}

void markPoolDirty(State& state, const std::string& name)
{
    auto& pool = state.pools[name];
    for (const auto& jobName : std::exchange(pool.unschedulable, {})) {
        auto& job = state.jobs.at(jobName);
        job.progress.phase = Phase::Queued;
        enqueue(state, job);
    }
    state.dirtyPools.insert(name);
}

void setWorker(State& state, const std::string& vm, const Worker& description)
{
    auto& worker = state.workers[vm];
    const bool isSame = worker.pool == description.pool && worker.rack == description.rack
        && worker.capacity == description.capacity && worker.accepting == description.accepting
        && worker.draining == description.draining;
    if (isSame && !worker.pool.empty())
        return;
    if (!worker.pool.empty() && worker.pool != description.pool)
        state.pools[worker.pool].workers.erase(vm);
    worker.pool = description.pool;
    worker.rack = description.rack;
    worker.capacity = description.capacity;
    worker.accepting = description.accepting;
    worker.draining = description.draining;
    state.pools[worker.pool].workers.insert(vm);
    markPoolDirty(state, worker.pool);
    if (!worker.draining)
        return;
    const auto jobs = worker.jobs;
    for (const auto& job : jobs)
        requestStop(state, job, StopReason::Drain);
}

void removeWorker(State& state, const std::string& vm)
{
    auto found = state.workers.find(vm);
    if (found == state.workers.end())
        return;
    const auto jobs = found->second.jobs;
    for (const auto& job : jobs)
        requeueOrCancel(state, state.jobs.at(job));
    state.pools[found->second.pool].workers.erase(vm);
    markPoolDirty(state, found->second.pool);
    state.workers.erase(found);
}

void setQuota(State& state, const std::string& name, const std::optional<Resources>& quota)
{
    auto& team = state.teams[name];
    if (team.quota == quota)
        return;
    team.quota = quota;
    for (auto& [pool, content] : state.pools)
        markPoolDirty(state, pool);
}

void declareJob(State& state, const JobSpec& spec)
{
    auto [it, isNew] = state.jobs.try_emplace(spec.name);
    auto& job = it->second;
    if (!isNew && job.spec == spec)
        return;
    if (isNew)
        job.sequence = state.nextSequence++;
    else
        dequeue(state, job);
    const bool holdsResources = holdsWorker(job.progress.phase);
    const auto reserved = job.reserved;
    if (holdsResources)
        release(state, job);
    job.spec = spec;
    if (holdsResources)
        reserve(state, job, reserved);
    if (isFinal(job.progress.phase))
        return;
    if (spec.cancelled && holdsResources)
        return requestStop(state, spec.name, StopReason::Cancel);
    if (holdsResources)
        return;
    job.progress.phase = spec.cancelled ? Phase::Cancelled : Phase::Queued;
    job.progress.condition.clear();
    state.changedJobs.insert(spec.name);
    if (!spec.cancelled)
        enqueue(state, job);
}

void removeJob(State& state, const std::string& name)
{
    auto found = state.jobs.find(name);
    if (found == state.jobs.end())
        return;
    if (holdsWorker(found->second.progress.phase))
        release(state, found->second);
    dequeue(state, found->second);
    state.changedJobs.erase(name);
    state.jobs.erase(found);
}

void restoreProgress(State& state, const std::string& name, const Progress& progress)
{
    auto& job = state.jobs.at(name);
    if (holdsWorker(job.progress.phase))
        release(state, job);
    dequeue(state, job);
    job.progress = progress;
    state.changedJobs.erase(name);
    if (holdsWorker(progress.phase)) {
        reserve(state, job, estimatedSize(state, job.spec));
        if (job.spec.cancelled)
            requestStop(state, name, StopReason::Cancel);
        return;
    }
    if (isFinal(progress.phase))
        return;
    if (job.spec.cancelled) {
        job.progress.phase = Phase::Cancelled;
        state.changedJobs.insert(name);
        return;
    }
    // The next pass checks an unschedulable job again. Its row changes only if the result differs.
    enqueue(state, job);
}

std::set<std::string> takeChangedJobs(State& state) { return std::exchange(state.changedJobs, {}); }

} // namespace damask::placement
