#include <damaskworks/table_contact.h>

namespace damask::fleet {
namespace {

constexpr int failuresUntilDoubted = 2;
/// Two failures may come from one broken connection: the call on it and its retry.
constexpr int failuresUntilUnreachable = 3;
/// Calls that wait for changes return within 1 s; the rest covers network time, the pause between calls and a
/// slow table.
constexpr std::chrono::milliseconds maxSilence { 1500 };

/// Age of the last response from which the table itself counts as down. By then the balancer has taken a node
/// that alone is affected out of rotation, so callers that still arrive have no better node.
constexpr std::chrono::milliseconds outageThreshold { 2000 };
/// Enough for the balancer to choose another node.
constexpr std::chrono::seconds shortRetryDelay { 1 };
/// Callers retry four times; outages of the table last up to about 6 s.
constexpr std::chrono::seconds longRetryDelay { 2 };

} // namespace

void recordContact(TableContact& contact, TimePoint now) { contact = { now, 0 }; }

void recordFailedContact(TableContact& contact) { ++contact.failures; }

bool looksReachable(const TableContact& contact, TimePoint now)
{
    return contact.failures < failuresUntilDoubted && now - contact.lastResponse < maxSilence;
}

std::chrono::seconds retryAfter(const TableContact& contact, TimePoint now)
{
    return now - contact.lastResponse < outageThreshold ? shortRetryDelay : longRetryDelay;
}

bool isUnreachable(const TableContact& contact, TimePoint now)
{
    return contact.failures >= failuresUntilUnreachable || now - contact.lastResponse >= maxSilence;
}

} // namespace damask::fleet
