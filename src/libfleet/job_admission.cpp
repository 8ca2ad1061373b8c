#include <damaskworks/admission.h>
#include <damaskworks/job_timing.h>
#include <damaskworks/log.h>

#include <algorithm>
#include <cmath>

namespace damask::fleet {
namespace {

using std::chrono::seconds;

constexpr seconds minRetryDelay { 1 };
/// Beyond this, the forecast says little.
constexpr seconds maxRetryDelay { 8 };
/// One line for each organisation in this time.
constexpr milliseconds logInterval { 1000 };
constexpr double maxForecastMilliseconds = 3'600'000;

/// Time until a job has ended that goes after so much work.
milliseconds forecastEnd(const AdmissionQuestion& question, double cpuTimeBefore)
{
    const auto wait = std::min(cpuTimeBefore / question.throughput, maxForecastMilliseconds);
    return question.criticalPath + milliseconds(std::llround(wait));
}

/// Part of the organisation's jobs that its entitlement covers: all up to one burst, none with a full bucket.
double entitledPart(const Entitlement& entitlement, TimePoint now)
{
    if (entitlement.weight <= 0)
        return 1;
    const auto burst = burstOf(entitlement);
    return std::clamp(
        (burstsInBucket * burst - usedAt(entitlement, now)) / ((burstsInBucket - 1) * burst), 0.0, 1.0);
}

/// Part of the excess that is accepted: all with room free, none once the wait takes half of the slack. The
/// other half is left to entitled jobs, and to the time until nodes see what others have accepted.
double acceptedPartOfExcess(milliseconds wait, milliseconds slack)
{
    const auto limit = std::max(slack / 2, milliseconds(1));
    return std::clamp(1 - static_cast<double>(wait.count()) / static_cast<double>(limit.count()), 0.0, 1.0);
}

/// Time until the entitlement covers all of the organisation's jobs again.
milliseconds timeUntilEntitled(const Entitlement& entitlement, TimePoint now)
{
    const std::chrono::duration<double> time(
        (usedAt(entitlement, now) - burstOf(entitlement)) / entitlement.weight);
    return std::chrono::ceil<milliseconds>(time);
}

/// CPU time that an organisation is entitled to have waiting before a job with \p objective.
double entitledCpuTime(const WaitingJobs& waiting, double weight, milliseconds objective)
{
    if (weight <= 0 || waiting.jobs <= 0)
        return static_cast<double>(waiting.cpuTime);
    const auto jobs = std::max(weight * std::chrono::duration<double>(objective).count(), 1.0);
    const auto share = std::min(jobs / static_cast<double>(waiting.jobs), 1.0);
    return share * static_cast<double>(waiting.cpuTime);
}

} // namespace

AdmissionDecision decideAdmission(const AdmissionQuestion& question, double draw)
{
    if (question.throughput <= 0)
        return {};
    const auto entitled = entitledPart(question.entitlement, question.now);
    if (draw >= entitled) {
        const auto wait = forecastEnd(question, question.waitingCpuTime) - question.criticalPath;
        const auto part = acceptedPartOfExcess(wait, question.objective - question.criticalPath);
        if (draw < entitled + (1 - entitled) * part)
            return {};
        return { AdmissionOutcome::Excess,
            std::min(wait, timeUntilEntitled(question.entitlement, question.now)) };
    }
    const auto end = forecastEnd(question, question.entitledCpuTime);
    if (timelinessOf(end, question.objective) != Timeliness::Overdue)
        return {};
    return { AdmissionOutcome::Overdue, end - question.objective * overdueFactor };
}

AdmissionQuestion admissionQuestion(const FleetWorkload& workload, const FleetConfig& config,
    const Queue& queue, const std::string& organisation, const JobWork& work, TimePoint now)
{
    AdmissionQuestion out;
    out.criticalPath = work.criticalPath;
    out.objective = objectiveDuration(work.criticalPath, queue);
    out.entitlement = workload.entitlement(organisation);
    out.now = now;
    const auto* pool = workload.pool(queue.pool);
    if (!pool)
        return out;
    out.throughput = workload.throughput(*pool);
    for (const auto& [queueName, organisations] : pool->waiting) {
        const auto* other = config.queue(queueName);
        if (other && other->priority > queue.priority)
            continue;
        for (const auto& [name, waiting] : organisations) {
            out.waitingCpuTime += static_cast<double>(waiting.cpuTime);
            out.entitledCpuTime += entitledCpuTime(waiting, workload.entitlement(name).weight, out.objective);
        }
    }
    return out;
}

seconds admissionRetryAfter(milliseconds roomExpectedIn, double position)
{
    const auto delay = std::clamp(std::chrono::ceil<seconds>(roomExpectedIn), minRetryDelay, maxRetryDelay);
    const auto spread = static_cast<double>(delay.count() + 1) * position;
    return delay + seconds(static_cast<std::int64_t>(spread));
}

AdmissionControl::AdmissionControl(const Clock& clock, Metrics& metrics, std::uint64_t seed)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_workload(clock)
    , m_random(seed)
{
}

std::optional<seconds> AdmissionControl::refuse(
    const JobSpec& job, const FleetConfig& config, const Queue& queue)
{
    const auto work = workOf(job);
    if (work.cpuTime == 0)
        return std::nullopt;
    const auto question = admissionQuestion(m_workload, config, queue, job.organisation, work, m_clock.now());
    const auto decision = decideAdmission(question, draw());
    m_metrics.count("admission_total{outcome=\""
        + std::string(nameOf(admissionOutcomeNames, decision.outcome)) + "\",organisation=\""
        + job.organisation + "\"}");
    if (decision.outcome == AdmissionOutcome::Accepted)
        return std::nullopt;
    logRefusal(job, question, decision);
    return admissionRetryAfter(decision.roomExpectedIn, draw());
}

void AdmissionControl::logRefusal(
    const JobSpec& job, const AdmissionQuestion& question, const AdmissionDecision& decision)
{
    auto& refusals = m_refusals[job.organisation];
    ++refusals.refused;
    const auto now = m_clock.now();
    if (now - refusals.loggedAt < logInterval)
        return;
    logEvent(LogLevel::Info, "admission_refused",
        { { "organisation", job.organisation }, { "queue", job.queue },
            { "outcome", std::string(nameOf(admissionOutcomeNames, decision.outcome)) },
            { "refused", std::to_string(refusals.refused) },
            { "entitlement_used", std::to_string(std::llround(usedAt(question.entitlement, now))) },
            { "weight", std::to_string(question.entitlement.weight) },
            { "waiting_core_ms", std::to_string(std::llround(question.waitingCpuTime)) },
            { "entitled_core_ms", std::to_string(std::llround(question.entitledCpuTime)) },
            { "throughput_cores", std::to_string(std::llround(question.throughput)) },
            { "objective_ms", std::to_string(question.objective.count()) },
            { "room_in_ms", std::to_string(decision.roomExpectedIn.count()) } });
    refusals = { now, 0 };
}

} // namespace damask::fleet
