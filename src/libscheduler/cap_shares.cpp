#include <damaskworks/cap_shares.h>
#include <damaskworks/json_input.h>
#include <damaskworks/row_fields.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace damask::fleet {

using nlohmann::json;

namespace {

/// Part of a cap that a pool holds ahead of its use, as a divisor.
constexpr std::int64_t slicesPerCap = 16;
/// Part of a cap that stays free of shares held ahead, as a divisor, so that a pool that needs share finds
/// it.
constexpr std::int64_t reservePerCap = 4;
/// Slices beyond the recent use with which a pool gives share back.
constexpr std::int64_t slicesBeforeRelease = 4;
constexpr std::int64_t slicesAfterRelease = 2;
/// Above all use of any fleet, and far from an overflow.
constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max() / 4;
constexpr IntegerRange amountRange { 0, unlimited };

json encodeResources(const Resources& amount)
{
    return json::array({ amount.cpu, amount.memoryMb, amount.gpu });
}

std::optional<Resources> decodeResources(const json& value)
{
    constexpr std::size_t members = 3;
    if (!value.is_array() || value.size() != members)
        return std::nullopt;
    const auto cpu = integerIn(value[0], amountRange);
    const auto memory = integerIn(value[1], amountRange);
    const auto gpu = integerIn(value[2], amountRange);
    if (!cpu || !memory || !gpu)
        return std::nullopt;
    return Resources { *cpu, *memory, *gpu };
}

std::optional<PoolShare> decodeShare(const json& value)
{
    RowFields fields(value);
    const auto share = decodeResources(fields.array("share"));
    const auto wanted = decodeResources(fields.array("wanted"));
    const auto term = fields.integer("term", anyCount);
    if (!fields.isValid() || !share || !wanted)
        return std::nullopt;
    return PoolShare { *share, *wanted, static_cast<std::uint64_t>(term) };
}

std::optional<OrganisationShares> decodeOrganisation(const json& value)
{
    RowFields fields(value);
    OrganisationShares out;
    out.configVersion = static_cast<std::uint64_t>(fields.integer("version", anyCount));
    out.isComplete = fields.flag("complete");
    const auto cap = decodeResources(fields.array("cap"));
    const auto& pools = fields.object("pools");
    if (!fields.isValid() || !cap)
        return std::nullopt;
    out.cap = *cap;
    for (const auto& [pool, text] : pools.items()) {
        const auto share = decodeShare(text);
        if (!share)
            return std::nullopt;
        out.pools.emplace(pool, *share);
    }
    // Rows of earlier builds lack it.
    for (const auto& pool : fields.array("unregistered", true)) {
        if (!pool.is_string())
            return std::nullopt;
        out.unregistered.insert(pool.get<std::string>());
    }
    if (!fields.isValid())
        return std::nullopt;
    return out;
}

/// Whether \p after limits something more than \p before.
bool isLower(const Resources& after, const Resources& before)
{
    bool out = false;
    forEachResource([&](auto member) {
        out = out || (after.*member > 0 && (before.*member == 0 || after.*member < before.*member));
    });
    return out;
}

/// The amounts of which the cap sets a limit; 0 for the others.
Resources limitedPart(Resources amount, const Resources& cap)
{
    forEachResource([&](auto member) { amount.*member = cap.*member > 0 ? amount.*member : 0; });
    return amount;
}

/// Adds up member by member what \p f returns for each.
template <typename F> Resources combine(F f)
{
    Resources out;
    forEachResource([&](auto member) { out.*member = f(member); });
    return out;
}

/// What exceeds \p b of \p a; 0 where nothing does.
Resources excess(const Resources& a, const Resources& b)
{
    return combine([&](auto member) { return std::max<std::int64_t>(a.*member - b.*member, 0); });
}

Resources smaller(const Resources& a, const Resources& b)
{
    return combine([&](auto member) { return std::min(a.*member, b.*member); });
}

Resources larger(const Resources& a, const Resources& b)
{
    return combine([&](auto member) { return std::max(a.*member, b.*member); });
}

Resources sum(Resources a, const Resources& b) { return a += b; }

Resources divided(const Resources& a, std::int64_t divisor)
{
    return combine([&](auto member) { return a.*member / divisor; });
}

Resources multiplied(const Resources& a, std::int64_t factor)
{
    return combine([&](auto member) { return a.*member * factor; });
}

bool isZero(const Resources& amount) { return amount == Resources {}; }

/// The planning of one pool's share.
struct SharePlanner {
    OrganisationShares& next;
    const CapDemand& demand;
    PoolShare& own;
    CapWrite write = CapWrite::None;

