#include "job_rows.h"

namespace damask::jobs {
namespace {

using nlohmann::json;

placement::Resources readResources(const json& spec)
{
    return { spec.value("cpu", 0.0), spec.value("memoryMb", 0.0), spec.value("accelerators", 0.0) };
}

/// Whether the status row was written for an earlier job of the same name. Each version of a job's spec has
/// its own, higher generation, so a row with another spec version and the same or a later generation belongs
/// to an earlier job.
bool belongsToEarlierJob(const Resource& job)
{
    const auto version = job.status.value("specVersion", std::uint64_t { 0 });
    return version != job.version && job.generation <= job.status.value("generation", std::uint64_t { 0 });
}

} // namespace

placement::JobSpec readSpec(const Resource& job)
{
    placement::JobSpec spec;
    spec.name = job.name;
    spec.pool = job.spec.value("pool", "");
    spec.team = job.spec.value("team", "default");
    spec.declared = readResources(job.spec);
    spec.priority = valueOf(placement::priorityNames, job.spec.value("priority", "normal"))
                        .value_or(placement::Priority::Normal);
    spec.maxAttempts = job.spec.value("maxAttempts", 3u);
    spec.incarnation = job.version;
    spec.cancelled = job.spec.value("cancelled", false);
    return spec;
}

placement::Progress readProgress(const Resource& job)
{
    placement::Progress progress;
    if (job.status.empty() || belongsToEarlierJob(job))
        return progress;
    const auto& status = job.status;
    progress.phase
        = valueOf(placement::phaseNames, status.value("phase", "queued")).value_or(placement::Phase::Queued);
    progress.vm = status.value("vm", "");
    progress.task = status.value("task", "");
    progress.epoch = status.value("epoch", std::uint64_t { 0 });
    progress.attempts = status.value("attempts", 0u);
    progress.stopReason = valueOf(placement::stopReasonNames, status.value("ending", "none"))
                              .value_or(placement::StopReason::None);
    progress.failedOn = status.value("failedOn", std::vector<std::string> {});
    const auto conditions = status.value("conditions", std::vector<std::string> {});
    progress.condition = conditions.empty() ? "" : conditions.front();
    return progress;
}

std::string encodeProgress(const Resource& job, const placement::Progress& progress)
{
    json conditions = json::array();
    if (!progress.condition.empty())
        conditions.push_back(progress.condition);
    const json row = { { "phase", nameOf(placement::phaseNames, progress.phase) }, { "vm", progress.vm },
        { "task", progress.task }, { "epoch", progress.epoch }, { "attempts", progress.attempts },
        { "ending", nameOf(placement::stopReasonNames, progress.stopReason) },
        { "failedOn", progress.failedOn }, { "conditions", conditions }, { "generation", job.generation },
        { "specVersion", job.version } };
    return row.dump();
}

placement::Worker readWorker(const Resource& vm)
{
    placement::Worker worker;
    const auto specPool = vm.spec.value("pool", "");
    worker.pool = vm.status.value("pool", specPool);
    worker.rack = vm.spec.value("rack", "");
    worker.capacity = readResources(vm.spec);
    const auto phase = vm.status.value("phase", "in_service");
    worker.accepting = phase == "in_service";
    worker.draining = phase == "draining";
    return worker;
}

placement::Resources readQuota(const Resource& team) { return readResources(team.spec); }

} // namespace damask::jobs
