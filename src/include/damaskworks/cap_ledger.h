/// \file
/// Keeps a pool's shares of the organisations' caps in the table.
#pragma once

#include <damaskworks/cap_shares.h>
#include <damaskworks/deployment.h>
#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/pool_state.h>
#include <damaskworks/shared_table.h>
#include <damaskworks/table_follower.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace damask::fleet {

/// Table that holds the shares of organisations' caps, in the part with the empty name. Each row holds some
/// of the organisations, see capRowKey().
inline constexpr std::string_view capTable = "caps";
/// Key of the row that holds an organisation.
std::string capRowKey(std::string_view organisation);
/// Whether the configuration limits any organisation.
bool hasCaps(const FleetConfig& config);
/// Starts to follow capTable; \p apply gets each row.
std::unique_ptr<TableFollower> followCapRows(event_base* base, SharedTable& table, const Clock& clock,
    Metrics& metrics, std::uint64_t seed, std::function<void(const TableRow&)> apply);

/// Requests and gives back shares for one pool, and sets what its holder may start: OrganisationUse::allowed.
///
/// Each write replaces one row and requires its version to be unchanged. A write without a response may still
/// be committed until the row has another version. Until then the pool has the smaller of both shares. Where
/// neither the configuration nor a job has an organisation, it makes no calls; without caps it only reads the
/// rows once.
class CapLedger {
public:
    struct Callbacks {
        std::function<bool()> isLeaseValid;
        /// Pools with a queue or unfinished jobs.
        std::function<std::set<std::string>()> pools;
        /// The shares have changed.
        std::function<void()> changed;
        /// Pools that had a holder so lately that runs which it has started may go on.
        std::function<std::set<std::string>()> recentlyHeldPools;
    };

    /// \p state must outlive the ledger. \p registrationTime is how long a pool may take to record what it
    /// uses after a cap has appeared: until its holder has the configuration, or its runs have ended without
    /// one.
    CapLedger(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics, PoolState& state,
        milliseconds registrationTime, Callbacks callbacks);
    ~CapLedger();
    CapLedger(const CapLedger&) = delete;
    CapLedger& operator=(const CapLedger&) = delete;

    void applyConfig(const FleetConfig& config);
    /// Applies a row of capTable.
    void applyRow(const TableRow& row);
    /// Reads and writes rows as the pool's use and demand require. To be called after each planning pass.
    void update();
    /// Calls update() after Callbacks::pools has changed.
    void onPoolsChanged();
    /// Whether the pool has shares to give up, and update() has to be called until it has none.
    bool isRetiring() const;

private:
    /// A row as the table certainly had it, and the writes on top of it.
    struct RowState {
        Version version = 0;
        CapRow row;
        bool isLoaded = false;
        bool isReading = false;
        bool isCommitting = false;
        std::vector<CapRow> openWrites; ///< that may be committed while the row has this version
        int failures = 0; ///< since the last successful call
        TimePoint nextCallAt {};
        TimePoint lastCommitAt {};
        std::set<std::string> organisations;
    };

    /// Largest use of a pool in the last two intervals.
    struct RecentPeak {
        Resources current;
        Resources previous;
        TimePoint intervalEndsAt {};
    };

    /// When an organisation was first seen with pools that have not registered.
    struct IncompleteSince {
        std::uint64_t configVersion = 0; ///< OrganisationShares::configVersion at that time
        TimePoint at {};
    };

    void addOrganisation(const std::string& name);
    /// Adds the organisations of jobs.
    void addOrganisationsOfJobs();
    ConfiguredCap configuredCap(const std::string& organisation) const;
    void readRow(const std::string& key);
    void replaceRow(const std::string& key, Version version, const std::string& value);
    /// The row is known to have this version.
    void setRow(const std::string& key, Version version, CapRow row);
    /// Whether the certain version of the row has an entry of the pool.
    bool hasEntry(const RowState& row) const;
    CapDemand demandOf(const std::string& organisation, const OrganisationShares* shares, TimePoint now);
    bool haveAllPoolsRegistered(
        const std::string& organisation, const OrganisationShares* shares, TimePoint now);
    Resources recentPeak(const std::string& organisation, const Resources& used, TimePoint now);
    void planRow(const std::string& key, RowState& row, TimePoint now);
    void commitRow(const std::string& key, RowState& row, CapRow next, TimePoint now);
    void onCommitResult(const std::string& key, const CapRow& written, const TableResult<Version>& result);
    void delayNextCall(RowState& row);
    /// Updates OrganisationUse::allowed of the row's organisations.
    void updateAllowed(const RowState& row);
    void logWaiting(TimePoint now);

    SharedTable& m_table;
    const Clock& m_clock;
    Metrics& m_metrics;
    PoolState& m_state;
    milliseconds m_registrationTime;
    Callbacks m_callbacks;
    Timer m_timer;
    std::mt19937_64 m_random;
    Version m_configVersion = 0;
    std::map<std::string, Resources, std::less<>> m_configuredCaps;
    std::map<std::string, RowState> m_rows; ///< by key
    std::map<std::string, IncompleteSince> m_incompleteSince; ///< by organisation
    std::map<std::string, RecentPeak> m_peaks; ///< by organisation
    std::size_t m_organisationCount = 0; ///< of all rows
    std::set<std::string> m_claimed; ///< organisations of which the pool's share is this holder's
    bool m_isPoolInUse = true; ///< the pool is one of Callbacks::pools
    TimePoint m_nextUpdateAt {};
    TimePoint m_waitingLoggedAt {};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
