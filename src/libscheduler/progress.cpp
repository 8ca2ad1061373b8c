#include <damaskworks/pool_state.h>

#include "progress_pvt.h"

#include <nlohmann/json.hpp>

namespace damask::fleet {
namespace {

using nlohmann::json;

constexpr int bitsPerHexDigit = 4;

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

void decodeDoneBits(StepState& step, const std::string& digits)
{
    for (std::size_t i = 0; i < step.tasks.size() && i / bitsPerHexDigit < digits.size(); ++i) {
        const char digit = digits[i / bitsPerHexDigit];
        const int value = digit <= '9' ? digit - '0' : digit - 'a' + 10;
        if (!(value & (1 << (i % bitsPerHexDigit))) || step.tasks[i].done)
            continue;
        step.tasks[i].done = true;
        ++step.doneTasks;
    }
}

/// The run with which the task may crash its VM, if a later holder has to know of it.
std::optional<EarlierRun> runAtRisk(const TaskState& task)
{
    if (task.done || !task.run)
        return task.done ? std::nullopt : task.earlierRun;
    const auto& run = *task.run;
    if (run.isCrashAttributed || (run.trial.count() == 0 && !run.isAtRisk))
        return std::nullopt;
    return EarlierRun { run.vm, run.vmBootTime, run.number, run.trial.count() > 0 };
}

json encodeOccurrence(int number, const OccurrenceState& occurrence)
{
    json done = json::array();
    json failed = json::array();
    json saved = json::array();
    json crashes = json::array();
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

TaskState* taskAt(OccurrenceState& occurrence, const json& entry)
{
    const auto step = entry.at(0).get<std::size_t>();
    const auto index = entry.at(1).get<std::size_t>();
    if (step >= occurrence.steps.size() || index >= occurrence.steps[step].tasks.size())
        return nullptr;
    return &occurrence.steps[step].tasks[index];
}

void decodeOccurrence(OccurrenceState& occurrence, const json& value)
{
    const auto& done = value.at("done");
    for (std::size_t s = 0; s < occurrence.steps.size() && s < done.size(); ++s)
        decodeDoneBits(occurrence.steps[s], done[s].get<std::string>());
    for (const auto& entry : value.value("failed", json::array())) {
        if (auto* task = taskAt(occurrence, entry))
            task->failedRuns = entry.at(2).get<std::set<std::uint32_t>>();
    }
    for (const auto& entry : value.value("saved", json::array())) {
        if (auto* task = taskAt(occurrence, entry))
            task->checkpoint = entry.at(2).get<std::string>();
    }
    for (const auto& entry : value.value("crashes", json::array())) {
        auto* task = taskAt(occurrence, entry);
        if (!task)
            continue;
        task->crashes = entry.at(2).get<int>();
        task->trialCrashes = entry.at(3).get<int>();
        task->isSuspect = entry.at(4).get<bool>();
        task->provenTrialCrashes = entry.at(5).get<int>();
    }
    for (const auto& entry : value.value("atRisk", json::array())) {
        if (auto* task = taskAt(occurrence, entry))
            task->earlierRun = { entry.at(3).get<std::string>(), entry.at(4).get<std::int64_t>(),
                entry.at(2).get<std::uint32_t>(), entry.at(5).get<bool>() };
    }
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
    const auto value = json::parse(record, nullptr, false);
    return value.is_object() ? stateField(value) : JobState::Queued;
}

bool decodeProgress(JobEntry& job, std::string_view progress)
{
    const auto value = json::parse(progress, nullptr, false);
    if (!value.is_object())
        return false;
    job.state = stateField(value);
    try {
        for (const auto& entry : value.value("occurrences", json::array()))
            decodeOccurrence(openOccurrence(job, entry.at("number").get<int>()), entry);
        job.hasEarlierRuns = true;
    } catch (const json::exception&) {
        return false;
    }
    return true;
}

} // namespace damask::fleet
