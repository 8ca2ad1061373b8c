/// \file
/// State of one pool as kept by its holder, the node that has the pool's lease: jobs, VMs and the runs of
/// tasks on VMs. Free functions apply reports and responses to the state and plan commands to VMs; nothing
/// here does I/O.
#pragma once

#include <damaskworks/cap_use.h>
#include <damaskworks/changed_ids.h>
#include <damaskworks/clock.h>
#include <damaskworks/deployment.h>
#include <damaskworks/ended_occurrences.h>
#include <damaskworks/endpoint_control.h>
#include <damaskworks/fair_share.h>
#include <damaskworks/job.h>
#include <damaskworks/load_sums.h>
#include <damaskworks/locality_wait.h>
#include <damaskworks/record_rows.h>
#include <damaskworks/step_times.h>
#include <damaskworks/vm_room.h>
#include <damaskworks/waiting_steps.h>

#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace damask::fleet {

/// Phase of a run, as far as the holder knows.
enum class RunPhase {
    Starting, ///< the start command was sent or is about to be, with no response yet
    Running,
    Stopping, ///< to be stopped or being stopped; the VM has not listed the end yet
    Unknown, ///< the start command got no response; the VM may still carry it out
};

/// A run of a task on a VM. It reserves resources from the start command until its end is known.
struct RunState {
    std::string vm;
    std::uint32_t number = 0;
    /// Boot that has listed the run; before its first listing VmState::bootTime when it was placed.
    std::int64_t vmBootTime = 0;
    RunPhase phase = RunPhase::Starting;
    TimePoint createdAt {}; ///< when this holder planned or adopted the run
    TimePoint sentAt {}; ///< when this holder sent the start command or adopted the run; zero: not yet
    bool isCrashAttributed = false; ///< the crash of its VM is counted in TaskState::crashes
    milliseconds trial { 0 }; ///< length of the run's trial, see isOnTrial(); zero: none, or it has ended
    bool isTrialShared = false; ///< other tasks may begin a trial on the VM at the same time
    bool isAtRisk = false; ///< its VM has stopped responding and may have crashed
    /// JobEntry::committedBatch has to exceed this number before a run with a trial is started: a later
    /// holder must learn of the trial.
    std::uint64_t recordedAfterBatch = 0;
    TimePoint confirmedAt {}; ///< when the VM first confirmed the run; zero: not yet
    TimePoint stopConfirmedAt {}; ///< when the VM confirmed a stop; zero: not yet
    TimePoint nextStopAt {}; ///< when an unconfirmed stop command is sent again; max(): one is in flight
    int percent = 0; ///< reported progress, see RunReport
    TimePoint progressAt {}; ///< last change of percent
    std::int64_t reportedLoad = 0; ///< see RunReport::load
    int cpuLimitPercent = 100; ///< share of its CPU that the task may use
};

/// A run of which an earlier holder has recorded that its VM may crash: it was on trial or at risk.
struct EarlierRun {
    std::string vm;
    std::int64_t vmBootTime = 0;
    std::uint32_t number = 0;
    bool isOnTrial = false;
};

/// State of one task.
struct TaskState {
    bool done = false;
    std::set<std::uint32_t> failedRuns;
    std::uint32_t lastRun = 0;
    int stalledRuns = 0; ///< runs that this holder has stopped because they made no progress
    std::string checkpoint;
    bool hasSkippedCheckpoint = false; ///< one was too long to be kept, see PoolLimits::maxCheckpointBytes
    std::optional<RunState> run;
    /// Second run, of a step with StepSpec::speculative, on another VM. Set only beside run; if that ends or
    /// is released first, this one becomes it.
    std::optional<RunState> copy;
    bool hasBeenCopied = false; ///< by this holder
    int crashes = 0; ///< VMs that crashed while the task may have run on them
    int trialCrashes = 0; ///< of these, those that crashed during the trial of its run
    int sharedTrialCrashes
        = 0; ///< crashes during trials that it shared with other tasks; not in trialCrashes
    int provenTrialCrashes
        = 0; ///< of trialCrashes, those where a later boot or another VM has responded since
    bool isSuspect = false; ///< may have caused a crash; its runs begin with a trial
    TimePoint waitsForTrialSince {}; ///< when a pass first found no VM for its trial; zero: it waits for none
    TimePoint waitsForRackSince {}; ///< when a pass first left it waiting for a rack; zero: none has
    std::optional<EarlierRun> earlierRun; ///< not yet known whether it ended with a crash of its VM
    /// A VM has listed a run of the task as running to this holder. No other run of an earlier holder is
    /// unknown then, unless the step is copied.
    bool wasListed = false;
    /// No earlier holder can have heard that the task is done: its only run was listed as running to this
    /// holder, or this holder started it when no earlier one could have.
    bool wasUnfinished = false;
};

