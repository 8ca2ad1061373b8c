/// \file
/// The admin HTTP server's handlers: the resource API, metrics and health checks.
#pragma once

#include "watch_pvt.h"

#include <damaskworks/catalogue.h>
#include <damaskworks/http.h>
#include <damaskworks/metrics.h>
#include <damaskworks/peer.h>
#include <damaskworks/store.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// The state of this node as the API reports it.
struct NodeStatus {
    std::string node;
    std::string dataCentre;
    bool ready = false;
    std::string reason; ///< why it is not ready; empty if it is
    std::uint64_t configurationGeneration = 0;
    std::chrono::milliseconds tableAge { 0 }; ///< since the last successful poll, or the start
};

/// Serves `/v1/...`, `/metrics`, `/healthz` and `/readyz`.
class Api {
public:
    struct Dependencies {
        Store& store;
        Mirror& mirror;
        const Catalogue& catalogue;
        Metrics& metrics;
        WatchHub& watchHub;
        const PeerService& peers;
        const Clock& clock;
        std::function<NodeStatus()> status;
        std::function<void()> refreshGauges; ///< called before the metrics are formatted
    };
    explicit Api(Dependencies dependencies);

    /// Serves one request. The reply may come later, through \p exchange.
    void serve(std::shared_ptr<HttpExchange> exchange);

private:
    using Exchange = std::shared_ptr<HttpExchange>;
    void serveResources(const Exchange& exchange, std::vector<std::string> parts);
    void list(const Exchange& exchange, Kind kind);
    void read(const Exchange& exchange, Kind kind, const std::string& name);
    void create(const Exchange& exchange, Kind kind);
    void replace(const Exchange& exchange, Kind kind, const std::string& name);
    void remove(const Exchange& exchange, Kind kind, const std::string& name);
    void watch(const Exchange& exchange, std::set<Kind> kinds);
    /// Requests the move of a VM to another pool, which the pool's controller carries out later.
    void moveVm(const Exchange& exchange, const std::string& name);
    /// Lists the configuration generation that each node has applied.
    void rollout(const Exchange& exchange);
    /// Commits \p transaction and replies with \p resource and \p successStatus, or with the error.
    void commit(const Exchange& exchange, Resource resource, Transaction transaction, int successStatus);
    /// Checks that the pools, teams and policies that \p resource names exist, and that a budget fits its
    /// pool.
    std::vector<FieldError> checkReferences(const Resource& resource) const;

    Dependencies m_dependencies;
};

} // namespace damask
