/// \file
/// Replay of one pool whose demand exceeds its VMs for some seconds, on a virtual clock and without sockets.
#pragma once

#include "pool_fixture_test.h"

#include <damaskworks/job_timing.h>

#include <cmath>
#include <functional>
#include <map>
#include <numbers>
#include <random>

namespace damask::fleet {

/// Jobs that an organisation's callers submit.
struct CallerLoad {
    std::string organisation;
    double jobsPerSecond = 0; ///< mean
    /// Factor of the mean by the time since the beginning.
    std::function<double(milliseconds)> factor;
    std::mt19937 random {}; ///< its own, so that its jobs don't depend on those of others
};

struct OverloadParameters {
    std::uint32_t seed = 1;
    int vms = 85;
    std::int64_t vmCpu = 16'000; ///< thousandths of a core
    milliseconds duration { 20'000 }; ///< in which jobs arrive
    std::vector<CallerLoad> callers;
    std::map<std::string, Organisation, std::less<>> organisations; ///< see FleetConfig
    int steps = 2;
    double meanWidth = 8; ///< tasks of a step
    double meanCpu = 3'300; ///< of a task, in thousandths of a core
    double meanTaskTime = 1'400; ///< milliseconds
    double estimateError = 0.2; ///< largest relative error
    double unevenness = 0.3; ///< of the times of a step's tasks
    milliseconds vmLossAt { 0 }; ///< zero: no VM is lost
    int lostVms = 0;
    milliseconds startsStopAt { 0 }; ///< for startsStopTime no task can start
    milliseconds startsStopTime { 0 };
};

/// What callers got.
struct CallerOutcome {
    int jobs = 0;
    int inTime = 0;
    int late = 0;
    int overdue = 0;
    double owed = 0;
    double earned = 0;
    milliseconds longest { 0 };

    double share() const { return owed > 0 ? earned / owed : 1; }
};

/// Factor of the mean for a queue with its turn at \p at: five times the mean at its middle.
inline double turnFactor(milliseconds at, milliseconds middle)
{
    constexpr double width = 11'000;
    const auto offset = static_cast<double>((at - middle).count());
    if (std::abs(offset) >= width / 2)
        return 0.05;
    return 0.05 + 4.95 * std::pow(std::cos(std::numbers::pi * offset / width), 2);
}

class OverloadReplay : public PoolFixture {
public:
    static constexpr milliseconds drainTime { 60'000 }; ///< after the last arrival

    explicit OverloadReplay(OverloadParameters parameters)
        : m_parameters(std::move(parameters))
        , m_begin(clock.now())
    {
        for (int i = 0; i < m_parameters.vms; ++i)
            addVm(vmName(i), m_parameters.vmCpu);
        applyOrganisations(state.shares, m_parameters.organisations);
        for (auto& load : m_parameters.callers)
            load.random.seed(
                m_parameters.seed * 1000 + static_cast<std::uint32_t>(&load - m_parameters.callers.data()));
        if (m_parameters.lostVms > 0)
            loseVms();
    }

    /// Outcomes by organisation; those of all callers are under "".
    std::map<std::string, CallerOutcome> run()
    {
        while (elapsed() < m_parameters.duration || (!m_owed.empty() && elapsed() < end())) {
            advance(tick);
            runEvents();
            if (elapsed() < m_parameters.duration)
                submitJobs();
            const bool areStopped = elapsed() >= m_parameters.startsStopAt
                && elapsed() < m_parameters.startsStopAt + m_parameters.startsStopTime;
            if (!areStopped)
                startTasks();
            endJobs();
        }
        for (const auto& [id, owed] : m_owed)
            recordEnd(owed, std::chrono::hours(1));
        return m_outcomes;
    }

private:
    static constexpr milliseconds tick { 10 };
    static constexpr milliseconds startTime { 30 }; ///< from the plan to the start at the VM
    static constexpr milliseconds reportDelay { 20 };
    static constexpr milliseconds vmLossTime { 1'000 };

    /// What only the replay knows about a job.
    struct OwedJob {
        std::string organisation;
        double worth = 0;
        WallTime acceptedAt { 0 };
        milliseconds objective { 0 }; ///< by the true times of its tasks
        std::vector<std::vector<milliseconds>> taskTimes;
    };

    static std::string vmName(int number) { return "vm" + std::to_string(1000 + number); }
    milliseconds elapsed() const { return std::chrono::duration_cast<milliseconds>(clock.now() - m_begin); }
    milliseconds end() const { return m_parameters.duration + drainTime; }

    void at(milliseconds delay, std::function<void()> event)
    {
        m_events.emplace(clock.now() + delay, std::move(event));
    }

    void runEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= clock.now())
            m_events.extract(m_events.begin()).mapped()();
    }

    void loseVms()
    {
        at(m_parameters.vmLossAt, [this] {
            for (int i = 0; i < m_parameters.lostVms; ++i) {
                markUnresponsive(state, vmName(i));
                ++m_boots[vmName(i)];
            }
        });
        at(m_parameters.vmLossAt + vmLossTime, [this] {
            for (int i = 0; i < m_parameters.lostVms; ++i)
                restartEmpty(vmName(i), m_boots[vmName(i)] + 1);
        });
    }

