/// \file
/// Stand-in for a minion: it runs work units under a lease, as the pages say, and knows gangs.
#pragma once

#include "../../platform/standin/delayed_calls.h"
#include "../../platform/standin/table.h"

#include <damaskworks/http.h>
#include <damaskworks/job.h>
#include <damaskworks/loop.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace damask::review {

using fleet::TaskId;
using nlohmann::json;
using std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

/// A step of a job as its consumer submits it, and how its work units behave.
struct Step {
    int count = 1;
    std::int64_t cpu = 1000;
    std::int64_t memoryMb = 1000;
    milliseconds estimate { 1000 };
    std::vector<int> after;
    bool isGang = false;
    bool isLongRunning = false;
    bool isSpeculative = false;
    std::string requiredLabel;
    int maxPerWorker = 0; ///< `anti_affinity`
    milliseconds length { 1000 }; ///< of a run; of a long-running one after which it ends as done, 0: never
};

/// Where a machine of the platform stands and what it offers.
struct WorkerSpec {
    std::string id;
    std::string machine;
    std::string pool;
    std::string kind = "a";
    std::string rack = "r1";
    std::int64_t cpu = 32'000;
    std::int64_t memoryMb = 131'072;
};

class Worker;

/// What workers share: the jobs' steps, and an observer of all runs.
class WorkerHost {
public:
    virtual ~WorkerHost() = default;
    virtual const Step* findStep(const TaskId& task) const = 0;
    virtual void onStart(const WorkerSpec& worker, const TaskId& task, std::uint32_t run) = 0;
    /// \p how is the kind of end on the wire, or `crashed`.
    virtual void onEnd(
        const WorkerSpec& worker, const TaskId& task, std::uint32_t run, const std::string& how)
        = 0;
    virtual void onAcknowledged(
        const WorkerSpec& worker, const TaskId& task, std::uint32_t run, const std::string& how)
        = 0;
    virtual void onRejected(
        const WorkerSpec& worker, const TaskId& task, std::uint32_t run, const std::string& reason)
        = 0;
    /// Whether a run that starts now fails at once.
    virtual bool failsAtStart(const WorkerSpec& worker, const TaskId& task) = 0;
    /// Whether the work unit needs no ticket, or this is a valid one.
    virtual bool hasValidTicket(const Worker& worker, const TaskId& task, const std::string& ticket) = 0;
    /// All members of the gang that run with this number, on all workers.
    virtual std::vector<std::pair<Worker*, TaskId>> gangMembers(const TaskId& task, std::uint32_t run) = 0;
};

/// One life of a machine's minion. Its destruction is a crash.
class Worker {
public:
    Worker(event_base* base, fleet::standin::Table& table, WorkerHost& host, WorkerSpec spec,
        milliseconds maxLease);
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    const WorkerSpec& spec() const { return m_spec; }
    std::int64_t bornMs() const { return m_bornMs; }
    bool runs(const TaskId& task) const { return m_runs.contains(task); }
    bool runs(const TaskId& task, std::uint32_t run) const;
    std::size_t runCount() const { return m_runs.size(); }
    /// Needs of all runs, in thousandths of a core.
    std::int64_t usedCpu() const;
    /// While silent, the minion carries out no call and answers none, as if its link were cut.
    void setSilent(bool isSilent);
    /// Share of the orders that get no answer and are carried out 2 to 12 s later.
    double lateShare = 0;
    void end(const TaskId& task, const std::string& how);
    void publishRegistration(bool isDraining);

private:
    using Exchange = std::shared_ptr<HttpExchange>;
    struct Run {
        std::uint32_t number = 0;
        bool isAtWork = false;
        bool isStopping = false;
        SteadyTime startedAt;
        std::unique_ptr<Timer> timer;
    };
    struct End {
        std::uint64_t number = 0;
        TaskId task;
        std::uint32_t run = 0;
        std::string how;
        bool hasLapsed = false; ///< the lease lapsed after the end, before it was taken note of
    };
    struct PendingHold {
        Exchange exchange;
        SteadyTime until;
    };

    void handle(const Exchange& exchange);
    json carryOut(const std::string& path, const json& body, int& status);
    json start(const json& body, int& status);
    json stop(const json& body);
    void hold(const Exchange& exchange, const json& body);
    void extendLease(const json& body);
    void beginWork(const TaskId& task);
    void beginGang(const TaskId& task, std::uint32_t run);
    void finish(const TaskId& task, const std::string& how);
    void tick();
    json report() const;
    std::int64_t clockMs() const;

    event_base* m_base;
    fleet::standin::Table& m_table;
    WorkerHost& m_host;
    WorkerSpec m_spec;
    milliseconds m_maxLease;
    SteadyTime m_bootedAt = std::chrono::steady_clock::now();
    std::int64_t m_bornMs = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::map<TaskId, Run> m_runs;
    std::map<TaskId, std::uint32_t> m_highestEnded;
    std::deque<End> m_ends;
    std::uint64_t m_nextEnd = 1;
    std::vector<PendingHold> m_pendingHolds;
    std::vector<std::unique_ptr<Timer>> m_endedTimers; ///< freed by tick(): their callbacks may be running
    HttpServer m_server;
    Address m_address;
    bool m_isSilent = false;
    std::vector<Exchange> m_unanswered;
    fleet::standin::DelayedCalls m_lateOrders;
    std::mt19937_64 m_random;
    Timer m_timer;
};

} // namespace damask::review