/// Permission of the advice service to run a step on a VM.
struct Ticket {
    std::string text;
    TimePoint validUntil {};
};

/// Responses of the advice service about one step.
struct StepAdvice {
    std::map<std::string, Ticket, std::less<>> tickets; ///< by VM
    std::set<std::string, std::less<>> deniedVms; ///< VMs that may not run the step
    bool isRequestPending = false;
    TimePoint nextRequestAt {}; ///< earliest time of the next request, after one that failed
};

/// State of one step of an occurrence.
struct StepState {
    std::vector<TaskState> tasks;
    int doneTasks = 0;
    std::vector<milliseconds>
        runTimes; ///< of its done tasks, if it is speculative and this holder started them
    milliseconds longestRun { 0 }; ///< of its done tasks, as far as this holder has seen them
    StepAdvice advice;
};

/// One execution of a job's steps.
struct OccurrenceState {
    std::vector<StepState> steps;
};

/// A job that has not ended.
struct JobEntry {
    JobSpec spec;
    JobState state = JobState::Queued;
    bool hasRecord = false; ///< has a durable record; its tasks are not started before
    bool hasSpec = false; ///< spec.spec is loaded
    bool hasTicketRejection = false; ///< a VM has rejected a start for want of a valid ticket
    bool hadEarlierHolder = false; ///< was accepted before this holder acquired the pool
    bool isRecovered = false; ///< an earlier holder may have started its tasks
    bool cancelled = false;
    bool dirty = false; ///< differs from its durable record
    std::uint64_t lastBatch = 0; ///< number of the last transaction that wrote the record; 0: none
    std::uint64_t committedBatch = 0; ///< number of the last such transaction that has committed
    bool hasUnrecordedTrial = false; ///< a start waits for the record of its trial
    bool hasEarlierRuns = false; ///< some task may have a TaskState::earlierRun
    std::optional<JobState> recorded; ///< state last written to its row; empty: write it again
    int nextOccurrence = 0; ///< first occurrence that is not due yet
    std::map<int, OccurrenceState> occurrences; ///< that have begun, without endedOccurrences
    EndedOccurrences endedOccurrences; ///< of a scheduled job; their tasks have no state any more
    RecordRows record;
    milliseconds criticalPath { 0 }; ///< see criticalPathLength()
    double timeFactor = 1; ///< of its estimates, see stepTimeFactor()
    PartyNumber party = noParty; ///< its organisation in PoolState::shares
    bool isExcess = false; ///< beyond what its organisation is entitled to, see countJob()
    TimePoint firstStartAt {}; ///< first start command of this holder; zero: none yet
    PendingReaders pendingReaders = 0; ///< in PoolState::changedJobs
    std::uint32_t changeCount = 0; ///< calls of markChanged()
    std::vector<IndexedStep> indexedSteps; ///< its entries in PoolState::waitingSteps
    std::optional<WallTime> nextChangeAt; ///< its entry in WaitingSteps::jobsByTime
    JobLoad load; ///< its part in PoolState::loadSums
    std::optional<WallTime> overdueAt; ///< its entry in LoadSums::jobsByTime
};

/// Whether the commands that a VM has been sent are void, see requireNewToken().
enum class Fencing {
    NotRequired,
    TokenRequired, ///< the holder has to raise its fencing token
    ReportRequired, ///< commands carry the raised token; the VM has not responded to a heartbeat with it yet
};

