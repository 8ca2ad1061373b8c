/// \file
/// Replay of a fleet whose queues have their peaks in turn, on a virtual clock and without sockets: the
/// holders of four pools, their VMs, the machine coordinator and the platform that moves machines.
#pragma once

#include <damaskworks/job_timing.h>
#include <damaskworks/pool_plan.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <numbers>
#include <random>
#include <string>
#include <vector>

namespace damask::fleet {

/// Load of a queue, and of the long-running tasks in its pool.
struct QueueLoad {
    std::string name;
    std::string pool;
    int priority = 0;
    int machines = 0; ///< of the pool at the beginning
    double jobsPerSecond = 0; ///< mean over a whole cycle of turns
    double meanSteps = 1;
    double meanCpu = 0; ///< of a task, in thousandths of a core
    double meanMemoryMb = 0;
    double meanTaskTime = 0; ///< milliseconds
    double maxTaskTime = 0; ///< milliseconds
    double estimateError = 0; ///< largest relative error of the estimates
    int longRunningTasks = 0; ///< in the pool, in jobs of three tasks with one a VM
};

/// Sizes of the large deployment, and the delays of its platform.
struct ReplayParameters {
    double scale = 0.1; ///< of machines, demand and start rate
    std::uint32_t seed = 1;
    milliseconds duration { 34'000 }; ///< in which jobs arrive
    milliseconds drainTime { 8'000 };
    milliseconds turn { 6'200 }; ///< between the peaks of two queues
    milliseconds firstPeak { 1'600 };
    milliseconds peakWidth { 11'000 }; ///< from the beginning of a rise to the end of the fall
    double peakFactor = 4; ///< of the mean rate, at the peak
    double quietFactor = 0.05; ///< of the mean rate, between peaks
    int standbyMachines = 177;
    double startsPerSecond = 3'000; ///< that a holder can send
    double startsPerFirstReport = 3; ///< fewer for each VM that it connects to, as its processor is busy
    double machineCommandsPerSecond = 400; ///< that the coordinator can send
    /// Between two calls of the coordinator's planning. Also the delay of its commands beyond that of a
    /// coordinator with time to spare.
    milliseconds coordinatorInterval { 100 };
    std::array<std::size_t, 4> order { 2, 1, 0, 3 }; ///< queues by their turn
    double waveShare = 0.43; ///< of all machines; 0: no wave
    bool planMoves = true;
    bool arePoolsGivenStandbyMachines = false; ///< before the beginning, in proportion to their size
    /// Changes the loads that the coordinator plans moves by. The second argument is the time since the
    /// beginning.
    std::function<void(FleetState&, milliseconds)> adjustLoads;
    FleetLimits fleetLimits;
    PoolLimits poolLimits;
    std::array<QueueLoad, 4> queues { {
        { "quote", "pricing", 0, 195, 56.4, 1.6, 2'200, 2'300, 800, 2'000, 0.9, 120 },
        { "render", "designer", 1, 219, 8.9, 2, 4'800, 8'900, 2'100, 5'200, 0.5, 144 },
        { "stock", "inventory", 0, 243, 70.6, 1.6, 2'200, 2'300, 800, 2'000, 0.9, 168 },
        { "invoice", "accounts", 1, 266, 10.9, 2, 4'800, 8'900, 2'100, 5'200, 0.5, 168 },
    } };
};

/// What the callers of a queue got.
struct QueueOutcome {
    double owed = 0;
    double earned = 0;
    int jobs = 0;
    int inTime = 0;
    int late = 0;
    int overdue = 0; ///< or not completed at all
    std::vector<double> waits; ///< milliseconds from acceptance to the first start

    double share() const { return owed > 0 ? earned / owed : 0; }
};

/// Factor of the mean rate at which jobs arrive in the queue's turn and between its turns.
inline double arrivalFactor(const ReplayParameters& parameters, std::size_t queue, milliseconds at)
{
    const auto place = std::find(parameters.order.begin(), parameters.order.end(), queue);
    const auto first = parameters.firstPeak + parameters.turn * (place - parameters.order.begin());
    const auto cycle = parameters.turn * static_cast<int>(parameters.order.size());
    const auto offset
        = std::remainder(static_cast<double>((at - first).count()), static_cast<double>(cycle.count()));
    const auto width = static_cast<double>(parameters.peakWidth.count());
    if (std::abs(offset) >= width / 2)
        return parameters.quietFactor;
    const double shape = std::pow(std::cos(std::numbers::pi * offset / width), 2);
    return parameters.quietFactor + (parameters.peakFactor - parameters.quietFactor) * shape;
}

/// A pool at one moment.
struct PoolSample {
    milliseconds at { 0 };
    std::string pool;
    int working = 0; ///< machines that accept work
    double needed = 0; ///< machines for the CPU that runs or waits
    double waitingCpu = 0;
    double overdueCpu = 0;
    int leaving = 0; ///< machines that are evacuated or on their way to another pool
    int coming = 0; ///< machines that are evacuated for this pool or on their way to it
};

struct ReplayOutcome {
    std::map<std::string, QueueOutcome> queues; ///< by queue
    std::vector<PoolSample> samples;
    int moves = 0;
    int lostRuns = 0; ///< runs on machines that were moved or maintained nevertheless

    double share() const
    {
        double earned = 0;
        double owed = 0;
        for (const auto& [name, queue] : queues) {
            earned += queue.earned / std::max(queue.owed, 1e-9) / static_cast<double>(queues.size());
            owed += 1 / static_cast<double>(queues.size());
        }
        return owed > 0 ? earned / owed : 0;
    }
};

class TurnReplay {
public:
    explicit TurnReplay(ReplayParameters parameters)
        : m_parameters(std::move(parameters))
        , m_random(m_parameters.seed)
        , m_begin(m_clock.now())
    {
        for (const auto& queue : m_parameters.queues)
            addPool(queue);
        m_fleet.config.pools["misc"] = { "misc", true, false };
        for (int i = 0; i < standbyMachines(); ++i)
            addMachine("misc", "");
        for (const auto& queue : m_parameters.queues)
            addLongRunningJobs(queue);
    }

    ReplayOutcome run()
    {
        const auto lead = milliseconds(4'000); // until the long-running tasks run
        m_begin += lead;
        const auto end = m_begin + m_parameters.duration + m_parameters.drainTime;
        for (; m_clock.now() < end; ++m_tickCount) {
            m_clock.advance(tick);
            runEvents();
            if (m_clock.now() >= m_begin && m_clock.now() < m_begin + m_parameters.duration)
                submitJobs();
            for (auto& [name, pool] : m_pools)
                reconcile(pool);
            if (m_tickCount % static_cast<std::uint64_t>(m_parameters.coordinatorInterval / tick) == 0)
                coordinate();
            if (m_tickCount % 25 == 0)
                sample();
        }
        for (auto& [name, pool] : m_pools) {
            for (const auto& [id, job] : pool.state.jobs) {
                if (const auto owed = m_owed.find(id); owed != m_owed.end())
                    recordOutcome(job, false);
            }
        }
        return m_outcome;
    }

private:
    static constexpr milliseconds tick { 10 };
    static constexpr milliseconds commitTime { 25 }; ///< of a transaction of a holder or the coordinator
    static constexpr milliseconds responseTime { 5 }; ///< of a command
    static constexpr milliseconds reportDelay { 20 };
    static constexpr milliseconds stopTime { 100 };
    static constexpr milliseconds moveTime { 1'500 };
    static constexpr milliseconds maintenanceTime { 2'000 };
    static constexpr milliseconds registrationDelay { 100 };
    static constexpr milliseconds standbyListDelay { 350 }; ///< only the list shows machines that are off
    static constexpr milliseconds unregistrationDelay { 1'000 };
    static constexpr milliseconds loadInterval { 150 };
    static constexpr milliseconds startupTime { 500 }; ///< of a long-running task
    static constexpr milliseconds heartbeatInterval { 500 };
    static constexpr milliseconds startLimitDelay { 500 };
    static constexpr milliseconds waveBegin { 3'800 };
    static constexpr milliseconds waveDuration { 26'000 };

    struct Run {
        std::uint32_t number = 0;
        TimePoint startedAt {};
        TimePoint endsAt {};
        bool isLongRunning = false;
    };
    struct SimulatedVm {
        std::string id;
        std::string machine;
        std::string pool;
        bool isAlive = true;
        bool isListed = false;
        TimePoint bootedAt {};
        std::int64_t bootTime = 0;
        std::map<TaskId, Run> runs;
        std::vector<EndReport> ends;
        std::uint64_t endCount = 0;
        TimePoint reportAt {};
    };
    struct SimulatedPool {
        PoolState state;
        double startTokens = 0;
        TimePoint startsUnlimitedAt {};
        TimePoint loadPublishedAt {};
        PoolLoad publishedLoad;
        std::map<std::string, std::string> evacuations;
    };
    /// What only the replay knows about a job.
    struct OwedJob {
        std::string queue;
        double worth = 0;
        milliseconds objective { 0 }; ///< by the true times of its tasks
        std::vector<std::vector<milliseconds>> taskTimes;
    };

    int scaled(double value) const
    {
        return std::max(1, static_cast<int>(std::lround(value * m_parameters.scale)));
    }

    int standbyMachines() const
    {
        return m_parameters.arePoolsGivenStandbyMachines ? 0 : scaled(m_parameters.standbyMachines);
    }

    void addPool(const QueueLoad& load)
    {
        auto& pool = m_pools[load.pool];
        pool.state.pool = load.pool;
        pool.state.limits = m_parameters.poolLimits;
        pool.startsUnlimitedAt = m_clock.now();
        Queue queue;
        queue.name = load.name;
        queue.pool = load.pool;
        queue.priority = load.priority;
        queue.maxAttempts = 4;
        queue.stretch = 1.6;
        queue.latencyTarget = milliseconds(600);
        pool.state.queues.emplace(queue.name, queue);
        m_fleet.config.pools[load.pool] = { load.pool, false, false };
        double machines = load.machines;
        if (m_parameters.arePoolsGivenStandbyMachines)
            machines *= 1 + m_parameters.standbyMachines / 923.0;
        for (int i = 0; i < scaled(machines); ++i)
            addMachine(load.pool, load.pool);
    }

    void addMachine(const std::string& pool, const std::string& vmPool)
    {
        const auto id = "m" + std::to_string(1000 + m_fleet.machines.size());
        m_fleet.machines[id] = { id, pool, MachineState::Up, "" };
        if (!vmPool.empty())
            bootVm(id, pool);
    }

    void addLongRunningJobs(const QueueLoad& load)
    {
        auto& pool = m_pools[load.pool];
        constexpr int tasksPerJob = 3;
        for (int i = 0; i < scaled(load.longRunningTasks); i += tasksPerJob) {
            JobSpec job;
            job.id = load.name + "-serving" + std::to_string(i);
            job.queue = load.name;
            job.pool = load.pool;
            StepSpec step;
            step.count = tasksPerJob;
            step.need = { 2'400, 10'000, 0 };
            step.estimate = milliseconds(700);
            step.longRunning = true;
            step.maxPerVm = 1;
            step.maxUnavailable = 1;
            job.steps.push_back(step);
            job.acceptedAt = wallNow();
            addJob(pool.state, job, "", false);
        }
    }

    WallTime wallNow() const
    {
        return std::chrono::duration_cast<WallTime>(m_clock.now().time_since_epoch());
    }

    void at(Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_clock.now() + delay, std::move(event));
    }

    void runEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_clock.now()) {
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
    }

    // Jobs

    double draw(double mean, double spread, double max)
    {
        const double variance = std::log(1 + spread * spread);
        std::lognormal_distribution<double> distribution(std::log(mean) - variance / 2, std::sqrt(variance));
        return std::min(distribution(m_random), max);
    }

    void submitJobs()
    {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(m_clock.now() - m_begin);
        for (std::size_t i = 0; i < m_parameters.queues.size(); ++i) {
            const auto& load = m_parameters.queues[i];
            const double factor = arrivalFactor(m_parameters, i, elapsed);
            std::poisson_distribution<int> count(load.jobsPerSecond * m_parameters.scale * factor
                * std::chrono::duration<double>(tick).count());
            for (int jobs = count(m_random); jobs > 0; --jobs)
                submitJob(load);
        }
    }

    void submitJob(const QueueLoad& load)
    {
        JobSpec job;
        job.id = "j" + std::to_string(100'000 + m_jobCount++);
        job.queue = load.name;
        job.pool = load.pool;
        job.acceptedAt = wallNow();
        job.maxAttempts = 4;
        OwedJob owed { .queue = load.name };
        std::uniform_real_distribution<double> symmetric(-1, 1);
        const int steps = std::max(1, static_cast<int>(std::lround(draw(load.meanSteps, 0.4, 5))));
        milliseconds chain { 0 };
        double work = 0;
        for (int s = 0; s < steps; ++s) {
            StepSpec step;
            step.count = std::max(1, static_cast<int>(std::lround(draw(8, 0.6, 32))));
            step.need.cpu = static_cast<std::int64_t>(draw(load.meanCpu, 0.45, load.meanCpu * 3));
            step.need.memoryMb = static_cast<std::int64_t>(draw(load.meanMemoryMb, 0.6, 27'000));
            if (s > 0)
                step.after = { s - 1 };
            const double time = draw(load.meanTaskTime, 0.5, load.maxTaskTime);
            step.estimate = milliseconds(static_cast<std::int64_t>(
                time * std::exp(symmetric(m_random) * std::log(1 + load.estimateError))));
            std::vector<milliseconds> times;
            for (int i = 0; i < step.count; ++i) {
                times.emplace_back(static_cast<std::int64_t>(time * (1 + 0.3 * symmetric(m_random))));
                work += static_cast<double>(step.need.cpu) * static_cast<double>(times.back().count());
            }
            chain += *std::max_element(times.begin(), times.end());
            owed.taskTimes.push_back(std::move(times));
            job.steps.push_back(std::move(step));
        }
        owed.objective = milliseconds(static_cast<std::int64_t>(1.6 * static_cast<double>(chain.count())))
            + milliseconds(600);
        const double meanWork = load.meanSteps * 8 * load.meanCpu * load.meanTaskTime;
        owed.worth = std::min(4.0, 0.3 + 0.7 * work / meanWork);
        auto& outcome = m_outcome.queues[load.name];
        outcome.owed += owed.worth;
        ++outcome.jobs;
        m_owed.emplace(job.id, std::move(owed));
        at(commitTime, [this, job = std::move(job)] {
            auto& state = m_pools.at(job.pool).state;
            recordArrival(state, job, m_clock.now());
            addJob(state, job, "", false);
        });
    }

    void recordOutcome(const JobEntry& job, bool isCompleted)
    {
        const auto& owed = m_owed.at(job.spec.id);
        auto& outcome = m_outcome.queues[owed.queue];
        const auto took = wallNow() + commitTime - job.spec.acceptedAt;
        const auto timeliness = isCompleted ? timelinessOf(took, owed.objective) : Timeliness::Overdue;
        constexpr double lateShare = 0.07;
        outcome.earned += timeliness == Timeliness::InTime ? owed.worth
            : timeliness == Timeliness::Late               ? owed.worth * lateShare
                                                           : 0;
        outcome.inTime += timeliness == Timeliness::InTime;
        outcome.late += timeliness == Timeliness::Late;
        outcome.overdue += timeliness == Timeliness::Overdue;
        if (job.firstStartAt == TimePoint {})
            return;
        const auto wait = job.firstStartAt.time_since_epoch() - job.spec.acceptedAt;
        outcome.waits.push_back(std::chrono::duration<double, std::milli>(wait).count());
    }

    // Holders

    void reconcile(SimulatedPool& pool)
    {
        auto& state = pool.state;
        const auto now = m_clock.now();
        if (m_tickCount % 10 == 0)
            expireLeases(state, now);
        planEvacuations(state, now);
        for (const auto& stop : planStops(state, now))
            sendStop(pool, stop);
        sendStarts(pool);
        for (auto it = state.jobs.begin(); it != state.jobs.end();) {
            if (!isFinal(it->second.state)) {
                ++it;
                continue;
            }
            if (m_owed.contains(it->first))
                recordOutcome(it->second, it->second.state == JobState::Completed);
            removeJob(state, (it++)->first);
        }
        publishLoad(pool);
    }

    void sendStarts(SimulatedPool& pool)
    {
        const double rate = m_parameters.startsPerSecond * m_parameters.scale;
        // Several ticks' worth, since a command window allows bursts.
        pool.startTokens = std::min(pool.startTokens + rate * std::chrono::duration<double>(tick).count(),
            std::max(8.0, rate * 0.03));
        const int maxStarts = std::max(0, static_cast<int>(pool.startTokens));
        const auto starts = planStarts(pool.state, m_clock.now(), wallNow(), maxStarts);
        pool.startTokens -= static_cast<double>(starts.size());
        if (static_cast<int>(starts.size()) < maxStarts)
            pool.startsUnlimitedAt = m_clock.now();
        pool.state.areStartsLimited = m_clock.now() - pool.startsUnlimitedAt >= startLimitDelay;
        for (const auto& start : starts) {
            findTask(pool.state, start.command.task)->run->sentAt = m_clock.now();
            at(commitTime + responseTime, [this, &pool, start] { applyStart(pool, start); });
        }
    }

    void applyStart(SimulatedPool& pool, const StartAction& start)
    {
        const auto& id = start.command.task;
        const auto found = m_vms.find(start.vm);
        const bool isAlive = found != m_vms.end() && found->second.isAlive;
        applyStartOutcome(pool.state, start.vm, id, start.command.run,
            isAlive ? CommandOutcome::Accepted : CommandOutcome::Unreachable, m_clock.now());
        if (!isAlive)
            return;
        auto& vm = found->second;
        const auto owed = m_owed.find(id.job);
        if (owed == m_owed.end()) {
            vm.runs[id] = { start.command.run, m_clock.now(), TimePoint::max(), true };
            at(startupTime, [this, &vm] { report(vm); });
            return;
        }
        const auto time
            = owed->second.taskTimes[static_cast<std::size_t>(id.step)][static_cast<std::size_t>(id.index)];
        vm.runs[id] = { start.command.run, m_clock.now(), m_clock.now() + time, false };
        at(time, [this, &vm, id, number = start.command.run] { endRun(vm, id, number, EndKind::Done); });
    }

    void sendStop(SimulatedPool& pool, const StopAction& stop)
    {
        at(responseTime, [this, &pool, stop] {
            applyStopOutcome(pool.state, stop.vm, stop.task, stop.run, CommandOutcome::Accepted,
                m_clock.now() - responseTime, m_clock.now());
        });
        at(stopTime, [this, stop] {
            if (const auto vm = m_vms.find(stop.vm); vm != m_vms.end())
                endRun(vm->second, stop.task, stop.run, EndKind::Stopped);
        });
    }

    void endRun(SimulatedVm& vm, const TaskId& id, std::uint32_t number, EndKind kind)
    {
        const auto run = vm.runs.find(id);
        if (!vm.isAlive || run == vm.runs.end() || run->second.number != number)
            return;
        vm.runs.erase(run);
        vm.ends.push_back({ ++vm.endCount, id, number, kind, "" });
        if (vm.reportAt > m_clock.now())
            return; // a report is on its way
        vm.reportAt = m_clock.now() + reportDelay;
        at(reportDelay, [this, &vm] { report(vm); });
    }

    void report(SimulatedVm& vm)
    {
        if (!vm.isAlive || !vm.isListed)
            return;
        VmReport out;
        out.vmClock = std::chrono::duration_cast<milliseconds>(m_clock.now() - vm.bootedAt) + milliseconds(1);
        out.bootTime = vm.bootTime;
        for (const auto& [id, run] : vm.runs) {
            const auto age = m_clock.now() - run.startedAt;
            const int percent = run.isLongRunning
                ? (age >= startupTime ? 100 : 0)
                : static_cast<int>(age * 100 / (run.endsAt - run.startedAt));
            out.running.push_back({ id, run.number, "", percent, 0 });
        }
        out.ended = std::exchange(vm.ends, {});
        applyReport(m_pools.at(vm.pool).state, vm.id, out, m_clock.now() - responseTime, m_clock.now());
    }

    void heartbeat(SimulatedVm& vm)
    {
        if (!vm.isAlive)
            return;
        report(vm);
        at(heartbeatInterval, [this, &vm] { heartbeat(vm); });
    }

    void publishLoad(SimulatedPool& pool)
    {
        auto& arrivals = pool.state.arrivals;
        while (!arrivals.empty() && m_clock.now() - arrivals.front().at > pool.state.limits.arrivalWindow * 2)
            arrivals.pop_front();
        if (m_tickCount % 3 != 0)
            return;
        auto load = computeLoad(pool.state, m_clock.now(), wallNow());
        if (load.empty == pool.publishedLoad.empty && m_clock.now() - pool.loadPublishedAt < loadInterval)
            return;
        pool.loadPublishedAt = m_clock.now();
        pool.publishedLoad = load;
        at(commitTime,
            [this, name = pool.state.pool, load = std::move(load)] { m_fleet.loads[name] = load; });
    }

    // Platform

    void bootVm(const std::string& machine, const std::string& pool)
    {
        const auto id = "v" + machine.substr(1) + "." + std::to_string(++m_bootCount);
        auto& vm = m_vms[id];
        vm.id = id;
        vm.machine = machine;
        vm.pool = pool;
        vm.bootedAt = m_clock.now();
        vm.bootTime = m_bootCount;
        at(registrationDelay, [this, &vm] { registerVm(vm); });
    }

    void registerVm(SimulatedVm& vm)
    {
        VmRegistration entry;
        entry.id = vm.id;
        entry.machine = vm.machine;
        entry.pool = vm.pool;
        entry.capacity = { 16'000, 32'768, 0 };
        entry.rack = "r";
        entry.labels = { "a", "r" };
        entry.bootTime = vm.bootTime;
        auto& pool = m_pools.at(vm.pool);
        listVm(pool.state, entry);
        const auto evacuation = pool.evacuations.find(vm.machine);
        setEvacuation(pool.state, pool.state.vms.at(vm.id),
            evacuation == pool.evacuations.end() ? "" : evacuation->second);
        vm.isListed = true;
        m_fleet.machines[vm.machine] = { vm.machine, vm.pool, MachineState::Up, vm.id };
        pool.startTokens -= m_parameters.startsPerFirstReport;
        at(responseTime, [this, &vm] { heartbeat(vm); });
    }

    void carryOut(const std::string& machine)
    {
        auto found = m_fleet.tasks.find(machine);
        if (found == m_fleet.tasks.end())
            return;
        const auto& task = found->second;
        auto& known = m_fleet.machines.at(machine);
        const auto pool = known.pool;
        const auto toPool = task.action == MachineAction::Move ? task.toPool : pool;
        const auto vm = m_vms.find(known.vm);
        if (vm != m_vms.end()) {
            vm->second.isAlive = false;
            m_outcome.lostRuns += static_cast<int>(vm->second.runs.size());
            m_pools.at(pool).evacuations.erase(machine);
            if (const auto listed = m_pools.at(pool).state.vms.find(known.vm);
                listed != m_pools.at(pool).state.vms.end())
                setEvacuation(m_pools.at(pool).state, listed->second, "");
            at(unregistrationDelay, [this, pool, id = known.vm] { unlistVm(m_pools.at(pool).state, id); });
        }
        found->second.state = MachineTaskState::Ordered;
        known.state = task.action == MachineAction::Move ? MachineState::Moving : MachineState::Maintenance;
        known.vm.clear();
        at(task.action == MachineAction::Move ? moveTime : maintenanceTime, [this, machine, toPool] {
            if (m_pools.contains(toPool))
                return bootVm(machine, toPool);
            at(standbyListDelay, [this, machine, toPool] {
                m_fleet.machines[machine] = { machine, toPool, MachineState::Up, "" };
            });
        });
    }

    // Coordinator

    void coordinate()
    {
        const auto now = m_clock.now();
        beginWave();
        for (auto it = m_fleet.tasks.begin(); it != m_fleet.tasks.end();) {
            if (!hasMachineReturned(m_fleet, it->second)) {
                ++it;
                continue;
            }
            if (it->second.action == MachineAction::Maintain)
                m_fleet.waves[it->second.wave].done.insert(it->first);
            m_fleet.lastTaskEndedAt[it->first] = now;
            it = m_fleet.tasks.erase(it);
        }
        for (auto& task : planMaintenance(m_fleet, m_parameters.fleetLimits, now))
            beginTask(std::move(task));
        if (m_parameters.planMoves && now >= m_begin - milliseconds(500)) {
            auto planned = m_fleet;
            if (m_parameters.adjustLoads)
                m_parameters.adjustLoads(planned, std::chrono::duration_cast<milliseconds>(now - m_begin));
            for (auto& task : fleet::planMoves(planned, m_parameters.fleetLimits, now)) {
                ++m_outcome.moves;
                beginTask(std::move(task));
            }
        }
        const double rate = m_parameters.machineCommandsPerSecond * m_parameters.scale;
        const double interval = std::chrono::duration<double>(m_parameters.coordinatorInterval).count();
        m_commandTokens = std::min(m_commandTokens + rate * interval, std::max(1.0, rate * interval));
        for (const auto& [machine, task] : m_fleet.tasks) {
            if (m_commandTokens < 1)
                break;
            if (now < m_committedAt[machine] || m_commanded[machine] == task.id
                || !maySendCommand(m_fleet, task))
                continue;
            m_commanded[machine] = task.id;
            --m_commandTokens;
            at(responseTime, [this, machine = machine] { carryOut(machine); });
        }
    }

    void beginTask(MachineTask task)
    {
        const auto machine = task.machine;
        const auto pool = m_fleet.machines.at(machine).pool;
        task.id = std::to_string(++m_taskCount);
        m_committedAt[machine] = m_clock.now() + commitTime;
        if (m_pools.contains(pool))
            at(commitTime, [this, machine, pool, id = task.id] {
                auto& holder = m_pools.at(pool);
                holder.evacuations[machine] = id;
                for (auto& [name, vm] : holder.state.vms) {
                    if (vm.entry.machine == machine)
                        setEvacuation(holder.state, vm, id);
                }
            });
        m_fleet.tasks.emplace(machine, std::move(task));
    }

    void beginWave()
    {
        if (m_parameters.waveShare <= 0 || !m_fleet.waves.empty() || m_clock.now() < m_begin + waveBegin)
            return;
        std::vector<std::string> machines;
        for (const auto& [id, machine] : m_fleet.machines)
            machines.push_back(id);
        std::shuffle(machines.begin(), machines.end(), m_random);
        machines.resize(
            static_cast<std::size_t>(static_cast<double>(machines.size()) * m_parameters.waveShare));
        const int maxDown = std::max(1, static_cast<int>(machines.size()) / 3);
        m_fleet.waves[1] = { { 1, std::move(machines), waveDuration, maxDown }, m_clock.now(), {} };
    }

    void sample()
    {
        for (const auto& [name, pool] : m_pools) {
            const auto load = computeLoad(pool.state, m_clock.now(), wallNow());
            PoolSample out { std::chrono::duration_cast<milliseconds>(m_clock.now() - m_begin), name };
            out.working = load.workingMachines;
            out.needed = static_cast<double>(load.usedCpu + load.waitingCpu + load.overdueCpu) / 16'000;
            out.waitingCpu = static_cast<double>(load.waitingCpu);
            out.overdueCpu = static_cast<double>(load.overdueCpu);
            for (const auto& [machine, task] : m_fleet.tasks) {
                out.coming += task.action == MachineAction::Move && task.toPool == name;
                out.leaving
                    += task.state == MachineTaskState::Emptying && m_fleet.machines.at(machine).pool == name;
            }
            m_outcome.samples.push_back(out);
        }
    }

    ReplayParameters m_parameters;
    std::mt19937 m_random;
    ManualClock m_clock;
    TimePoint m_begin;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::string, SimulatedPool> m_pools;
    std::map<std::string, SimulatedVm> m_vms;
    std::map<std::string, OwedJob> m_owed;
    FleetState m_fleet;
    std::map<std::string, TimePoint> m_committedAt;
    std::map<std::string, std::string> m_commanded;
    ReplayOutcome m_outcome;
    std::uint64_t m_tickCount = 0;
    int m_jobCount = 0;
    int m_bootCount = 0;
    int m_taskCount = 0;
    double m_commandTokens = 0;
};

} // namespace damask::fleet
