#include "simulation.h"

#include <damaskworks/registry.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <numbers>
#include <numeric>
#include <random>

namespace damask::policy {
namespace {

constexpr double stepSeconds = 0.5;
constexpr double daySeconds = 86'400;
constexpr std::uint32_t stepsPerDecision = 2;
constexpr double clairvoyantStepSeconds = 60;

/// Schedules the peaks of the services in turn. The lengths of peaks vary, so consecutive peaks may overlap
/// or leave a gap.
class PeakSchedule {
public:
    PeakSchedule(const Scenario& scenario, std::size_t services)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_peakEnd(services, -1)
    {
        // The share of time in a peak for which the mean factor over peaks and rest is 1.
        const double peakShare = (1 - scenario.restFactor) / (scenario.peakFactor - scenario.restFactor);
        m_interval = scenario.peakSeconds / peakShare / double(services);
    }

    void advance(double seconds)
    {
        for (; m_nextPeakStart <= seconds; m_nextPeakStart += m_interval) {
            const double uniform = double(m_random()) / double(std::mt19937::max());
            m_peakEnd[m_nextService] = m_nextPeakStart + m_scenario.peakSeconds * (0.8 + 0.4 * uniform);
            m_nextService = (m_nextService + 1) % m_peakEnd.size();
        }
    }

    double factor(std::size_t service, double seconds) const
    {
        return seconds < m_peakEnd[service] ? m_scenario.peakFactor : m_scenario.restFactor;
    }

private:
    const Scenario& m_scenario;
    std::mt19937 m_random;
    std::vector<double> m_peakEnd;
    double m_interval = 1;
    double m_nextPeakStart = 0;
    std::size_t m_nextService = 0;
};

/// A first-in first-out queue of slot-seconds that refuses work at its deadline.
class Queue {
public:
    explicit Queue(const Scenario& scenario)
        : m_deadlineSteps(std::size_t(scenario.deadlineSeconds / stepSeconds))
    {
    }

    /// Adds \p arrived and serves up to \p capacity slot-seconds. Returns the slot-seconds served.
    double step(double arrived, double capacity)
    {
        m_recentArrivals.push_back(arrived);
        m_recentArrivalsSum += arrived;
        m_waiting += arrived;
        const double served = std::min(m_waiting, capacity);
        m_waiting -= served;
        if (m_recentArrivals.size() > m_deadlineSteps) {
            m_recentArrivalsSum -= m_recentArrivals.front();
            m_recentArrivals.pop_front();
        }
        // Work in excess of the arrivals within the last deadline period has waited past its deadline.
        const double late = std::max(0.0, m_waiting - m_recentArrivalsSum);
        m_waiting -= late;
        m_refused += late;
        return served;
    }

