/// \file
/// Tracks whether this node can reach the platform's table, from the outcomes of its calls.
#pragma once

#include <damaskworks/clock.h>

namespace damask::fleet {

/// Recent outcomes of calls to the table.
struct TableContact {
    TimePoint lastResponse {}; ///< last response to any call; zero: none yet
    int failures = 0; ///< failed calls since then, of those that certainly did nothing
};

/// Records a response from the table.
void recordContact(TableContact& contact, TimePoint now);
/// Records a failed call that certainly did nothing.
void recordFailedContact(TableContact& contact);
/// Whether the node should report itself ready for callers. Two consecutive failures are enough to say no:
/// callers have other nodes, and the next response makes the node ready again.
bool looksReachable(const TableContact& contact, TimePoint now);
/// Whether the table counts as unreachable, so that callers are refused at once without another attempt.
bool isUnreachable(const TableContact& contact, TimePoint now);
/// Retry-After for a refused caller. Short while only this node may be affected, since another node then
/// serves the retry. Longer once the table itself seems to be down, so that the few attempts of a caller
/// outlast the outage.
std::chrono::seconds retryAfter(const TableContact& contact, TimePoint now);

} // namespace damask::fleet
