/// \file
/// A small deployment for a case: processes of the fleet role, the stand-ins of the platform, clients, and
/// the record of what was sent, answered and run.
#pragma once

#include "../platform/standin/platform.h"
#include "../testsuite/harness/process.h"
#include "faulty_table.h"
#include "silent_relay.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace damask::review {

using std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

/// Exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// What the clients know of a job.
struct SubmittedJob {
    fleet::standin::QueueSpec queue;
    std::string state; ///< last state that a process has shown
    bool isAccepted = false; ///< a process has answered with 200
    SteadyTime acceptedAt {};
    bool isCallOpen = false;
};

/// Runs of one work unit.
struct TaskRuns {
    int starts = 0;
    int running = 0;
    int done = 0;
    SteadyTime lastEndAt {};
};

/// One process of the fleet role and the relay on its way to the store.
struct Node {
    fleet::standin::NodeAddresses addresses;
    std::unique_ptr<SilentRelay> relay;
    std::unique_ptr<harness::Process> process;
    bool isReady = false;
};

/// Starts the processes and ends them in its destructor.
class Deployment : public fleet::standin::RunObserver {
    // The stand-ins report to these until their end.
    SteadyTime m_startedAt = std::chrono::steady_clock::now();
    std::ofstream m_record;
    std::map<std::string, SubmittedJob> m_jobs;
    std::map<fleet::TaskId, TaskRuns> m_tasks;

public:
    Deployment(const std::string& recordPath, int nodeCount);
    ~Deployment() override;
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    Loop loop;
    fleet::standin::Platform platform { loop.base(), *this, 1 };
    FaultyTable table { loop.base(), platform.table().address() };
    std::vector<Node> nodes;

    /// Starts all processes and waits until all are ready.
    bool startNodes(milliseconds limit);
    void startNode(Node& node);
    /// Kills the process.
    void endNode(Node& node);
    /// Adds a line to the record, with the time since the start.
    void record(const std::string& line);
    double secondsSinceStart() const;
    void run(milliseconds time);
    bool runUntil(const std::function<bool()>& done, milliseconds limit);

    /// Hands a job in, at the process that the balancer gives its client. It is sent again after no response,
    /// 502 and 504, and after 429 and 503, at most five times in all.
    void submit(const fleet::standin::QueueSpec& queue, const std::string& id, const std::string& body);
    /// The same at a given process, once.
    void submitAt(const Node& node, const fleet::standin::QueueSpec& queue, const std::string& id,
        const std::string& body);
    /// Asks for the job's state.
    void requestState(const std::string& id);
    /// Checks the rule LOST at the end of a case: asks for the state of all accepted jobs, waits for
    /// \p idleTime and returns the number of those that have not ended and had nothing running
    /// for as long.
    int countLostJobs(milliseconds idleTime);
    const std::map<std::string, SubmittedJob>& jobs() const { return m_jobs; }
    const std::map<fleet::TaskId, TaskRuns>& tasks() const { return m_tasks; }
    /// The processes to which the balancer sends clients: those that are ready, or all if none is.
    std::vector<Node*> rotation();
    /// Name of the node in the lease row of the pool; empty if there is none.
    std::string holderOf(const std::string& pool);

    void started(const std::string& vm, const std::string& pool, const fleet::TaskId& task, std::uint32_t run,
        const std::string& spec) override;
    void ended(const std::string& vm, const fleet::TaskId& task, std::uint32_t run,
        const std::string& reason) override;
    void acknowledged(const fleet::TaskId&, std::uint32_t, const std::string&) override { }
    void crashed(const std::string& vm, const fleet::TaskId& task) override;
    void reportViolation(const std::string& description) override;

private:
    void submitOnce(
        const fleet::standin::QueueSpec& queue, const std::string& id, const std::string& body, int attempt);
    void probe();

    std::filesystem::path m_folder;
    HttpClient m_client { loop.base(), {} };
    fleet::standin::DelayedCalls m_calls { loop.base() };
    std::map<std::string, int> m_missedProbes;
    std::size_t m_nextNode = 0;
    Timer m_probeTimer;
};

/// Body of a job of one step. \p spec tells the stand-in of a minion how the work units behave.
std::string jobBody(const fleet::standin::TaskBehaviour& behaviour, int count, milliseconds estimate,
    const nlohmann::json& further = nlohmann::json::object());
/// A job id of 16 hexadecimal digits.
std::string jobId(int group, int number);
/// Makes SIGTERM and SIGINT end the processes that deployments have started, and this one.
void endProcessesOnSignal();
/// Whether the case is to be run without its disruption.
bool isWithoutTrouble();

} // namespace damask::review
