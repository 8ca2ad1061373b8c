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

/// Hexadecimal bitmap of the tasks that are done, four tasks per digit, lowest bit first.
std::string encodeDoneBits(const StepState& step)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string out((step.tasks.size() + bitsPerHexDigit - 1) / bitsPerHexDigit, '0');
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        if (!step.tasks[i].done)
            continue;
        char& digit = out[i / bitsPerHexDigit];
        const int value = digit <= '9' ? digit - '0' : digit - 'a' + 10;
        digit = digits[value | (1 << (i % bitsPerHexDigit))];
    }
    return out;
}

/// Returns false if a character is not a hexadecimal digit; the others are applied.
bool decodeDoneBits(StepState& step, std::string_view digits)
{
    bool isValid = true;
    for (std::size_t i = 0; i < step.tasks.size() && i / bitsPerHexDigit < digits.size(); ++i) {
        const char digit = digits[i / bitsPerHexDigit];
        const bool isDecimal = digit >= '0' && digit <= '9';
        if (!isDecimal && !(digit >= 'a' && digit <= 'f')) {
            isValid = false;
            continue;
        }
        const int value = isDecimal ? digit - '0' : digit - 'a' + 10;
        if (!(value & (1 << (i % bitsPerHexDigit))) || step.tasks[i].done)
            continue;
        step.tasks[i].done = true;
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

json encodeOccurrence(int number, const OccurrenceState& occurrence)
{
    json done = json::array();
    json failed = json::array();
    json saved = json::array();
    json crashes = json::array();
    json sharedTrialCrashes = json::array();
    json atRisk = json::array();
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const auto& step = occurrence.steps[s];
        done.push_back(encodeDoneBits(step));
        for (std::size_t i = 0; i < step.tasks.size(); ++i) {
            const auto& task = step.tasks[i];
            if (!task.failedRuns.empty())
                failed.push_back({ s, i, task.failedRuns });
            if (!task.done && !task.checkpoint.empty())
                saved.push_back({ s, i, task.checkpoint });
            if (!task.done && task.crashes > 0)
                crashes.push_back(
                    { s, i, task.crashes, task.trialCrashes, task.isSuspect, task.provenTrialCrashes });
            if (!task.done && task.sharedTrialCrashes > 0)
                sharedTrialCrashes.push_back({ s, i, task.sharedTrialCrashes });
            if (const auto run = runAtRisk(task))
                atRisk.push_back({ s, i, run->number, run->vm, run->vmBootTime, run->isOnTrial });
        }
    }
    json out = { { "number", number }, { "done", done } };
    if (!failed.empty())
        out["failed"] = failed;
    if (!saved.empty())
        out["saved"] = saved;
    if (!crashes.empty())
        out["crashes"] = crashes;
    if (!sharedTrialCrashes.empty())
        out["sharedTrialCrashes"] = sharedTrialCrashes;
    if (!atRisk.empty())
        out["atRisk"] = atRisk;
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

/// Returns false if a part of the record is malformed; the other parts are applied.
bool decodeOccurrence(OccurrenceState& occurrence, const json& value)
{
    RowFields fields(value);
    const auto& done = fields.array("done");
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

} // namespace

std::string encodeProgress(const JobEntry& job)
{
    json occurrences = json::array();
    for (const auto& [number, occurrence] : job.occurrences) {
        if (!isFinal(job.state))
            occurrences.push_back(encodeOccurrence(number, occurrence));
    }
    json value = { { "state", nameOf(jobStateNames, job.state) } };
    if (!occurrences.empty())
        value["occurrences"] = occurrences;
    return value.dump();
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
    job.state = stateField(value);
    job.hasEarlierRuns = true;
    RowFields fields(value);
    for (const auto& entry : fields.array("occurrences", true)) {
        const auto number
            = RowFields(entry).integer("number", { 0, std::max(job.spec.occurrences, 1) - 1 }, -1);
        if (number < 0 || !decodeOccurrence(openOccurrence(job, static_cast<int>(number)), entry))
            fields.markInvalid();
    }
    return fields.isValid();
}

} // namespace damask::fleet
