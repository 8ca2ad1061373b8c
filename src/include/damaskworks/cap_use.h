/// \file
/// What a pool's runs use of the organisations' caps, and which starts the pool's shares allow.
#pragma once

#include <damaskworks/cap_shares.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace damask::fleet {

struct JobEntry;
struct PoolState;
struct StepSpec;

/// What an organisation's tasks use in a pool.
struct OrganisationUse {
    Resources runs; ///< needs of all runs that are not known to have ended
    Resources ownRuns; ///< of these, the runs that this holder has started
    Resources orphanRuns; ///< needs of runs that VMs list and no task has
    Resources unsettledStarts; ///< needs of released runs whose start may still be carried out
    /// Share that earlier holders left. Their runs may use all of it while PoolCaps::areEarlierRunsKnown is
    /// false.
    Resources inherited;
    std::optional<Resources> allowed; ///< most that the pool may use, see usableShare(); nothing: no limit
    Resources waiting; ///< needs of the tasks that the last pass kept back for lack of share
    Resources smallestStart; ///< smallest of the starts that it kept back
};

/// A start that may still be carried out although its run was released.
struct UnsettledStart {
    TimePoint until {};
    std::string organisation;
    Resources need;
};

struct PoolCaps {
    std::map<std::string, OrganisationUse, std::less<>> organisations; ///< by name
    std::deque<UnsettledStart> unsettledStarts;
    /// Shares limit the starts. Until its share is known, an organisation starts nothing.
    bool isEnforced = false;
    bool areEarlierRunsKnown = false; ///< all runs of earlier holders are in OrganisationUse::runs
};

/// What may still run of the organisation's tasks.
Resources usedBy(const PoolCaps& caps, const OrganisationUse& use);

/// The organisation's entry in PoolState::caps; adds it if it is missing.
OrganisationUse& useOf(PoolCaps& caps, std::string_view organisation);
/// Counts a run of \p step that is placed or adopted, or stops counting it.
void addRunToCaps(PoolState& state, const JobEntry& job, const StepSpec& step, std::uint32_t run);
void removeRunFromCaps(PoolState& state, const JobEntry& job, const StepSpec& step, std::uint32_t run);
/// Counts a released run's start until it can't be carried out any more.
void addUnsettledStart(PoolState& state, const JobEntry& job, const StepSpec& step, TimePoint until);

/// Whether all runs that earlier holders started are known, and none of their starts can be carried out any
/// more.
bool areEarlierRunsKnown(const PoolState& state, TimePoint now);
/// Whether nothing of the organisation runs in the pool or may still begin to. False while a VM lists a run
/// that no task has: its job may have been removed, and with it the organisation.
bool isUnused(const PoolState& state, const OrganisationUse& use);
/// Prepares a planning pass. \p recordsWaiting: the pass looks at all waiting steps.
void beginCapPass(PoolState& state, bool recordsWaiting, TimePoint now);
/// Whether the share of the job's organisation has room to start \p together tasks of the step at once. If
/// not, notes that \p waiting tasks wait; 0: none does, as for a second run of a task.
bool hasShareFor(PoolState& state, const JobEntry& job, const StepSpec& step, int together, int waiting);

} // namespace damask::fleet
