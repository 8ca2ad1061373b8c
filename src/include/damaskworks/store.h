/// \file
/// Access to the platform's table. Store commits transactions and determines their outcome even when the
/// table's response is lost. Mirror keeps a local copy of rows and polls the table for changes.
///
/// Everything here runs on the event loop's thread. Errors are PlatformError values in the callbacks.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/platform.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace damask {

/// Retry and clean-up limits of Store.
struct StoreLimits {
    /// Attempts to determine the outcome after a lost response, before Store reports OutcomeUnknown.
    int maxOutcomeAttempts = 6;
    /// Longest backoff before the second attempt. It doubles with each further attempt; the actual wait is
    /// random between half of it and all of it.
    std::chrono::milliseconds outcomeBackoff { 200 };
    /// Number of operation rows of finished transactions at which the next commit first writes the fence row,
    /// which deletes them.
    std::size_t operationCleanupThreshold = 32;
};

/// Commits each transaction at most once and determines its outcome.
///
/// The store adds two conditions to each transaction. The operation row, a new row that the transaction
/// itself writes, must not exist yet. The fence row of this process must still have the version that the
/// store knows. When the response to a commit is lost, the store writes the fence row. From then on no copy
/// of the transaction that is still in flight can commit, however late it arrives, so the operation row tells
/// whether the transaction committed. For the same reason the store deletes operation rows only in a
/// transaction that changes the fence row: a late copy could otherwise commit a second time.
class Store {
public:
    /// \p node is the name of this node and \p seed a number that differs between its processes; the keys of
    /// the fence row and the operation rows are made from both.
    Store(event_base* base, Platform& platform, const Clock& clock, Metrics& metrics, std::string node,
        std::uint64_t seed, StoreLimits limits = {});

    /// Commits \p transaction and passes the version of the commit to \p callback. The callback gets
    /// OutcomeUnknown only if the table stays unreachable through all attempts to determine the outcome; with
    /// any other error the transaction has not committed and never will.
    void commit(Transaction transaction, PlatformCallback<TableVersion> callback);

    /// The platform whose table the store writes.
    Platform& platform() { return m_platform; }

private:
    struct Operation;
    using OperationPointer = std::shared_ptr<Operation>;
    using FenceCallback = std::function<void(PlatformResult<TableVersion>)>;
    void send(const OperationPointer& operation);
    void finish(const OperationPointer& operation, PlatformResult<TableVersion> result);
    void resolveOutcome(const OperationPointer& operation);
    void readOutcome(const OperationPointer& operation);
    void scheduleOutcomeRetry(const OperationPointer& operation);
    void resolvePendingOutcomes();
    void sendAfterFenceWrite(const OperationPointer& operation);
    void advanceFence(FenceCallback callback);
    void writeFence();
    void readFence();
    void completeFenceWrite(PlatformResult<TableVersion> result);

    Platform& m_platform;
    const Clock& m_clock;
    Metrics& m_metrics;
    std::string m_node;
    std::mt19937_64 m_random;
    StoreLimits m_limits;
    std::uint64_t m_nextOperation = 1;
    std::string m_fenceKey;
    /// Last known version of the fence row; 0 before its first write.
    TableVersion m_fenceVersion = 0;
    /// Called when the fence write in flight ends.
    std::vector<FenceCallback> m_fenceWaiters;
    /// Keys of the operation rows of finished transactions, which the next fence writes delete.
    std::vector<std::string> m_finishedOperations;
    /// Number of m_finishedOperations, from the front, that the fence write in flight deletes.
    std::size_t m_deletionsInFenceWrite = 0;
    /// Operations that wait for the next attempt to determine their outcome.
    std::vector<OperationPointer> m_unresolved;
    Timer m_outcomeTimer;
};

/// State of the rows at one table version: either every row, or the rows that changed since an earlier
/// version.
struct RowSet {
    TableVersion since = 0; ///< 0: every row; otherwise the rows that changed after this version
    TableVersion version = 0; ///< table version that the set brings a copy up to
    std::vector<Row> rows; ///< in ascending order of version, deletions included
};

