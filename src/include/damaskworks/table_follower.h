/// \file
/// Keeps up with the rows of one table: reads all, then follows the changes.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/shared_table.h>

#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace damask::fleet {

/// Settings of a follower.
struct FollowSettings {
    std::string table;
    bool manyParts = false; ///< false: the rows are all in the part with the empty name
    std::chrono::milliseconds gap { 0 }; ///< pause after changes, so that more come with one call
};

/// Follows one table. Changes are handed on in order of version; when the history is gone all rows
/// are read again and handed on as a whole.
class TableFollower {
public:
    /// All rows, replacing everything known.
    using ResetListener = std::function<void(const std::vector<TableRow>&)>;
    using ChangeListener = std::function<void(const TableRow&)>;
    /// Called after each batch of changes.
    using BatchListener = std::function<void()>;

    TableFollower(event_base* base, SharedTable& table, const Clock& clock, Metrics& metrics,
        FollowSettings settings, std::uint64_t seed);
    void listen(ResetListener onReset, ChangeListener onChange, BatchListener onBatch);
    void start();
    void setGap(std::chrono::milliseconds gap) { m_settings.gap = gap; }
    bool isLoaded() const { return m_loaded; }
    /// Newest version covered.
    Version version() const { return m_version; }
    /// Time of the last answer.
    TimePoint lastContact() const { return m_lastContact; }
    /// All that changed before this time has been handed on. Older than lastContact() where an answer
    /// took long to arrive.
    TimePoint freshAt() const { return m_freshAt; }

private:
    void load();
    void readPart(const std::string& part, const std::string& from);
    void nextPart();
    void listParts(const std::string& after);
    void finishLoad();
    void follow();
    void take(const TableRows& rows);
    void fail(TableFailure failure, bool reload);
    void succeed();
    void resume(std::chrono::milliseconds delay);

    SharedTable& m_table;
    const Clock& m_clock;
    Metrics& m_metrics;
    FollowSettings m_settings;
    std::mt19937_64 m_random;
    Timer m_timer;
    ResetListener m_onReset;
    ChangeListener m_onChange;
    BatchListener m_onBatch;
    std::vector<TableRow> m_loading;
    std::deque<std::string> m_partsToRead;
    Version m_loadVersion = 0; ///< of the first answer of a load
    Version m_version = 0;
    bool m_loaded = false;
    bool m_reload = true;
    int m_failures = 0;
    TimePoint m_lastContact {};
    TimePoint m_freshAt {};
    TimePoint m_loadBegan {};
};

} // namespace damask::fleet
