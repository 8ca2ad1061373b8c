/// \file
/// Keeps a copy of one table's rows up to date: reads all rows, then follows the changes.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/poll_pace.h>
#include <damaskworks/shared_table.h>

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace damask::fleet {

/// Settings of a TableFollower.
struct FollowSettings {
    std::string table;
    bool isPartitioned = false; ///< false: all rows are in the part with the empty name
    std::chrono::milliseconds pauseAfterChanges { 0 }; ///< so that the next request returns several changes
    /// After a failed request, or a response with several versions of one row, read the rows instead of the
    /// changes since. For tables whose rows are few and large: the changes hold every version of a row.
    bool readsRowsWhenBehind = false;
    /// Longest wait of one request for a change. It is short so that the follower detects a dead connection
    /// well within the time in which a new configuration must be in force.
    std::chrono::milliseconds maxWait { 1000 };
    /// Follow each response that has rows with a request that does not wait, so that currentAsOf() is recent
    /// again at once.
    bool confirmsChanges = false;
};

/// Follows one table and passes changes to its listeners in order of version. If the table no longer keeps
/// the changes since the last version, the follower reads all rows again and passes them on as a whole.
class TableFollower {
public:
    /// Gets all rows, which replace everything passed before.
    using ResetListener = std::function<void(const std::vector<TableRow>&)>;
    using ChangeListener = std::function<void(const TableRow&)>;
    /// Called after each batch of changes.
    using BatchListener = std::function<void()>;

    TableFollower(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics,
        FollowSettings settings, std::uint64_t seed);
    ~TableFollower();
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;
    void setListeners(ResetListener onReset, ChangeListener onChange, BatchListener onBatch);
    void start();
    /// Applies from the next request on.
    void setPace(const PollPace& pace) { m_pace = pace; }
    /// Sets the time in which each node can make one request, if they share the table equally; zero: not
    /// known. Refused requests of a load are repeated within one turn for each part that is left to read.
    void setTurn(std::chrono::milliseconds turn) { m_turn = turn; }
    bool isLoaded() const { return m_isLoaded; }
    /// Whether the last response may not have held all changes, as the first ones after an outage. Also true
    /// from the start of a load until a response after it: its pages are of different times.
    bool isBehind() const { return m_isBehind; }
    /// Version up to which all changes have been passed on.
    Version version() const { return m_version; }
    /// Time of the last response.
    TimePoint lastContact() const { return m_lastContact; }
    /// Time up to which all changes have been passed on. Earlier than lastContact() if a response took long,
    /// or may not have held all changes.
    TimePoint currentAsOf() const { return m_currentAsOf; }

private:
    /// Reads all rows: the part with the empty name, then the named parts if the table has any.
    void startLoad();
    void readPart(const std::string& part, const std::string& from);
    void readNextPart();
    void listParts(const std::string& after);
    void finishLoad();
    void follow();
    void applyChanges(const TableRows& rows);
    /// Makes the next request: of the load in progress, of a new one, or for changes.
    void runNext();
    /// Makes the next request of a load: at once, unless the table was overloaded a short time ago.
    void continueLoad(std::function<void()> step);
    /// Time until a failed request is repeated.
    std::chrono::milliseconds retryDelay(TableFailure failure);
    /// Returns a random number from 0 to 1.
    double random() { return std::uniform_real_distribution<>(0, 1)(m_random); }
    /// Schedules a retry with backoff. If \p needsReload, it reads all rows; a load goes on where it failed.
    void onFailure(TableFailure failure, bool needsReload);
    void onSuccess();
    void scheduleNext(std::chrono::milliseconds delay);

    SharedTable& m_table;
    const Clock& m_clock;
    Metrics& m_metrics;
    FollowSettings m_settings;
    PollPace m_pace; ///< that of the settings until setPace()
    std::mt19937_64 m_random;
    Timer m_timer;
    ResetListener m_onReset;
    ChangeListener m_onChange;
    BatchListener m_onBatch;
    std::vector<TableRow> m_loadedRows;
    std::deque<std::string> m_partsToRead;
    /// Repeats the last request of the load in progress; empty if there is none.
    std::function<void()> m_loadStep;
    Version m_loadVersion = 0; ///< version of the first response of a load
    Version m_version = 0;
    bool m_isLoaded = false;
    bool m_isBehind = false;
    bool m_needsReload = true;
    bool m_needsConfirmation = false; ///< the next request does not wait for changes
    int m_failures = 0; ///< since the last response
    std::chrono::milliseconds m_restraint { 0 }; ///< see restraintAfterRefusal()
    std::chrono::milliseconds m_turn { 0 };
    std::set<TableFailure> m_loggedFailures; ///< kinds of failure logged since the last response
    TimePoint m_lastContact {};
    TimePoint m_currentAsOf {};
    TimePoint m_loadStartedAt {};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

/// Whether the follower's rows are recent enough to act on: it has had a response within \p maxAge, and the
/// response held all changes.
bool isFresh(const TableFollower& follower, TimePoint now, std::chrono::milliseconds maxAge);

} // namespace damask::fleet
