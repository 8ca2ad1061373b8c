/// \file
/// Fair queue: serves callers in turn (round robin) and each caller's requests in order of arrival.
/// It uses memory only for callers with queued requests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace damask::request {

using RequestId = std::uint64_t;

/// Queued requests of one priority.
struct FairQueue {
    std::map<std::string, std::set<RequestId>, std::less<>> byCaller; ///< no set is empty
    std::set<std::pair<std::size_t, std::string>> byLength; ///< callers with their number of requests
    std::string lastServedCaller;
    std::size_t size = 0; ///< requests of all callers
};

/// Adds a request; a lower id is served before a higher one of the same caller.
void push(FairQueue& queue, const std::string& caller, RequestId id);
/// Removes a request; does nothing if it is not in the queue.
void erase(FairQueue& queue, const std::string& caller, RequestId id);
/// Removes and returns the first request of the next caller. The queue must not be empty.
RequestId pop(FairQueue& queue);
/// Number of requests of \p caller in the queue.
std::size_t lengthOf(const FairQueue& queue, const std::string& caller);
/// The newest request of the caller with the most requests, or std::nullopt unless that caller has more
/// than \p length requests.
std::optional<RequestId> newestOfLongestQueue(const FairQueue& queue, std::size_t length);
/// Upper bound on the requests that are served before a new one of \p caller.
std::size_t maxServedBefore(const FairQueue& queue, const std::string& caller);

} // namespace damask::request
