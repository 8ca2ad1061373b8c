/// \file
/// Plan function of the jobs controller. One lease holder plans all jobs, so that quotas hold across pools.
/// It stores each decision with a conditional write of the job's status row. It sends task commands only for
/// rows that it has read back, so a decision whose write failed starts nothing.
#pragma once

#include <damaskworks/controller.h>
#include <damaskworks/placement.h>

#include <set>

namespace damask::jobs {

/// A job's rows as last read, and the commands sent for it.
struct ObservedJob {
    TableVersion specVersion = 0;
    TableVersion statusVersion = 0;
    placement::Progress progress;
    TimePoint stopReasonSince {}; ///< when the present task or stop reason was first read
    TimePoint missingSince {}; ///< when the reports first lacked the running task
    TimePoint lastCommandAt {};
    std::optional<TaskCommand> lastCommand; ///< last command sent to the present task
};

/// In-memory state of one lease holder between plans.
struct PlannerState {
    placement::State placementState;
    std::map<std::string, ObservedJob> observedJobs; ///< by job
    std::set<std::string> pendingWrites; ///< jobs with decisions that are not yet in a transaction
    std::set<std::string> submittedWrites; ///< jobs in the last plan's transactions, which may have failed
    std::map<std::string, TimePoint> orphanStopTimes; ///< by task: when the last stop was sent
};

std::vector<controller::Action> plan(const controller::View& view, PlannerState& plannerState);

} // namespace damask::jobs