/// Settings of Mirror.
struct MirrorSettings {
    std::string prefix; ///< key prefix of the mirrored rows
    std::chrono::milliseconds pollPeriod { 1000 }; ///< longest wait between polls while polls succeed
    std::string cluster; ///< name of this cluster; the mirror refuses snapshots of another one
    std::string snapshotObjectName; ///< name of the snapshot object; empty: none is read
};

/// Local copy of the rows under one key prefix. The mirror polls the table for changes. At the start it first
/// reads the snapshot in the object store, and it can also apply rows from peers. Its version never
/// decreases, whatever the source.
class Mirror {
public:
    /// Called for each changed row, in commit order; the changes found by a full read come in any order.
    using Listener = std::function<void(const Row&)>;

    /// \p seed starts the random jitter of the polls.
    Mirror(event_base* base, Platform& platform, const Clock& clock, Metrics& metrics,
        MirrorSettings settings, std::uint64_t seed);

    /// Starts polling.
    void start();
    /// Polls now, for example after a hint from a peer or a write by this node. If a poll is in flight,
    /// another one follows it.
    void pollNow();
    /// Adds a listener for later changes; it does not get the rows that are already present.
    void addListener(Listener listener);
    /// The present rows by key, without the deleted ones.
    const std::map<std::string, Row, std::less<>>& rows() const { return m_rows; }
    /// Returns the row, or nullptr if it does not exist.
    const Row* find(std::string_view key) const;
    /// Table version that the copy corresponds to.
    TableVersion version() const { return m_version; }
    /// Whether the mirror has loaded all rows, from the table, a snapshot or a peer.
    bool isComplete() const { return m_isComplete; }
    /// Whether the last poll of the table failed or none has succeeded yet.
    bool isTableUnreachable() const { return m_consecutiveFailures > 0 || m_lastContact == TimePoint {}; }
    /// Time of the last successful poll.
    TimePoint lastContact() const { return m_lastContact; }
    /// Start time of the last poll that has ended, whether it succeeded or failed.
    TimePoint lastEndedPollStart() const { return m_lastEndedPollStart; }
    /// Returns the rows that changed after \p since, or all rows if the mirror no longer has every deletion
    /// since then.
    RowSet rowsSince(TableVersion since) const;
    /// Applies rows from a peer or a snapshot and returns true. Returns false, and changes nothing, if the
    /// set is not newer than this copy, or if it holds only changes and leaves a gap after this copy's
    /// version.
    bool applyIfNewer(const RowSet& set);

private:
    void scheduleNextPoll();
    void poll();
    void readSnapshot();
    void readTable();
    void readAll();
    void apply(TableVersion version, const std::vector<Row>& rows);
    void applyRow(const Row& row);
    void replaceAll(TableVersion version, std::vector<Row> rows);
    void recordDeletion(const Row& row);
    void finishPoll(bool succeeded);

    Platform& m_platform;
    const Clock& m_clock;
    Metrics& m_metrics;
    MirrorSettings m_settings;
    std::mt19937_64 m_random;
    Timer m_pollTimer;
    std::map<std::string, Row, std::less<>> m_rows;
    std::vector<Listener> m_listeners;
    /// The latest deletions in order of version, for rowsSince().
    std::deque<Row> m_deletions;
    /// m_deletions holds every deletion after this version; earlier ones may be missing.
    TableVersion m_deletionsCompleteSince = 0;
    TableVersion m_version = 0;
    TimePoint m_lastContact {};
    TimePoint m_pollStart {};
    TimePoint m_lastEndedPollStart {};
    int m_consecutiveFailures = 0;
    bool m_isComplete = false;
    bool m_hasTriedSnapshot = false;
    bool m_isPolling = false;
    bool m_shouldPollAgain = false;
};

} // namespace damask
