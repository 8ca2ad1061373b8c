#include "waiting_steps_pvt.h"

#include "crash_attribution_pvt.h"
#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"
#include "progress_pvt.h"

#include <damaskworks/job_timing.h>

#include <algorithm>
#include <bit>

namespace damask::fleet {
namespace {

constexpr int classesPerOctave = 8;
/// Needs below this have classes of their own.
constexpr std::int64_t firstOctave = classesPerOctave;

Urgency urgencyOf(Timeliness timeliness)
{
    switch (timeliness) {
    case Timeliness::InTime:
        return Urgency::InTime;
    case Timeliness::Late:
        return Urgency::Late;
    case Timeliness::Overdue:
        break;
    }
    return Urgency::Overdue;
}

const Queue* queueOf(const PoolState& state, const JobEntry& job)
{
    const auto queue = state.queues.find(job.spec.queue);
    return queue == state.queues.end() ? nullptr : &queue->second;
}

/// Whether a task that the step depends on has run since the takeover, so that no earlier holder has started
/// the step. The end of one member of a gang may have been known earlier, while the others were still listed.
bool becameReadySinceTakeover(const JobEntry& job, const OccurrenceState& occurrence, int step)
{
    for (int before : stepOf(job, step).after) {
        const auto& tasks = occurrence.steps[static_cast<std::size_t>(before)].tasks;
        if (!stepOf(job, before).gang
            && std::any_of(tasks.begin(), tasks.end(), [](const TaskState& task) { return task.wasListed; }))
            return true;
    }
    return false;
}

void openDueOccurrences(JobEntry& job, WallTime wallNow)
{
    while (job.nextOccurrence < job.spec.occurrences && dueAt(job, job.nextOccurrence) <= wallNow)
        openOccurrence(job, job.nextOccurrence);
}

bool isStepWaiting(const JobEntry& job, const OccurrenceState& occurrence, int step, bool hasUnknownRuns)
{
    const auto& tasks = occurrence.steps[static_cast<std::size_t>(step)];
    if (tasks.doneTasks == static_cast<int>(tasks.tasks.size()) || !isStepReady(job, occurrence, step))
        return false;
    return std::any_of(tasks.tasks.begin(), tasks.tasks.end(),
        [&](const TaskState& task) { return isWaiting(task, hasUnknownRuns); });
}

int needClassOf(const PoolState& state, const JobEntry& job, const StepSpec& step, const StepState& tasks)
{
    const bool hasSuspect = std::any_of(
        tasks.tasks.begin(), tasks.tasks.end(), [](const TaskState& task) { return task.isSuspect; });
    const bool waitsForRoomOnly
        = isUnconstrained(state, job, step) && !step.longRunning && !step.gang && !hasSuspect;
    return waitsForRoomOnly ? needClass(reservedBy(step).cpu) : 0;
}

/// Time at which the job's entries change although the job does not.
std::optional<WallTime> nextChange(const PoolState& state, const JobEntry& job, WallTime wallNow)
{
    std::optional<WallTime> next;
    const auto add = [&](WallTime at) {
        if (at > wallNow && (!next || at < *next))
            next = at;
    };
    if (job.nextOccurrence < job.spec.occurrences)
        add(dueAt(job, job.nextOccurrence));
    const auto* queue = queueOf(state, job);
    for (const auto& indexed : job.indexedSteps) {
        if (indexed.step.urgency == Urgency::Serving)
            continue;
        const int number = indexed.step.occurrence;
        for (const auto timeliness : { Timeliness::Late, Timeliness::Overdue })
            add(becomes(job, number, job.occurrences.at(number), queue, timeliness));
    }
    return next;
}

void removeEntries(PoolState& state, JobEntry& job)
{
    auto& index = state.waitingSteps;
    for (const auto& indexed : job.indexedSteps) {
        const auto steps = index.byNeed.find(indexed.needClass);
        if (steps == index.byNeed.end())
            continue;
        steps->second.erase(indexed.step);
        if (steps->second.empty())
            index.byNeed.erase(steps);
    }
    job.indexedSteps.clear();
    if (job.nextChangeAt)
        index.jobsByTime.erase({ *job.nextChangeAt, job.spec.id });
    job.nextChangeAt.reset();
}

void updateJob(PoolState& state, JobEntry& job, const StartBlocks& blocks, WallTime wallNow)
{
    auto& index = state.waitingSteps;
    removeEntries(state, job);
    if (isFinal(job.state))
        return;
    openDueOccurrences(job, wallNow);
    job.indexedSteps = findWaitingSteps(state, job, blocks, wallNow);
    for (const auto& indexed : job.indexedSteps)
        index.byNeed[indexed.needClass].insert(indexed.step);
    job.nextChangeAt = nextChange(state, job, wallNow);
    if (job.nextChangeAt)
        index.jobsByTime.emplace(*job.nextChangeAt, job.spec.id);
}

/// Marks the jobs whose entries time alone changes.
void markDueJobs(PoolState& state, WallTime wallNow)
{
    auto& index = state.waitingSteps;
    // A wall clock may be set back.
    if (wallNow < index.updatedAt)
        return markAllJobsChanged(state);
    while (!index.jobsByTime.empty() && index.jobsByTime.begin()->first <= wallNow) {
        const auto job = state.jobs.find(index.jobsByTime.begin()->second);
        index.jobsByTime.erase(index.jobsByTime.begin());
        if (job == state.jobs.end())
            continue;
        job->second.nextChangeAt.reset();
        markChanged(state, job->second);
    }
}

} // namespace

int needClass(std::int64_t cpu)
{
    if (cpu < firstOctave)
        return 1 + static_cast<int>(std::max<std::int64_t>(cpu, 0));
    const auto need = static_cast<std::uint64_t>(cpu);
    const int shift = std::bit_width(need) - std::bit_width(static_cast<std::uint64_t>(classesPerOctave));
    const auto leading = static_cast<int>(need >> shift); // from classesPerOctave to twice as much
    return 1 + shift * classesPerOctave + leading;
}

std::int64_t smallestNeed(int needClass)
{
    if (needClass <= firstOctave)
        return needClass - 1;
    const int shift = (needClass - 1) / classesPerOctave - 1;
    return static_cast<std::int64_t>(needClass - 1 - shift * classesPerOctave) << shift;
}

bool mayHaveUnknownRuns(
    const JobEntry& job, const OccurrenceState& occurrence, int step, const StartBlocks& blocks)
{
    return job.isRecovered && !blocks.isRecoveryComplete && !becameReadySinceTakeover(job, occurrence, step);
}

bool isWaiting(const TaskState& task, bool mayHaveUnknownRuns)
{
    const bool isKnown = !mayHaveUnknownRuns || (task.wasListed && !task.earlierRun);
    return !task.done && !task.run && isKnown;
}

bool isUnconstrained(const PoolState& state, const JobEntry& job, const StepSpec& step)
{
    return step.requiredLabel.empty() && step.preferredRack.empty() && !step.sameRack && step.maxPerVm == 0
        && !needsTicket(state, job);
}

std::vector<IndexedStep> findWaitingSteps(
    const PoolState& state, const JobEntry& job, const StartBlocks& blocks, WallTime wallNow)
{
    std::vector<IndexedStep> out;
    const auto* queue = queueOf(state, job);
    for (const auto& [number, occurrence] : job.occurrences) {
        for (int s = 0; s < static_cast<int>(occurrence.steps.size()); ++s) {
            if (!isStepWaiting(job, occurrence, s, mayHaveUnknownRuns(job, occurrence, s, blocks)))
                continue;
            const auto& spec = stepOf(job, s);
            WaitingStep step { .job = job.spec.id, .step = s, .occurrence = number };
            step.priority = queue ? queue->priority : 0;
            step.objective = dueAt(job, number) + objectiveDuration(job, queue);
            step.urgency = spec.longRunning
                ? Urgency::Serving
                : urgencyOf(earliestTimeliness(job, number, occurrence, queue, wallNow));
            const auto& tasks = occurrence.steps[static_cast<std::size_t>(s)];
            out.push_back({ needClassOf(state, job, spec, tasks), std::move(step) });
        }
    }
    return out;
}

void removeWaitingSteps(PoolState& state, JobEntry& job) { removeEntries(state, job); }

void updateWaitingSteps(PoolState& state, const StartBlocks& blocks, WallTime wallNow)
{
    auto& index = state.waitingSteps;
    if (blocks.isRecoveryComplete != index.wasRecoveryComplete)
        markAllJobsChanged(state);
    markDueJobs(state, wallNow);
    index.wasRecoveryComplete = blocks.isRecoveryComplete;
    index.updatedAt = wallNow;
    for (const auto& id : takeChanged(state.changedJobs, state.jobs, ChangeReader::Planning)) {
        const auto job = state.jobs.find(id);
        if (job == state.jobs.end())
            continue;
        if (blocks.isRecoveryComplete)
            attributeEarlierCrashes(state, job->second);
        updateJob(state, job->second, blocks, wallNow);
        ++state.work.jobUpdates;
    }
}

WaitingStepCursor::WaitingStepCursor(const WaitingStepsByNeed& steps)
{
    m_heads.reserve(steps.size());
    for (const auto& [needClass, entries] : steps) {
        if (!entries.empty())
            m_heads.push_back({ entries.begin(), entries.end(), smallestNeed(needClass) });
    }
    std::make_heap(m_heads.begin(), m_heads.end(), isLater);
}

const WaitingStep* WaitingStepCursor::next(std::int64_t freeCpu)
{
    while (!m_heads.empty()) {
        std::pop_heap(m_heads.begin(), m_heads.end(), isLater);
        auto& head = m_heads.back();
        if (head.smallestNeed > freeCpu) {
            m_heads.pop_back();
            continue;
        }
        const auto& step = *head.position;
        if (++head.position == head.end)
            m_heads.pop_back();
        else
            std::push_heap(m_heads.begin(), m_heads.end(), isLater);
        return &step;
    }
    return nullptr;
}

} // namespace damask::fleet
