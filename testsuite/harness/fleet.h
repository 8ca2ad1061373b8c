/// \file
/// Starts a small fleet of real processes for system tests: the platform stand-in, endpoint stand-ins and
/// daemons in several data centres.
#pragma once

#include "process.h"

#include <damaskworks/http.h>
#include <damaskworks/loop.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace damask::harness {

/// One daemon of the fleet.
struct DaemonHandle {
    std::string node;
    std::string dataCentre;
    std::unique_ptr<Process> process;
    Address callers;
    Address admin;
    Address peers;
};

/// One endpoint VM of the fleet.
struct EndpointHandle {
    std::string id;
    std::string dataCentre;
    std::string rack;
    Address address;
};

/// Starts and controls the processes of a fleet. Waits for responses and conditions have a timeout.
class Fleet {
public:
    /// Starts the platform stand-in, which shows a published VM list after \p vmListDelay.
    explicit Fleet(std::chrono::milliseconds vmListDelay = std::chrono::milliseconds(100));
    ~Fleet();

    /// Starts a daemon with \p flags appended to its command line and waits until it listens.
    DaemonHandle& startDaemon(
        const std::string& node, const std::string& dataCentre, const std::vector<std::string>& flags = {});
    /// Starts one process that serves the named endpoints in \p dataCentre, four per rack.
    void startEndpoints(const std::string& dataCentre, const std::vector<std::string>& ids);
    /// Publishes the started daemons and endpoints, except those in \p excludedIds, as the platform's VM
    /// list.
    void publishVmList(const std::vector<std::string>& excludedIds = {});

    DaemonHandle& daemon(const std::string& node) { return m_daemons.at(node); }
    const EndpointHandle& endpoint(const std::string& id) const { return m_endpoints.at(id); }
    Address platform() const { return m_platformAddress; }
    Loop& loop() { return m_loop; }
    HttpClient& client() { return m_client; }

    /// Sends a request and waits for the response; throws if the client reports no result.
    HttpResult call(const Address& address, const HttpRequest& request,
        std::chrono::milliseconds timeout = std::chrono::seconds(10));
    /// Sends JSON and returns the status and the JSON response body (0 and null if the request failed).
    std::pair<int, nlohmann::json> callJson(const Address& address, const std::string& method,
        const std::string& path, const nlohmann::json& body = nullptr);
    /// Creates a resource and waits until the API lists it; throws if the API refuses it.
    nlohmann::json create(
        const Address& admin, const std::string& plural, const std::string& name, const nlohmann::json& spec);
    /// Declares a pool and its VMs.
    void declarePool(const Address& admin, const std::string& pool, const std::vector<std::string>& vms,
        const nlohmann::json& spec = nlohmann::json::object());
    /// Polls \p condition until it holds or \p limit has passed; returns whether it held.
    bool eventually(
        const std::function<bool()>& condition, std::chrono::milliseconds limit = std::chrono::seconds(20));
    /// Replaces the injected faults of the platform stand-in; an empty object clears them.
    void setPlatformFaults(const nlohmann::json& faults);
    /// Number of times that the endpoints ran each request or task, by id.
    std::map<std::string, int> runCountsById();
    /// Requests and tasks that one endpoint ran, in order.
    nlohmann::json runsOf(const std::string& endpoint);

private:
    Loop m_loop;
    HttpClient m_client;
    std::unique_ptr<Process> m_platform;
    Address m_platformAddress;
    std::map<std::string, DaemonHandle> m_daemons;
    std::vector<std::unique_ptr<Process>> m_endpointProcesses;
    std::map<std::string, EndpointHandle> m_endpoints;
};

} // namespace damask::harness
