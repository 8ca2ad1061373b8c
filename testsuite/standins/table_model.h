/// \file
/// Transactional in-memory table of the stand-ins: rows, conditional transactions and a history of writes.
#pragma once

#include <damaskworks/platform.h>

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace damask::standin {

/// In-memory table with the semantics of Platform. The history keeps at most `historyLimit` writes.
class TableModel {
public:
    explicit TableModel(std::size_t historyLimit = 200'000)
        : m_historyLimit(historyLimit)
    {
    }

    PlatformResult<TableVersion> commit(const Transaction& transaction)
    {
        for (const auto& condition : transaction.conditions) {
            auto it = m_rows.find(condition.key);
            const TableVersion currentVersion = it == m_rows.end() ? 0 : it->second.version;
            if (currentVersion != condition.version)
                return tl::make_unexpected(
                    PlatformError { PlatformFailure::Conflict, "", condition.key, currentVersion });
        }
        ++m_version;
        for (const auto& write : transaction.writes) {
            Row row { write.key, m_version, write.value.value_or(""), !write.value };
            if (write.value)
                m_rows.insert_or_assign(write.key, row);
            else
                m_rows.erase(write.key);
            m_history.push_back(std::move(row));
        }
        while (m_history.size() > m_historyLimit) {
            m_newestDropped = m_history.front().version;
            m_history.pop_front();
        }
        return m_version;
    }

    PlatformResult<Row> row(std::string_view key) const
    {
        auto it = m_rows.find(key);
        if (it == m_rows.end())
            return tl::make_unexpected(PlatformError { PlatformFailure::NotFound, "", std::string(key), 0 });
        return it->second;
    }

    Changes rows(std::string_view prefix) const
    {
        Changes out { m_version, {} };
        for (auto it = m_rows.lower_bound(prefix); it != m_rows.end() && it->first.starts_with(prefix); ++it)
            out.rows.push_back(it->second);
        return out;
    }

    PlatformResult<Changes> changes(std::string_view prefix, TableVersion since) const
    {
        if (since < m_newestDropped || since > m_version)
            return tl::make_unexpected(PlatformError { PlatformFailure::HistoryTruncated, "", "", 0 });
        Changes out { m_version, {} };
        auto it = m_history.end();
        while (it != m_history.begin() && std::prev(it)->version > since)
            --it;
        for (; it != m_history.end(); ++it) {
            if (std::string_view(it->key).starts_with(prefix))
                out.rows.push_back(*it);
        }
        return out;
    }

    /// Writes that the history still holds, oldest first, for the checks of tests.
    const std::deque<Row>& history() const { return m_history; }
    TableVersion version() const { return m_version; }

private:
    std::size_t m_historyLimit;
    std::map<std::string, Row, std::less<>> m_rows;
    std::deque<Row> m_history;
    TableVersion m_version = 0;
    TableVersion m_newestDropped = 0;
};

} // namespace damask::standin