    double waiting() const { return m_waiting; }
    double refused() const { return m_refused; }

private:
    std::size_t m_deadlineSteps;
    std::deque<double> m_recentArrivals;
    double m_recentArrivalsSum = 0;
    double m_waiting = 0;
    double m_refused = 0;
};

/// A VM that attaches to a pool at the end of its move.
struct VmArrival {
    std::size_t pool;
    double seconds;
};

std::size_t indexOf(const Organisation& organisation, const std::string& name)
{
    for (std::size_t i = 0; i < organisation.services.size(); ++i) {
        if (organisation.services[i].name == name)
            return i;
    }
    return 0;
}

std::vector<double> meanDemands(const Organisation& organisation, const Scenario& scenario, double seconds)
{
    std::vector<double> out;
    for (const auto& service : organisation.services)
        out.push_back(meanDemand(scenario, service, seconds));
    return out;
}

std::vector<move::Pool> initialPools(
    const Organisation& organisation, const Scenario& scenario, const std::vector<std::uint32_t>& vms)
{
    std::vector<move::Pool> pools;
    for (std::size_t i = 0; i < vms.size(); ++i) {
        const auto& service = organisation.services[i];
        pools.push_back({ service.name, 0, 0, vms[i], 0, scenario.slotsPerVm, 1, service.spare });
    }
    return pools;
}

/// Required VMs of each pool at each clairvoyant step, for one cover factor.
using Requirements = std::vector<std::vector<std::uint32_t>>;

Requirements requirements(const Organisation& organisation, const Scenario& scenario, double coverFactor)
{
    Requirements out;
    const auto steps
        = std::size_t((scenario.days * daySeconds + scenario.moveSeconds) / clairvoyantStepSeconds) + 2;
    for (std::size_t step = 0; step < steps; ++step) {
        out.emplace_back();
        for (double mean : meanDemands(organisation, scenario, double(step) * clairvoyantStepSeconds))
            out.back().push_back(
                std::max(1u, std::uint32_t(std::ceil(mean * coverFactor / scenario.slotsPerVm))));
    }
    return out;
}

/// Returns the first step, from \p from on, at which the pool needs all of its \p held VMs.
std::size_t nextStepNeedingAll(
    const Requirements& required, std::size_t pool, std::uint32_t held, std::size_t from)
{
    std::size_t step = from;
    while (step < required.size() && required[step][pool] < held)
        ++step;
    return step;
}

std::vector<move::Move> decideClairvoyant(
    const Requirements& required, std::vector<move::Pool> pools, std::size_t step)
{
    std::vector<move::Move> moves;
    for (std::size_t receiver = 0; receiver < pools.size(); ++receiver) {
        while (pools[receiver].vms + pools[receiver].arriving < required[step + 1][receiver]) {
            std::optional<std::size_t> donor;
            std::size_t latestNeed = 0;
            for (std::size_t i = 0; i < pools.size(); ++i) {
                const auto held = pools[i].vms;
                if (i == receiver || held <= std::max(required[step][i], required[step + 1][i]))
                    continue;
                const auto need = nextStepNeedingAll(required, i, held, step);
                if (!donor || need > latestNeed) {
                    donor = i;
                    latestNeed = need;
                }
            }
            if (!donor)
                break;
            --pools[*donor].vms;
            ++pools[receiver].arriving;
            moves.push_back({ pools[*donor].name, pools[receiver].name });
        }
    }
    return moves;
}

std::uint32_t sum(const std::vector<std::uint32_t>& counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0u);
}

std::uint32_t maxTotalVms(const Requirements& required)
{
    std::uint32_t maxTotal = 0;
    for (const auto& step : required)
        maxTotal = std::max(maxTotal, sum(step));
    return maxTotal;
}

/// Returns the initial VMs of each pool. Adds VMs to the \p vms required at the start, each to the pool
/// with the largest shortfall against a split in proportion to the mean demand, up to \p fleet VMs.
std::vector<std::uint32_t> initialAllocation(const Organisation& organisation, const Scenario& scenario,
    std::uint32_t fleet, std::vector<std::uint32_t> vms)
{
    const auto target = split(fleet, meanDemands(organisation, scenario, 0));
    for (auto assigned = sum(vms); assigned < fleet; ++assigned) {
        std::size_t largestShortfall = 0;
        for (std::size_t i = 1; i < vms.size(); ++i) {
            if (double(target[i]) - vms[i] > double(target[largestShortfall]) - vms[largestShortfall])
                largestShortfall = i;
        }
        ++vms[largestShortfall];
    }
    return vms;
}

} // namespace

Organisation sugarcraft()
{
    return { "Sugarcraft Analytics",
        { { "pricing", 12, 5 }, { "designer", 10, 20 }, { "inventory", 10, 13 }, { "accounts", 8, 0 },
            { "misc", 10, 16, true } },
        { 3, 1 } };
}

Organisation linBrothers()
{
    return { "Lin Brothers",
        { { "intake", 12, 9 }, { "imaging", 10, 14 }, { "listing", 10, 20 }, { "warranty", 8, 1 },
            { "backoffice", 10, 4, true } },
        { 1, 3 } };
}

double meanDemand(const Scenario& scenario, const Service& service, double seconds)
{
    const double phase = 2 * std::numbers::pi * (seconds / daySeconds - service.busiestHour / 24);
    return scenario.meanUtilisation * service.vms * scenario.slotsPerVm
        * (1 + scenario.driftAmplitude * std::cos(phase));
}

std::vector<std::uint32_t> split(std::uint32_t fleet, const std::vector<double>& weights)
{
    std::vector<std::uint32_t> out(weights.size(), 1);
    for (auto assigned = std::uint32_t(weights.size()); assigned < fleet; ++assigned) {
        std::size_t neediest = 0;
        for (std::size_t i = 1; i < weights.size(); ++i) {
            if (weights[i] / out[i] > weights[neediest] / out[neediest])
                neediest = i;
        }
        ++out[neediest];
    }
    return out;
}

