/// \file
/// Balancer and admission policies of the request path, registered by name in Registry<Balancer> and
/// Registry<Admission>. A policy keeps no state of its own: what it keeps between calls is in the
/// structs that it gets.
#pragma once

#include <damaskworks/request.h>

#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace damask::request {

/// Input of a balancer.
struct Candidates {
    const std::vector<Endpoint*>& endpoints; ///< endpoints with a free slot; never empty
    std::size_t& cursor; ///< state of the pool for round-robin balancers
    double poolLatency = 0; ///< seconds, average over the whole pool; 0 if not measured
    Duration slowStart {}; ///< length of slow start
    TimePoint now;
    std::mt19937_64& random;
};

/// Load-balancing policy: chooses the endpoint of an attempt.
struct Balancer {
    Endpoint& (*choose)(const Candidates&) = nullptr;
};

/// Input of an admission policy for a new request that can't be dispatched at once.
struct QueueView {
    std::size_t queued = 0; ///< requests of the pool that are queued or in backoff
    std::size_t queueLimit = 0;
    double estimatedWait = 0; ///< seconds until a slot is free for the request
    double serviceTimeBound = 0; ///< seconds within which nearly all responses arrive; 0 if not measured
    double timeLeft = 0; ///< seconds until the deadline
};

/// Admission policy: decides whether a request may wait in the queue.
struct Admission {
    /// Returns the reason to refuse the request, or std::nullopt if it may wait.
    std::optional<Reason> (*refuse)(const QueueView&) = nullptr;
    /// Whether a queued request is failed as soon as its deadline can no longer be met, rather than at
    /// the deadline.
    bool expiresEarly = true;
};

} // namespace damask::request
