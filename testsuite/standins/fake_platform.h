/// \file
/// In-process platform over TableModel whose requests wait until the test decides what becomes of each.
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

/// What becomes of a request.
enum class Fate {
    Answer, ///< takes effect and is answered
    Refuse, ///< no effect, answered as unavailable
    LoseBefore, ///< no effect, no answer
    LoseAfter, ///< takes effect, no answer
    Delay, ///< no answer; takes effect later
    Duplicate, ///< takes effect and is answered; a copy arrives later
};

/// Platform with a table and an object store; the other calls answer with nothing.
class FakePlatform final : public Platform {
public:
    /// A platform with a table of its own, or with one that it shares with others.
    explicit FakePlatform(std::shared_ptr<TableModel> shared = std::make_shared<TableModel>())
        : m_table(std::move(shared))
        , table(*m_table)
    {
    }
    /// Requests that wait for their fate.
    std::size_t waiting() const { return m_waiting.size(); }
    /// Writes that are still under way although their sender has given them up.
    std::size_t late() const { return m_late.size(); }

    /// Decides on the oldest waiting request.
    void decide(Fate fate)
    {
        auto request = std::move(m_waiting.front());
        m_waiting.pop_front();
        request(fate);
    }
    /// Lets one late write arrive.
    void arrive(std::size_t index)
    {
        const auto at = m_late.begin() + static_cast<std::ptrdiff_t>(index % m_late.size());
        const auto transaction = *at;
        m_late.erase(at);
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
        m_waiting.push_back([this, transaction, callback = std::move(callback)](Fate fate) {
            if (fate == Fate::Refuse)
                return callback(tl::make_unexpected(PlatformError {}));
            if (fate == Fate::Delay || fate == Fate::Duplicate)
                m_late.push_back(transaction);
            const bool takesEffect = fate != Fate::LoseBefore && fate != Fate::Delay;
            const auto result = takesEffect ? table.commit(transaction) : PlatformResult<TableVersion>(0);
            if (fate == Fate::Answer || fate == Fate::Duplicate)
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
    void listVms(PlatformCallback<std::vector<ListedVm>> callback) override { none(std::move(callback)); }
    void sendVmCommand(std::string_view, VmCommand, PlatformCallback<bool> callback) override
    {
        none(std::move(callback));
    }
    void readVmReports(PlatformCallback<std::vector<VmReport>> callback) override
    {
        none(std::move(callback));
    }
    void sendTaskCommand(const TaskRequest&, PlatformCallback<bool> callback) override
    {
        none(std::move(callback));
    }
    void readTaskReports(PlatformCallback<std::vector<TaskReport>> callback) override
    {
        none(std::move(callback));
    }
    void setAcceptingConnections(std::string_view, bool, PlatformCallback<bool> callback) override
    {
        none(std::move(callback));
    }

private:
    std::shared_ptr<TableModel> m_table;

public:
    TableModel& table;
    std::map<std::string, std::string> objects;
    std::uint64_t reads = 0; ///< of the table
    std::uint64_t fullReads = 0; ///< of all rows under a prefix
    std::uint64_t writes = 0; ///< to the table
    std::uint64_t objectReads = 0;
    std::uint64_t objectWrites = 0;

private:
    template <typename T> void read(std::function<PlatformResult<T>()> answer, PlatformCallback<T> callback)
    {
        m_waiting.push_back([answer = std::move(answer), callback = std::move(callback)](Fate fate) {
            if (fate == Fate::Answer || fate == Fate::Duplicate)
                return callback(answer());
            callback(tl::make_unexpected(PlatformError {}));
        });
    }
    template <typename T> void none(PlatformCallback<T> callback)
    {
        m_waiting.push_back([callback = std::move(callback)](Fate) { callback(T {}); });
    }

    std::deque<std::function<void(Fate)>> m_waiting;
    std::vector<Transaction> m_late;
};

} // namespace damask::standin
