#include <damaskworks/json_input.h>
#include <damaskworks/pool_lease.h>
#include <damaskworks/row_fields.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace damask::fleet {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Longer than the interval at which nodes check leases, so that a node with fewer pools completes its
/// attempt first.
constexpr milliseconds delayPerHeldPool { 250 };
/// Delay of a node with one core; a node with a tenth of a core waits ten times as long.
constexpr milliseconds delayAtOneCore { 30 };
/// Delay of a node with a link of 1 Mbit/s. On large sites a holder's commands and reports take several
/// Mbit/s, so a node with a 10 Mbit/s link should hold a pool only when no other node can.
constexpr milliseconds delayAtOneMbps { 10000 };

} // namespace

std::string encodeLease(const LeaseRow& lease)
{
    return json({ { "node", lease.node }, { "session", lease.session }, { "term", lease.term },
                    { "renewals", lease.renewals } })
        .dump();
}

std::optional<LeaseRow> decodeLease(std::string_view text)
{
    const auto value = parseJson(text);
    RowFields fields(value);
    LeaseRow lease { fields.text("node"), fields.text("session"),
        static_cast<std::uint64_t>(fields.integer("term", { 0, maxTerm })),
        static_cast<std::uint64_t>(fields.integer("renewals", anyCount)) };
    return fields.isValid() ? std::optional(lease) : std::nullopt;
}

bool isAcquirable(const ObservedLease& lease, std::string_view node, const LeaseTiming& timing, TimePoint now)
{
    if (lease.version == 0 || lease.row.node.empty() || lease.row.node == node)
        return true;
    return now - lease.changedAt >= timing.expiry;
}

milliseconds electionDelay(
    std::size_t heldPools, const NodeCapacity& node, double jitter, milliseconds window)
{
    const auto capacityDelay
        = std::chrono::duration<double, std::milli>(delayAtOneCore) / std::max(node.cpuShare, 0.01)
        + std::chrono::duration<double, std::milli>(delayAtOneMbps) / std::max(node.linkMbps, 1.0);
    return std::chrono::duration_cast<milliseconds>(capacityDelay)
        + delayPerHeldPool * static_cast<int>(heldPools)
        + std::chrono::duration_cast<milliseconds>(window * jitter);
}

} // namespace damask::fleet
