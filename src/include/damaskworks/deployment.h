/// \file
/// Settings of a process, and the configuration that operators write for the whole fleet.
#pragma once

#include <damaskworks/http.h>
#include <damaskworks/job.h>
#include <damaskworks/shared_table.h>

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
    Address callers; ///< listening address for callers
    Address readiness; ///< listening address for the load balancer's readiness probes
    Address table; ///< of the shared table's service
    Address machines; ///< of the machine control service
    Address advice; ///< of the advice service
    std::string ip; ///< of this node
    std::uint16_t firstInternalPort = 0; ///< first port of the range for the system's own use
    milliseconds stopGrace { 0 }; ///< from SIGTERM to SIGKILL
    milliseconds maxLease { 0 }; ///< longest lease that a VM grants for its tasks
    milliseconds configApplyTime { 0 }; ///< within which a new configuration must be in force
    milliseconds endedJobRetention { 0 }; ///< how long callers can read the state of an ended job
    double cpuShare = 1; ///< cores that the process may use
    double linkMbps = 1000; ///< bandwidth of the node's network link
    std::size_t maxRowBytes = defaultMaxRowBytes; ///< largest value of a row of the table
    double tableReadsPerSecond = 0; ///< read calls that the table serves for all nodes; 0: not known
    double tableWritesPerSecond = 0; ///< write calls that the table serves for all nodes; 0: not known
    /// How long after its removal a key may still be accepted; zero: no bound.
    milliseconds keyRevocationTime { 0 };
    /// Part of its cap by which an organisation may exceed it.
    double capOvershoot = 0;
    /// Factor of a task's run time away from its data or from the other tasks of its step.
    double farSlowdown = 1;
    /// Whether callers may send more than the fleet can serve in time, so that nodes must refuse the excess.
    bool limitsAdmission = false;
};

/// How the advice service responds to requests about the steps of a queue.
struct AdviceSettings {
    milliseconds baseLatency { 0 }; ///< latency of a response, without that for each VM
    milliseconds latencyPerVm { 0 }; ///< additional latency for each VM in the question
    milliseconds validFor { 0 }; ///< lifetime of a ticket

    bool operator==(const AdviceSettings&) const = default;
};

/// A queue of jobs. The latency objective of a job is `stretch` times the run time of its longest chain of
/// steps, plus `latencyTarget`.
struct Queue {
    std::string name;
    std::string host;
    std::string prefix; ///< of the request path; the job's id follows it
    std::string pool; ///< whose VMs run the queue's jobs
    int priority = 0; ///< 0 is the highest
    int maxAttempts = 1; ///< a task fails for good after this many failed runs
    double stretch = 1; ///< factor of the latency objective
    milliseconds latencyTarget { 0 }; ///< constant part of the latency objective
    milliseconds timeout { 0 }; ///< longest duration of one request
    std::optional<AdviceSettings> advice; ///< if set, only VMs with a ticket may run the queue's steps
    bool isPublic = false; ///< requests need no key, and its jobs belong to no organisation

    bool operator==(const Queue&) const = default;
};

/// A pool of VMs.
struct Pool {
    std::string name;
    bool standby = false; ///< the pool's VMs stay off until they move to another pool
    bool enforcesCapacity = false; ///< the pool's VMs refuse tasks beyond their capacity
};

/// An organisation whose callers submit jobs.
struct Organisation {
    std::string name;
    std::vector<std::string> keys; ///< secrets of its callers; they appear in no log, metric or error
    int priority = 0; ///< 0 is the highest
    double weight = 0; ///< share under shortage, and jobs a second that it is entitled to; 0: none is set
    Resources cap; ///< most that its tasks may use in all pools together; 0: no limit

    bool operator==(const Organisation&) const = default;
};

/// The configuration that operators write.
struct FleetConfig {
    std::int64_t version = 0;
    Version rowVersion = 0; ///< of the row that it is from; orders configurations
    std::vector<Queue> queues;
    std::map<std::string, Pool> pools;
    std::map<std::string, Organisation, std::less<>> organisations; ///< by name
    std::size_t maxBodyBytes = 0;
    std::size_t maxHeaderBytes = 0;

    /// The queue at \p host with the longest prefix that matches \p path; nullptr if there is none.
    const Queue* route(std::string_view host, std::string_view path) const;
    /// The queue called \p name; nullptr if there is none.
    const Queue* queue(std::string_view name) const;
};

/// An operator's request to maintain a group of machines.
struct WaveRequest {
    std::int64_t number = 0;
    std::vector<std::string> machines;
    milliseconds duration { 0 }; ///< time in which the wave should complete
    int maxDown = 1; ///< machines of the wave that may be down at once
};

} // namespace damask::fleet