/// A VM of the pool.
struct VmState {
    VmRegistration entry;
    bool isRegistered = true; ///< present in the registry
    bool hasReported = false; ///< has reported its runs to this holder, under its fencing token
    bool isUnresponsive = false; ///< the last call got no response
    bool isEvacuating = false; ///< the holder evacuates the VM for maintenance or a move
    std::string evacuationTask; ///< MachineTask::id of that maintenance or move
    TimePoint evacuatingSince {};
    /// Identifies the boot of the last report, see VmReport. It is a time of day, which may jump, so it does
    /// not tell which of two boots is the later one.
    std::int64_t bootTime = 0;
    std::set<std::int64_t> earlierBoots; ///< boots whose end a report of another boot has shown
    milliseconds reportedClock { 0 }; ///< the VM's clock in its last report
    TimePoint clockReportedAt {}; ///< when that report arrived, on this node's clock
    /// Latest end of a lease that a command of any holder can have granted, on the VM's clock.
    milliseconds leaseUntil { 0 };
    /// The same if the VM had restarted before the command arrived, until a report shows that it had not.
    milliseconds unconfirmedLeaseUntil { 0 };
    TimePoint unconfirmedLeaseAt {}; ///< when that command was sent
    TimePoint bootConfirmedAt {}; ///< last report or response that was of the boot of the last report
    bool wasIdle
        = false; ///< had no runs at that time, so that no failing heartbeat has shown a restart since
    TimePoint restartedAt {}; ///< when a report showed that the VM had restarted under its id; zero: never
    Resources used; ///< reserved by all runs that are not known to have ended
    std::set<TaskId> runs;
    /// Runs that the VM lists, that no task has and that can't be adopted, with the time of the next stop
    /// command, see RunState::nextStopAt. Their tasks are not started before their ends.
    std::map<std::pair<TaskId, std::uint32_t>, TimePoint> orphanRuns;
    std::uint64_t applied = 0; ///< ends up to this number are applied to the state
    std::uint64_t acknowledged = 0; ///< ends up to this number are durable
    int consecutiveFailures = 0; ///< failed, refused and stalled runs since the last successful one
    std::string lastFailedJob;
    int distinctFailedJobs = 0; ///< jobs among these failures; a job that recurs after another counts again
    TimePoint quarantinedUntil {}; ///< the VM gets no new tasks before this time
    milliseconds quarantineTime { 0 }; ///< length of the last quarantine; zero: none since the last success
    bool hasEnded = false; ///< another VM has responded at its address
    bool hasLeaseExpired = false; ///< since the last report; a crash was counted for its runs then
    TimePoint lastContactAt {}; ///< last response to a command or heartbeat
    TimePoint lastStartAt {}; ///< when the last start was planned or sent
    std::optional<TaskId> trialTask; ///< task whose run is on trial; the VM gets no other starts
    TimePoint sharedTrialAt {}; ///< when a shared trial was last planned; more runs join it in the same pass
    TimePoint reservedUntil {}; ///< the VM gets no starts before this time but those of suspect tasks
    Resources reserved; ///< kept free for long-running tasks, see PoolState::servingReservations
    std::uint64_t fencingToken = 0; ///< in commands to the VM
    Fencing fencing = Fencing::NotRequired;
    TimePoint tokenRaisedAt {}; ///< when fencingToken was last raised; zero: never
    /// Until then the VM may carry out the start of a run that was released without a sign that the start had
    /// been carried out. If its stop was confirmed, only a later boot may.
    TimePoint unsettledStartsUntil {};
    TimePoint nextStopAt {}; ///< when planStops() has to look at its runs again; max(): after an event
    PendingReaders pendingReaders = 0; ///< in PoolState::changedVms
    std::uint32_t changeCount = 0; ///< calls of markChanged()
    std::optional<IndexedRoom> indexedRoom; ///< its entry in PoolState::vmRoom
    std::optional<TimePoint> nextVisitAt; ///< its entry in PoolState::visitTimes
    std::optional<VmLoad> load; ///< its part in PoolState::loadSums
};

