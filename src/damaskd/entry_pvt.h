/// \file
/// The caller-facing HTTP proxy of an entry VM. The request kernel decides on admission, endpoints and
/// retries; the proxy carries out its decisions.
#pragma once

#include "freshness_pvt.h"
#include "keyed_requests_pvt.h"

#include <damaskworks/catalogue.h>
#include <damaskworks/http.h>
#include <damaskworks/loop.h>
#include <damaskworks/membership.h>
#include <damaskworks/metrics.h>
#include <damaskworks/request.h>
#include <damaskworks/trace.h>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace damask {

/// Proxies callers' requests to the endpoints of pools. Everything runs on the process's event loop.
class EntryProxy {
public:
    EntryProxy(event_base* base, const Clock& clock, Metrics& metrics, TraceExporter* traceExporter,
        KeyClaims& keyClaims, FreshnessGuard& freshnessGuard, std::string dataCentre, std::uint64_t seed);

    /// Serves one request from a caller. The reply may come later, through \p exchange.
    void serve(std::shared_ptr<HttpExchange> exchange);
    /// Applies the routes, pools and endpoints of \p catalogue. A configuration that is not newer
    /// than the applied one is ignored.
    void applyCatalogue(const Catalogue& catalogue);
    /// Applies the platform's VM list. A VM that is no longer listed as live gets no new requests.
    void setListedVms(const std::vector<ListedVm>& listed);
    /// Sets the pool loads of each live entry VM, this one (\p self) included, by node name. The entry VMs
    /// divide the endpoints' slots among themselves by these loads.
    void setEntryVmLoads(const std::string& self, const std::map<std::string, std::vector<PoolLoad>>& loads);
    /// Current load of each pool on this entry VM, to be sent to the peers.
    std::vector<PoolLoad> poolLoads() const;
    /// Updates the gauges of the listed VMs and of each pool.
    void refreshGauges();
    /// Begins a graceful stop: refuses queued and new requests as not run. Requests in flight continue.
    void stop();
    /// Number of requests that have no reply yet.
    std::size_t pendingRequests() const { return m_activeRequests.size() + m_awaitingClaim.size(); }
    /// Generation of the applied configuration; 0 if none has been applied.
    std::uint64_t configurationGeneration() const { return m_configurationGeneration; }
    /// State of the request kernel.
    const request::State& state() const { return m_state; }

private:
    /// Sends requests whose path starts with `prefix` to `pool`.
    struct Route {
        std::string prefix;
        std::string pool;
        bool idempotent = false; ///< requests may safely run more than once
        bool urgent = false; ///< served before ordinary requests
    };
    /// A request without a reply.
    struct ActiveRequest {
        std::shared_ptr<HttpExchange> exchange;
        std::string pool;
        Span span;
        Span attemptSpan;
        HttpAttemptId httpAttempt = 0; ///< attempt in flight; 0: none
        HttpResponse response; ///< of the endpoint
        TimePoint arrivedAt;
        request::Arrived arrival; ///< event for the request kernel
        std::string endpoint; ///< of the current attempt
        bool mayHaveBeenSent = false; ///< the endpoint may have received a part of the request
        std::optional<HeldClaim> claim; ///< of the idempotency key, if the request needs one
    };

    /// Claims the idempotency key in the platform's table before the request is admitted.
    void claimKey(ActiveRequest active, std::string_view key);
    void onClaimResult(std::uint64_t claimId, ClaimResult result);
    /// Replies to a request whose key was not acquired: replays the stored response or refuses.
    void answerUnclaimed(ActiveRequest& active, const ClaimResult& result);
    /// Passes a new request to the request kernel.
    void admit(ActiveRequest active);
    /// Records the outcome of the request in its claim, if it has one.
    void recordOutcome(ActiveRequest& active, const request::Reply& reply);
    /// Replies that the request was not run.
    void refuse(ActiveRequest& active, request::Reason reason);
    /// Passes the declared pools to the request kernel, with unavailable endpoints marked as not accepting.
    void sendPoolsToKernel();
    /// Tells the request kernel that the attempts withheld because of stale data have not started.
    void reportUnsentAttempts();
    /// Whether the endpoint has recently declined a request or is no longer listed as live.
    bool isUnavailable(const std::string& endpoint) const;
    void onEndpointDeclined(const std::string& endpoint);
    const Route* findRoute(std::string_view path) const;
    void updateRoutes(const Catalogue& catalogue);
    void updatePools(const Catalogue& catalogue);
    /// Passes an event to the request kernel and carries out the actions that it returns.
    void handle(const request::Event& event);
    void carryOut(const request::Dispatch& action);
    void carryOut(const request::Reply& action);
    void carryOut(const request::CancelAttempt& action);
    void onAttemptEnded(request::RequestId id, std::uint32_t attempt, HttpResult result);
    void sendReply(ActiveRequest& active, const request::Reply& reply);
    void tick();
    void scheduleTick();
    void finishSpan(Span& span, std::string_view outcome);

    const Clock& m_clock;
    Metrics& m_metrics;
    TraceExporter* m_traceExporter;
    KeyClaims& m_keyClaims;
    FreshnessGuard& m_freshnessGuard;
    std::string m_dataCentre; ///< of this entry VM
    std::mt19937_64 m_random;
    HttpClient m_client;
    Timer m_tickTimer;
    Timer m_unsentTimer;
    Timer m_declineTimer;
    TimePoint m_nextTickAt = TimePoint::max(); ///< when m_tickTimer fires; max: it is not running
    request::State m_state;
    std::vector<Route> m_routes; ///< longest prefix first
    std::map<std::string, Address> m_endpointAddresses; ///< by VM name
    std::map<std::string, request::PoolChanged> m_declaredPools; ///< before unavailable endpoints are marked
    std::set<std::string> m_everListed; ///< VMs that have appeared in the platform's list
    std::set<std::string> m_liveVms; ///< VMs that the platform lists as live
    std::map<std::string, TimePoint> m_declinedUntil; ///< endpoints that declined a request
    std::unordered_map<request::RequestId, ActiveRequest> m_activeRequests;
    std::unordered_map<std::uint64_t, ActiveRequest>
        m_awaitingClaim; ///< requests whose key is being claimed, by claim id
    std::uint64_t m_nextClaimId = 1;
    std::vector<std::pair<request::RequestId, std::uint32_t>> m_unsentAttempts; ///< not yet reported
    request::RequestId m_nextRequestId = 1;
    std::uint64_t m_configurationGeneration = 0;
    TableVersion m_configurationVersion = 0;
};

} // namespace damask
