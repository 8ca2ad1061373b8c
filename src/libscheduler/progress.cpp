#include <damaskworks/json_input.h>
#include <damaskworks/pool_state.h>
#include <damaskworks/row_fields.h>

#include "progress_pvt.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace damask::fleet {
namespace {

using nlohmann::json;

constexpr int bitsPerHexDigit = 4;
constexpr IntegerRange runNumberRange { 0, std::numeric_limits<std::uint32_t>::max() };
constexpr IntegerRange crashCountRange { 0, 1'000'000 };

/// Tasks of a step, from one index to another.
struct IndexRange {
    std::size_t first = 0;
    std::size_t end = 0; ///< index after the last task
};

/// Hexadecimal bitmap of the tasks in the range that are done, four tasks per digit, lowest bit first.
std::string encodeDoneBits(const StepState& step, IndexRange range)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string out((range.end - range.first + bitsPerHexDigit - 1) / bitsPerHexDigit, '0');
    for (std::size_t i = 0; i < range.end - range.first; ++i) {
        if (!step.tasks[range.first + i].done)
            continue;
        char& digit = out[i / bitsPerHexDigit];
        const int value = digit <= '9' ? digit - '0' : digit - 'a' + 10;
        digit = digits[value | (1 << (i % bitsPerHexDigit))];
    }
    return out;
}

/// Applies a bitmap whose lowest bit is that of the task \p first. Returns false if a character is not a
/// hexadecimal digit; the others are applied.
bool decodeDoneBits(StepState& step, std::string_view digits, std::size_t first = 0)
{
    bool isValid = true;
    for (std::size_t i = 0; first + i < step.tasks.size() && i / bitsPerHexDigit < digits.size(); ++i) {
        const char digit = digits[i / bitsPerHexDigit];
        const bool isDecimal = digit >= '0' && digit <= '9';
        if (!isDecimal && !(digit >= 'a' && digit <= 'f')) {
            isValid = false;
            continue;
        }
        const int value = isDecimal ? digit - '0' : digit - 'a' + 10;
        auto& task = step.tasks[first + i];
        if (!(value & (1 << (i % bitsPerHexDigit))) || task.done)
            continue;
        task.done = true;
        ++step.doneTasks;
    }
    return isValid;
}

/// The run with which the task may crash its VM, if a later holder has to know of it.
std::optional<EarlierRun> runAtRisk(const TaskState& task)
{
    if (task.done || !task.run)
        return task.done ? std::nullopt : task.earlierRun;
    const auto& run = *task.run;
    if (run.isCrashAttributed || (run.trial.count() == 0 && !run.isAtRisk))
        return std::nullopt;
    return EarlierRun { run.vm, run.vmBootTime, run.number, run.trial.count() > 0 && !run.isTrialShared };
}

/// Lists about single tasks in the record of an occurrence.
struct TaskLists {
    json failed = json::array();
    json saved = json::array();
    json crashes = json::array();
    json sharedTrialCrashes = json::array();
    json atRisk = json::array();
};

void addToLists(TaskLists& lists, std::size_t step, std::size_t index, const TaskState& task)
{
    if (!task.failedRuns.empty())
        lists.failed.push_back({ step, index, task.failedRuns });
    if (!task.done && !task.checkpoint.empty())
        lists.saved.push_back({ step, index, task.checkpoint });
    if (!task.done && task.crashes > 0)
        lists.crashes.push_back(
            { step, index, task.crashes, task.trialCrashes, task.isSuspect, task.provenTrialCrashes });
    if (!task.done && task.sharedTrialCrashes > 0)
        lists.sharedTrialCrashes.push_back({ step, index, task.sharedTrialCrashes });
    if (const auto run = runAtRisk(task))
        lists.atRisk.push_back({ step, index, run->number, run->vm, run->vmBootTime, run->isOnTrial });
}