/// Entries that were looked at, for the log and for tests of how the cost of planning grows.
struct PlanningWork {
    std::uint64_t vmVisits = 0; ///< by the holder's passes
    std::uint64_t awaitedVms = 0; ///< looked at for whether a recovery is complete
    std::uint64_t jobUpdates = 0; ///< in the index of waiting steps
    std::uint64_t steps = 0; ///< waiting steps that planStarts() has considered
    std::uint64_t vmChoices = 0; ///< VMs that it has considered for a task
    std::uint64_t loadUpdates = 0; ///< jobs and VMs in the sums of the load
};

/// Room on a VM that other tasks leave to a long-running task.
struct ServingReservation {
    std::string vm;
    Resources need;
};

/// Limits of a pool's holder.
struct PoolLimits {
    /// How long a VM may delay its response to a heartbeat until a run ends.
    milliseconds maxHeartbeatWait { 1000 };
    /// Lease of the tasks on a VM. It is longer than a takeover takes: 2 s until the old holder's
    /// lease expires, then one load of its records.
    milliseconds vmLease { 4500 };
    /// Longest lease that VMs grant. They shorten the lease in a command to it.
    milliseconds maxVmLease { 4500 };
    /// A VM with runs whose last report or response is older may have restarted under its id. Its failing
    /// heartbeat shows its end earlier. One without runs may have restarted at any time since.
    milliseconds maxReportAge { 2000 };
    /// Ends are acknowledged only to a VM whose last report is younger: a new boot numbers its ends anew.
    milliseconds maxAcknowledgementAge { 500 };
    /// How long after it was sent a command may still be carried out.
    milliseconds maxCommandDelay { 12000 };
    /// Slowest rate of a VM's clock. It may run slow by 2%; the rest covers the rounding to milliseconds.
    double minVmClockRate = 0.975;
    /// How often a VM reports whose registration is of another boot than its last report.
    milliseconds bootMismatchReportInterval { 500 };
    /// How often a VM without runs reports. Its lease is computed for the slowest clock, so the longer ago
    /// its last report, the shorter its lease.
    milliseconds idleReportInterval { 20000 };
    milliseconds stopRetryDelay { 400 }; ///< twice the time that a VM may take to stop a task
    /// How long the runs of a silent VM that is still registered are kept after its lease has expired. It is
    /// alive, so a run may have ended before the expiry, which only its report can show.
    milliseconds silentVmGrace { 3000 };
    int failuresBeforeQuarantine = 4; ///< consecutive failures, of at least two jobs
    milliseconds firstQuarantine { 2000 }; ///< doubles with each further quarantine
    milliseconds maxQuarantine { 16000 };
    double stallFactor = 4; ///< a task without progress for this multiple of its estimate is stopped
    milliseconds minStallTime { 4000 }; ///< but not before this time without progress
    milliseconds evacuationTimeout { 5000 }; ///< most tasks end within it; the rest are stopped
    milliseconds arrivalWindow { 800 }; ///< over which the arrival rate of work is measured
    /// How far ahead the arrival rate is extrapolated. A machine joins the pool after about 2 s (evacuation,
    /// move, registration), and the measured rate is that of the middle of the window.
    milliseconds forecastHorizon { 2400 };
    milliseconds preferredRackWait { 400 }; ///< how long a task waits for a VM in its preferred rack
    /// Factor of a task's run time outside the rack of its data or group. If it is above 1, decideLocality()
    /// replaces preferredRackWait for tasks that need no ticket.
    double farSlowdown = 1;
    milliseconds maxRackWait { 1000 }; ///< longest wait that decideLocality() allows a task
    milliseconds shortTrial { 250 }; ///< of a task that may have crashed one VM
    /// Of a task that has outlived short trials and may have crashed several VMs nevertheless.
    milliseconds longTrial { 10000 };
    int crashesBeforeLongTrial = 2; ///< crashes outside of trials
    int maxProvenTrialCrashes = 2; ///< a task with as many is given up
    /// The same for all crashes during trials. A VM that is only cut off can't be told from one that is gone.
    int maxTrialCrashes = 4;
    /// A suspect task that has waited for as long shares its trial with others that have.
    milliseconds maxTrialWait { 5000 };
    int maxSharedTrialCrashes = 1; ///< a task with as many has its further trials alone
    /// How long a long-running task on a draining VM waits for room on another one before it is stopped. The
    /// VM may exit a few seconds after it began to drain.
    milliseconds drainingPlacementWait { 1500 };
    /// Longest checkpoint that is kept. JSON may escape each byte of it with six in the row that records it.
    std::size_t maxCheckpointBytes = 8192;
    /// Most reservations that one planning pass tries to make; each looks at all runs of the pool.
    int maxReservationAttempts = 8;
};

