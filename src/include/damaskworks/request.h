/// \file
/// Request path of an entry VM: admission, queueing, load balancing, retries and the final reply.
/// decide() takes an event, updates the State that it is given and returns actions. It does no I/O and
/// reads no clock; the code that calls it carries out the actions. "Caller" means the client that sent
/// a request. A TimePoint is a time of the steady clock.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/names.h>
#include <damaskworks/request_queue.h>
#include <damaskworks/request_slots.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace damask::request {

using EndpointId = std::string;

/// Final outcome of a request, sent to the caller in the `Damask-Outcome` header.
enum class Outcome {
    Done, ///< the endpoint's complete response is passed on
    NotRun, ///< no endpoint ran any part of the request
    Unknown, ///< an endpoint may have run it
};

inline constexpr NameTable<Outcome, 3> outcomeNames { {
    { Outcome::Done, "done" },
    { Outcome::NotRun, "not-run" },
    { Outcome::Unknown, "unknown" },
} };

/// Why a request has no Outcome::Done.
enum class Reason {
    None, ///< the outcome is Outcome::Done
    NoRoute, ///< no pool has the requested name
    NoEndpoint, ///< the pool has no endpoint that accepts requests
    QueueFull, ///< also the reason of an eviction from the queue
    DeadlineNear, ///< by estimate, no response can arrive before the deadline
    DeadlinePassed,
    Stopping, ///< this entry VM is stopping
    EndpointFailed, ///< the last attempt failed and no retry was allowed
    Truncated, ///< the endpoint's response ended early
    KeyUnverifiable, ///< the table that holds the claims of idempotency keys is unreachable
    KeyInUse, ///< another request with the same idempotency key is running
    KeyOutcomeUnknown, ///< the outcome of an earlier request with the same idempotency key is unknown
    ConfigurationStale, ///< this entry VM's configuration is too old to route requests
};

inline constexpr NameTable<Reason, 13> reasonNames { {
    { Reason::None, "none" },
    { Reason::NoRoute, "no_route" },
    { Reason::NoEndpoint, "no_endpoint" },
    { Reason::QueueFull, "queue_full" },
    { Reason::DeadlineNear, "deadline_near" },
    { Reason::DeadlinePassed, "deadline_passed" },
    { Reason::Stopping, "stopping" },
    { Reason::EndpointFailed, "endpoint_failed" },
    { Reason::Truncated, "truncated" },
    { Reason::KeyUnverifiable, "key_unverifiable" },
    { Reason::KeyInUse, "key_in_use" },
    { Reason::KeyOutcomeUnknown, "key_outcome_unknown" },
    { Reason::ConfigurationStale, "configuration_stale" },
} };

/// Retry settings of one pool.
struct RetrySettings {
    std::uint32_t maxAttempts = 3; ///< including the first
    double budgetPerSuccess = 0.1; ///< retry tokens earned by each successful attempt
    double budgetBurst = 10; ///< maximum number of saved retry tokens; a new pool starts with it
    /// Upper bound of the first backoff. The bound doubles with each attempt, up to maxBackoff.
    Duration baseBackoff = std::chrono::milliseconds(5);
    Duration maxBackoff = std::chrono::seconds(1);
};

/// Settings of outlier ejection (taking failing endpoints out of rotation) and of slow start.
struct HealthSettings {
    std::uint32_t failuresToEject = 5; ///< consecutive failures; 0 disables ejection
    double maxEjectedShare = 0.5; ///< share of the pool's accepting endpoints
    Duration baseEjectionTime = std::chrono::seconds(5); ///< doubles with each consecutive ejection
    Duration maxEjectionTime = std::chrono::seconds(60);
    Duration slowStart = std::chrono::seconds(10); ///< time until an added endpoint gets all its slots
};

/// Request path settings of one pool.
struct PoolSettings {
    std::size_t queueLimit = 256; ///< queued requests, including those in backoff
    std::uint32_t slotsPerVm = 8; ///< requests in flight per endpoint
    Duration requestTimeout = std::chrono::seconds(10);
    std::string balancer = "weighted"; ///< name in Registry<Balancer>
    std::string admission = "deadline"; ///< name in Registry<Admission>
    /// Delay before this entry VM uses a larger share of an endpoint's slots. The entry VMs that lose
    /// these slots must learn of their smaller shares first.
    Duration shareGrowthDelay = std::chrono::seconds(3);
    std::uint32_t urgentBurst = 8; ///< urgent requests served in succession while ordinary ones wait
    RetrySettings retry;
    HealthSettings health;
};

