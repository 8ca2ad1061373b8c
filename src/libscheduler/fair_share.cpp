#include <damaskworks/fair_share.h>

#include "pool_state_pvt.h"

#include <algorithm>
#include <array>

namespace damask::fleet {
namespace {

using Amounts = std::array<double, 3>; ///< by resource

using Span = std::chrono::duration<double, std::milli>;

/// How far an organisation's jobs may arrive before their time at its rate, and jobs that may do so at any
/// rate: callers send at random times.
constexpr milliseconds entitlementBurst { 5000 };
constexpr double entitlementJobs = 3;

/// Error of a share, which is a sum of quotients.
constexpr double rounding = 1e-9;

/// How much later than the next ones a job may become known.
constexpr milliseconds maxReordering { 1000 };

/// Part of the room that a level of priority leaves to lower ones, so that none of them starves.
constexpr double reservedForLower = 0.1;

Resources multiplied(const Resources& resources, int times)
{
    return { resources.cpu * times, resources.memoryMb * times, resources.gpu * times };
}

Amounts amountsOf(const Resources& resources)
{
    return { static_cast<double>(resources.cpu), static_cast<double>(resources.memoryMb),
        static_cast<double>(resources.gpu) };
}

double dominantShare(const Amounts& amounts, const Amounts& capacity)
{
    double share = 0;
    for (std::size_t r = 0; r < amounts.size(); ++r) {
        if (amounts[r] > 0)
            share = std::max(share, amounts[r] / std::max(capacity[r], 1.0));
    }
    return share;
}

/// A party that wants something.
struct Claim {
    ShareParty* party = nullptr;
    Amounts wanted {};
    double share = 0; ///< dominant share of wanted
    /// Part of the pool for each unit of weight at which the claim is met.
    double level() const { return share / party->weight; }
};

/// Divides \p room between claims of the same priority. Subtracts what they get.
void divide(std::vector<Claim>& claims, Amounts& room, double part)
{
    std::sort(
        claims.begin(), claims.end(), [](const Claim& a, const Claim& b) { return a.level() < b.level(); });
    Amounts met {};
    Amounts rate {}; // at which the claims that are not met take room as the level rises
    for (const auto& claim : claims) {
        for (std::size_t r = 0; r < rate.size(); ++r)
            rate[r] += claim.wanted[r] / claim.level();
    }
    double level = 0;
    auto claim = claims.begin();
    for (; claim != claims.end(); ++claim) {
        level = std::numeric_limits<double>::infinity();
        for (std::size_t r = 0; r < rate.size(); ++r) {
            if (rate[r] > 0)
                level = std::min(level, std::max(room[r] * part - met[r], 0.0) / rate[r]);
        }
        if (level < claim->level())
            break;
        for (std::size_t r = 0; r < rate.size(); ++r) {
            met[r] += claim->wanted[r];
            rate[r] = std::max(rate[r] - claim->wanted[r] / claim->level(), 0.0);
        }
    }
    const bool areAllMet = claim == claims.end();
    for (; claim != claims.end(); ++claim)
        claim->party->fairShare = level * claim->party->weight;
    for (std::size_t r = 0; r < room.size(); ++r)
        room[r] = std::max(room[r] - met[r] - (areAllMet ? 0 : level * rate[r]), 0.0);
}

} // namespace

void applyOrganisations(
    FairShares& shares, const std::map<std::string, Organisation, std::less<>>& organisations)
{
    for (auto& party : shares.parties)
        party.isConfigured = false;
    for (const auto& [name, organisation] : organisations) {
        auto& party = shares.parties[static_cast<std::size_t>(partyOf(shares, name))];
        party.isConfigured = !name.empty();
        party.weight = organisation.weight > 0 ? organisation.weight : 1;
        party.priority = organisation.priority;
    }
}

PartyNumber partyOf(FairShares& shares, const std::string& organisation)
{
    if (organisation.empty())
        return noParty;
    const auto [it, added]
        = shares.numbers.try_emplace(organisation, static_cast<PartyNumber>(shares.parties.size()));
    if (added)
        shares.parties.emplace_back().organisation = organisation;
    return it->second;
}

bool countJob(FairShares& shares, PartyNumber number, WallTime acceptedAt)
{
    auto& party = shares.parties[static_cast<std::size_t>(number)];
    if (!party.isConfigured || acceptedAt + maxReordering < party.lastAcceptedAt)
        return false;
    party.lastAcceptedAt = std::max(party.lastAcceptedAt, acceptedAt);
    const Span interval = std::chrono::duration<double>(1 / party.weight);
    const Span at = acceptedAt;
    if (party.paidUntil > at + std::max<Span>(entitlementBurst, interval * entitlementJobs)) {
        ++shares.excessJobs;
        return true;
    }
    party.paidUntil = std::max(party.paidUntil, at) + interval;
    return false;
}

void addUse(FairShares& shares, PartyNumber number, const StepSpec& step, int times)
{
    const auto change = multiplied(reservedBy(step), times);
    shares.used += change;
    if (!step.longRunning)
        shares.parties[static_cast<std::size_t>(number)].used += change;
}

void addWaiting(FairShares& shares, PartyNumber number, const Resources& needs, int times)
{
    const auto change = multiplied(needs, times);
    shares.waiting += change;
    shares.parties[static_cast<std::size_t>(number)].waiting += change;
}

std::vector<std::string> organisationsAboveShare(const FairShares& shares)
{
    std::vector<std::string> out;
    for (const auto& [name, party] : shares.numbers) {
        if (isAboveShare(shares, party))
            out.push_back(name);
    }
    return out;
}

double dominantShare(const Resources& amount, const Resources& capacity)
{
    return dominantShare(amountsOf(amount), amountsOf(capacity));
}

void updateShares(FairShares& shares, const Resources& capacity)
{
    auto wanted = shares.waiting;
    wanted += shares.used;
    shares.isShort = shares.waiting != Resources {} && !fits(wanted, capacity);
    if (!shares.isShort)
        return;
    auto shared = capacity; // without what other runs use
    shared -= shares.used;
    std::map<int, std::vector<Claim>> claims; // by priority
    for (auto& party : shares.parties) {
        party.fairShare = std::numeric_limits<double>::infinity();
        if (!party.isConfigured)
            continue;
        shared += party.used;
        Resources claimed = party.used;
        claimed += party.waiting;
        if (claimed != Resources {})
            claims[party.priority].push_back({ &party, amountsOf(claimed) });
    }
    shares.capacity = shared;
    const auto whole = amountsOf(shared);
    auto room = whole;
    for (auto& [priority, level] : claims) {
        for (auto& claim : level) {
            // Nobody gets what the pool does not have.
            for (std::size_t r = 0; r < whole.size(); ++r)
                claim.wanted[r] = whole[r] > 0 ? claim.wanted[r] : 0;
            claim.share = dominantShare(claim.wanted, whole);
        }
        std::erase_if(level, [](const Claim& claim) { return claim.share <= 0; });
        const bool isLowest = priority == claims.rbegin()->first;
        divide(level, room, isLowest ? 1 : 1 - reservedForLower);
    }
}

bool isAboveShare(const FairShares& shares, PartyNumber number)
{
    const auto& party = shares.parties[static_cast<std::size_t>(number)];
    return shares.isShort && party.isConfigured
        && dominantShare(party.used, shares.capacity) >= party.fairShare - rounding;
}

} // namespace damask::fleet
