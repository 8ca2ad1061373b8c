/// \file
/// A small deployment on loopback addresses: the project's processes with the command of the deploy file, the
/// project's stand-in for the store, and stand-ins for minions, the machine service, consumers and operator.
#pragma once

#include "worker.h"

#include "../../testsuite/harness/process.h"

#include <fstream>
#include <random>
#include <set>

namespace damask::review {

/// A route of the configuration.
struct Queue {
    std::string name;
    std::string service;
    int maxAttempts = 3;
    int priority = 0;
    bool hasAdvice = false;
};

/// A work unit as the minions saw it.
struct TaskRecord {
    std::set<std::pair<std::string, std::uint32_t>> active; ///< minion and run
    int starts = 0;
    bool isDone = false; ///< a run has ended as done
    bool isDoneNoted = false; ///< and that end was taken note of
    int failures = 0; ///< runs that ended as failed
    int crashes = 0; ///< runs that ended with their minion
    SteadyTime lastEndAt;
};

/// A job as its consumer and the minions saw it.
struct JobRecord {
    Queue queue;
    std::vector<Step> steps;
    bool isAccepted = false;
    bool isCancelled = false;
    SteadyTime cancelledAt;
    std::map<TaskId, TaskRecord> tasks;
    std::string state; ///< as last shown
};

struct Options {
    int nodes = 4;
    milliseconds maxLease { 6000 }; ///< hold_max_ms
    milliseconds configApply { 2000 }; ///< config_apply_ms
    std::string moreContracts; ///< in the list of the settings, each after a comma
    std::string record; ///< path of record.txt
    std::string tenant; ///< of the consumers, and their key; empty: the config has no tenants
    std::int64_t cap = 0; ///< of the tenant, in thousandths of a core
};

class Deployment : public WorkerHost {
public:
    explicit Deployment(const Options& options);
    ~Deployment() override;

    std::map<std::string, JobRecord> jobs;
    std::vector<std::string> violations;
    /// Share of the starts on a machine that fail at once.
    std::map<std::string, double> failingMachines;

    Loop& loop() { return m_loop; }
    fleet::standin::Table& table() { return m_table; }
    /// Writes a line with the time since the start to the record.
    void note(const std::string& line);
    void violate(const std::string& line);

    void addMachine(const std::string& machine, const std::string& pool, std::int64_t cpu = 32'000,
        const std::string& kind = "a", const std::string& rack = "r1");
    void configure(const std::vector<Queue>& queues, const std::set<std::string>& services);
    /// The minion on the machine; null if it is down.
    Worker* worker(const std::string& machine);
    /// The minions of the service that run nothing.
    int countIdle(const std::string& service) const;
    /// The machine whose minion runs the work unit; empty if none does.
    std::string machineOf(const TaskId& task);
    /// The minion crashes, and starts again after \p downtime, under its id or another one.
    void crash(const std::string& machine, milliseconds downtime, bool keepsId);

    /// Starts all nodes and waits until they are ready.
    bool startNodes();
    void startNode(std::size_t node);
    void killNode(std::size_t node);
    harness::Process* process(std::size_t node) { return m_nodes[node].process.get(); }
    std::size_t nodeCount() const { return m_nodes.size(); }
    /// The node that holds the pool's lease, by the store; empty if none does.
    std::optional<std::size_t> holderOf(const std::string& pool) const;

    /// Runs the loop for a while, or until \p done.
    void run(milliseconds time);
    bool runUntil(const std::function<bool()>& done, milliseconds timeout);

    /// Hands a job in, with the consumer's retries. Returns whether it was accepted.
    bool submit(const std::string& id, const Queue& queue, const std::vector<Step>& steps,
        const json& more = json::object());
    /// The same without waiting.
    void submitLater(const std::string& id, const Queue& queue, const std::vector<Step>& steps,
        const json& more = json::object());
    /// Asks for the job's state at any node that is ready; the status in digits if there is none.
    std::string state(const std::string& id);
    bool cancel(const std::string& id);

    const Step* findStep(const TaskId& task) const override;
    void onStart(const WorkerSpec& worker, const TaskId& task, std::uint32_t run) override;
    void onEnd(
        const WorkerSpec& worker, const TaskId& task, std::uint32_t run, const std::string& how) override;
    void onAcknowledged(
        const WorkerSpec& worker, const TaskId& task, std::uint32_t run, const std::string& how) override;
    void onRejected(
        const WorkerSpec& worker, const TaskId& task, std::uint32_t run, const std::string& reason) override;
    bool failsAtStart(const WorkerSpec& worker, const TaskId& task) override;
    bool hasValidTicket(const Worker& worker, const TaskId& task, const std::string& ticket) override;
    std::vector<std::pair<Worker*, TaskId>> gangMembers(const TaskId& task, std::uint32_t run) override;

private:
    struct Node {
        std::string name;
        std::string ip;
        std::string settings;
        std::unique_ptr<harness::Process> process;
    };
    struct Machine {
        WorkerSpec spec;
        std::string state = "up";
        std::uint64_t fence = 0;
        int boots = 1;
        std::set<std::int64_t> wavesDone;
        std::unique_ptr<Worker> worker;
    };

    void boot(const std::string& machine);
    void takeDown(Machine& machine, const std::string& state, milliseconds downtime, bool keepsId);
    void handleCloud(const std::shared_ptr<HttpExchange>& exchange);
    void handleCommand(const std::shared_ptr<HttpExchange>& exchange);
    void handleAdvice(const std::shared_ptr<HttpExchange>& exchange);
    void writeSettings(const Node& node) const;
    HttpRequest request(const std::string& method, const JobRecord& job, const std::string& id) const;
    void sendSubmission(const std::string& id, const std::string& body, int attempt);
    std::optional<HttpResponse> call(std::size_t node, const HttpRequest& request);
    std::size_t anyNode();

    Options m_options;
    SteadyTime m_startedAt = std::chrono::steady_clock::now();
    std::ofstream m_record;
    std::string m_folder;
    std::mt19937_64 m_random { 20261207 };
    Loop m_loop;
    fleet::standin::DelayedCalls m_calls;
    fleet::standin::Table m_table;
    HttpClient m_client;
    HttpServer m_cloud;
    Address m_cloudAddress;
    HttpServer m_advice;
    Address m_adviceAddress;
    SteadyTime m_adviceFreeAt; ///< when the service has handled its calls, one after the other
    std::map<std::string, SteadyTime> m_tickets; ///< end of their validity
    std::map<std::string, Machine> m_machines;
    std::vector<Node> m_nodes;
    std::int64_t m_configVersion = 0;
    bool m_isEnding = false;
};

/// Exit status of a case: 1 if a rule was broken, 0 if all held, 2 if the case could not run.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };
/// Whether the case is run with its disruption.
bool hasTrouble();

} // namespace damask::review