/// Adds the lists that are not empty to the record of an occurrence; returns whether there are any.
bool moveLists(TaskLists& lists, json& out)
{
    const std::pair<const char*, json*> members[]
        = { { "failed", &lists.failed }, { "saved", &lists.saved }, { "crashes", &lists.crashes },
              { "sharedTrialCrashes", &lists.sharedTrialCrashes }, { "atRisk", &lists.atRisk } };
    bool hasAny = false;
    for (const auto& [name, list] : members) {
        if (list->empty())
            continue;
        out[name] = std::move(*list);
        hasAny = true;
    }
    return hasAny;
}

/// Tasks of a step that are in the range; \p first is the position of its first task.
IndexRange intersect(const TaskRange& range, std::int64_t first, std::size_t tasks)
{
    const auto count = static_cast<std::int64_t>(tasks);
    return { static_cast<std::size_t>(std::clamp<std::int64_t>(range.first - first, 0, count)),
        static_cast<std::size_t>(std::clamp<std::int64_t>(range.end - first, 0, count)) };
}

/// Progress of those tasks of an occurrence that are in the range; null if a scheduled job has none to
/// record. The done tasks are in "done", a bitmap a step, or in "doneFrom" if the range has only a part of
/// the tasks.
json encodeOccurrence(const JobEntry& job, int number, const OccurrenceState& occurrence,
    std::int64_t occurrenceSize, TaskRange range)
{
    auto position = occurrenceSize * number;
    const bool isWhole = range.first <= position && range.end >= position + occurrenceSize;
    json out = { { "number", number } };
    json done = json::array();
    TaskLists lists;
    bool hasDone = false;
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const auto& step = occurrence.steps[s];
        const auto indexes = intersect(range, position, step.tasks.size());
        position += static_cast<std::int64_t>(step.tasks.size());
        if (indexes.first >= indexes.end)
            continue;
        auto bits = encodeDoneBits(step, indexes);
        const bool hasDoneTasks = bits.find_first_not_of('0') != std::string::npos;
        hasDone = hasDone || hasDoneTasks;
        if (isWhole)
            done.push_back(std::move(bits));
        else if (hasDoneTasks)
            done.push_back({ s, indexes.first, std::move(bits) });
        for (auto i = indexes.first; i < indexes.end; ++i)
            addToLists(lists, s, i, step.tasks[i]);
    }
    const bool hasLists = moveLists(lists, out);
    // Occurrences that are due begin again without a record.
    if (!hasDone && !hasLists && (!isWhole || job.spec.occurrences > 0))
        return nullptr;
    out[isWhole ? "done" : "doneFrom"] = std::move(done);
    return out;
}

/// Ranges of ended occurrences with a task in the range. An occurrence may be in several rows, each of which
/// is then complete without the others.
json encodeEnded(const JobEntry& job, std::int64_t occurrenceSize, TaskRange range)
{
    const auto first = range.first / occurrenceSize;
    const auto last = (range.end - 1) / occurrenceSize;
    json out = json::array();
    for (const auto& [from, to] : job.endedOccurrences.ranges) {
        const auto firstInRange = std::max<std::int64_t>(from, first);
        const auto lastInRange = std::min<std::int64_t>(to, last);
        if (firstInRange <= lastInRange)
            out.push_back({ firstInRange, lastInRange });
    }
    return out;
}

/// The field "state"; Queued if it is missing or malformed.
JobState stateField(const json& value)
{
    const auto field = value.find("state");
    if (field == value.end() || !field->is_string())
        return JobState::Queued;
    return valueOf(jobStateNames, field->get<std::string>()).value_or(JobState::Queued);
}

/// The task that the first two elements of an entry name; nullptr if there is none or the entry has fewer
/// than \p size elements.
TaskState* taskAt(OccurrenceState& occurrence, const json& entry, std::size_t size)
{
    if (!entry.is_array() || entry.size() < size)
        return nullptr;
    const auto step = integerIn(entry[0], anyCount);
    const auto index = integerIn(entry[1], anyCount);
    if (!step || !index || static_cast<std::size_t>(*step) >= occurrence.steps.size())
        return nullptr;
    auto& tasks = occurrence.steps[static_cast<std::size_t>(*step)].tasks;
    return static_cast<std::size_t>(*index) < tasks.size() ? &tasks[static_cast<std::size_t>(*index)]
                                                           : nullptr;
}

