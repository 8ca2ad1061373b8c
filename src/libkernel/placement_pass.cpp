#include "placement_pvt.h"

#include <algorithm>

namespace damask::placement {
namespace {

/// A worker of the pool, looked up once per pass.
struct Candidate {
    const std::string* vm = nullptr;
    const Worker* worker = nullptr;
    const std::size_t* jobsInRack = nullptr;
    Resources reservedForPreemption; ///< for urgent jobs that wait for preempted tasks to stop
};

/// Context of one scheduling pass over one pool.
struct SchedulingPass {
    State& state;
    Pool& pool;
    std::uint64_t epoch;
    TimePoint now;
    std::vector<Candidate> candidates;
    std::map<std::string, std::size_t> jobsByRack;
    std::vector<Resources> sizesThatDidNotFit; ///< sizes that fitted on no worker in this pass
};

bool acceptsJobs(const Worker& worker, TimePoint now)
{
    return worker.accepting && worker.quarantinedUntil <= now;
}

Resources freeCapacity(const Candidate& candidate)
{
    return candidate.worker->capacity - candidate.worker->used - candidate.reservedForPreemption;
}

bool failedOn(const Job& job, const std::string& vm)
{
    const auto& failures = job.progress.failedOn;
    return std::find(failures.begin(), failures.end(), vm) != failures.end();
}

void setPhaseAndCondition(State& state, Job& job, Phase phase, const std::string& condition)
{
    if (job.progress.phase == phase && job.progress.condition == condition)
        return;
    job.progress.phase = phase;
    job.progress.condition = condition;
    state.changedJobs.insert(job.spec.name);
}

/// Why the job cannot run with the present quota and workers, or nothing.
std::optional<std::string> unschedulableReason(const SchedulingPass& pass, const Job& job)
{
    const auto team = pass.state.teams.find(job.spec.team);
    if (team != pass.state.teams.end() && team->second.quota && !fits(job.spec.declared, *team->second.quota))
        return "larger than the quota of team " + job.spec.team;
    if (pass.candidates.empty())
        return std::nullopt;
    for (const auto& candidate : pass.candidates) {
        if (fits(job.spec.declared, candidate.worker->capacity))
            return std::nullopt;
    }
    return "larger than any VM of pool " + job.spec.pool;
}

/// Size to reserve: the estimate, or the declared size if the estimate exceeds the quota or every worker.
Resources sizeToReserve(const SchedulingPass& pass, const Job& job)
{
    const auto estimated = estimatedSize(pass.state, job.spec);
    if (estimated == job.spec.declared)
        return estimated;
    const auto team = pass.state.teams.find(job.spec.team);
    if (team != pass.state.teams.end() && team->second.quota && !fits(estimated, *team->second.quota))
        return job.spec.declared;
    for (const auto& candidate : pass.candidates) {
        if (fits(estimated, candidate.worker->capacity))
            return estimated;
    }
    return job.spec.declared;
}

bool isWithinQuota(State& state, const Job& job, const Resources& size)
{
    const auto& team = state.teams[job.spec.team];
    return !team.quota || fits(team.used + size, *team.quota);
}

/// Score of a worker, lower is better. Compared in this order: the job has not failed there, fewest
/// accelerators stay idle, fewest jobs in the rack, least CPU stays free.
using Score = std::tuple<bool, double, std::size_t, double>;

/// The best worker with enough free capacity, or nullptr.
const Candidate* chooseWorker(const SchedulingPass& pass, const Job& job, const Resources& size)
{
    const Candidate* best = nullptr;
    Score bestScore;
    for (const auto& candidate : pass.candidates) {
        if (!acceptsJobs(*candidate.worker, pass.now))
            continue;
        const auto remaining = freeCapacity(candidate) - size;
        if (!fits({}, remaining))
            continue;
        const Score score { failedOn(job, *candidate.vm), remaining.accelerators, *candidate.jobsInRack,
            remaining.cpu };
        if (best && score >= bestScore)
            continue;
        best = &candidate;
        bestScore = score;
    }
    return best;
}

void place(SchedulingPass& pass, Job& job, const std::string& vm, const Resources& size)
{
    auto& progress = job.progress;
    ++progress.attempts;
    progress.phase = Phase::Placed;
    progress.vm = vm;
    progress.epoch = pass.epoch;
    progress.task = job.spec.name + "." + std::to_string(job.spec.incarnation) + "."
        + std::to_string(progress.attempts);
    progress.stopReason = StopReason::None;
    progress.condition.clear();
    reserve(pass.state, job, size);
    pass.state.changedJobs.insert(job.spec.name);
}

/// Jobs to preempt on the worker so that \p size fits; nothing if preemption cannot free enough. Takes
/// lower priorities and larger reservations first. Jobs that already stop count as free capacity.
std::optional<std::vector<std::string>> victimsOn(
    const SchedulingPass& pass, const Candidate& candidate, const Resources& size)
{
    auto available = freeCapacity(candidate);
    std::vector<const Job*> preemptible;
    for (const auto& name : candidate.worker->jobs) {
        const auto& job = pass.state.jobs.at(name);
        if (job.progress.stopReason != StopReason::None)
            available = available + job.reserved;
        else if (job.spec.priority != Priority::Urgent)
            preemptible.push_back(&job);
    }
    std::sort(preemptible.begin(), preemptible.end(), [](const Job* a, const Job* b) {
        return std::tuple(a->spec.priority, a->reserved.accelerators, a->reserved.cpu, a->reserved.memoryMb)
            > std::tuple(b->spec.priority, b->reserved.accelerators, b->reserved.cpu, b->reserved.memoryMb);
    });
    std::vector<std::string> victims;
    for (const auto* job : preemptible) {
        if (fits(size, available))
            break;
        available = available + job->reserved;
        victims.push_back(job->spec.name);
    }
    if (!fits(size, available))
        return std::nullopt;
    return victims;
}

/// Preempts jobs for an urgent job on the worker that needs the fewest preemptions. Returns false if no
/// worker can be freed.
bool preempt(SchedulingPass& pass, const Job& job, const Resources& size)
{
    Candidate* best = nullptr;
    std::vector<std::string> bestVictims;
    for (auto& candidate : pass.candidates) {
        if (!acceptsJobs(*candidate.worker, pass.now) || failedOn(job, *candidate.vm))
            continue;
        auto victims = victimsOn(pass, candidate, size);
        if (!victims || (best && victims->size() >= bestVictims.size()))
            continue;
        best = &candidate;
        bestVictims = std::move(*victims);
    }
    if (!best)
        return false;
    for (const auto& victim : bestVictims)
        requestStop(pass.state, victim, StopReason::Preempt);
    best->reservedForPreemption = best->reservedForPreemption + size;
    return true;
}

bool hasSmallerSizeFailed(const SchedulingPass& pass, const Resources& size)
{
    return std::any_of(pass.sizesThatDidNotFit.begin(), pass.sizesThatDidNotFit.end(),
        [&](const Resources& other) { return fits(other, size); });
}

/// Places the job or records why it waits. Returns whether the job leaves the queue.
bool trySchedule(SchedulingPass& pass, Job& job)
{
    if (auto reason = unschedulableReason(pass, job)) {
        setPhaseAndCondition(pass.state, job, Phase::Unschedulable, *reason);
        pass.pool.unschedulable.insert(job.spec.name);
        return true;
    }
    const auto size = sizeToReserve(pass, job);
    if (!isWithinQuota(pass.state, job, size)) {
        pass.state.teams[job.spec.team].waitingPools.insert(job.spec.pool);
        setPhaseAndCondition(pass.state, job, Phase::Queued, "waits for the quota of team " + job.spec.team);
        return false;
    }
    const bool isUrgent = job.spec.priority == Priority::Urgent;
    const bool isKnownNotToFit = !isUrgent && hasSmallerSizeFailed(pass, size);
    if (const auto* chosen = isKnownNotToFit ? nullptr : chooseWorker(pass, job, size)) {
        place(pass, job, *chosen->vm, size);
        return true;
    }
    if (isUrgent && preempt(pass, job, size)) {
        setPhaseAndCondition(pass.state, job, Phase::Queued, "waits for lower work to end");
        return false;
    }
    if (!isKnownNotToFit && !isUrgent)
        pass.sizesThatDidNotFit.push_back(size);
    setPhaseAndCondition(pass.state, job, Phase::Queued, "waits for room in pool " + job.spec.pool);
    return false;
}

void collectCandidates(SchedulingPass& pass)
{
    for (const auto& vm : pass.pool.workers) {
        const auto& worker = pass.state.workers.at(vm);
        auto& jobsInRack = pass.jobsByRack[worker.rack];
        jobsInRack += worker.jobs.size();
        pass.candidates.push_back({ &vm, &worker, &jobsInRack, {} });
    }
}

void schedulePool(SchedulingPass& pass)
{
    collectCandidates(pass);
    auto& queue = pass.pool.queue;
    for (auto it = queue.begin(); it != queue.end();) {
        auto& job = pass.state.jobs.at(std::get<std::string>(*it));
        it = trySchedule(pass, job) ? queue.erase(it) : std::next(it);
    }
}

} // namespace

void pass(State& state, std::uint64_t epoch, TimePoint now)
{
    for (auto& [vm, worker] : state.workers) {
        if (worker.quarantinedUntil == TimePoint {} || worker.quarantinedUntil > now)
            continue;
        worker.quarantinedUntil = {};
        worker.jobsFailedOnlyHere.clear();
        state.dirtyPools.insert(worker.pool);
    }
    for (const auto& name : std::exchange(state.dirtyPools, {})) {
        SchedulingPass current { state, state.pools[name], epoch, now, {}, {}, {} };
        schedulePool(current);
    }
}

} // namespace damask::placement
