/// \file
/// Shares of organisations' caps. An organisation's cap spans all pools, and each pool has its own holder, so
/// each pool holds a share of the cap, recorded in the table. A holder starts tasks within its pool's share
/// without asking anyone. Only free functions over plain structs; CapLedger does the I/O.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/job.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace damask::fleet {

/// Share of one pool in an organisation's cap. It belongs to the pool and outlives its holder.
struct PoolShare {
    Resources share; ///< at least what may run in the pool; 0 where the cap sets no limit
    Resources wanted; ///< share that the pool lacks for a start; zero: it lacks none
    std::uint64_t term = 0; ///< of the holder that last confirmed the share, see PoolState::term
    bool operator==(const PoolShare&) const = default;
};

/// An organisation's cap and its shares.
struct OrganisationShares {
    std::uint64_t configVersion = 0; ///< FleetConfig::rowVersion of the configuration that set the cap
    Resources cap; ///< 0: no limit
    /// Every pool that could have had runs when the cap appeared has an entry, so that shares may be raised.
    bool isComplete = false;
    std::map<std::string, PoolShare, std::less<>> pools;
    /// Pools that may have runs which no share covers, until each has an entry or isComplete is set.
    std::set<std::string, std::less<>> unregistered;
    bool operator==(const OrganisationShares&) const = default;
};

/// A row of the table of caps: some of the organisations, by name.
using CapRow = std::map<std::string, OrganisationShares, std::less<>>;

/// Row text; decodeCapRow() returns nothing for malformed text and numbers out of range.
std::string encodeCapRow(const CapRow& row);
std::optional<CapRow> decodeCapRow(std::string_view text);

/// Whether the cap limits anything.
constexpr bool isLimited(const Resources& cap) { return cap.cpu > 0 || cap.memoryMb > 0 || cap.gpu > 0; }

/// Whether both caps limit the same resources.
bool limitSameResources(const Resources& a, const Resources& b);

/// Calls \p f with each member of Resources.
template <typename F> void forEachResource(F f)
{
    f(&Resources::cpu);
    f(&Resources::memoryMb);
    f(&Resources::gpu);
}

/// Sum of the shares of all pools.
Resources sumShares(const OrganisationShares& organisation);

/// Pools that need a holder because of the row although they may have neither a queue nor unfinished jobs:
/// only a pool's holder knows what runs there, so only it can give the pool's share back.
std::set<std::string> poolsNeedingHolders(const CapRow& row);

/// An organisation's cap in a configuration.
struct ConfiguredCap {
    std::uint64_t configVersion = 0; ///< FleetConfig::rowVersion
    Resources cap; ///< 0: no limit, also for an organisation that the configuration lacks
};

/// What a pool's holder knows of an organisation beside the row.
struct CapDemand {
    std::string pool;
    std::uint64_t term = 0; ///< of the holder
    ConfiguredCap configured;
    Resources used; ///< by everything that may still run in the pool
    Resources recentPeak; ///< of \c used
    Resources waiting; ///< needs of the tasks that only the share keeps from starting
    Resources smallestStart; ///< smallest of these: one task, or a gang whole
    /// All runs of earlier holders are in \c used.
    bool areEarlierRunsKnown = false;
    /// All pools that may have runs have an entry, or had the time to write one.
    bool haveAllPoolsRegistered = false;
    /// The pool has neither a queue nor unfinished jobs, and nothing of the organisation may still run there
    /// or begin to.
    bool isRetired = false;
    /// Pools that had a holder lately, so that runs which it has started may go on.
    std::set<std::string> recentlyHeldPools;
};

/// How soon a plan has to be written.
enum class CapWrite { None, Later, Soon };

struct CapPlan {
    OrganisationShares next;
    CapWrite write = CapWrite::None;
};

/// Plans the pool's next share. A share is raised only while the sum stays within the cap. What the pool does
/// not use goes to pools that lack share for a start. A retired pool gives up its entry.
CapPlan planShares(const OrganisationShares& current, const CapDemand& demand);

/// Most that the pool may use, under shares that the table certainly has; each resource without a limit has
/// its largest value. Nothing if the organisation has no limit at all. Zero while the pool's holder has not
/// confirmed its share or other pools may have runs that no share covers, and while a lower cap of a newer
/// configuration is not in the row.
std::optional<Resources> usableShare(const OrganisationShares* organisation, std::string_view pool,
    std::uint64_t term, const ConfiguredCap& configured);

/// The smaller of two results of usableShare().
std::optional<Resources> smallerShare(const std::optional<Resources>& a, const std::optional<Resources>& b);

} // namespace damask::fleet