/// A recently accepted job, for the arrival rate.
struct Arrival {
    TimePoint at {};
    double work = 0; ///< estimate for all its steps, in thousandths of a core times milliseconds
};

/// What the holder has concluded about a run, other than from a listed end.
enum class RunEventKind {
    NotListed, ///< released: the VM does not list it
    VmRestarted, ///< released: the VM has restarted since
    LeaseExpired, ///< released: the VM is silent or gone, and its lease has expired
    VmReplaced, ///< released: another VM has responded at the VM's address
    Withdrawn, ///< released: the start was not sent, since the VM may no longer take it
    StartRejected, ///< released: the VM rejected the start command, or did not receive it
    Adopted, ///< kept: an earlier holder started it, or this one had released it
    Orphaned, ///< running without being expected; to be stopped
    Crashed, ///< the VM crashed, perhaps by this run
    CrashedOnTrial, ///< the VM crashed during the trial of this run
    GivenUp, ///< the job has failed, since the task crashes the VMs that start it
    CheckpointTooLong, ///< the task keeps its earlier checkpoint
    Copied, ///< planned as a second run of its task
    CopyEndedFirst, ///< the run was a second one; the first is stopped
    CopySuperseded, ///< the first run has ended; the second is stopped
    EndPassedOver, ///< ended as done, but a later run has the task
};

inline constexpr NameTable<RunEventKind, 16> runEventKindNames { {
    { RunEventKind::NotListed, "not_listed" },
    { RunEventKind::VmRestarted, "vm_restarted" },
    { RunEventKind::LeaseExpired, "lease_expired" },
    { RunEventKind::VmReplaced, "vm_replaced" },
    { RunEventKind::Withdrawn, "withdrawn" },
    { RunEventKind::StartRejected, "start_rejected" },
    { RunEventKind::Adopted, "adopted" },
    { RunEventKind::Orphaned, "orphaned" },
    { RunEventKind::Crashed, "vm_crashed" },
    { RunEventKind::CrashedOnTrial, "vm_crashed_on_trial" },
    { RunEventKind::GivenUp, "given_up" },
    { RunEventKind::CheckpointTooLong, "checkpoint_too_long" },
    { RunEventKind::Copied, "copied" },
    { RunEventKind::CopyEndedFirst, "copy_ended_first" },
    { RunEventKind::CopySuperseded, "copy_superseded" },
    { RunEventKind::EndPassedOver, "end_passed_over" },
} };

struct RunEvent {
    std::string vm;
    TaskId task;
    std::uint32_t run = 0;
    RunEventKind kind = RunEventKind::NotListed;
};