Result simulate(const Organisation& organisation, const Scenario& scenario,
    const std::vector<std::uint32_t>& vms, const DecideFunction& decide)
{
    auto pools = initialPools(organisation, scenario, vms);
    std::vector<Queue> queues(pools.size(), Queue(scenario));
    PeakSchedule peaks(scenario, pools.size());
    std::deque<VmArrival> arrivals;
    Result result;
    double offered = 0;
    double served = 0;
    const auto steps = std::uint64_t(scenario.days * daySeconds / stepSeconds);
    for (std::uint64_t step = 0; step < steps; ++step) {
        const double now = double(step) * stepSeconds;
        peaks.advance(now);
        for (; !arrivals.empty() && arrivals.front().seconds <= now; arrivals.pop_front()) {
            --pools[arrivals.front().pool].arriving;
            ++pools[arrivals.front().pool].vms;
        }
        for (std::size_t i = 0; i < pools.size(); ++i) {
            const double demand = meanDemand(scenario, organisation.services[i], now) * peaks.factor(i, now);
            const double done
                = queues[i].step(demand * stepSeconds, pools[i].vms * scenario.slotsPerVm * stepSeconds);
            offered += demand * stepSeconds;
            served += done;
            pools[i].busySlots = done / stepSeconds;
            pools[i].queued = queues[i].waiting();
        }
        if (step % stepsPerDecision != 0)
            continue;
        for (const auto& move : decide(pools, now)) {
            --pools[indexOf(organisation, move.from)].vms;
            ++pools[indexOf(organisation, move.to)].arriving;
            arrivals.push_back({ indexOf(organisation, move.to), now + scenario.moveSeconds });
            ++result.moves;
        }
    }
    double refused = 0;
    for (const auto& queue : queues)
        refused += queue.refused();
    result.idleVmSeconds = sum(vms) * scenario.days * daySeconds - served / scenario.slotsPerVm;
    result.refusedShare = refused / offered;
    return result;
}

Result runStatic(const Organisation& organisation, const Scenario& scenario, std::uint32_t fleet)
{
    std::vector<double> highestDemands;
    for (const auto& service : organisation.services)
        highestDemands.push_back(meanDemand(scenario, service, service.busiestHour * daySeconds / 24));
    return simulate(organisation, scenario, split(fleet, highestDemands),
        [](const auto&, double) { return std::vector<move::Move> {}; });
}

Result runPolicy(const Organisation& organisation, const Scenario& scenario, std::uint32_t fleet,
    const std::string& policy)
{
    move::Settings settings;
    settings.weights = organisation.weights;
    move::State state;
    const auto* decide = Registry<move::Policy>::instance().find(policy);
    const TimePoint start { std::chrono::hours(1) };
    return simulate(organisation, scenario, split(fleet, meanDemands(organisation, scenario, 0)),
        [&](const auto& pools, double seconds) {
            const auto now
                = start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
            return (*decide)(state, pools, settings, now);
        });
}

std::optional<Result> runClairvoyant(
    const Organisation& organisation, const Scenario& scenario, std::uint32_t fleet, double limit)
{
    constexpr double coverFactorStep = 0.02;
    std::optional<Result> best;
    for (double coverFactor = scenario.peakFactor; coverFactor > 1; coverFactor -= coverFactorStep) {
        const auto required = requirements(organisation, scenario, coverFactor);
        if (maxTotalVms(required) > fleet)
            continue;
        const auto initial = initialAllocation(organisation, scenario, fleet, required.front());
        auto result = simulate(organisation, scenario, initial, [&](const auto& pools, double seconds) {
            return decideClairvoyant(required, pools, std::size_t(seconds / clairvoyantStepSeconds));
        });
        if (result.refusedShare > limit)
            break;
        if (!best || result.moves < best->moves)
            best = result;
    }
    return best;
}

Result runPooled(const Organisation& organisation, const Scenario& scenario, std::uint32_t fleet)
{
    PeakSchedule peaks(scenario, organisation.services.size());
    Queue queue(scenario);
    double offered = 0;
    double served = 0;
    const auto steps = std::uint64_t(scenario.days * daySeconds / stepSeconds);
    for (std::uint64_t step = 0; step < steps; ++step) {
        const double now = double(step) * stepSeconds;
        peaks.advance(now);
        double demand = 0;
        for (std::size_t i = 0; i < organisation.services.size(); ++i)
            demand += meanDemand(scenario, organisation.services[i], now) * peaks.factor(i, now);
        offered += demand * stepSeconds;
        served += queue.step(demand * stepSeconds, fleet * scenario.slotsPerVm * stepSeconds);
    }
    return { fleet * scenario.days * daySeconds - served / scenario.slotsPerVm, queue.refused() / offered,
        0 };
}

std::uint32_t fleetForMean(const Organisation& organisation, const Scenario& scenario)
{
    double slots = 0;
    for (const auto& service : organisation.services)
        slots += scenario.meanUtilisation * service.vms * scenario.slotsPerVm;
    return std::uint32_t(slots / scenario.slotsPerVm);
}

std::optional<SizedFleet> smallestFleet(
    std::uint32_t from, std::uint32_t to, double limit, const RunFunction& run)
{
    for (std::uint32_t fleet = from; fleet <= to; ++fleet) {
        const auto result = run(fleet);
        if (result && result->refusedShare <= limit)
            return SizedFleet { fleet, *result };
    }
    return std::nullopt;
}

} // namespace damask::policy
