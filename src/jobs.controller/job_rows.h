/// \file
/// Conversion between the table's job, VM and team resources and the structs of the placement kernel.
#pragma once

#include <damaskworks/placement.h>
#include <damaskworks/resource.h>

namespace damask::jobs {

/// Reads the spec of a job.
placement::JobSpec readSpec(const Resource& job);
/// Reads the progress from the job's status row. Returns the progress of a new job if the row is empty or
/// belongs to an earlier job of the same name.
placement::Progress readProgress(const Resource& job);
/// Returns the JSON text of the job's status row.
std::string encodeProgress(const Resource& job, const placement::Progress& progress);
/// Reads a VM's pool, rack, capacity and phase. The caller adds whether the VM is live and healthy.
placement::Worker readWorker(const Resource& vm);
/// Reads a team's quota.
placement::Resources readQuota(const Resource& team);

} // namespace damask::jobs
