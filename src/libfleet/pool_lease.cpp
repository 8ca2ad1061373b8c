#include <damaskworks/pool_lease.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace damask::fleet {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Above the interval at which leases are looked at, so that a node with fewer pools is through first.
constexpr milliseconds delayPerHeldPool { 250 };
constexpr milliseconds delaySpread { 100 };
/// Delay of a node with one core; one with a tenth waits ten times as long.
constexpr milliseconds delayPerCore { 30 };
/// Delay of a node with a link of 1 Mbit/s. A holder's orders and reports come to several Mbit/s at
/// the sizes of the grown sites, so that a link of 10 should hold a pool only when no other node can.
constexpr milliseconds delayPerMbps { 10000 };

} // namespace

std::string encodeLease(const LeaseRow& lease)
{
    return json({ { "node", lease.node }, { "session", lease.session }, { "term", lease.term },
                    { "renewals", lease.renewals } })
        .dump();
}

std::optional<LeaseRow> decodeLease(std::string_view text)
{
    const auto value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    try {
        return LeaseRow { value.at("node").get<std::string>(), value.at("session").get<std::string>(),
            value.at("term").get<std::uint64_t>(), value.at("renewals").get<std::uint64_t>() };
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

bool isTakeable(const ObservedLease& lease, std::string_view node, const LeaseLimits& limits, TimePoint now)
{
    if (lease.version == 0 || lease.row.node.empty() || lease.row.node == node)
        return true;
    return now - lease.changedAt >= limits.expiry;
}

milliseconds electionDelay(std::size_t heldPools, const NodeStrength& node, double spread)
{
    const auto weakness
        = std::chrono::duration<double, std::milli>(delayPerCore) / std::max(node.cpuShare, 0.01)
        + std::chrono::duration<double, std::milli>(delayPerMbps) / std::max(node.linkMbps, 1.0);
    return std::chrono::duration_cast<milliseconds>(weakness) + delayPerHeldPool * static_cast<int>(heldPools)
        + std::chrono::duration_cast<milliseconds>(delaySpread * spread);
}

} // namespace damask::fleet