    void raiseWrite(CapWrite to) { write = std::max(write, to); }
    Resources used() const { return limitedPart(demand.used, next.cap); }
    /// A start that exceeds the cap, beside what runs in the pool, can't be made.
    Resources waiting() const
    {
        const bool canStart
            = isZero(excess(sum(used(), limitedPart(demand.smallestStart, next.cap)), next.cap));
        return canStart ? limitedPart(demand.waiting, next.cap) : Resources {};
    }
    Resources peak() const { return larger(limitedPart(demand.recentPeak, next.cap), used()); }
    /// Of the share, what the pool doesn't use.
    Resources spare() const { return excess(own.share, used()); }
    Resources free() const { return excess(next.cap, sumShares(next)); }
    Resources slice() const { return divided(next.cap, slicesPerCap); }

    /// What may run is in the share, even if that exceeds the cap.
    void coverUse()
    {
        const auto missing = excess(used(), own.share);
        if (isZero(missing))
            return;
        own.share += missing;
        raiseWrite(CapWrite::Soon);
    }

    void takeForWaiting()
    {
        const auto lacking = excess(sum(used(), waiting()), own.share);
        const auto first = excess(sum(used(), limitedPart(demand.smallestStart, next.cap)), own.share);
        if (isZero(waiting()) || isZero(first)) {
            if (!isZero(own.wanted))
                raiseWrite(CapWrite::Soon);
            own.wanted = {};
            return;
        }
        // Half of what is free, so that other pools find some, but enough for one start.
        const auto taken = smaller(free(), larger(first, smaller(lacking, divided(free(), 2))));
        own.share += taken;
        const bool isMet = isZero(excess(first, taken));
        if (isMet)
            own.wanted = {};
        else if (isZero(excess(own.wanted, own.share)))
            own.wanted = smaller(sum(used(), waiting()), next.cap);
        else if (isZero(taken))
            return;
        raiseWrite(CapWrite::Soon);
    }

    /// Takes share ahead of demand, so that the next starts need not wait for a write.
    void takeAhead()
    {
        const auto reserve = divided(next.cap, reservePerCap);
        const auto taken = smaller(excess(sum(peak(), slice()), own.share), excess(free(), reserve));
        const bool isLow = !isZero(excess(sum(peak(), divided(slice(), 2)), own.share));
        if (!isLow || isZero(taken))
            return;
        own.share += taken;
        raiseWrite(CapWrite::Later);
    }

    /// After the cap was lowered, the shares may exceed it.
    void giveBackExcess()
    {
        const auto given = smaller(spare(), excess(sumShares(next), next.cap));
        if (isZero(given))
            return;
        own.share -= given;
        raiseWrite(CapWrite::Soon);
    }

    /// Of two pools that both lack share, the first by name gets it.
    void giveToOthers()
    {
        for (auto& [pool, other] : next.pools) {
            if (pool == demand.pool && !isZero(own.wanted))
                return;
            const auto given = smaller(excess(other.wanted, other.share), unneeded());
            if (pool == demand.pool || isZero(given))
                continue;
            own.share -= given;
            other.share += given;
            raiseWrite(CapWrite::Soon);
        }
    }

    /// Of the share, what the pool can give to others: all that it doesn't use if that is too little for its
    /// own next start, else what its waiting tasks leave.
    Resources unneeded() const { return isZero(own.wanted) ? excess(spare(), waiting()) : spare(); }

    void giveBackUnused()
    {
        const auto kept = larger(peak(), sum(used(), waiting()));
        const auto most = sum(kept, multiplied(slice(), slicesBeforeRelease));
        if (isZero(excess(own.share, most)))
            return;
        own.share = smaller(own.share, sum(kept, multiplied(slice(), slicesAfterRelease)));
        raiseWrite(CapWrite::Later);
    }
};

/// Applies the cap of a newer configuration. Returns whether it differs.
bool applyConfiguredCap(OrganisationShares& next, const CapDemand& demand)
{
    const auto& configured = demand.configured;
    if (configured.configVersion <= next.configVersion || configured.cap == next.cap)
        return false;
    // Shares of what was not limited have not been kept, so all pools have to register anew.
    if (!limitSameResources(configured.cap, next.cap)) {
        next.unregistered.insert(demand.recentlyHeldPools.begin(), demand.recentlyHeldPools.end());
        for (const auto& [pool, share] : next.pools)
            next.unregistered.insert(pool);
        next.pools.clear();
        next.isComplete = false;
    }
    next.cap = configured.cap;
    next.configVersion = configured.configVersion;
    return true;
}

} // namespace

bool limitSameResources(const Resources& a, const Resources& b)
{
    return (a.cpu > 0) == (b.cpu > 0) && (a.memoryMb > 0) == (b.memoryMb > 0) && (a.gpu > 0) == (b.gpu > 0);
}

