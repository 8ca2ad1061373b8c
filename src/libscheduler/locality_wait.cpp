#include <damaskworks/locality_wait.h>

#include <algorithm>

namespace damask::fleet {
namespace {

using std::chrono::duration_cast;

/// From the end of a run until a task has started in its room: the report of the end, and a pass.
constexpr milliseconds handoverTime { 50 };
/// Shortest time that a run past its expected end is expected to last.
constexpr milliseconds minOverrun { 50 };

milliseconds scale(milliseconds time, double factor)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

/// Time until the VM has room for the task; empty if its foreseen ends leave too little.
std::optional<milliseconds> timeUntilRoom(const RackVm& vm, const Resources& need, TimePoint now)
{
    if (vm.openings <= 0)
        return std::nullopt;
    auto free = vm.free;
    if (fits(need, free))
        return milliseconds(0);
    for (const auto& end : vm.ends) {
        free += end.freed;
        if (fits(need, free))
            return std::max(milliseconds(0), duration_cast<milliseconds>(end.at - now));
    }
    return std::nullopt;
}

} // namespace

LocalityDecision decideLocality(const LocalityQuestion& question)
{
    using enum LocalityChoice;
    using enum LocalityReason;
    if (!question.untilRoom)
        return { Elsewhere, NoRoomExpected };
    const auto wait = *question.untilRoom + handoverTime;
    const auto loss = scale(question.runTime, question.farSlowdown - 1);
    if (wait >= loss)
        return { Elsewhere, NotSooner };
    if (question.waited + wait > question.maxWait)
        return { Elsewhere, Bound };
    // The boundary that a start elsewhere still meets has to be met by one after the wait too.
    for (const auto boundary : { question.untilLate, question.untilOverdue }) {
        if (loss <= boundary)
            return wait + loss <= boundary ? LocalityDecision { Wait, Sooner }
                                           : LocalityDecision { Elsewhere, Objective };
        // Only the rack meets it.
        if (wait <= boundary)
            return { Wait, Sooner };
    }
    return { Wait, Sooner };
}

TimePoint expectedEnd(const RunOutlook& run, TimePoint now)
{
    auto end = run.startedAt + run.estimate;
    // Earlier progress says little: it may be rounded, and the run may just have begun.
    const bool hasPace = run.progressAt - run.startedAt >= run.estimate / 2 && run.progressAt > run.startedAt;
    if (run.percent > 0 && run.percent < 100 && hasPace) {
        const double rest = (100.0 - run.percent) / 100;
        const auto pace = duration_cast<milliseconds>(run.progressAt - run.startedAt);
        end = run.progressAt + std::max(scale(run.estimate, rest), scale(pace, rest * 100 / run.percent));
    }
    if (end > now)
        return end;
    return now + std::max(minOverrun, duration_cast<milliseconds>(now - end));
}

std::optional<ExpectedRoom> findEarliestRoom(
    const std::vector<RackVm>& rack, const Resources& need, TimePoint now)
{
    std::optional<ExpectedRoom> best;
    for (std::size_t i = 0; i < rack.size(); ++i) {
        const auto in = timeUntilRoom(rack[i], need, now);
        if (in && (!best || *in < best->in))
            best = { i, *in };
    }
    return best;
}

std::optional<milliseconds> findGroupRoom(std::vector<RackVm> rack, const Resources& need, int count,
    GroupKind kind, milliseconds runTime, TimePoint now)
{
    milliseconds last { 0 };
    for (int i = 0; i < count; ++i) {
        const auto room = findEarliestRoom(rack, need, now);
        if (!room)
            return std::nullopt;
        last = std::max(last, room->in);
        auto& vm = rack[room->vm];
        vm.free -= need;
        --vm.openings;
        if (kind == GroupKind::Together)
            continue;
        const ExpectedEnd end { now + room->in + runTime, need };
        const auto position = std::upper_bound(vm.ends.begin(), vm.ends.end(), end.at,
            [](TimePoint at, const ExpectedEnd& other) { return at < other.at; });
        vm.ends.insert(position, end);
    }
    return last;
}

int countOpenings(const std::vector<RackVm>& rack, const Resources& need, int limit)
{
    int count = 0;
    for (const auto& vm : rack) {
        auto free = vm.free;
        for (int i = 0; i < vm.openings && count < limit && fits(need, free); ++i) {
            free -= need;
            ++count;
        }
    }
    return count;
}

} // namespace damask::fleet
