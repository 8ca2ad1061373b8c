#include "waiting_steps_pvt.h"

#include "crash_attribution_pvt.h"
#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"
#include "progress_pvt.h"
#include "vm_room_pvt.h"

#include <damaskworks/job_timing.h>

#include <algorithm>
#include <bit>

namespace damask::fleet {
namespace {

constexpr int classesPerOctave = 4;

/// Use of a pool from which the room that becomes free is left to the better steps, even where it is too
/// small for them yet: large tasks would never find a VM with enough of it.
constexpr double fullShare = 0.75;

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

/// A task of an occurrence.
struct TaskPosition {
    int step = 0;
    int index = 0;
};

/// A task that the step depends on and that no earlier holder can have had as done, so that none has started
/// the step; nothing if there is none.
std::optional<TaskPosition> findUnfinishedPredecessor(
    const JobEntry& job, const OccurrenceState& occurrence, int step)
{
    for (int before : stepOf(job, step).after) {
        const auto& tasks = occurrence.steps[static_cast<std::size_t>(before)].tasks;
        const auto task = std::find_if(
            tasks.begin(), tasks.end(), [](const TaskState& candidate) { return candidate.wasUnfinished; });
        if (task != tasks.end())
            return TaskPosition { before, static_cast<int>(task - tasks.begin()) };
    }
    return std::nullopt;
}

void openDueOccurrences(JobEntry& job, WallTime wallNow)
{
    for (; job.nextOccurrence < job.spec.occurrences && dueAt(job, job.nextOccurrence) <= wallNow;
         ++job.nextOccurrence) {
        if (!contains(job.endedOccurrences, job.nextOccurrence))
            openOccurrence(job, job.nextOccurrence);
    }
}

bool isStepWaiting(const JobEntry& job, const OccurrenceState& occurrence, int step, bool hasUnknownRuns)
{
    const auto& tasks = occurrence.steps[static_cast<std::size_t>(step)];
    if (tasks.doneTasks == static_cast<int>(tasks.tasks.size()) || !isStepReady(job, occurrence, step))
        return false;
    return std::any_of(tasks.tasks.begin(), tasks.tasks.end(),
        [&](const TaskState& task) { return isWaiting(task, hasUnknownRuns); });
}

NeedClass needClassOf(const JobEntry& job, const StepSpec& step, const StepState& tasks)
{
    const bool hasSuspect = std::any_of(
        tasks.tasks.begin(), tasks.tasks.end(), [](const TaskState& task) { return task.isSuspect; });
    if (step.longRunning || hasSuspect)
        return roomIndependent;
    const auto need = reservedBy(step);
    return { sizeClass(need.cpu), sizeClass(need.memoryMb), job.party };
}

/// Needs of the step's waiting tasks, for the shares of organisations.
Resources sharedNeeds(const JobEntry& job, const StepSpec& step, const StepState& tasks, bool hasUnknownRuns)
{
    Resources out;
    if (job.party == noParty || step.longRunning)
        return out;
    const auto need = reservedBy(step);
    for (const auto& task : tasks.tasks) {
        if (isWaiting(task, hasUnknownRuns))
            out += need;
    }
    return out;
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
            add(startOf(timeliness, job, number, job.occurrences.at(number), queue));
    }
    return next;
}

/// Adds \p change entries like \p indexed to the sums of the index and of the shares.
void addToSums(PoolState& state, const JobEntry& job, const IndexedStep& indexed, int change)
{
    auto& index = state.waitingSteps;
    if (!indexed.step.isExcess) {
        index.inTimeSteps += indexed.step.urgency == Urgency::InTime ? change : 0;
        index.lateSteps += indexed.step.urgency == Urgency::Late ? change : 0;
    }
    addWaiting(state.shares, job.party, indexed.waiting, change);
}

void removeEntries(PoolState& state, JobEntry& job)
{
    auto& index = state.waitingSteps;
    for (const auto& indexed : job.indexedSteps) {
        const auto found = index.byNeed.find(indexed.needClass);
        auto& group = found->second;
        group.steps.erase(indexed.step);
        group.cpu.erase(group.cpu.find(indexed.need.cpu));
        group.memoryMb.erase(group.memoryMb.find(indexed.need.memoryMb));
        addToSums(state, job, indexed, -1);
        if (group.steps.empty())
            index.byNeed.erase(found);
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
    for (const auto& indexed : job.indexedSteps) {
        auto& group = index.byNeed[indexed.needClass];
        group.steps.insert(indexed.step);
        group.cpu.insert(indexed.need.cpu);
        group.memoryMb.insert(indexed.need.memoryMb);
        addToSums(state, job, indexed, 1);
    }
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

int sizeClass(std::int64_t size)
{
    if (size < classesPerOctave)
        return 1 + static_cast<int>(std::max<std::int64_t>(size, 0));
    const auto value = static_cast<std::uint64_t>(size);
    const int shift = std::bit_width(value) - std::bit_width(static_cast<std::uint64_t>(classesPerOctave));
    const auto leading = static_cast<int>(value >> shift); // from classesPerOctave to twice as much
    return 1 + shift * classesPerOctave + leading;
}

bool mayHaveUnknownRuns(
    const JobEntry& job, const OccurrenceState& occurrence, int step, const StartBlocks& blocks)
{
    return job.isRecovered && !blocks.isRecoveryComplete && !isNewlyReady(job, occurrence, step);
}

bool isNewlyReady(const JobEntry& job, const OccurrenceState& occurrence, int step)
{
    return findUnfinishedPredecessor(job, occurrence, step).has_value();
}

void setBasis(const PoolState& state, const StartBlocks& blocks, TimePoint now, StartAction& start)
{
    const auto& id = start.command.task;
    const auto& job = state.jobs.find(id.job)->second;
    if (!job.isRecovered) {
        start.basis = job.hadEarlierHolder ? StartBasis::NoRecord : StartBasis::NewJob;
        return;
    }
    if (blocks.isRecoveryComplete) {
        const bool isByTime = now >= state.recoveryDeadline && !state.haveAllVmsReported;
        start.basis = isByTime ? StartBasis::LeasesExpired : StartBasis::AllVmsReported;
        return;
    }
    const auto predecessor = findUnfinishedPredecessor(job, job.occurrences.at(id.occurrence), id.step);
    start.basis = predecessor ? StartBasis::PredecessorUnfinished : StartBasis::TaskListed;
    if (predecessor)
        start.unfinishedPredecessor = TaskId { id.job, id.occurrence, predecessor->step, predecessor->index };
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
            const bool hasUnknownRuns = mayHaveUnknownRuns(job, occurrence, s, blocks);
            if (!isStepWaiting(job, occurrence, s, hasUnknownRuns))
                continue;
            const auto& spec = stepOf(job, s);
            WaitingStep step { .isExcess = job.isExcess && !spec.longRunning,
                .job = job.spec.id,
                .step = s,
                .occurrence = number };
            step.priority = queue ? queue->priority : 0;
            step.objective = dueAt(job, number) + objectiveDuration(job, queue);
            step.urgency = spec.longRunning
                ? Urgency::Serving
                : urgencyOf(earliestTimeliness(job, number, occurrence, queue, wallNow));
            const auto& tasks = occurrence.steps[static_cast<std::size_t>(s)];
            out.push_back({ needClassOf(job, spec, tasks), reservedBy(spec), std::move(step),
                sharedNeeds(job, spec, tasks, hasUnknownRuns) });
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

namespace {

/// The part of the order that comes before the shares of organisations.
std::pair<bool, Urgency> rankOf(const WaitingStep& step) { return { step.isExcess, step.urgency }; }

} // namespace

bool WaitingStepCursor::isLater(const Head& a, const Head& b)
{
    if (a.isAboveShare != b.isAboveShare && rankOf(*a.position) == rankOf(*b.position))
        return a.isAboveShare;
    return *b.position < *a.position;
}

WaitingStepCursor::WaitingStepCursor(const PoolState& state, PlanScope scope)
    : m_room(state.vmRoom)
    , m_shares(state.shares)
    , m_index(state.waitingSteps)
{
    m_heads.reserve(state.waitingSteps.byNeed.size());
    for (const auto& [needClass, group] : state.waitingSteps.byNeed) {
        const bool isRoomIndependent = needClass == roomIndependent;
        const Head head { group.steps.begin(), group.steps.end(),
            { *group.cpu.begin(), *group.memoryMb.begin(), 0 }, isRoomIndependent, needClass.party,
            isAboveShare(m_shares, needClass.party) };
        if (mayFit(head) && (scope == PlanScope::Everything || !isRoomIndependent))
            m_heads.push_back(head);
    }
    std::make_heap(m_heads.begin(), m_heads.end(), isLater);
}

bool WaitingStepCursor::mustLeaveRoom(const Head& head) const
{
    const auto& step = *head.position;
    const bool isWorthLess = step.isExcess || step.urgency > Urgency::InTime;
    const bool doBetterOnesWait = m_index.inTimeSteps > 0 || (step.isExcess && m_index.lateSteps > 0);
    return !head.isRoomIndependent && isWorthLess && doBetterOnesWait
        && dominantShare(m_shares.used, m_room.capacity) > fullShare;
}

bool WaitingStepCursor::mayFit(const Head& head) const
{
    return head.isRoomIndependent
        || (head.smallestNeed.cpu <= largestFreeCpu(m_room) && hasRoomFor(m_room, head.smallestNeed));
}

std::optional<PlannedStep> WaitingStepCursor::next()
{
    while (!m_heads.empty()) {
        std::pop_heap(m_heads.begin(), m_heads.end(), isLater);
        auto& head = m_heads.back();
        // The starts of this pass may have taken the organisation above its share.
        const bool isAbove = isAboveShare(m_shares, head.party);
        if (std::exchange(head.isAboveShare, isAbove) != isAbove) {
            std::push_heap(m_heads.begin(), m_heads.end(), isLater);
            continue;
        }
        const PlannedStep step { &*head.position, head.isRoomIndependent };
        if (!mayFit(head) || mustLeaveRoom(head)) {
            m_heads.pop_back();
            continue;
        }
        if (++head.position == head.end)
            m_heads.pop_back();
        else
            std::push_heap(m_heads.begin(), m_heads.end(), isLater);
        return step;
    }
    return std::nullopt;
}

} // namespace damask::fleet
