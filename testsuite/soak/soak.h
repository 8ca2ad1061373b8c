/// \file
/// Injects random faults into real processes of the fleet role, with an in-memory platform. Checks throughout
/// what callers and VMs see, and that all work finishes once the faults have ended.
#pragma once

#include "checker.h"
#include "config_checker.h"

#include "../harness/process.h"

namespace damask::soak {

using namespace fleet::standin;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Within this time a configuration must be in force; equals config_apply_ms of the settings.
constexpr milliseconds configApplyTime { 3000 };
/// Least mean run time of the tasks that outlast the lease of a VM.
constexpr milliseconds minLongTask { 4000 };
constexpr milliseconds callTimeout { 4000 };
constexpr std::int64_t machineCpu = 2000; ///< thousandths of a core

/// A process of the fleet role and the relay between it and the table.
struct Node {
    NodeAddresses addresses;
    std::string settings;
    std::string log;
    std::unique_ptr<harness::Process> process;
    std::size_t relay = 0;
    int boot = 0; ///< counts the starts of the process
    bool isDown = false; ///< killed, stopping or suspended; gets no further fault
};

/// What a run of the soak has besides the faults of every run.
struct SoakOptions {
    bool hasSilentVms = false; ///< else some tasks crash the VMs that start them
    milliseconds maxCommandDelay { 4000 }; ///< of commands that VMs carry out late
    bool isLateAcrossBoots = false; ///< see Platform::setLateAcrossBoots()
    bool hasTakeovers = false; ///< disturbTakeover() is called
};

/// One run of the soak, with its processes and its stand-in for the platform.
class Soak {
public:
    Soak(std::uint64_t seed, int nodes, const SoakOptions& options, std::string folder);
    /// Runs traffic and faults for \p length, then waits for the work; returns whether nothing was violated.
    bool run(seconds length);

private:
    void startNode(Node& node);
    void setRelay(const Node& node, const nlohmann::json& state);
    void submitNewJob();
    void submit(const std::string& id, int attempt, bool mayBeStored);
    void cancel(const std::string& id);
    void pollJobStates();
    /// Writes the next configuration.
    void configure();
    /// Asks each node for counts in the queues of the newest and of an earlier configuration.
    void probeConfigs();
    /// Limits the bandwidth between a node and the table for some seconds.
    void narrowLink();
    /// Lets the open connections between nodes and the table go silent for good.
    void silenceConnections();
    /// Submits a scheduled job with more runs or more tasks than fit into a row of the table.
    void submitLargeJob();
    /// Submits a job whose caller leaves if it gets no answer soon, and cancels the job at any node.
    void submitAndLeave();
    /// Lets a VM restart or changes its capacity.
    void disturbVm();
    void restartVm(const std::string& machine);
    /// Restarts a VM and cuts it off soon after the next start of a long task, often together with the loss
    /// of two nodes.
    void silenceVm();
    void cutOffOnceBusy(const std::string& machine, int attempts);
    /// Submits a job whose tasks outlast the lease of a VM.
    void submitLongJob();
    /// Lets two nodes fail or stand still, often while the machine control service, VMs or addresses are
    /// disturbed as well.
    void disturbTakeover();
    void loseNodes(bool freezesNodes);
    void disturbMachineService();
    void cutVmsOffFromHolders();
    /// A machine whose VM is up; empty if there is none.
    std::string randomMachine();
    void killNode(Node& node);
    void injectFault();
    void injectNodeFault(Node& node, int kind);
    void injectTableFault(int kind);
    void injectVmFault(int kind);
    /// Faults of a VM that carries out the share of its commands late, at times of its heartbeats too.
    VmFaults lateCommands(double share);
    void clearFaults();
    bool isAllWorkFinished();
    void schedule(milliseconds delay, std::function<void()> action);
    /// From a generator of its own, so that the other faults of a seed stay as they were.
    int randomConfigBelow(int limit)
    {
        return static_cast<int>(m_configRandom() % static_cast<std::uint64_t>(limit));
    }
    /// From a generator of its own for restarts, capacities and tasks that crash VMs.
    int randomRestartBelow(int limit)
    {
        return static_cast<int>(m_restartRandom() % static_cast<std::uint64_t>(limit));
    }
    /// From a generator of its own for VMs that fall silent.
    int randomSilenceBelow(int limit)
    {
        return static_cast<int>(m_silenceRandom() % static_cast<std::uint64_t>(limit));
    }
    /// From a generator of its own for disturbed takeovers.
    int randomTakeoverBelow(int limit)
    {
        return static_cast<int>(m_takeoverRandom() % static_cast<std::uint64_t>(limit));
    }
    /// From a generator of its own for what fills the limits of the table, and for silent connections.
    int randomLimitBelow(int limit)
    {
        return static_cast<int>(m_limitRandom() % static_cast<std::uint64_t>(limit));
    }
    /// From a generator of its own for callers that leave.
    int randomLeavingBelow(int limit)
    {
        return static_cast<int>(m_leavingRandom() % static_cast<std::uint64_t>(limit));
    }
    int randomBelow(int limit) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(limit)); }
    Node& randomNode()
    {
        return m_nodes[static_cast<std::size_t>(randomBelow(static_cast<int>(m_nodes.size())))];
    }
    void report(const std::string& what) const;

    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    std::mt19937_64 m_configRandom;
    std::mt19937_64 m_restartRandom;
    std::mt19937_64 m_silenceRandom;
    std::mt19937_64 m_lateRandom;
    std::mt19937_64 m_takeoverRandom;
    std::mt19937_64 m_limitRandom;
    std::mt19937_64 m_leavingRandom;
    SoakOptions m_options;
    std::string m_folder;
    std::chrono::steady_clock::time_point m_startTime = std::chrono::steady_clock::now();
    Loop m_loop;
    Checker m_checker;
    ConfigChecker m_configChecker { configApplyTime,
        [this](const std::string& what) { m_checker.reportViolation(what); } };
    Platform m_platform;
    HttpClient m_client;
    std::vector<QueueSpec> m_queues { { "quotes", "pricing", 3 }, { "renders", "designer", 3 } };
    harness::Process m_relays;
    Address m_relayAdmin;
    std::vector<Node> m_nodes;
    std::vector<std::unique_ptr<Timer>> m_timers;
    std::int64_t m_waveCount = 0;
    int m_jobCount = 0;
    int m_longJobCount = 0;
    int m_largeJobCount = 0;
    int m_leftJobCount = 0;
    int m_faultCount = 0;
};

} // namespace damask::soak
