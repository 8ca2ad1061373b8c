/// \file
/// Times between a node's requests to the platform's table: the pace while all is well, and the restraint
/// while the table refuses calls because all nodes together make too many. Free functions without I/O.
///
/// Load that they answer: 300 nodes that load all rows, or ask again after an outage, in the same moment.
#pragma once

#include <chrono>
#include <cstddef>

namespace damask::fleet {

/// How often a node requests the changes of one table.
struct PollPace {
    std::chrono::milliseconds pauseAfterChanges { 0 }; ///< after a response with changes
    std::chrono::milliseconds maxWait { 1000 }; ///< of one request for a change
    /// Mean time between the sending of two requests; zero: none beyond the above.
    std::chrono::milliseconds minInterval { 0 };
    /// Whether the rows only inform this node, so that it leaves the table to others while that refuses
    /// calls.
    bool yieldsWhenRefused = false;

    bool operator==(const PollPace&) const = default;
};

/// By how much a single interval may exceed PollPace::minInterval. Nodes that got the same change at once
/// must not ask again at once.
inline constexpr double longestIntervalFactor = 1.125;

/// The restraint after another refusal for overload, or after a response. It is the time that a node adds
/// between its requests; zero in a table that refuses none.
std::chrono::milliseconds restraintAfterRefusal(std::chrono::milliseconds restraint);
std::chrono::milliseconds restraintAfterResponse(std::chrono::milliseconds restraint);

/// Time from a response until the next request for changes, which was \p sinceSent after its request.
/// \p random is from 0 to 1.
std::chrono::milliseconds delayToNextPoll(const PollPace& pace, std::chrono::milliseconds restraint,
    std::chrono::milliseconds sinceSent, bool hasChanges, double random);
/// Time from a response until the next request of a load. \p random is from 0 to 1.
std::chrono::milliseconds delayToNextPage(std::chrono::milliseconds restraint, double random);

/// Longest time after which a node repeats a refused request of a load that has \p remainingReads to go;
/// \p turn is the time in which each node can make one request. Nodes that are nearly done go first, so that
/// some can serve early, instead of all at the end.
std::chrono::milliseconds loadRetryWindow(std::size_t remainingReads, std::chrono::milliseconds turn);
/// Time from a refusal for overload until the request is repeated. \p restraint is that after the refusal;
/// \p window is zero, or that of a load. \p random is from 0 to 1.
std::chrono::milliseconds delayAfterRefusal(
    std::chrono::milliseconds restraint, std::chrono::milliseconds window, double random);

} // namespace damask::fleet