/// State of a pool.
struct PoolState {
    std::string pool;
    bool enforcesCapacity = false;
    std::uint64_t term = 0; ///< number of earlier holders
    std::uint64_t fencingToken = 0; ///< highest of this holder
    PoolLimits limits;
    std::map<std::string, Queue, std::less<>> queues; ///< by name
    std::map<std::string, JobEntry, std::less<>> jobs; ///< that have not ended, by id
    std::map<std::string, VmState, std::less<>> vms; ///< by id
    std::deque<Arrival> arrivals; ///< within the last two arrival windows, oldest first
    FairShares shares;
    StepTimeFactors stepTimeFactors;
    /// The rate at which the holder can send starts has limited planStarts() for some time.
    bool areStartsLimited = false;
    std::vector<StepId> stepsNeedingTickets; ///< steps for which the last planStarts() found no usable VM
    /// After a takeover: until then tasks of recovered jobs may run on VMs that have not reported, and VMs
    /// may have leases that an earlier holder has granted.
    TimePoint recoveryDeadline {};
    /// VMs that an earlier holder may have used: those that were registered or listed by the platform at the
    /// takeover and have not ended since. Empty optional: the platform has not responded yet.
    std::optional<std::set<std::string>> platformVms;
    std::set<std::string> omittedPlatformVms; ///< of platformVms, those that the last list lacked
    /// All of platformVms before this one have reported or ended. Neither is undone while this holder has the
    /// pool.
    std::string firstAwaitedVm;
    bool haveAllVmsReported = false; ///< all of platformVms have reported all their ends, or ended
    /// VMs whose reports to this holder have all been full so far: there may be ends of an earlier holder's
    /// runs that none has listed yet. The lease of such a VM is renewed, so recoveryDeadline doesn't show
    /// that they don't count.
    std::set<std::string, std::less<>> vmsWithUnlistedEnds;
    /// Removed VMs, which may return, with the time until which they may carry out earlier commands.
    std::map<std::string, TimePoint, std::less<>> removedVms;
    TimePoint earlierStartsUntil {}; ///< until then VMs may carry out starts of earlier holders
    std::vector<RunEvent> runEvents; ///< not yet logged, oldest first
    std::vector<LocalityPlacement> localityPlacements; ///< the same
    std::set<StepId> copyableSteps; ///< those with runs that may be copied, and perhaps others
    TimePoint copiesPlannedAt {}; ///< when a pass last looked at their runs; zero: never
    /// Median of the run times of copyable tasks, as a multiple of their estimates, by queue.
    std::map<std::string, double, std::less<>> runTimeFactors;
    /// Room for long-running tasks that wait or have to leave their VM. Without it, shorter and smaller tasks
    /// take each bit of room that becomes free on a full VM.
    std::map<TaskId, ServingReservation> servingReservations;
    // Indexes of the above, kept up to date by markChanged().
    WaitingSteps waitingSteps;
    VmRoom vmRoom;
    LoadSums loadSums;
    PoolCaps caps;
    ChangedIds changedVms;
    ChangedIds changedJobs;
    std::set<std::pair<TimePoint, std::string>> visitTimes; ///< of VMs for which something is due at a time
    PlanningWork work;
    std::set<std::string, std::less<>> trialVms; ///< those with a VmState::trialTask, and perhaps others
    std::set<std::string, std::less<>> orphanVms; ///< those with VmState::orphanRuns, and perhaps others
    /// VMs with a stop that is due and that no command was free for, and perhaps others.
    std::set<std::string, std::less<>> vmsWithWaitingStops;
};

/// A command to stop a run.
struct StopAction {
    std::string vm;
    TaskId task;
    std::uint32_t run = 0;
};

/// Why no earlier holder can have another run of a task that is started, for the log.
enum class StartBasis {
    NewJob, ///< the job was accepted after this holder had acquired the pool
    NoRecord, ///< the job had no record, which an earlier holder would have written first
    AllVmsReported, ///< all VMs that an earlier holder may have used have reported or ended
    LeasesExpired, ///< the leases that an earlier holder may have granted have expired
    TaskListed, ///< a VM has listed a run of the task to this holder
    PredecessorUnfinished, ///< a task that the step depends on has TaskState::wasUnfinished
};

inline constexpr NameTable<StartBasis, 6> startBasisNames { {
    { StartBasis::NewJob, "new_job" },
    { StartBasis::NoRecord, "no_record" },
    { StartBasis::AllVmsReported, "all_vms_reported" },
    { StartBasis::LeasesExpired, "leases_expired" },
    { StartBasis::TaskListed, "task_listed" },
    { StartBasis::PredecessorUnfinished, "predecessor_unfinished" },
} };

/// A command to start a run.
struct StartAction {
    std::string vm;
    StartCommand command;
    StartBasis basis = StartBasis::NewJob;
    std::optional<TaskId> unfinishedPredecessor; ///< with StartBasis::PredecessorUnfinished
};

/// Run numbers of a recovered task start above this value, so that they exceed those of earlier holders.
constexpr std::uint32_t runNumberBase(std::uint64_t term) { return static_cast<std::uint32_t>(term) * 1000; }
/// Number of a task's first run.
inline constexpr std::uint32_t firstRunNumber = 1;

