/// \file
/// Internals of the request path: endpoints and their health, and estimates of waiting times.
#pragma once

#include <damaskworks/request.h>
#include <damaskworks/request_policy.h>

#include <string>
#include <vector>

namespace damask::request {

/// Result of an attempt, for the health of its endpoint.
struct AttemptRecord {
    double seconds = 0; ///< time that the attempt held its slot
    bool isSuccess = false; ///< a complete response without a server error
    bool isEndpointFault = false; ///< a failure that counts against the endpoint
};

/// Seconds in \p duration.
inline double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// Updates the pool's endpoints to \p endpoints. Known ones keep their health and requests in flight.
void mergeEndpoints(Pool& pool, const std::vector<Endpoint>& endpoints, TimePoint now);
/// Updates the entry VMs that share the slots of the pool's endpoints.
void updateEntryVms(Pool& pool, const EntryVmsChanged& event, TimePoint now);
/// Ends the ejections whose time is over.
void endExpiredEjections(Pool& pool, TimePoint now);
/// Chooses an endpoint with a free slot, preferably not \p avoided. Returns nullptr if there is none, or
/// if waiting for a slot in this data centre is faster; \p queued is the number of requests that wait.
Endpoint* chooseEndpoint(
    Pool& pool, const EndpointId& avoided, std::size_t queued, std::mt19937_64& random, TimePoint now);
/// Counts a new request in flight to the endpoint.
void takeSlot(Pool& pool, Endpoint& endpoint, TimePoint now);
/// Counts the end of a request in flight to the endpoint.
void releaseSlot(Pool& pool, const EndpointId& id, TimePoint now);
/// Updates the statistics of the pool and the endpoint with the result of an attempt. May eject the
/// endpoint.
void recordAttempt(Pool& pool, const EndpointId& id, const AttemptRecord& record, TimePoint now);

/// Adds one event at \p now to the rate.
void recordEvent(DecayingRate& rate, TimePoint now);
/// Number of the pool's requests that are queued or in backoff.
std::size_t waitingCount(const Pool& pool);
/// Expected seconds in the queue for a new request of \p caller; 0 if not measured.
double estimatedWait(const Pool& pool, bool urgent, const std::string& caller);
/// Seconds within which nearly all responses arrive; 0 if not measured.
double serviceTimeBound(const Pool& pool);
/// Delay after which a refused caller should retry.
std::chrono::seconds retryAfter(const Pool& pool, Reason reason);

} // namespace damask::request