bool decodeFailedRuns(TaskState& task, const json& entry)
{
    std::set<std::uint32_t> runs;
    if (!entry[2].is_array())
        return false;
    for (const auto& element : entry[2]) {
        const auto run = integerIn(element, runNumberRange);
        if (!run)
            return false;
        runs.insert(static_cast<std::uint32_t>(*run));
    }
    task.failedRuns = std::move(runs);
    return true;
}

bool decodeCheckpoint(TaskState& task, const json& entry)
{
    if (!entry[2].is_string())
        return false;
    task.checkpoint = entry[2].get<std::string>();
    return true;
}

bool decodeCrashes(TaskState& task, const json& entry)
{
    const auto crashes = integerIn(entry[2], crashCountRange);
    const auto trialCrashes = integerIn(entry[3], crashCountRange);
    const auto provenTrialCrashes = integerIn(entry[5], crashCountRange);
    if (!crashes || !trialCrashes || !provenTrialCrashes || !entry[4].is_boolean())
        return false;
    task.crashes = static_cast<int>(*crashes);
    task.trialCrashes = static_cast<int>(*trialCrashes);
    task.isSuspect = entry[4].get<bool>();
    task.provenTrialCrashes = static_cast<int>(*provenTrialCrashes);
    return true;
}

bool decodeSharedTrialCrashes(TaskState& task, const json& entry)
{
    const auto count = integerIn(entry[2], crashCountRange);
    task.sharedTrialCrashes = static_cast<int>(count.value_or(0));
    return count.has_value();
}

bool decodeRunAtRisk(TaskState& task, const json& entry)
{
    const auto number = integerIn(entry[2], runNumberRange);
    const auto vmBootTime = integerIn(entry[4], anyInteger);
    if (!number || !entry[3].is_string() || !vmBootTime || !entry[5].is_boolean())
        return false;
    task.earlierRun = { entry[3].get<std::string>(), *vmBootTime, static_cast<std::uint32_t>(*number),
        entry[5].get<bool>() };
    return true;
}

/// A list of entries about single tasks, each with the numbers of its step and task in front.
struct TaskListDecoder {
    const char* name;
    std::size_t entrySize;
    bool (*decode)(TaskState&, const json&);
};

constexpr TaskListDecoder taskLists[] = {
    { "failed", 3, decodeFailedRuns },
    { "saved", 3, decodeCheckpoint },
    { "crashes", 6, decodeCrashes },
    { "sharedTrialCrashes", 3, decodeSharedTrialCrashes },
    { "atRisk", 6, decodeRunAtRisk },
};

/// Applies a bitmap of done tasks with the numbers of its step and first task in front.
bool decodePartOfDone(OccurrenceState& occurrence, const json& entry)
{
    constexpr std::size_t entrySize = 3;
    const auto* first = taskAt(occurrence, entry, entrySize);
    if (!first || !entry[2].is_string())
        return false;
    auto& step = occurrence.steps[entry[0].get<std::size_t>()];
    return decodeDoneBits(step, entry[2].get_ref<const std::string&>(), entry[1].get<std::size_t>());
}

/// Returns false if a part of the record is malformed; the other parts are applied.
bool decodeOccurrence(OccurrenceState& occurrence, const json& value)
{
    RowFields fields(value);
    const auto& done = fields.array("done", value.contains("doneFrom"));
    for (const auto& entry : fields.array("doneFrom", true)) {
        if (!decodePartOfDone(occurrence, entry))
            fields.markInvalid();
    }
    for (std::size_t s = 0; s < occurrence.steps.size() && s < done.size(); ++s) {
        if (!done[s].is_string()
            || !decodeDoneBits(occurrence.steps[s], done[s].get_ref<const std::string&>()))
            fields.markInvalid();
    }
    for (const auto& list : taskLists) {
        for (const auto& entry : fields.array(list.name, true)) {
            auto* task = taskAt(occurrence, entry, list.entrySize);
            if (!task || !list.decode(*task, entry))
                fields.markInvalid();
        }
    }
    return fields.isValid();
}

