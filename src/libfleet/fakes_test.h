/// \file
/// In-memory table for tests, with parts, versions and injected faults.
#pragma once

#include <damaskworks/adapter.h>
#include <damaskworks/loop.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <tuple>

namespace damask::fleet {

/// Fault injected into a commit.
enum class CommitFault {
    None,
    Refused, ///< not applied; the response is TableFailure::NotApplied
    ResponseLost, ///< applied; the response is TableFailure::Unknown
    Delayed, ///< the response is TableFailure::Unknown; applyDelayed() applies the commit later
    Overloaded, ///< not applied; the response is TableFailure::Overloaded
};

/// In-memory table with the limits of the platform's. It responds on the next iteration of the loop.
class FakeTable final : public SharedTable {
public:
    explicit FakeTable(event_base* base)
        : m_timer(base, [this] { sendResponses(); })
    {
    }

    std::deque<CommitFault> faults; ///< for the next commits; empty: no fault
    std::size_t largestTransaction = 0; ///< expectations and writes
    std::size_t maxRowBytes = defaultMaxRowBytes; ///< largest value of a row
    std::string rejectedKey; ///< transactions that write a row with this key are rejected
    int rejectedTransactions = 0;
    int readsToFail = 0; ///< number of next reads to refuse
    int maxOpenReads = 0; ///< highest number of concurrent reads so far
    int commits = 0; ///< calls of commit() so far
    int reads = 0; ///< calls of read() so far
    /// Called with each row that changes, and its table.
    std::function<void(const std::string& table, const TableRow& row)> onChange;

    void commit(const TableTransaction& transaction, std::chrono::milliseconds,
        TableCallback<Version> callback) override
    {
        ++commits;
        const auto fault = faults.empty() ? CommitFault::None : faults.front();
        if (!faults.empty())
            faults.pop_front();
        if (fault == CommitFault::Delayed) {
            m_delayed.push_back(transaction);
            return postResponse([callback] { callback(tl::make_unexpected(TableFailure::Unknown)); });
        }
        if (fault == CommitFault::Refused)
            return postResponse([callback] { callback(tl::make_unexpected(TableFailure::NotApplied)); });
        if (fault == CommitFault::Overloaded)
            return postResponse([callback] { callback(tl::make_unexpected(TableFailure::Overloaded)); });
        auto result = apply(transaction);
        if (fault == CommitFault::ResponseLost)
            result = tl::make_unexpected(TableFailure::Unknown);
        postResponse([callback, result] { callback(result); });
    }

    void read(const std::string& table, const std::string& part, const std::string& from, int limit,
        TableCallback<TableRows> callback) override
    {
        ++reads;
        maxOpenReads = std::max(maxOpenReads, ++m_openReads);
        if (readsToFail > 0) {
            --readsToFail;
            return postResponse([this, callback] {
                --m_openReads;
                callback(tl::make_unexpected(TableFailure::NotApplied));
            });
        }
        TableRows out { m_version, {}, false };
        for (const auto& [key, row] : m_rows) {
            if (std::get<0>(key) != table || row.part != part || row.key < from)
                continue;
            out.hasMore = static_cast<int>(out.rows.size()) == limit;
            if (out.hasMore)
                break;
            out.rows.push_back(row);
        }
        postResponse([this, callback, out] {
            --m_openReads;
            callback(out);
        });
    }

    void parts(const std::string& table, const std::string&,
        TableCallback<std::vector<std::string>> callback) override
    {
        std::set<std::string> names;
        for (const auto& [key, row] : m_rows) {
            if (std::get<0>(key) == table)
                names.insert(row.part);
        }
        postResponse([callback, names] { callback(std::vector<std::string>(names.begin(), names.end())); });
    }

    void follow(const std::string&, Version, std::chrono::milliseconds, TableCallback<TableRows>) override { }

    /// Applies the delayed transactions whose expectations still hold; returns their number.
    int applyDelayed()
    {
        int done = 0;
        for (const auto& transaction : std::exchange(m_delayed, {}))
            done += apply(transaction).has_value();
        return done;
    }
    std::size_t delayedTransactions() const { return m_delayed.size(); }
    /// Applies one delayed transaction if its expectations still hold.
    void applyDelayed(std::size_t index)
    {
        const auto transaction = m_delayed.at(index);
        m_delayed.erase(m_delayed.begin() + static_cast<std::ptrdiff_t>(index));
        apply(transaction);
    }

    const TableRow* find(const std::string& table, const std::string& part, const std::string& key) const
    {
        const auto found = m_rows.find({ table, part, key });
        return found == m_rows.end() ? nullptr : &found->second;
    }

    std::vector<TableRow> rows(const std::string& table) const
    {
        std::vector<TableRow> out;
        for (const auto& [key, row] : m_rows) {
            if (std::get<0>(key) == table)
                out.push_back(row);
        }
        return out;
    }

private:
    /// A value of three bytes takes four in a call.
    bool exceedsLimits(const TableTransaction& transaction) const
    {
        std::size_t bytes = 0;
        std::size_t longestName = transaction.part.size();
        for (const auto& write : transaction.writes) {
            const auto valueBytes = write.value ? write.value->size() : 0;
            if (valueBytes > maxRowBytes || (!rejectedKey.empty() && write.key == rejectedKey))
                return true;
            bytes += valueBytes * 4 / 3 + write.table.size() + transaction.part.size() + write.key.size();
            longestName = std::max({ longestName, write.table.size(), write.key.size() });
        }
        return transaction.preconditions.size() + transaction.writes.size() > maxTransactionEntries
            || bytes > maxTransactionBytes || longestName > maxNameBytes;
    }

    TableResult<Version> apply(const TableTransaction& transaction)
    {
        largestTransaction
            = std::max(largestTransaction, transaction.preconditions.size() + transaction.writes.size());
        if (exceedsLimits(transaction)) {
            ++rejectedTransactions;
            return tl::make_unexpected(TableFailure::Invalid);
        }
        for (const auto& expected : transaction.preconditions) {
            const auto* row = find(expected.table, transaction.part, expected.key);
            if ((row ? row->version : 0) != expected.version)
                return tl::make_unexpected(TableFailure::Conflict);
        }
        ++m_version;
        for (const auto& write : transaction.writes) {
            const auto key = std::tuple(write.table, transaction.part, write.key);
            if (write.value)
                m_rows[key] = { transaction.part, write.key, *write.value, m_version };
            else
                m_rows.erase(key);
            if (onChange)
                onChange(write.table,
                    { transaction.part, write.key, write.value.value_or(""), m_version, !write.value });
        }
        return m_version;
    }

    void postResponse(std::function<void()> callback)
    {
        m_responses.push_back(std::move(callback));
        m_timer.startOnce(std::chrono::microseconds(1));
    }

    void sendResponses()
    {
        auto responses = std::exchange(m_responses, {});
        for (auto& callback : responses)
            callback();
    }

    Version m_version = 0;
    int m_openReads = 0;
    std::map<std::tuple<std::string, std::string, std::string>, TableRow> m_rows;
    std::vector<TableTransaction> m_delayed;
    std::deque<std::function<void()>> m_responses;
    Timer m_timer;
};

} // namespace damask::fleet
