/// \file
/// Shares of organisations in a pool that is short of room: weighted dominant-resource fairness (Ghodsi et
/// al., "Dominant Resource Fairness", NSDI 2011), one level of priority after the other.
#pragma once

#include <damaskworks/deployment.h>
#include <damaskworks/job.h>

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace damask::fleet {

/// What an organisation has and wants in a pool. Long-running tasks don't count: they keep their room for
/// long, whatever others want meanwhile.
struct ShareParty {
    std::string organisation;
    bool isConfigured = false; ///< else its work is ordered as that without an organisation
    double weight = 1;
    int priority = 0; ///< 0 is the highest
    Resources used; ///< by runs that have not ended
    Resources waiting; ///< needs of all tasks that wait for a VM
    /// Dominant share of the pool from which it is above its fair share; infinite: it can have what it wants.
    double fairShare = std::numeric_limits<double>::infinity();
    WallTime lastAcceptedAt { 0 }; ///< of its jobs
    /// When the jobs that it was entitled to so far would have been submitted at its rate.
    std::chrono::duration<double, std::milli> paidUntil { 0 };
};

/// Number of a ShareParty. It never changes.
using PartyNumber = int;

/// Work that belongs to no organisation.
inline constexpr PartyNumber noParty = 0;

/// The organisations with work in a pool.
struct FairShares {
    std::vector<ShareParty> parties { 1 }; ///< by number
    std::map<std::string, PartyNumber, std::less<>> numbers; ///< by organisation
    Resources used; ///< by all runs that have not ended, long-running ones too
    Resources waiting; ///< of all parties
    /// The organisations want more than the pool has.
    bool isShort = false;
    std::uint64_t excessJobs = 0; ///< that countJob() has found
    Resources capacity; ///< in which they share, at the last update
};

/// Sets the weights and priorities. Weight 0 counts as 1.
void applyOrganisations(
    FairShares& shares, const std::map<std::string, Organisation, std::less<>>& organisations);
/// The number of an organisation; noParty for an empty name.
PartyNumber partyOf(FairShares& shares, const std::string& organisation);

/// Counts a job and returns whether it is beyond what its organisation is entitled to: `weight` jobs a
/// second, by the generic cell rate algorithm (ITU-T I.371). A job that arrives after later ones, as at a
/// takeover, is within it.
bool countJob(FairShares& shares, PartyNumber party, WallTime acceptedAt);

/// Adds the room that \p times runs of the step's tasks take.
void addUse(FairShares& shares, PartyNumber party, const StepSpec& step, int times);
/// Adds \p needs, \p times times, to what the party's waiting tasks need.
void addWaiting(FairShares& shares, PartyNumber party, const Resources& needs, int times);

/// Computes the fair shares in a pool whose VMs have \p capacity, by progressive filling.
void updateShares(FairShares& shares, const Resources& capacity);
/// Whether the party is at or above its fair share, and others are below theirs.
bool isAboveShare(const FairShares& shares, PartyNumber party);
/// Names of the organisations that are above their share, for the log.
std::vector<std::string> organisationsAboveShare(const FairShares& shares);
/// The largest part that \p amount has of any resource in \p capacity.
double dominantShare(const Resources& amount, const Resources& capacity);

} // namespace damask::fleet
