#include <damaskworks/job.h>
#include <damaskworks/json_input.h>
#include <damaskworks/row_fields.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace damask::fleet {
namespace {

using nlohmann::json;

constexpr IntegerRange intRange { std::numeric_limits<int>::min(), std::numeric_limits<int>::max() };
constexpr IntegerRange resourceRange { 0, 1'000'000'000 };
constexpr IntegerRange durationRange { 0, 1'000'000'000'000 }; ///< milliseconds
constexpr IntegerRange wallTimeRange { 0, 100'000'000'000'000 }; ///< milliseconds since 1970

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

/// Reads the step with \p index of a job; it may only depend on earlier steps.
std::optional<StepSpec> stepFromJson(const json& value, std::size_t index)
{
    RowFields fields(value);
    StepSpec step;
    step.count = static_cast<int>(fields.integer("count", { 1, maxTasksPerJob }, 1));
    step.need = { fields.integer("cpu", resourceRange, 0), fields.integer("memory", resourceRange, 0),
        fields.integer("gpu", resourceRange, 0) };
    step.estimate = milliseconds(fields.integer("estimate", durationRange, 0));
    for (const auto& entry : fields.array("after", true)) {
        const auto earlier = integerIn(entry, { 0, static_cast<std::int64_t>(index) - 1 });
        if (!earlier)
            return std::nullopt;
        step.after.push_back(static_cast<int>(*earlier));
    }
    step.checkpoints = fields.flag("checkpoints", false);
    step.gang = fields.flag("gang", false);
    step.sameRack = fields.flag("sameRack", false);
    step.speculative = fields.flag("speculative", false);
    step.longRunning = fields.flag("longRunning", false);
    step.filler = fields.flag("filler", false);
    step.requiredLabel = fields.text("label", "");
    step.preferredRack = fields.text("rack", "");
    step.image = fields.text("image", "");
    step.maxPerVm = static_cast<int>(fields.integer("maxPerVm", { 0, maxTasksPerJob }, 0));
    step.latencyTarget = milliseconds(fields.integer("latencyTarget", durationRange, 0));
    step.maxUnavailable = static_cast<int>(fields.integer("maxUnavailable", { 0, maxTasksPerJob }, 0));
    return fields.isValid() ? std::optional(step) : std::nullopt;
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
    putUnlessDefault(value, "organisation", job.organisation);
    putUnlessDefault(value, "specBytes", job.specBytes);
    putUnlessDefault(value, "occurrences", job.occurrences);
    putUnlessDefault(value, "firstDue", job.firstDue.count());
    putUnlessDefault(value, "period", job.period.count());
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<JobSpec> decodeJob(std::string_view text)
{
    const auto value = parseJson(text);
    RowFields fields(value);
    JobSpec job;
    job.id = fields.text("id");
    job.queue = fields.text("queue");
    job.pool = fields.text("pool");
    job.organisation = fields.text("organisation", "");
    job.specBytes = static_cast<std::size_t>(fields.integer("specBytes", anyCount, 0));
    job.maxAttempts = static_cast<int>(fields.integer("attempts", intRange));
    job.occurrences = static_cast<int>(fields.integer("occurrences", { 0, maxTasksPerJob }, 0));
    job.firstDue = WallTime(fields.integer("firstDue", wallTimeRange, 0));
    job.period = milliseconds(fields.integer("period", durationRange, 0));
    job.acceptedAt = WallTime(fields.integer("acceptedAt", wallTimeRange));
    std::int64_t tasks = 0;
    for (const auto& entry : fields.array("steps")) {
        auto step = stepFromJson(entry, job.steps.size());
        if (!step)
            return std::nullopt;
        tasks += step->count;
        job.steps.push_back(std::move(*step));
    }
    if (!fields.isValid() || tasks * std::max(job.occurrences, 1) > maxTasksPerJob)
        return std::nullopt;
    return job;
}

} // namespace damask::fleet