/// When the leases that an earlier holder may have granted before \p takeover have expired on the slowest
/// clock. A VM that had restarted before the takeover can have the longest.
TimePoint recoveryDeadlineAfter(const PoolLimits& limits, TimePoint takeover);
/// Rows of a job's record after the first, by position.
using FurtherRows = std::map<std::int64_t, std::string>;
/// Adds a job. \p progress and \p furtherRows are its durable record, empty if there is none.
/// \p isRecovered: an earlier holder may have had the job. Returns false if a part of the record is
/// malformed; the job has the rest of it.
bool addJob(PoolState& state, JobSpec spec, std::string_view progress, bool isRecovered,
    const FurtherRows& furtherRows = {});
/// Removes a job that has ended.
void removeJob(PoolState& state, std::string_view id);

/// Updates the indexes after a change of the VM: its runs, its reservations or whether it accepts work.
void markChanged(PoolState& state, VmState& vm);
/// Updates the indexes after a change of the job: its state or that of one of its tasks.
void markChanged(PoolState& state, JobEntry& job);
/// The same for all jobs.
void markAllJobsChanged(PoolState& state);
/// Replaces PoolState::queues, and updates the indexes for the jobs of queues that have changed.
void applyQueues(PoolState& state, const std::vector<Queue>& queues);

/// Adds the work of a new job to the arrival rate.
void recordArrival(PoolState& state, const JobSpec& job, TimePoint now);
/// Cancels a job; its runs are stopped by the next planStops().
void cancelJob(PoolState& state, std::string_view id);
/// Adds or changes a VM as the registry lists it. A VM that has restarted under its id gets no tasks and no
/// lease before its next report.
void listVm(PoolState& state, const VmRegistration& entry);
/// Marks a VM that the registry no longer lists. expireLeases() removes it.
void unlistVm(PoolState& state, std::string_view id);
/// Applies a VM's report of its runs. \p sentAt is when the request for it was sent.
void applyReport(
    PoolState& state, std::string_view vm, const VmReport& report, TimePoint sentAt, TimePoint now);
/// Sets the MachineTask::id that a VM is evacuated for; empty: none. After an evacuation the VM gets no tasks
/// before its next report: its machine may have been moved or maintained, and its registration remains for
/// some time.
void setEvacuation(PoolState& state, VmState& vm, const std::string& task);
/// Compares the clock in a VM's response to a command sent at \p sentAt with that of its last report. A clock
/// that has started anew shows a restart; the VM gets no starts and no lease before its next report.
void checkVmClock(
    PoolState& state, std::string_view vm, milliseconds vmClock, TimePoint sentAt, TimePoint now);
/// Marks a VM whose last call got no response.
void markUnresponsive(PoolState& state, std::string_view vm);
/// Applies CommandOutcome::WrongVm: another VM responded at \p address, to which the command was sent at
/// \p sentAt. The VM has ended, and all its runs with it, unless it is registered at another address by now,
/// or has responded or been sent a start since: responses may overtake each other, and a VM may return to its
/// address.
void applyWrongVm(PoolState& state, std::string_view vm, const Address& address, TimePoint sentAt);
/// Applies the outcome of a start command.
void applyStartOutcome(PoolState& state, std::string_view vm, const TaskId& task, std::uint32_t run,
    CommandOutcome outcome, TimePoint now);
/// Applies the outcome of a stop command that was sent at \p sentAt. One that was sent before a report showed
/// a restart of the VM confirms nothing: the earlier boot may have responded.
void applyStopOutcome(PoolState& state, std::string_view vm, const TaskId& task, std::uint32_t run,
    CommandOutcome outcome, TimePoint sentAt, TimePoint now);
/// VMs that a pass at \p now has to visit: those that have changed since the last pass, and those for which
/// scheduleVisit() has set a time that has come.
std::vector<std::string> takeVmVisits(PoolState& state, TimePoint now);
/// Jobs that have changed since the last pass.
std::vector<std::string> takeJobVisits(PoolState& state);
/// Replaces the time of the VM's next visit by \p at.
void scheduleVisit(PoolState& state, VmState& vm, TimePoint at);
/// The latest time of the VM's next visit, if nothing changes before.
TimePoint nextVisit(const PoolState& state, const VmState& vm, TimePoint now);
/// The earliest time set by scheduleVisit(); max() if there is none.
TimePoint earliestVisit(const PoolState& state);

