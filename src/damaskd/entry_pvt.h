/// \file
/// The callers' side of the daemon: takes requests, lets the request kernel decide, and carries out
/// its decisions against the endpoints.
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

/// Request path of one entry VM.
class Entry {
public:
    Entry(event_base* base, const Clock& clock, Metrics& metrics, TraceExporter* exporter,
        KeyedRequests& keyed, Freshness& freshness, std::string dataCentre, std::uint64_t seed);

    /// Serves one request from a caller.
    void serve(std::shared_ptr<HttpExchange> exchange);
    /// Takes over routes, pools and endpoints.
    void update(const Catalogue& catalogue);
    /// Takes over the platform's list: VMs that are leaving, or that have left it, get no new work.
    void setListed(const std::vector<ListedVm>& listed);
    /// Takes over the loads of the live entry VMs, this one included, by node: they share the slots.
    void setEntryVms(const std::string& self, const std::map<std::string, std::vector<PoolLoad>>& loads);
    /// Present load of each pool, for the peers.
    std::vector<PoolLoad> loads() const;
    /// Sets the gauges of each pool.
    void refreshGauges();
    /// Begins a planned stop: what is queued is refused as not run, what is in flight goes on.
    void stop();
    /// Number of requests that have no answer yet.
    std::size_t pending() const { return m_active.size() + m_claiming.size(); }
    /// Generation of the configuration in force; 0 before the first.
    std::uint64_t configurationGeneration() const { return m_configurationGeneration; }
    /// State of the request kernel, for reports.
    const request::State& state() const { return m_state; }

private:
    struct Route {
        std::string prefix;
        std::string pool;
        bool idempotent = false;
        bool urgent = false;
    };
    struct Active {
        std::shared_ptr<HttpExchange> exchange;
        std::string pool;
        Span span;
        Span attemptSpan;
        HttpAttemptId attempt = 0;
        HttpResponse response;
        TimePoint arrived;
        request::Arrived event;
        std::string endpoint; ///< of the present attempt
        bool wasSent = false; ///< a byte of it may have left
        std::optional<HeldClaim> claim; ///< of the idempotency key, if there is one
    };

    void claimKey(Active active, std::string_view key);
    void keyClaimed(std::uint64_t claiming, ClaimResult result);
    void refuseKey(Active& active, const ClaimResult& result);
    void admit(Active active);
    void settleKey(Active& active, const request::Reply& reply);
    void refuse(Active& active, request::Reason reason);
    void publishPools();
    void reportNotStarted();
    bool isLeaving(const std::string& endpoint) const;
    void declined(const std::string& endpoint);
    const Route* findRoute(std::string_view path) const;
    void updateRoutes(const Catalogue& catalogue);
    void updatePools(const Catalogue& catalogue);
    void handle(const request::Event& event);
    void carryOut(const request::Dispatch& action);
    void carryOut(const request::Reply& action);
    void carryOut(const request::CancelAttempt& action);
    void attemptEnded(request::RequestId id, std::uint32_t attempt, HttpResult result);
    void answer(Active& active, const request::Reply& reply);
    void tick();
    void scheduleTick();
    void finishSpan(Span& span, std::string_view outcome);

    const Clock& m_clock;
    Metrics& m_metrics;
    TraceExporter* m_exporter;
    KeyedRequests& m_keyed;
    Freshness& m_freshness;
    std::string m_dataCentre; ///< of this entry VM
    std::mt19937_64 m_random;
    HttpClient m_client;
    Timer m_tick;
    Timer m_notStartedTimer;
    Timer m_declineEnd;
    TimePoint m_tickAt = TimePoint::max(); ///< when m_tick fires; max: it is not set
    request::State m_state;
    std::vector<Route> m_routes; ///< longest prefix first
    std::map<std::string, Address> m_addresses; ///< of endpoints
    std::map<std::string, request::PoolChanged> m_pools; ///< as declared, before what endpoints show
    std::set<std::string> m_everListed; ///< VMs that the platform's list has shown
    std::set<std::string> m_live; ///< VMs that the platform's list shows as live
    std::map<std::string, TimePoint> m_declinedUntil; ///< endpoints that said they take no work
    std::unordered_map<request::RequestId, Active> m_active;
    std::unordered_map<std::uint64_t, Active> m_claiming; ///< requests whose key is being claimed
    std::uint64_t m_nextClaiming = 1;
    std::vector<std::pair<request::RequestId, std::uint32_t>> m_notStarted; ///< attempts that were not sent
    request::RequestId m_nextId = 1;
    std::uint64_t m_configurationGeneration = 0;
};

} // namespace damask
