/// \file
/// A pool's holder on half a core after a takeover. A virtual clock is charged with the processor time of
/// each pass, response, report and row.
#include "pool_fixture_test.h"

#include <damaskworks/command_window.h>
#include <damaskworks/pass_times.h>
#include <damaskworks/start_gate.h>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <set>

using namespace damask;
using namespace damask::fleet;
using namespace std::chrono_literals;

namespace {

using std::chrono::microseconds;

/// What a pass is charged for.
enum class PassCost {
    WhatItLooksAt, ///< PlanningWork
    AllEntries, ///< each VM and job, as often as a pass walked them before it had indexes
};

// Processor time; without planning some 120 us for each start.
constexpr microseconds timePerEntry { 1 };
constexpr microseconds timePerStart { 35 };
constexpr microseconds timePerResponse { 45 };
constexpr microseconds timePerReport { 30 };
constexpr microseconds timePerEnd { 10 };
constexpr microseconds timePerRow { 20 };
constexpr int timeAtHalfACore = 2; ///< real time, as a multiple of processor time

/// Whether earlier holders have recorded the jobs.
enum class Records { Present, Missing };

constexpr std::size_t entriesPerVm = 2;
constexpr std::size_t entriesPerJob = 3;

constexpr auto networkTime = 2ms;
constexpr auto taskTime = 800ms;
constexpr auto reportDelay = 20ms;
constexpr auto firstReports = 500ms; ///< time until all VMs have reported to the new holder
constexpr auto commitTime = 25ms;
constexpr std::size_t jobsPerTransaction = 49;
constexpr auto loadInterval = 30ms;
constexpr auto reconcileDelay = 2ms;
constexpr auto reconcileInterval = 100ms;
/// The platform's bound after the end of all traffic.
constexpr auto maxDrainTime = 14s;

class LoadedHolder : public PoolFixture {
public:
    LoadedHolder(PassCost cost, Records records, int vms, int jobs, int tasksPerJob)
        : m_cost(cost)
        , m_begin(clock.now())
        , m_wallBegin(wallNow)
        , m_tasks(jobs * tasksPerJob)
    {
        state.term = 1;
        state.recoveryDeadline = recoveryDeadlineAfter(state.limits, m_begin);
        std::vector<Machine> machines;
        for (int i = 0; i < vms; ++i) {
            const auto id = "v" + std::to_string(10'000 + i);
            addVm(id, 16'000, "r1", false);
            machines.push_back(machineOf(id));
            at(m_begin + firstReports * i / vms, timePerReport,
                [this, id](TimePoint sentAt) { applyListed(id, {}, sentAt); });
        }
        applyMachineList(state, machines);
        for (int i = 0; i < jobs; ++i)
            submit("job" + std::to_string(100'000 + i), { makeStep(tasksPerJob, 2200) },
                records == Records::Present);
        m_passAt = m_begin;
        at(m_begin + commitTime, 0us, [this](TimePoint) { commit(); });
    }

    /// Runs until no task waits or \p duration is over. Returns the time of the last start.
    Duration run(Duration duration)
    {
        while (m_started < m_tasks && clock.now() < m_begin + duration) {
            const bool isPassNext = m_events.empty() || m_passAt <= m_events.begin()->first;
            wait(isPassNext ? m_passAt : m_events.begin()->first);
            if (isPassNext) {
                pass();
                continue;
            }
            const auto [due, event] = std::move(*m_events.begin());
            m_events.erase(m_events.begin());
            charge(event.time);
            event.apply(due);
        }
        return m_lastStartAt - m_begin;
    }

    int waitingTasks() const { return m_tasks - m_started; }
    void print(Duration elapsed) const
    {
        BOOST_TEST_MESSAGE("last start after "
            << std::chrono::duration<double>(elapsed).count() << " s, " << m_tasks - m_started << " of "
            << m_tasks << " tasks wait, window " << m_window.size << ", response time "
            << m_window.responseTime.count() << " ms");
    }

private:
    struct Event {
        microseconds time { 0 }; ///< of the processor
        std::function<void(TimePoint)> apply; ///< its argument is when the event was due
    };

    void at(TimePoint due, microseconds time, std::function<void(TimePoint)> apply)
    {
        m_events.emplace(due, Event { time, std::move(apply) });
    }

    void wait(TimePoint until)
    {
        clock.advance(std::max<Duration>(until - clock.now(), Duration {}));
        wallNow = m_wallBegin + std::chrono::duration_cast<milliseconds>(clock.now() - m_begin);
    }

    void charge(microseconds time) { wait(clock.now() + time * timeAtHalfACore); }

    void schedulePass(Duration delay)
    {
        m_passAt = std::min(m_passAt, earliestPass(m_lastPass, clock.now() + delay));
    }

    void pass()
    {
        const auto now = clock.now();
        state.work = {};
        const auto vms = takeVmVisits(state, now);
        expireLeases(state, vms, now);
        planEvacuations(state, vms, now);
        planStops(state, vms, now, std::numeric_limits<int>::max());
        const auto outstanding = m_outstanding + countWaiting(m_waitingStarts);
        auto planned = planStarts(state, now, wallNow, freeCommands(m_window, outstanding));
        const auto starts = takeReadyStarts(state, m_waitingStarts, std::move(planned), now);
        for (const auto& start : starts)
            send(start);
        for (const auto& id : takeJobVisits(state)) {
            if (const auto job = state.jobs.find(id); job != state.jobs.end() && job->second.dirty)
                m_dirtyJobs.insert(id);
        }
        if (now - m_loadAt >= loadInterval) {
            m_loadAt = now;
            updateLoadSums(state, wallNow);
        }
        for (const auto& id : vms) {
            if (const auto vm = state.vms.find(id); vm != state.vms.end())
                scheduleVisit(state, vm->second, nextVisit(state, vm->second, now));
        }
        charge(timePerEntry * entriesInPass() + timePerStart * starts.size());
        m_lastPass = { now, clock.now() };
        m_passAt = TimePoint::max();
        schedulePass(reconcileInterval);
    }

    std::size_t entriesInPass() const
    {
        if (m_cost == PassCost::AllEntries)
            return entriesPerVm * state.vms.size() + entriesPerJob * state.jobs.size();
        const auto& work = state.work;
        return work.vmVisits + work.jobUpdates + work.steps + work.vmChoices + work.loadUpdates;
    }

    void send(const StartAction& start)
    {
        const auto now = clock.now();
        ++m_started;
        ++m_outstanding;
        m_lastStartAt = now;
        at(now + networkTime, 0us, [this, start](TimePoint due) {
            m_running[start.vm][start.command.task] = start.command.run;
            at(due + taskTime, 0us, [this, start](TimePoint endedAt) { end(start, endedAt); });
        });
        at(now + 2 * networkTime, timePerResponse, [this, start, now](TimePoint) {
            const auto outstanding = m_outstanding + countWaiting(m_waitingStarts);
            recordCommandEnd(m_window, clock.now() - now, outstanding, clock.now());
            --m_outstanding;
            applyStartOutcome(state, start.vm, start.command.task, start.command.run,
                CommandOutcome::Accepted, clock.now());
            schedulePass(reconcileDelay);
        });
    }

    /// Ends a run on its VM, which takes no time of the holder until the VM reports.
    void end(const StartAction& start, TimePoint endedAt)
    {
        m_running[start.vm].erase(start.command.task);
        auto& ends = m_ends[start.vm];
        ends.push_back(makeEnd(++m_endNumbers[start.vm], start));
        if (ends.size() > 1)
            return; // a report is on its way
        at(endedAt + reportDelay, timePerReport, [this, vm = start.vm](TimePoint sentAt) {
            auto listed = std::exchange(m_ends[vm], {});
            charge(timePerEnd * listed.size());
            applyListed(vm, std::move(listed), sentAt);
        });
    }

    /// Applies a report to a heartbeat sent at \p sentAt of what the VM has got until now.
    void applyListed(const std::string& vm, std::vector<EndReport> ended, TimePoint sentAt)
    {
        VmReport out;
        out.vmClock = std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch());
        out.bootTime = 1;
        for (const auto& [task, run] : m_running[vm])
            out.running.push_back({ task, run, "", 50, 0 });
        out.ended = std::move(ended);
        applyReport(state, vm, out, sentAt, clock.now());
        schedulePass(reconcileDelay);
    }

    /// Ends the transaction in flight and begins the next.
    void commit()
    {
        for (const auto& id : m_jobsInTransaction) {
            auto& job = state.jobs.at(id);
            job.hasRecord = true;
            if (isFinal(job.state) && !job.dirty)
                removeJob(state, id);
        }
        m_jobsInTransaction.clear();
        for (const bool hasRecord : { false, true }) {
            for (auto it = m_dirtyJobs.begin(); it != m_dirtyJobs.end();) {
                auto& job = state.jobs.at(*it);
                if (m_jobsInTransaction.size() == jobsPerTransaction || job.hasRecord != hasRecord) {
                    ++it;
                    continue;
                }
                job.dirty = false;
                m_jobsInTransaction.push_back(*it);
                it = m_dirtyJobs.erase(it);
            }
        }
        charge(timePerRow * m_jobsInTransaction.size());
        schedulePass(reconcileDelay);
        at(clock.now() + commitTime, 0us, [this](TimePoint) { commit(); });
    }

    PassCost m_cost;
    TimePoint m_begin;
    WallTime m_wallBegin;
    int m_tasks;
    int m_started = 0;
    int m_outstanding = 0;
    TimePoint m_lastStartAt {};
    TimePoint m_passAt {};
    TimePoint m_loadAt {};
    PassTimes m_lastPass;
    CommandWindow m_window;
    std::multimap<TimePoint, Event> m_events;
    WaitingStarts m_waitingStarts;
    std::set<std::string> m_dirtyJobs;
    std::vector<std::string> m_jobsInTransaction;
    std::map<std::string, std::map<TaskId, std::uint32_t>> m_running; ///< run numbers by VM
    std::map<std::string, std::vector<EndReport>> m_ends;
    std::map<std::string, std::uint64_t> m_endNumbers;
};

constexpr int vms = 1'000;
constexpr int jobs = 4'500;
constexpr int tasksPerJob = 8;

} // namespace

BOOST_AUTO_TEST_SUITE(loaded_holder)

// On the large deployment accepted jobs were still waiting beside free VMs long after the end of all traffic.
BOOST_AUTO_TEST_CASE(backlogAfterATakeoverIsStarted)
{
    for (const auto records : { Records::Present, Records::Missing }) {
        LoadedHolder holder(PassCost::WhatItLooksAt, records, vms, jobs, tasksPerJob);
        const auto elapsed = holder.run(maxDrainTime);
        holder.print(elapsed);
        BOOST_TEST(holder.waitingTasks() == 0);
    }
}

BOOST_AUTO_TEST_CASE(passesOverAllEntriesLeaveTasksWaitingBesideFreeVms)
{
    LoadedHolder holder(PassCost::AllEntries, Records::Present, vms, jobs, tasksPerJob);
    holder.print(holder.run(maxDrainTime));
    BOOST_TEST(holder.waitingTasks() > jobs);
}

BOOST_AUTO_TEST_SUITE_END()