    static double draw(std::mt19937& random, double mean, double spread, double max)
    {
        const double variance = std::log(1 + spread * spread);
        std::lognormal_distribution<double> distribution(std::log(mean) - variance / 2, std::sqrt(variance));
        return std::min(distribution(random), max);
    }

    void submitJobs()
    {
        for (auto& load : m_parameters.callers) {
            std::poisson_distribution<int> count(
                load.jobsPerSecond * load.factor(elapsed()) * std::chrono::duration<double>(tick).count());
            for (int jobs = count(load.random); jobs > 0; --jobs)
                submitJob(load.organisation, load.random);
        }
    }

    void submitJob(const std::string& organisation, std::mt19937& random)
    {
        const auto& load = m_parameters;
        auto job = makeJob("j" + std::to_string(100'000 + m_jobCount++), {});
        job.organisation = organisation;
        OwedJob owed { .organisation = organisation, .acceptedAt = wallNow };
        std::uniform_real_distribution<double> symmetric(-1, 1);
        milliseconds chain { 0 };
        double work = 0;
        for (int s = 0; s < load.steps; ++s) {
            // One draw a statement: the order in which arguments are evaluated differs between machines.
            const auto width = std::lround(draw(random, load.meanWidth, 0.6, 32));
            const auto cpu = draw(random, load.meanCpu, 0.45, load.meanCpu * 3);
            auto step = makeStep(std::max(1, static_cast<int>(width)), static_cast<std::int64_t>(cpu));
            if (s > 0)
                step.after = { s - 1 };
            const double time = draw(random, load.meanTaskTime, 0.5, load.meanTaskTime * 3);
            step.estimate = milliseconds(static_cast<std::int64_t>(
                time * std::exp(symmetric(random) * std::log(1 + load.estimateError))));
            std::vector<milliseconds> times;
            for (int i = 0; i < step.count; ++i) {
                times.emplace_back(
                    static_cast<std::int64_t>(time * (1 + load.unevenness * symmetric(random))));
                work += static_cast<double>(step.need.cpu) * static_cast<double>(times.back().count());
            }
            chain += *std::max_element(times.begin(), times.end());
            owed.taskTimes.push_back(std::move(times));
            job.steps.push_back(std::move(step));
        }
        owed.objective = milliseconds(chain.count() * 16 / 10 + 600);
        const double meanWork = load.steps * load.meanWidth * load.meanCpu * load.meanTaskTime;
        owed.worth = std::min(4.0, 0.3 + 0.7 * work / meanWork);
        m_owed.emplace(job.id, std::move(owed));
        recordArrival(state, job, clock.now());
        addJob(state, std::move(job), "", false);
    }

    void startTasks()
    {
        for (const auto& start : starts()) {
            const auto& id = start.command.task;
            findTask(state, id)->run->sentAt = clock.now();
            applyStartOutcome(state, start.vm, id, start.command.run, CommandOutcome::Accepted, clock.now());
            const auto& times = m_owed.at(id.job).taskTimes;
            const auto time = times[static_cast<std::size_t>(id.step)][static_cast<std::size_t>(id.index)];
            at(startTime + time + reportDelay, [this, start, boot = m_boots[start.vm]] {
                if (m_boots[start.vm] == boot)
                    report(start.vm, { makeEnd(++m_endCounts[{ start.vm, boot }], start) }, boot + 1);
            });
        }
    }

    void endJobs()
    {
        for (const auto& id : takeJobVisits(state)) {
            const auto job = state.jobs.find(id);
            if (job == state.jobs.end() || !isFinal(job->second.state))
                continue;
            recordEnd(m_owed.at(id), wallNow - m_owed.at(id).acceptedAt);
            m_owed.erase(id);
            removeJob(state, id);
        }
    }

    void recordEnd(const OwedJob& owed, milliseconds took)
    {
        constexpr double lateShare = 0.07;
        const auto timeliness = timelinessOf(took, owed.objective);
        for (const auto& name : std::set<std::string> { "", owed.organisation }) {
            auto& out = m_outcomes[name];
            ++out.jobs;
            out.owed += owed.worth;
            out.longest = std::max(out.longest, took);
            out.inTime += timeliness == Timeliness::InTime;
            out.late += timeliness == Timeliness::Late;
            out.overdue += timeliness == Timeliness::Overdue;
            if (timeliness != Timeliness::Overdue)
                out.earned += owed.worth * (timeliness == Timeliness::InTime ? 1 : lateShare);
        }
    }

    OverloadParameters m_parameters;
    TimePoint m_begin;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::string, OwedJob> m_owed;
    std::map<std::string, std::int64_t> m_boots; ///< restarts of a VM
    std::map<std::pair<std::string, std::int64_t>, std::uint64_t> m_endCounts;
    std::map<std::string, CallerOutcome> m_outcomes;
    int m_jobCount = 0;
};

} // namespace damask::fleet