/// Releases the runs of unresponsive VMs whose lease has expired, and removes unlisted VMs without runs.
void expireLeases(PoolState& state, TimePoint now);
/// The same for the VMs \p vms only, of which some may have been removed already.
void expireLeases(PoolState& state, const std::vector<std::string>& vms, TimePoint now);
/// At most \p maxStops stop commands that are due: for runs of ended jobs, orphan runs, stalled tasks and
/// unconfirmed starts. None is planned for a run again before applyStopOutcome() has the outcome of the last.
std::vector<StopAction> planStops(
    PoolState& state, TimePoint now, int maxStops = std::numeric_limits<int>::max());
/// The same for the VMs \p vms only. VMs for which \p maxStops left too few are visited again.
std::vector<StopAction> planStops(
    PoolState& state, const std::vector<std::string>& vms, TimePoint now, int maxStops);
/// Marks a run to be stopped by the next planStops().
void markStopping(RunState& run, TimePoint now);

/// Lease end to send in a command, on the VM's clock. Raises VmState::leaseUntil.
milliseconds extendLease(VmState& vm, const PoolLimits& limits, TimePoint now);
/// Whether the lease of every run on the VM has expired, even if the VM's clock is at its slowest.
bool isLeaseExpired(const VmState& vm, const PoolLimits& limits, TimePoint now);

/// Makes the commands that the VM has been sent void: a VM does nothing for a lower fencing token than it has
/// seen. Until it has responded to a heartbeat with a higher one, it gets no starts, no lease and no
/// acknowledgements, which a later boot could take for its own.
void requireNewToken(VmState& vm);
/// Applies CommandOutcome::Superseded: the VM has seen a higher fencing token than \p token.
void applySuperseded(PoolState& state, std::string_view vm, std::uint64_t token);
/// Requires a new token for a VM that does not respond, if it may still carry out a start of unknown outcome
/// once it is back. Then the first command that it receives carries that token.
void fenceUnsettledStarts(PoolState& state, std::string_view vm, TimePoint now);
/// Whether the holder has to raise its fencing token.
bool isNewTokenRequired(const PoolState& state);
/// Puts the raised token into the commands to the VMs that require it; returns these.
std::vector<std::string> applyNewToken(PoolState& state, std::uint64_t token, TimePoint now);

/// Whether the report is of another boot of the VM than its last one.
bool isOfAnotherBoot(const VmState& vm, const VmReport& report);

/// Whether the VM is to be asked for a report even if no end waits for its acknowledgement.
bool isReportDue(const VmState& vm, const PoolLimits& limits, TimePoint now);
/// The next heartbeat for the VM, which asks for its report. Renews the lease of its runs if the VM responds.
HeartbeatCommand planHeartbeat(VmState& vm, const PoolLimits& limits, TimePoint now);

/// Durable record of a job's state and of the progress of the tasks in \p range: a row of the job's record.
/// Only the row at position 0 has the state. Empty if there is nothing to record.
std::string encodeProgress(const JobEntry& job, TaskRange range = {});
/// Number of positions of the job's tasks, see TaskRange.
std::int64_t countPositions(const JobSpec& job);
/// Replaces the states of the scheduled job's occurrences that have ended by their numbers.
void closeEndedOccurrences(PoolState& state, JobEntry& job);
/// Durable record of a job's state.
std::string encodeState(JobState state);
/// State in a record of either kind; Queued if it is malformed.
JobState decodeState(std::string_view record);

/// The task, or nullptr if the job has no such task or its occurrence has ended. Creates the state of its
/// occurrence if it is missing.
TaskState* findTask(PoolState& state, const TaskId& task);
/// The task's run on the VM; nullptr if it has none there.
const RunState* runOn(const TaskState& task, std::string_view vm);
RunState* runOn(TaskState& task, std::string_view vm);
/// The specification of a step.
const StepSpec& stepOf(const JobEntry& job, int step);
/// Whether all steps that \p step depends on are done.
bool isStepReady(const JobEntry& job, const OccurrenceState& occurrence, int step);

} // namespace damask::fleet
