#include <damaskworks/job.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace damask::fleet {
namespace {

using nlohmann::json;

json toJson(const StepSpec& step)
{
    return { { "count", step.count }, { "cpu", step.need.cpu }, { "memory", step.need.memoryMb },
        { "gpu", step.need.gpu }, { "estimate", step.estimate.count() }, { "after", step.after },
        { "checkpoints", step.checkpoints }, { "gang", step.gang }, { "sameRack", step.sameRack },
        { "speculative", step.speculative }, { "longRunning", step.longRunning }, { "filler", step.filler },
        { "label", step.requiredLabel }, { "rack", step.preferredRack }, { "image", step.image },
        { "maxPerVm", step.maxPerVm }, { "latencyTarget", step.latencyTarget.count() },
        { "maxUnavailable", step.maxUnavailable } };
}

StepSpec stepFromJson(const json& value)
{
    StepSpec step;
    step.count = value.at("count").get<int>();
    step.need = { value.at("cpu").get<std::int64_t>(), value.at("memory").get<std::int64_t>(),
        value.at("gpu").get<std::int64_t>() };
    step.estimate = milliseconds(value.at("estimate").get<std::int64_t>());
    step.after = value.at("after").get<std::vector<int>>();
    step.checkpoints = value.at("checkpoints").get<bool>();
    step.gang = value.at("gang").get<bool>();
    step.sameRack = value.at("sameRack").get<bool>();
    step.speculative = value.at("speculative").get<bool>();
    step.longRunning = value.at("longRunning").get<bool>();
    step.filler = value.at("filler").get<bool>();
    step.requiredLabel = value.at("label").get<std::string>();
    step.preferredRack = value.at("rack").get<std::string>();
    step.image = value.at("image").get<std::string>();
    step.maxPerVm = value.at("maxPerVm").get<int>();
    step.latencyTarget = milliseconds(value.at("latencyTarget").get<std::int64_t>());
    step.maxUnavailable = value.at("maxUnavailable").get<int>();
    return step;
}

} // namespace

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

milliseconds longestChain(const std::vector<StepSpec>& steps)
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
    const json value = { { "id", job.id }, { "queue", job.queue }, { "pool", job.pool }, { "spec", job.spec },
        { "steps", steps }, { "occurrences", job.occurrences }, { "firstDue", job.firstDue.count() },
        { "period", job.period.count() }, { "acceptedAt", job.acceptedAt.count() } };
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
        job.spec = value.at("spec").get<std::string>();
        for (const auto& step : value.at("steps"))
            job.steps.push_back(stepFromJson(step));
        job.occurrences = value.at("occurrences").get<int>();
        job.firstDue = WallTime(value.at("firstDue").get<std::int64_t>());
        job.period = milliseconds(value.at("period").get<std::int64_t>());
        job.acceptedAt = WallTime(value.at("acceptedAt").get<std::int64_t>());
        return job;
    } catch (const json::exception&) {
        return std::nullopt; // not a row of ours; the caller logs it
    }
}

} // namespace damask::fleet