std::string encodeCapRow(const CapRow& row)
{
    json out = json::object();
    for (const auto& [name, organisation] : row) {
        json pools = json::object();
        for (const auto& [pool, share] : organisation.pools)
            pools[pool] = { { "share", encodeResources(share.share) },
                { "wanted", encodeResources(share.wanted) }, { "term", share.term } };
        out[name] = { { "version", organisation.configVersion }, { "cap", encodeResources(organisation.cap) },
            { "complete", organisation.isComplete }, { "pools", std::move(pools) } };
        if (!organisation.unregistered.empty())
            out[name]["unregistered"] = organisation.unregistered;
    }
    return out.dump();
}

std::optional<CapRow> decodeCapRow(std::string_view text)
{
    const auto value = parseJson(text);
    if (!value.is_object())
        return std::nullopt;
    CapRow out;
    for (const auto& [name, entry] : value.items()) {
        auto organisation = decodeOrganisation(entry);
        if (!organisation)
            return std::nullopt;
        out.emplace(name, std::move(*organisation));
    }
    return out;
}

Resources sumShares(const OrganisationShares& organisation)
{
    Resources out;
    for (const auto& [pool, share] : organisation.pools)
        out += share.share;
    return out;
}

std::set<std::string> poolsNeedingHolders(const CapRow& row)
{
    std::set<std::string> out;
    for (const auto& [name, organisation] : row) {
        if (!isLimited(organisation.cap))
            continue;
        out.insert(organisation.unregistered.begin(), organisation.unregistered.end());
        for (const auto& [pool, share] : organisation.pools) {
            if (!isZero(share.share) || !isZero(share.wanted))
                out.insert(pool);
        }
    }
    return out;
}

CapPlan planShares(const OrganisationShares& current, const CapDemand& demand)
{
    CapPlan plan { current, CapWrite::None };
    auto& next = plan.next;
    if (applyConfiguredCap(next, demand))
        plan.write = CapWrite::Soon;
    if (!isLimited(next.cap))
        return plan;
    const auto known = next.pools.find(demand.pool);
    if (demand.isRetired && next.isComplete && known == next.pools.end())
        return plan;
    if (demand.isRetired && next.isComplete && known->second.term <= demand.term) {
        next.pools.erase(known);
        plan.write = CapWrite::Soon;
        return plan;
    }
    const auto [found, isNew] = next.pools.try_emplace(demand.pool);
    auto& own = found->second;
    if (isNew && !demand.areEarlierRunsKnown) {
        next.pools.erase(found);
        return plan;
    }
    if (own.term > demand.term)
        return { current, CapWrite::None }; // a later holder has the pool
    if (!isNew && own.term < demand.term) {
        // How much of the share the earlier holders use is not known before this write: it excludes theirs.
        own.term = demand.term;
        plan.write = CapWrite::Soon;
        return plan;
    }
    if (isNew) {
        own.term = demand.term;
        next.unregistered.erase(demand.pool);
        plan.write = CapWrite::Soon;
    }
    SharePlanner planner { next, demand, own, plan.write };
    planner.coverUse();
    const bool isSameLimit = limitSameResources(current.cap, next.cap);
    if (!next.isComplete && demand.haveAllPoolsRegistered && isSameLimit) {
        next.isComplete = true;
        next.unregistered.clear();
        planner.raiseWrite(CapWrite::Soon);
    }
    if (next.isComplete && !demand.isRetired) {
        planner.takeForWaiting();
        planner.takeAhead();
    }
    planner.giveBackExcess();
    planner.giveToOthers();
    planner.giveBackUnused();
    plan.write = planner.write;
    return plan;
}

std::optional<Resources> usableShare(const OrganisationShares* organisation, std::string_view pool,
    std::uint64_t term, const ConfiguredCap& configured)
{
    const bool isCapped = organisation && isLimited(organisation->cap);
    const bool isConfigNewer = !organisation || configured.configVersion > organisation->configVersion;
    if (!isCapped && !(isConfigNewer && isLimited(configured.cap)))
        return std::nullopt;
    if (!isCapped || (isConfigNewer && isLower(configured.cap, organisation->cap)))
        return Resources {};
    const auto found = organisation->pools.find(pool);
    const bool isConfirmed = found != organisation->pools.end() && found->second.term == term;
    if (!isConfirmed || !organisation->isComplete)
        return Resources {};
    // Runs of other pools may use all of their shares.
    auto out = excess(found->second.share, excess(sumShares(*organisation), organisation->cap));
    forEachResource([&](auto member) {
        if (organisation->cap.*member == 0)
            out.*member = unlimited;
    });
    return out;
}

std::optional<Resources> smallerShare(const std::optional<Resources>& a, const std::optional<Resources>& b)
{
    if (!a || !b)
        return a ? a : b;
    return smaller(*a, *b);
}

} // namespace damask::fleet
