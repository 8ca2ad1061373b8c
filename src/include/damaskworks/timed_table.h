/// \file
/// Wraps a table: adapts the timeouts of commits to measured response times, and tracks whether the table
/// is reachable.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/metrics.h>
#include <damaskworks/response_time.h>
#include <damaskworks/shared_table.h>
#include <damaskworks/table_contact.h>

#include <memory>

namespace damask::fleet {

/// Shortens the timeouts of commits according to the response times of earlier ones. A commit that times out
/// has the outcome Unknown, so its caller repeats it with the same expectations.
class TimedTable final : public SharedTable {
public:
    /// Updates \p contact after each call.
    TimedTable(
        std::unique_ptr<SharedTable> table, const Clock& clock, Metrics& metrics, TableContact& contact);

    void commit(const TableTransaction& transaction, std::chrono::milliseconds timeout,
        TableCallback<Version> callback) override;
    void read(const std::string& table, const std::string& part, const std::string& from, int limit,
        TableCallback<TableRows> callback) override;
    void parts(const std::string& table, const std::string& after,
        TableCallback<std::vector<std::string>> callback) override;
    void follow(const std::string& table, Version after, std::chrono::milliseconds wait,
        TableCallback<TableRows> callback) override;

private:
    /// Updates the contact from the outcome of a call.
    template <typename T> void recordOutcome(const TableResult<T>& result);
    /// Returns a callback that records the outcome, then calls \p callback.
    template <typename T> TableCallback<T> recordingOutcome(TableCallback<T> callback);

    std::unique_ptr<SharedTable> m_table;
    const Clock& m_clock;
    Metrics& m_metrics;
    TableContact& m_contact;
    ResponseTimes m_commitTimes;
};

} // namespace damask::fleet
