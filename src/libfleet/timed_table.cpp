#include <damaskworks/timed_table.h>

namespace damask::fleet {

using std::chrono::milliseconds;

TimedTable::TimedTable(std::unique_ptr<SharedTable> table, const Clock& clock, Metrics& metrics)
    : m_table(std::move(table))
    , m_clock(clock)
    , m_metrics(metrics)
{
}

void TimedTable::commit(
    const TableTransaction& transaction, milliseconds timeout, TableCallback<Version> callback)
{
    m_table->commit(transaction, patience(m_commits, timeout),
        [this, sentAt = m_clock.now(), callback = std::move(callback)](TableResult<Version> result) {
            const auto time = m_clock.now() - sentAt;
            m_metrics.observe("table_commit_seconds", time);
            if (!result && result.error() == TableFailure::Unknown)
                noteSilence(m_commits);
            else
                noteAnswer(m_commits, time);
            callback(result);
        });
}

void TimedTable::read(const std::string& table, const std::string& part, const std::string& from, int limit,
    TableCallback<TableRows> callback)
{
    m_table->read(table, part, from, limit, std::move(callback));
}

void TimedTable::parts(
    const std::string& table, const std::string& after, TableCallback<std::vector<std::string>> callback)
{
    m_table->parts(table, after, std::move(callback));
}

void TimedTable::follow(
    const std::string& table, Version after, milliseconds wait, TableCallback<TableRows> callback)
{
    m_table->follow(table, after, wait, std::move(callback));
}

} // namespace damask::fleet
