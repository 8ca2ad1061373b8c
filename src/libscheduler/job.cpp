#include <damaskworks/job.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace damask::fleet {
namespace {

using nlohmann::json;

/// Adds a member unless it has its default value. Every node reads the row of every job, so rows are kept
/// short.
template <typename T>
void putUnlessDefault(json& out, const char* name, const T& value, const T& defaultValue = T())
{
    if (value != defaultValue)
        out[name] = value;
}

json toJson(const StepSpec& step)
{
    json out = json::object();
    putUnlessDefault(out, "count", step.count, 1);
    putUnlessDefault(out, "cpu", step.need.cpu);
    putUnlessDefault(out, "memory", step.need.memoryMb);
    putUnlessDefault(out, "gpu", step.need.gpu);
    putUnlessDefault(out, "estimate", step.estimate.count());
    putUnlessDefault(out, "after", step.after);
    putUnlessDefault(out, "checkpoints", step.checkpoints);
    putUnlessDefault(out, "gang", step.gang);
    putUnlessDefault(out, "sameRack", step.sameRack);
    putUnlessDefault(out, "speculative", step.speculative);
    putUnlessDefault(out, "longRunning", step.longRunning);
    putUnlessDefault(out, "filler", step.filler);
    putUnlessDefault(out, "label", step.requiredLabel);
    putUnlessDefault(out, "rack", step.preferredRack);
    putUnlessDefault(out, "image", step.image);
    putUnlessDefault(out, "maxPerVm", step.maxPerVm);
    putUnlessDefault(out, "latencyTarget", step.latencyTarget.count());
    putUnlessDefault(out, "maxUnavailable", step.maxUnavailable);
    return out;
}

StepSpec stepFromJson(const json& value)
{
    StepSpec step;
    step.count = value.value("count", 1);
    step.need = { value.value("cpu", std::int64_t(0)), value.value("memory", std::int64_t(0)),
        value.value("gpu", std::int64_t(0)) };
    step.estimate = milliseconds(value.value("estimate", std::int64_t(0)));
    step.after = value.value("after", std::vector<int>());
    step.checkpoints = value.value("checkpoints", false);
    step.gang = value.value("gang", false);
    step.sameRack = value.value("sameRack", false);
    step.speculative = value.value("speculative", false);
    step.longRunning = value.value("longRunning", false);
    step.filler = value.value("filler", false);
    step.requiredLabel = value.value("label", "");
    step.preferredRack = value.value("rack", "");
    step.image = value.value("image", "");
    step.maxPerVm = value.value("maxPerVm", 0);
    step.latencyTarget = milliseconds(value.value("latencyTarget", std::int64_t(0)));
    step.maxUnavailable = value.value("maxUnavailable", 0);
    return step;
}

} // namespace

std::string toString(const StepId& step)
{
    return step.job + "." + std::to_string(step.occurrence) + "." + std::to_string(step.step);
}

std::string toString(const TaskId& task)
{
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
        + std::to_string(task.index);
}

std::optional<TaskId> parseTaskId(std::string_view text)
{
    TaskId task;
    const auto dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0)
        return std::nullopt;
    task.job = text.substr(0, dot);
    const char* at = text.data() + dot + 1;
    const char* end = text.data() + text.size();
    for (int* part : { &task.occurrence, &task.step, &task.index }) {
        const auto [next, error] = std::from_chars(at, end, *part);
        const bool last = part == &task.index;
        if (error != std::errc() || *part < 0 || (last ? next != end : next == end || *next != '.'))
            return std::nullopt;
        at = next + 1;
    }
    return task;
}

milliseconds criticalPathLength(const std::vector<StepSpec>& steps)
{
    std::vector<milliseconds> ends(steps.size());
    milliseconds longest { 0 };
    for (std::size_t i = 0; i < steps.size(); ++i) {
        for (int before : steps[i].after)
            ends[i] = std::max(ends[i], ends[static_cast<std::size_t>(before)]);
        ends[i] += steps[i].estimate;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

std::string encodeJob(const JobSpec& job)
{
    json steps = json::array();
    for (const auto& step : job.steps)
        steps.push_back(toJson(step));
    json value = { { "id", job.id }, { "queue", job.queue }, { "pool", job.pool }, { "steps", steps },
        { "attempts", job.maxAttempts }, { "acceptedAt", job.acceptedAt.count() } };
    putUnlessDefault(value, "specBytes", job.specBytes);
    putUnlessDefault(value, "occurrences", job.occurrences);
    putUnlessDefault(value, "firstDue", job.firstDue.count());
    putUnlessDefault(value, "period", job.period.count());
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<JobSpec> decodeJob(std::string_view text)
{
    const auto value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    try {
        JobSpec job;
        job.id = value.at("id").get<std::string>();
        job.queue = value.at("queue").get<std::string>();
        job.pool = value.at("pool").get<std::string>();
        job.specBytes = value.value("specBytes", std::size_t(0));
        for (const auto& step : value.at("steps")) {
            job.steps.push_back(stepFromJson(step));
            if (job.steps.back().count < 1)
                return std::nullopt;
        }
        job.maxAttempts = value.at("attempts").get<int>();
        job.occurrences = value.value("occurrences", 0);
        job.firstDue = WallTime(value.value("firstDue", std::int64_t(0)));
        job.period = milliseconds(value.value("period", std::int64_t(0)));
        job.acceptedAt = WallTime(value.at("acceptedAt").get<std::int64_t>());
        return job;
    } catch (const json::exception&) {
        return std::nullopt; // malformed row; the caller logs it
    }
}

} // namespace damask::fleet
