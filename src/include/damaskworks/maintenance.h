/// \file
/// Maintenance waves and VM moves of one pool, as a step function over the pool's state.
///
/// A step changes the state in place. The caller writes all changed rows in one transaction, on condition
/// that the rows still have the versions at which it read the state. Everything that must survive a change
/// of the lease holder is in the state. The trackers only hold timers and the commands already sent, and
/// may be lost at any time.
#pragma once

#include <damaskworks/budget.h>
#include <damaskworks/clock.h>
#include <damaskworks/names.h>
#include <damaskworks/platform.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace damask::maintenance {

/// Progress of a VM through a wave or a move.
enum class Phase { InService, Draining, Rebooting, Verifying, Attaching, Unavailable };

inline constexpr NameTable<Phase, 6> phaseNames { {
    { Phase::InService, "in_service" },
    { Phase::Draining, "draining" },
    { Phase::Rebooting, "rebooting" },
    { Phase::Verifying, "verifying" },
    { Phase::Attaching, "attaching" },
    { Phase::Unavailable, "unavailable" },
} };

/// Group of VMs that may fail together. A wave prefers groups that it has started over new ones.
enum class FailureDomain { Rack, DataCentre };

inline constexpr NameTable<FailureDomain, 2> failureDomainNames { {
    { FailureDomain::Rack, "rack" },
    { FailureDomain::DataCentre, "dataCentre" },
} };

/// Status message for the operator.
struct Condition {
    std::string type;
    std::string message;

    bool operator==(const Condition&) const = default;
};

/// One VM of the pool.
struct Vm {
    std::string name;
    std::string pool;
    std::string dataCentre;
    std::string rack;
    Phase phase = Phase::InService;
    std::string operation; ///< `wave/<name>` or `move/<pool>` while out of service
    std::string moveTo; ///< target pool; empty: none requested
    std::uint64_t incarnationBefore = 0; ///< a reboot is seen as a higher incarnation
    std::uint32_t attempt = 0; ///< reboots started in this operation, the current one included
    std::optional<VmReport> report; ///< unset: state unknown
    std::uint32_t runningTasks = 0; ///< according to the platform's task reports

    /// Compares the name and the fields of the VM's status row; ignores reports and the specification.
    bool operator==(const Vm& other) const;
};

/// Phase of a wave.
enum class WavePhase { Running, Paused, Stopped, Waiting, Cancelled, Finished };

inline constexpr NameTable<WavePhase, 6> wavePhaseNames { {
    { WavePhase::Running, "running" },
    { WavePhase::Paused, "paused" },
    { WavePhase::Stopped, "stopped" },
    { WavePhase::Waiting, "waiting" },
    { WavePhase::Cancelled, "cancelled" },
    { WavePhase::Finished, "finished" },
} };

/// Maintenance wave: reboots every VM of the pool.
struct Wave {
    std::string name;
    FailureDomain domain = FailureDomain::Rack;
    std::uint32_t stopAfterFailures = 2; ///< failed VMs at which the wave stops
    bool isPaused = false;
    bool isCancelled = false;
    WavePhase phase = WavePhase::Running;
    std::set<std::string> done; ///< VMs reported healthy after their reboot
    std::set<std::string> failed; ///< VMs whose reboot failed and has not succeeded since
    std::uint32_t total = 0; ///< VMs that belong to the wave
    std::vector<Condition> conditions;

    bool operator==(const Wave&) const = default;
};

/// A pool with its VMs, budget and waves.
struct Pool {
    std::string name;
    std::vector<Vm> vms;
    std::vector<Wave> waves;
    std::vector<budget::Disruption> disruptions;
    std::vector<Condition> conditions;
    std::uint32_t maxUnavailable = budget::defaultMaxUnavailable;
    std::set<std::string> pools; ///< names of all existing pools
};

/// Timeouts, delays and limits.
struct Settings {
    Duration rebootTimeout = std::chrono::minutes(5); ///< until a report shows the new incarnation
    Duration verifyTimeout = std::chrono::minutes(1); ///< until the new incarnation is healthy
    Duration reportLag = std::chrono::seconds(2); ///< largest age of the platform's reports
    /// Between the permit and the drain command, so that entry VMs learn of the drain first.
    Duration drainNotice = std::chrono::milliseconds(1500);
    /// Until every entry VM has stopped sending requests to a draining VM.
    Duration routeLag = std::chrono::seconds(5);
    Duration slowPhaseThreshold = std::chrono::minutes(2); ///< a longer phase is reported as a condition
    std::uint32_t rebootAttempts = 3; ///< per VM and operation
    std::uint32_t rackFailureLimit = 2; ///< failed VMs in one rack that block new permits
};

/// Timers and sent commands of the current lease holder for one VM.
struct VmTracker {
    Phase phase = Phase::InService;
    std::uint32_t attempt = 0;
    TimePoint phaseSince {}; ///< when this holder first saw the phase and attempt
    TimePoint earliestCommandTime {}; ///< not before this time
    std::optional<TimePoint> commandSentAt; ///< unset: not sent in this phase and attempt
};

/// Trackers of the current lease holder, by VM. Each new holder starts with an empty one.
struct VmTrackers {
    bool isFirstStep = true; ///< an earlier holder's commands may still be in flight
    std::map<std::string, VmTracker> vms;
};

/// Command to send to a VM.
struct Command {
    std::string vm;
    VmCommand command = VmCommand::Drain;
};

/// Commands of a step, and what its transaction must be conditional on.
struct StepResult {
    std::vector<Command> commands; ///< follow from the phases before the step
    bool hasPermits = false; ///< the transaction must be conditional on the budgets' rows
    std::set<std::string>
        wavesWithNewPermits; ///< waves that granted permits; also conditions of the transaction
};

/// Runs one step: advances VMs, records failures, grants permits and updates the waves.
StepResult step(Pool& pool, VmTrackers& trackers, const Settings& settings, TimePoint now);

} // namespace damask::maintenance