/// Health of one endpoint, measured by the attempts sent to it.
struct Health {
    double latency = 0; ///< seconds, moving average over successful attempts; 0 before the first
    TimePoint latencyMeasuredAt; ///< time of the latest latency sample
    double failureRate = 0; ///< moving average, 0 to 1
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t ejections = 0; ///< consecutive, without a success in between
    bool isEjected = false;
    bool isProbing = false; ///< after an ejection: limited to one request in flight until one succeeds
    TimePoint ejectedUntil;
    TimePoint slowStartFrom; ///< start of slow start; TimePoint::min(): no slow start
};

/// This entry VM's view of one endpoint.
struct Endpoint {
    EndpointId id;
    /// In PoolChanged, the declared slots; in Pool, this entry VM's share of them.
    std::uint32_t slots = 8;
    std::uint32_t inFlight = 0;
    bool accepting = true; ///< false while the endpoint leaves the pool or drains
    Duration extraLatency {}; ///< extra round-trip time to another data centre; 0 within this data centre
    Health health {};
    std::uint32_t declaredSlots = 0; ///< shared by all entry VMs; set by decide()
    std::uint32_t pendingSlots = 0; ///< larger share that comes into force at pendingSlotsAt
    TimePoint pendingSlotsAt = TimePoint::max(); ///< TimePoint::max(): the share does not grow
    bool isRemoved = false; ///< no longer in the pool, but still has requests in flight
    /// Index in the pool's list of endpoints with a free slot; std::nullopt if not in it.
    std::optional<std::size_t> availableIndex {};
};

/// Stage of a request without a final reply.
enum class Stage { Queued, BackingOff, InFlight };

/// A request without a final reply.
struct PendingRequest {
    RequestId id = 0;
    std::string pool;
    std::string callerId;
    TimePoint arrived;
    TimePoint deadline;
    bool idempotent = false;
    bool urgent = false;
    Stage stage = Stage::Queued;
    EndpointId endpoint; ///< endpoint of the last attempt; empty before the first
    std::uint32_t attempts = 0; ///< started so far
    TimePoint attemptStarted;
    /// When the request's timer fires: at the end of the backoff or, if queued, at its latest useful start.
    TimePoint wakeAt = TimePoint::max();
    bool mayHaveRun = false; ///< an attempt failed after the endpoint may have started it
};

/// Decision counters of one pool, for metrics.
struct Counters {
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0; ///< retries that the retry budget did not allow
    std::uint64_t ejections = 0;
    std::uint64_t evictions = 0; ///< queued requests dropped from a full queue in favour of another request
    std::uint64_t spills = 0; ///< spillovers: attempts sent to another data centre
};

/// Event rate with exponential decay.
struct DecayingRate {
    double perSecond = 0; ///< rate at lastEvent
    TimePoint lastEvent;
};

struct Balancer;
struct Admission;

/// State of one pool. Not copyable, because the lists of endpoints with a free slot hold pointers.
struct Pool {
    Pool() = default;
    Pool(Pool&&) = default;
    Pool& operator=(Pool&&) = default;
    Pool(const Pool&) = delete;
    Pool& operator=(const Pool&) = delete;

    PoolSettings settings;
    const Balancer* balancer = nullptr;
    const Admission* admission = nullptr;
    std::map<EndpointId, Endpoint> endpoints;
    std::string self; ///< id of this entry VM
    std::vector<EntryVmWeight> entryVms; ///< sharing the slots, sorted by id; empty: this one has all
    bool hasPendingSlots = false; ///< whether any endpoint has a pending larger share
    std::vector<Endpoint*> availableLocal; ///< endpoints with a free slot in this data centre
    std::vector<Endpoint*> availableRemote; ///< endpoints with a free slot in other data centres
    std::set<std::pair<TimePoint, EndpointId>> ejectedUntil; ///< ends of the ejections
    std::size_t acceptingCount = 0; ///< endpoints that accept requests and have slots
    std::size_t usableCount = 0; ///< of those, the endpoints that are not ejected
    std::uint32_t usableSlots = 0; ///< slots of accepting endpoints that are not ejected
    std::uint32_t localSlots = 0; ///< part of usableSlots in this data centre
    std::size_t cursor = 0; ///< position of round-robin balancers

