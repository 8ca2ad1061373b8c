#include <damaskworks/cap_use.h>
#include <damaskworks/pool_plan.h>

#include <algorithm>

namespace damask::fleet {
namespace {

OrganisationUse* useOf(PoolState& state, const JobEntry& job)
{
    return job.spec.organisation.empty() ? nullptr : &useOf(state.caps, job.spec.organisation);
}

/// Whether an earlier holder has started the run.
bool isEarlierRun(const PoolState& state, const JobEntry& job, std::uint32_t run)
{
    return job.isRecovered && run <= runNumberBase(state.term);
}

Resources multiplied(const Resources& need, std::int64_t count)
{
    return { need.cpu * count, need.memoryMb * count, need.gpu * count };
}

/// Whether a start of \p need on top of \p used stays within \p limit. What it doesn't need doesn't matter.
bool isWithin(const Resources& used, const Resources& need, const Resources& limit)
{
    bool out = true;
    forEachResource([&](auto member) {
        out = out && (need.*member == 0 || used.*member + need.*member <= limit.*member);
    });
    return out;
}

void countOrphanRuns(PoolState& state)
{
    for (auto& [name, use] : state.caps.organisations)
        use.orphanRuns = {};
    for (const auto& id : state.orphanVms) {
        const auto vm = state.vms.find(id);
        if (vm == state.vms.end())
            continue;
        for (const auto& [run, nextStopAt] : vm->second.orphanRuns) {
            const auto job = state.jobs.find(run.first.job);
            const auto step = static_cast<std::size_t>(run.first.step);
            if (job == state.jobs.end() || step >= job->second.spec.steps.size())
                continue;
            if (auto* use = useOf(state, job->second))
                use->orphanRuns += stepOf(job->second, run.first.step).need;
        }
    }
}

/// Whether a VM lists a run of a job that the holder doesn't know. The job has ended, and the run counts for
/// no organisation.
bool hasRunsOfUnknownJobs(const PoolState& state)
{
    return std::any_of(state.orphanVms.begin(), state.orphanVms.end(), [&](const auto& id) {
        const auto vm = state.vms.find(id);
        return vm != state.vms.end()
            && std::any_of(vm->second.orphanRuns.begin(), vm->second.orphanRuns.end(),
                [&](const auto& entry) { return !state.jobs.contains(entry.first.first.job); });
    });
}

} // namespace

OrganisationUse& useOf(PoolCaps& caps, std::string_view organisation)
{
    const auto found = caps.organisations.find(organisation);
    if (found != caps.organisations.end())
        return found->second;
    auto& use = caps.organisations[std::string(organisation)];
    if (caps.isEnforced)
        use.allowed = Resources {};
    return use;
}

Resources usedBy(const PoolCaps& caps, const OrganisationUse& use)
{
    auto known = use.runs;
    known += use.orphanRuns;
    known += use.unsettledStarts;
    if (caps.areEarlierRunsKnown)
        return known;
    auto most = use.inherited;
    most += use.ownRuns;
    most += use.unsettledStarts;
    forEachResource([&](auto member) { most.*member = std::max(most.*member, known.*member); });
    return most;
}

void addRunToCaps(PoolState& state, const JobEntry& job, const StepSpec& step, std::uint32_t run)
{
    auto* use = useOf(state, job);
    if (!use)
        return;
    use->runs += step.need;
    if (!isEarlierRun(state, job, run))
        use->ownRuns += step.need;
}

void removeRunFromCaps(PoolState& state, const JobEntry& job, const StepSpec& step, std::uint32_t run)
{
    auto* use = useOf(state, job);
    if (!use)
        return;
    use->runs -= step.need;
    if (!isEarlierRun(state, job, run))
        use->ownRuns -= step.need;
}

void addUnsettledStart(PoolState& state, const JobEntry& job, const StepSpec& step, TimePoint until)
{
    auto* use = useOf(state, job);
    if (!use)
        return;
    use->unsettledStarts += step.need;
    state.caps.unsettledStarts.push_back({ until, job.spec.organisation, step.need });
}

bool areEarlierRunsKnown(const PoolState& state, TimePoint now)
{
    if (state.term == 0)
        return true;
    // A VM that has not reported may still carry out earlier starts.
    const bool haveAllStarted
        = state.haveAllVmsReported || (now >= state.earlierStartsUntil && isRecoveryComplete(state, now));
    return haveAllStarted && (state.caps.areEarlierRunsKnown || !hasRunsOfUnknownJobs(state));
}

bool isUnused(const PoolState& state, const OrganisationUse& use)
{
    const bool hasOrphans = std::any_of(state.orphanVms.begin(), state.orphanVms.end(), [&](const auto& id) {
        const auto vm = state.vms.find(id);
        return vm != state.vms.end() && !vm->second.orphanRuns.empty();
    });
    return !hasOrphans && state.caps.areEarlierRunsKnown && usedBy(state.caps, use) == Resources {};
}

void beginCapPass(PoolState& state, bool recordsWaiting, TimePoint now)
{
    auto& caps = state.caps;
    if (caps.organisations.empty())
        return;
    std::erase_if(caps.unsettledStarts, [&](const UnsettledStart& start) {
        if (now < start.until)
            return false;
        caps.organisations[start.organisation].unsettledStarts -= start.need;
        return true;
    });
    countOrphanRuns(state);
    caps.areEarlierRunsKnown = areEarlierRunsKnown(state, now);
    if (!recordsWaiting)
        return;
    for (auto& [name, use] : caps.organisations)
        use.waiting = use.smallestStart = {};
}

bool hasShareFor(PoolState& state, const JobEntry& job, const StepSpec& step, int together, int waiting)
{
    if (job.spec.organisation.empty())
        return true;
    auto& use = useOf(state.caps, job.spec.organisation);
    if (!use.allowed)
        return true;
    const auto need = multiplied(step.need, together);
    if (isWithin(usedBy(state.caps, use), need, *use.allowed))
        return true;
    if (waiting == 0)
        return false;
    const bool isFirst = use.waiting == Resources {};
    use.waiting += multiplied(step.need, waiting);
    if (isFirst || fits(need, use.smallestStart))
        use.smallestStart = need;
    return false;
}

} // namespace damask::fleet
