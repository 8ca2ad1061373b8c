/// \file
/// What a process is told about its place: its settings, and the operators' configuration.
#pragma once

#include <damaskworks/http.h>
#include <damaskworks/job.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damask::fleet {

/// Settings of one process.
struct NodeSettings {
    std::string node;
    std::string dataCentre;
    Address callers; ///< where callers connect
    Address readiness; ///< where the balancer asks whether the node takes connections
    Address table;
    Address machines;
    Address advice;
    std::string ip;
    std::uint16_t firstInnerPort = 0; ///< of the ports free for the system's own use
    milliseconds stopGrace { 0 }; ///< from SIGTERM to SIGKILL
    milliseconds maxLease { 0 }; ///< longest lease of a VM's tasks
    milliseconds stateKept { 0 }; ///< how long the state of an ended job can be asked for
    double cpuShare = 1; ///< of a core
    double linkMbps = 1000; ///< of the node's own link
    int rowBytes = 0; ///< largest value of a table row
};

/// How the advice service treats the steps of a queue.
struct AdviceTerms {
    milliseconds decision { 0 }; ///< an answer takes this long ...
    milliseconds perVm { 0 }; ///< ... and this much more for each VM asked about
    milliseconds validFor { 0 }; ///< of a ticket
};

/// A queue of jobs.
struct Queue {
    std::string name;
    std::string host;
    std::string prefix; ///< of the path; the rest is the job's id
    std::string pool; ///< that runs its jobs
    int priority = 0; ///< 0 comes first
    int maxAttempts = 1; ///< failed runs after which a task is given up
    double stretch = 1; ///< objective: this many times the job's longest chain ...
    milliseconds latencyTarget { 0 }; ///< ... and this much more
    milliseconds timeout { 0 }; ///< longest time for one request
    std::optional<AdviceTerms> advice; ///< set: only VMs with a ticket may run its steps
};

/// A pool of VMs.
struct Pool {
    std::string name;
    bool standby = false; ///< its VMs are off until they are moved to another pool
    bool enforcesCapacity = false;
};

/// The operators' configuration.
struct FleetConfig {
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::map<std::string, Pool> pools;
    std::size_t maxBodyBytes = 0;
    std::size_t maxHeaderBytes = 0;

    /// The queue with the longest prefix of \p path at \p host; nullptr if there is none.
    const Queue* route(std::string_view host, std::string_view path) const;
    const Queue* queue(std::string_view name) const;
};

/// Machines that are due for maintenance.
struct WaveRequest {
    std::int64_t number = 0;
    std::vector<std::string> machines;
    milliseconds duration { 0 };
    int maxDown = 1; ///< machines of the wave that may be down at once
};

} // namespace damask::fleet