    FairQueue urgent;
    FairQueue ordinary;
    std::uint32_t consecutiveUrgent = 0; ///< urgent requests served since the last ordinary one
    std::size_t backingOffCount = 0; ///< requests in Stage::BackingOff

    double slotHoldTime = 0; ///< seconds that an attempt holds its slot, moving average; 0 before the first
    double serviceTime = 0; ///< seconds until a successful response, moving average; 0 before the first
    double serviceTimeDeviation = 0; ///< seconds, moving average of the deviation from serviceTime
    double failureRate = 0; ///< moving average over all endpoints, 0 to 1
    double retryTokens = 0; ///< retries that the retry budget allows now
    DecayingRate arrivals;
    Counters counters;
};

/// State of the request path of one entry VM.
struct State {
    std::map<std::string, Pool, std::less<>> pools;
    std::unordered_map<RequestId, PendingRequest> requests;
    std::set<std::pair<TimePoint, RequestId>> timers; ///< wakeAt of the requests not in flight
    bool stopping = false;
    std::mt19937_64 random { 1 };
};

/// A caller's request has arrived completely.
struct Arrived {
    RequestId id = 0; ///< higher than the id of any earlier arrival
    std::string pool;
    TimePoint deadline; ///< TimePoint {}: set by the pool's requestTimeout
    bool idempotent = false;
    bool urgent = false;
    std::string callerId; ///< the callers of a pool are served in turn (round robin)
};

/// An attempt has ended.
struct AttemptEnded {
    RequestId id = 0;
    enum class Result {
        Answered, ///< the endpoint sent a complete response
        NotStarted, ///< nothing was sent, or the endpoint reported that it did not start the request
        Failed, ///< the endpoint may have run it
    } result
        = Result::Answered;
    std::uint32_t attempt = 0; ///< as in Dispatch; the event is ignored unless this attempt is in flight
    bool serverError = false; ///< the response has a 5xx status; affects health and retry budget only
};

/// The caller has closed its connection.
struct CallerDisconnected {
    RequestId id = 0;
};

/// The pool's endpoints or settings have changed.
struct PoolChanged {
    std::string pool;
    PoolSettings settings;
    std::vector<Endpoint> endpoints; ///< inFlight is ignored
};

/// The set of live entry VMs, or their demand on the pool, has changed.
struct EntryVmsChanged {
    std::string pool;
    std::string self; ///< id of this entry VM
    std::vector<EntryVmDemand> live; ///< sorted by id, including this entry VM
};

/// The timer for nextTimerAt() has fired.
struct Tick { };

/// A planned stop of this entry VM has begun.
struct StopRequested { };

using Event = std::variant<Arrived, AttemptEnded, CallerDisconnected, PoolChanged, EntryVmsChanged, Tick,
    StopRequested>;

/// Send the request to the endpoint. An AttemptEnded event must follow within the timeout.
struct Dispatch {
    RequestId id = 0;
    EndpointId endpoint;
    Duration timeout {};
    std::uint32_t attempt = 0; ///< counted from 1
};

/// Pass on the endpoint's response (Outcome::Done) or reply that the request failed.
struct Reply {
    RequestId id = 0;
    Outcome outcome = Outcome::Done;
    Reason reason = Reason::None;
    std::chrono::seconds retryAfter { 0 }; ///< 0: send no Retry-After header
};

/// Cancel the attempt in flight: its caller has disconnected.
struct CancelAttempt {
    RequestId id = 0;
};

using Action = std::variant<Dispatch, Reply, CancelAttempt>;

/// Applies one event to \p state, then handles the timers that are due. Returns the actions to carry out.
std::vector<Action> decide(State& state, const Event& event, TimePoint now);

/// Load of one pool on this entry VM.
struct Load {
    double arrivals = 0; ///< requests per second, with exponential decay
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0; ///< including requests in backoff
};

/// Current load of the pool. The arrival rate includes refused requests.
Load loadOf(const Pool& pool, TimePoint now);

/// Time at which the next Tick is due; TimePoint::max() if there is none.
TimePoint nextTimerAt(const State& state);

} // namespace damask::request
