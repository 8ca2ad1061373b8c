#include <damaskworks/json_input.h>
#include <damaskworks/lease.h>
#include <damaskworks/log.h>
#include <damaskworks/row_fields.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace damask::lease {
namespace {

using nlohmann::json;

constexpr std::size_t maxRenewalsPerTransaction = 64;
constexpr IntegerRange countRange { 0, 1'000'000'000'000'000 };
/// Holder of a lease whose row is unreadable; no node has this name.
constexpr std::string_view unknownHolder = "?";

std::string leaseKey(std::string_view key) { return std::string(leasePrefix) + std::string(key); }
std::string fenceKey(std::string_view key) { return std::string(fencePrefix) + std::string(key); }

std::string toText(const Content& content)
{
    return json {
        { "holder", content.holder }, { "epoch", content.epoch }, { "renewal", content.renewal }
    }.dump();
}

std::optional<Content> fromText(const std::string& text)
{
    const auto row = parseJson(text);
    RowFields fields(row);
    Content content { fields.text("holder", ""),
        static_cast<std::uint64_t>(fields.integer("epoch", countRange, 0)),
        static_cast<std::uint64_t>(fields.integer("renewal", countRange, 0)) };
    return fields.isValid() ? std::optional(content) : std::nullopt;
}

std::uint64_t hashScore(std::string_view key, std::string_view member)
{
    return XXH3_64bits_withSeed(member.data(), member.size(), XXH3_64bits(key.data(), key.size()));
}

/// Contents of the lease row after an attempt of kind \p kind.
Content nextContent(const State& state, const Lease& lease, AttemptKind kind)
{
    switch (kind) {
    case AttemptKind::Acquire:
        return { state.node, lease.content.epoch + 1, 0 };
    case AttemptKind::Renew:
        return { state.node, lease.content.epoch, lease.content.renewal + 1 };
    case AttemptKind::Release:
        return { "", lease.content.epoch, lease.content.renewal + 1 };
    }
    return {};
}

void addLease(State& state, Attempt& attempt, const std::string& key)
{
    auto& lease = state.leases[key];
    lease.pending = true;
    attempt.keys.push_back(key);
    attempt.transaction.conditions.push_back({ leaseKey(key), lease.version });
    attempt.transaction.writes.push_back({ leaseKey(key), toText(nextContent(state, lease, attempt.kind)) });
    if (attempt.kind == AttemptKind::Acquire)
        attempt.transaction.writes.push_back({ fenceKey(key), json { { "holder", state.node } }.dump() });
}

bool shouldAcquire(const Lease& lease, const Settings& settings, std::size_t rank, TimePoint now)
{
    const auto delay = settings.rankDelay * static_cast<Duration::rep>(rank);
    const bool isFree = lease.version == 0 || lease.content.holder.empty();
    return now - lease.unchangedSince >= delay + (isFree ? Duration::zero() : settings.length);
}

bool shouldRelease(const Lease& lease, const Settings& settings, const ClusterView& cluster, std::size_t rank,
    bool needsHolder, TimePoint now)
{
    if (cluster.leaving || !needsHolder)
        return true;
    return rank > 0 && now - lease.acquiredAt >= settings.minimumHold;
}

} // namespace

std::size_t rank(std::string_view key, std::string_view node, const std::vector<std::string>& members)
{
    if (std::find(members.begin(), members.end(), node) == members.end())
        return members.size();
    const auto ownScore = std::pair(hashScore(key, node), node);
    std::size_t higherRanked = 0;
    for (const auto& member : members)
        higherRanked += std::pair(hashScore(key, member), std::string_view(member)) > ownScore;
    return higherRanked;
}

void observe(State& state, const Row& row, TimePoint now)
{
    if (!std::string_view(row.key).starts_with(leasePrefix) || row.deleted)
        return;
    auto& lease = state.leases[row.key.substr(leasePrefix.size())];
    if (row.version <= lease.version)
        return;
    lease.version = row.version;
    lease.unchangedSince = now;
    const auto epoch = lease.content.epoch;
    if (auto content = fromText(row.value)) {
        lease.content = std::move(*content);
    } else {
        // Another node may hold the lease, so that it can be acquired only once it has expired.
        logEvent(LogLevel::Error, "lease_row_unreadable", { { "key", row.key } });
        lease.content.holder = unknownHolder;
    }
    if (lease.content.holder != state.node || lease.content.epoch != epoch)
        lease.held = false;
}

std::vector<Attempt> planAttempts(
    State& state, const Settings& settings, const ClusterView& cluster, TimePoint now)
{
    std::vector<Attempt> attempts;
    if (now - cluster.lastContact > settings.maxContactAge)
        return attempts;
    for (const auto& key : cluster.keys)
        state.leases.try_emplace(key, Lease { .unchangedSince = now });
    Attempt renewals { AttemptKind::Renew, {}, {}, now };
    Attempt releases { AttemptKind::Release, {}, {}, now };
    for (auto& [key, lease] : state.leases) {
        if (lease.pending)
            continue;
        const bool needsHolder
            = std::find(cluster.keys.begin(), cluster.keys.end(), key) != cluster.keys.end();
        const auto ownRank = rank(key, state.node, cluster.members);
        if (lease.held) {
            if (shouldRelease(lease, settings, cluster, ownRank, needsHolder, now))
                addLease(state, releases, key);
            else if (now - lease.renewedAt >= settings.renewPeriod
                && renewals.keys.size() < maxRenewalsPerTransaction)
                addLease(state, renewals, key);
            continue;
        }
        if (cluster.leaving || !needsHolder || !shouldAcquire(lease, settings, ownRank, now))
            continue;
        Attempt acquire { AttemptKind::Acquire, {}, {}, now };
        addLease(state, acquire, key);
        attempts.push_back(std::move(acquire));
    }
    for (auto* attempt : { &renewals, &releases }) {
        if (!attempt->keys.empty())
            attempts.push_back(std::move(*attempt));
    }
    return attempts;
}

void applyResult(
    State& state, const Attempt& attempt, const PlatformResult<TableVersion>& result, TimePoint now)
{
    for (const auto& key : attempt.keys) {
        auto& lease = state.leases[key];
        lease.pending = false;
        if (!result) {
            const auto& error = result.error();
            const bool isLost = error.failure == PlatformFailure::Conflict && error.key == leaseKey(key);
            if (isLost || error.failure == PlatformFailure::OutcomeUnknown)
                lease.held = false;
            // After a failed acquisition, restarts the wait before the next one.
            lease.unchangedSince = attempt.kind == AttemptKind::Acquire ? now : lease.unchangedSince;
            continue;
        }
        if (*result < lease.version)
            continue; // The node has read a newer row since.
        lease.content = nextContent(state, lease, attempt.kind);
        lease.version = *result;
        lease.unchangedSince = now;
        lease.renewedAt = attempt.sentAt;
        lease.held = attempt.kind != AttemptKind::Release;
        if (attempt.kind != AttemptKind::Acquire)
            continue;
        lease.fenceVersion = *result;
        lease.acquiredAt = now;
    }
}

bool mayAct(
    const State& state, const Settings& settings, std::string_view key, TimePoint lastContact, TimePoint now)
{
    const auto found = state.leases.find(std::string(key));
    if (found == state.leases.end() || !found->second.held)
        return false;
    const bool isValid = now < found->second.renewedAt + settings.length - settings.safetyMargin;
    return isValid && now - lastContact <= settings.maxContactAge;
}

RowCondition fenceCondition(const State& state, std::string_view key)
{
    const auto found = state.leases.find(std::string(key));
    return { fenceKey(key), found == state.leases.end() ? 0 : found->second.fenceVersion };
}

} // namespace damask::lease
