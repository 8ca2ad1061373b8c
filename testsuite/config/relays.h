/// \file
/// Daemons that reach the peer ports of each other through relays, which the test can disconnect.
#pragma once

#include "../harness/fleet.h"

#include <sstream>

namespace damask::harness {

/// A fleet whose entry VMs reach each other only through relays.
struct RelayedFleet {
    explicit RelayedFleet(std::size_t count)
        : relays({ binary("standin_relay"), std::to_string(count) })
    {
        const auto line = relays.waitForEvent("listening");
        relayAdmin = { "127.0.0.1", static_cast<std::uint16_t>(std::stoi(Process::field(line, "port"))) };
        std::stringstream ports(Process::field(line, "ports"));
        for (std::string port; std::getline(ports, port, ',');)
            relayAddresses.push_back({ "127.0.0.1", static_cast<std::uint16_t>(std::stoi(port)) });
    }

    /// Starts a daemon behind the next free relay, or behind the relay that this node had before.
    DaemonHandle& start(const std::string& node, const std::string& dataCentre, int platformTimeoutMs = 300)
    {
        if (!relayIndexes.contains(node))
            relayIndexes[node] = relayIndexes.size();
        const auto relay = relayAddresses.at(relayIndexes[node]);
        std::string seeds;
        for (const auto& address : relayAddresses)
            seeds += (seeds.empty() ? "" : ",") + http::toString(address);
        auto& handle = fleet.startDaemon(node, dataCentre,
            { "--peer_advertise=" + http::toString(relay), "--peers=" + seeds,
                "--platform_timeout_ms=" + std::to_string(platformTimeoutMs), "--snapshot_period_ms=500" });
        peerAddresses[node] = handle.peers;
        handle.peers = relay;
        setPeersDisconnected(node, false);
        return handle;
    }

    /// Cuts or restores the relay before the node's peer port, through which all peers reach the node.
    void setPeersDisconnected(const std::string& node, bool isDisconnected)
    {
        fleet.callJson(relayAdmin, "POST", "/admin/relays",
            { { "relay", relayIndexes.at(node) }, { "target", http::toString(peerAddresses.at(node)) },
                { "cut", isDisconnected } });
    }

    /// Cuts or restores the relays of all nodes.
    void setAllPeersDisconnected(bool isDisconnected)
    {
        for (const auto& [node, index] : relayIndexes)
            setPeersDisconnected(node, isDisconnected);
    }

    /// Disconnects exactly these nodes from the platform; an empty list reconnects all.
    void disconnectFromPlatform(const std::vector<std::string>& nodes)
    {
        nlohmann::json clients = nlohmann::json::array();
        for (const auto& node : nodes)
            clients.push_back("damaskd/" + node);
        fleet.setPlatformFaults({ { "cut", clients } });
    }

    nlohmann::json status(const std::string& node)
    {
        return fleet.callJson(fleet.daemon(node).admin, "GET", "/v1/status").second;
    }
    std::uint64_t generation(const std::string& node)
    {
        return status(node).value("configurationGeneration", std::uint64_t { 0 });
    }
    bool isReady(const std::string& node)
    {
        return fleet.callJson(fleet.daemon(node).admin, "GET", "/readyz").first == 200;
    }

    Fleet fleet;
    Process relays;
    Address relayAdmin;
    std::vector<Address> relayAddresses;
    std::map<std::string, std::size_t> relayIndexes;
    std::map<std::string, Address> peerAddresses;
};

/// Declares one pool and the configuration of generation 1.
inline void declareConfiguration(Fleet& fleet, const Address& admin)
{
    fleet.create(admin, "pools", "pricing", nlohmann::json::object());
    fleet.create(admin, "configurations", "current",
        { { "routes", { { { "prefix", "/pricing" }, { "pool", "pricing" } } } } });
}

/// Replaces the configuration by one with \p routes routes; returns the status and the response body.
inline std::pair<int, nlohmann::json> replaceConfiguration(Fleet& fleet, const Address& admin, int routes)
{
    const auto current = fleet.callJson(admin, "GET", "/v1/configurations/current").second;
    nlohmann::json list = nlohmann::json::array();
    for (int i = 0; i < routes; ++i)
        list.push_back({ { "prefix", "/pricing" + std::to_string(i) }, { "pool", "pricing" } });
    return fleet.callJson(admin, "PUT", "/v1/configurations/current",
        { { "resourceVersion", current["resourceVersion"] }, { "spec", { { "routes", list } } } });
}

} // namespace damask::harness
