/// \file
/// Decides whether a submitted job can be served in time. Answers callers that together send more than a pool
/// gets done, as when one organisation sends many times its usual: what is beyond an organisation's
/// entitlement is turned away while the pool is short of room, and what could only end overdue always is.
#pragma once

#include <damaskworks/deployment.h>
#include <damaskworks/fleet_workload.h>
#include <damaskworks/metrics.h>
#include <damaskworks/names.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace damask::fleet {

/// What the decision about a job depends on.
struct AdmissionQuestion {
    milliseconds criticalPath { 0 }; ///< of the job
    milliseconds objective { 0 }; ///< from its acceptance to its end
    double waitingCpuTime = 0; ///< of jobs that go before it, in core-milliseconds
    /// The same without what organisations have waiting beyond their entitlement.
    double entitledCpuTime = 0;
    double throughput = 0; ///< of the pool, in cores; 0: not known
    Entitlement entitlement; ///< of its organisation
    TimePoint now {};
};

/// Result of decideAdmission().
enum class AdmissionOutcome {
    Accepted,
    Excess, ///< beyond its organisation's entitlement, while the pool is short of room
    Overdue, ///< within the entitlement, but it could only end when the result has no value
};

inline constexpr NameTable<AdmissionOutcome, 3> admissionOutcomeNames { {
    { AdmissionOutcome::Accepted, "accepted" },
    { AdmissionOutcome::Excess, "excess" },
    { AdmissionOutcome::Overdue, "overdue" },
} };

struct AdmissionDecision {
    AdmissionOutcome outcome = AdmissionOutcome::Accepted;
    /// Time until the work that waits has shrunk so far that a job like this one would be accepted.
    milliseconds roomExpectedIn { 0 };
};

/// \p draw, at least 0 and below 1, decides where only a part of an organisation's jobs may be accepted:
/// nodes see late what others have accepted, so that all would accept, or refuse, at the same time otherwise.
AdmissionDecision decideAdmission(const AdmissionQuestion& question, double draw);

/// Collects what the decision about a job with \p work on \p queue depends on.
AdmissionQuestion admissionQuestion(const FleetWorkload& workload, const FleetConfig& config,
    const Queue& queue, const std::string& organisation, const JobWork& work, TimePoint now);

/// Retry-After for a refused caller. \p position, at least 0 and below 1, spreads callers over as much time
/// again as they have to wait, so that they don't return at one moment.
std::chrono::seconds admissionRetryAfter(milliseconds roomExpectedIn, double position);

/// Decides about submissions at one node, and logs and counts what it refuses.
class AdmissionControl {
public:
    AdmissionControl(const Clock& clock, Metrics& metrics, std::uint64_t seed);
    /// To be kept up to date with all jobs.
    FleetWorkload& workload() { return m_workload; }
    /// Sets the organisations' weights.
    void setConfig(const FleetConfig& config) { m_workload.setWeights(config); }
    /// Returns when the caller may come again if the job is refused. Scheduled and long-running jobs never
    /// are.
    std::optional<std::chrono::seconds> refuse(
        const JobSpec& job, const FleetConfig& config, const Queue& queue);

private:
    /// Refusals of an organisation since the last line in the log.
    struct RefusalLog {
        TimePoint loggedAt {};
        int refused = 0;
    };
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    void logRefusal(const JobSpec& job, const AdmissionQuestion& question, const AdmissionDecision& decision);

    const Clock& m_clock;
    Metrics& m_metrics;
    FleetWorkload m_workload;
    std::mt19937_64 m_random;
    std::map<std::string, RefusalLog> m_refusals; ///< by organisation
};

} // namespace damask::fleet