/// Earlier builds recorded the tasks of a long-running gang as done, and their occurrences as ended.
void forgetEndsOfLongRunning(const JobSpec& job, OccurrenceState& occurrence)
{
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        if (!job.steps[s].longRunning)
            continue;
        occurrence.steps[s].doneTasks = 0;
        for (auto& task : occurrence.steps[s].tasks)
            task.done = false;
    }
}

bool hasLongRunningStep(const JobSpec& job)
{
    return std::any_of(
        job.steps.begin(), job.steps.end(), [](const StepSpec& step) { return step.longRunning; });
}

/// Applies ranges of ended occurrences. Returns false if one is malformed; the others are applied.
bool decodeEnded(JobEntry& job, const json& ranges)
{
    const IntegerRange numbers { 0, std::max(job.spec.occurrences, 1) - 1 };
    bool isValid = true;
    for (const auto& range : ranges) {
        const bool isPair = range.is_array() && range.size() == 2;
        const auto first = isPair ? integerIn(range[0], numbers) : std::nullopt;
        const auto last = isPair ? integerIn(range[1], numbers) : std::nullopt;
        if (!first || !last || *last < *first || job.spec.occurrences == 0) {
            isValid = false;
            continue;
        }
        if (hasLongRunningStep(job.spec))
            continue;
        addRange(job.endedOccurrences, static_cast<int>(*first), static_cast<int>(*last));
        job.occurrences.erase(job.occurrences.lower_bound(static_cast<int>(*first)),
            job.occurrences.upper_bound(static_cast<int>(*last)));
    }
    return isValid;
}

std::int64_t countTasks(const JobSpec& job)
{
    std::int64_t tasks = 0;
    for (const auto& step : job.steps)
        tasks += step.count;
    return std::max<std::int64_t>(tasks, 1);
}

} // namespace

std::int64_t countPositions(const JobSpec& job) { return countTasks(job) * std::max(job.occurrences, 1); }

std::string encodeProgress(const JobEntry& job, TaskRange range)
{
    json value = json::object();
    if (range.first == 0)
        value["state"] = nameOf(jobStateNames, job.state);
    if (isFinal(job.state))
        return value.empty() ? "" : value.dump();
    const auto occurrenceSize = countTasks(job.spec);
    json occurrences = json::array();
    auto it = job.occurrences.lower_bound(static_cast<int>(range.first / occurrenceSize));
    for (; it != job.occurrences.end() && it->first * occurrenceSize < range.end; ++it) {
        auto occurrence = encodeOccurrence(job, it->first, it->second, occurrenceSize, range);
        if (!occurrence.is_null())
            occurrences.push_back(std::move(occurrence));
    }
    if (!occurrences.empty())
        value["occurrences"] = std::move(occurrences);
    if (auto ended = encodeEnded(job, occurrenceSize, range); !ended.empty())
        value["ended"] = std::move(ended);
    return value.empty() ? "" : value.dump();
}

std::string encodeState(JobState state) { return json({ { "state", nameOf(jobStateNames, state) } }).dump(); }

JobState decodeState(std::string_view record)
{
    const auto value = parseJson(record);
    return value.is_object() ? stateField(value) : JobState::Queued;
}

bool decodeProgress(JobEntry& job, std::string_view progress)
{
    const auto value = parseJson(progress);
    if (!value.is_object())
        return false;
    if (value.contains("state")) // only the first row of a record has it
        job.state = stateField(value);
    job.hasEarlierRuns = true;
    RowFields fields(value);
    if (!decodeEnded(job, fields.array("ended", true)))
        fields.markInvalid();
    for (const auto& entry : fields.array("occurrences", true)) {
        const auto number
            = RowFields(entry).integer("number", { 0, std::max(job.spec.occurrences, 1) - 1 }, -1);
        // Another row of the record may be newer.
        if (contains(job.endedOccurrences, static_cast<int>(number)))
            continue;
        if (number < 0) {
            fields.markInvalid();
            continue;
        }
        auto& occurrence = openOccurrence(job, static_cast<int>(number));
        if (!decodeOccurrence(occurrence, entry))
            fields.markInvalid();
        forgetEndsOfLongRunning(job.spec, occurrence);
    }
    return fields.isValid();
}

} // namespace damask::fleet
