/// \file
/// In-process platform over TableModel. Each request stays pending until the test decides its outcome.
#pragma once

#include "table_model.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace damask::standin {

/// Outcome that the test chooses for a request. Reads treat every value but Answer and Duplicate as a
/// failure.
enum class InjectedOutcome {
    Answer, ///< takes effect; answered
    Refuse, ///< no effect; answered as unavailable
    LoseRequest, ///< no effect; no answer
    LoseAnswer, ///< takes effect; no answer
    Delay, ///< no answer; takes effect when the test calls deliverWrite()
    Duplicate, ///< takes effect; answered; a copy of the write arrives with deliverWrite()
};

/// Platform with a table and an object store; all other calls return an empty result.
class FakePlatform final : public Platform {
public:
    /// Uses a table of its own, or a table that several platforms share.
    explicit FakePlatform(std::shared_ptr<TableModel> shared = std::make_shared<TableModel>())
        : m_table(std::move(shared))
        , table(*m_table)
    {
    }
    /// Number of pending requests.
    std::size_t pendingRequests() const { return m_pending.size(); }
    /// Number of delayed or duplicated writes that have not arrived yet.
    std::size_t delayedWrites() const { return m_delayedWrites.size(); }

    /// Completes the oldest pending request with the given outcome.
    void completeNext(InjectedOutcome outcome)
    {
        auto request = std::move(m_pending.front());
        m_pending.pop_front();
        request(outcome);
    }
    /// Applies one delayed write; \p index is taken modulo their number.
    void deliverWrite(std::size_t index)
    {
        const auto at = m_delayedWrites.begin() + static_cast<std::ptrdiff_t>(index % m_delayedWrites.size());
        const auto transaction = *at;
        m_delayedWrites.erase(at);
        (void)table.commit(transaction);
    }

    void readRow(std::string_view key, PlatformCallback<Row> callback) override
    {
        ++reads;
        read<Row>([this, key = std::string(key)] { return table.row(key); }, std::move(callback));
    }
    void readRows(std::string_view prefix, PlatformCallback<Changes> callback) override
    {
        ++reads;
        ++fullReads;
        read<Changes>(
            [this, prefix = std::string(prefix)] { return PlatformResult<Changes>(table.rows(prefix)); },
            std::move(callback));
    }
    void readChanges(std::string_view prefix, TableVersion since, PlatformCallback<Changes> callback) override
    {
        ++reads;
        read<Changes>([this, prefix = std::string(prefix), since] { return table.changes(prefix, since); },
            std::move(callback));
    }
    void commit(const Transaction& transaction, PlatformCallback<TableVersion> callback) override
    {
        ++writes;
        m_pending.push_back([this, transaction, callback = std::move(callback)](InjectedOutcome outcome) {
            if (outcome == InjectedOutcome::Refuse)
                return callback(tl::make_unexpected(PlatformError {}));
            if (outcome == InjectedOutcome::Delay || outcome == InjectedOutcome::Duplicate)
                m_delayedWrites.push_back(transaction);
            const bool takesEffect
                = outcome != InjectedOutcome::LoseRequest && outcome != InjectedOutcome::Delay;
            const auto result = takesEffect ? table.commit(transaction) : PlatformResult<TableVersion>(0);
            if (outcome == InjectedOutcome::Answer || outcome == InjectedOutcome::Duplicate)
                return callback(result);
            callback(
                tl::make_unexpected(PlatformError { PlatformFailure::OutcomeUnknown, "no answer", "", 0 }));
        });
    }
    void readObject(std::string_view name, PlatformCallback<std::string> callback) override
    {
        ++objectReads;
        read<std::string>(
            [this, name = std::string(name)]() -> PlatformResult<std::string> {
                auto found = objects.find(name);
                if (found == objects.end())
                    return tl::make_unexpected(PlatformError { PlatformFailure::NotFound, "", "", 0 });
                return found->second;
            },
            std::move(callback));
    }
    void writeObject(std::string_view name, std::string value, PlatformCallback<bool> callback) override
    {
        ++objectWrites;
        read<bool>(
            [this, name = std::string(name), value = std::move(value)] {
                objects[name] = value;
                return PlatformResult<bool>(true);
            },
            std::move(callback));
    }
    void listVms(PlatformCallback<std::vector<ListedVm>> callback) override
    {
        replyEmpty(std::move(callback));
    }
    void sendVmCommand(std::string_view, VmCommand, PlatformCallback<bool> callback) override
    {
        replyEmpty(std::move(callback));
    }
    void readVmReports(PlatformCallback<std::vector<VmReport>> callback) override
    {
        replyEmpty(std::move(callback));
    }
    void sendTaskCommand(const TaskRequest&, PlatformCallback<bool> callback) override
    {
        replyEmpty(std::move(callback));
    }
    void readTaskReports(PlatformCallback<std::vector<TaskReport>> callback) override
    {
        replyEmpty(std::move(callback));
    }
    void setAcceptingConnections(std::string_view, bool, PlatformCallback<bool> callback) override
    {
        replyEmpty(std::move(callback));
    }

private:
    std::shared_ptr<TableModel> m_table;

public:
    TableModel& table;
    std::map<std::string, std::string> objects;
    std::uint64_t reads = 0; ///< of the table, full reads included
    std::uint64_t fullReads = 0; ///< of all rows under a prefix
    std::uint64_t writes = 0; ///< to the table
    std::uint64_t objectReads = 0;
    std::uint64_t objectWrites = 0;

private:
    template <typename T> void read(std::function<PlatformResult<T>()> answer, PlatformCallback<T> callback)
    {
        m_pending.push_back(
            [answer = std::move(answer), callback = std::move(callback)](InjectedOutcome outcome) {
                if (outcome == InjectedOutcome::Answer || outcome == InjectedOutcome::Duplicate)
                    return callback(answer());
                callback(tl::make_unexpected(PlatformError {}));
            });
    }
    template <typename T> void replyEmpty(PlatformCallback<T> callback)
    {
        m_pending.push_back([callback = std::move(callback)](InjectedOutcome) { callback(T {}); });
    }

    std::deque<std::function<void(InjectedOutcome)>> m_pending;
    std::vector<Transaction> m_delayedWrites;
};

} // namespace damask::standin
