#include <damaskworks/timed_table.h>

namespace damask::fleet {

using std::chrono::milliseconds;

namespace {

/// Returns whether the failure shows that the table has processed the call.
bool isResponse(TableFailure failure)
{
    return failure == TableFailure::Conflict || failure == TableFailure::HistoryTruncated
        || failure == TableFailure::Invalid;
}

} // namespace

TimedTable::TimedTable(
    std::unique_ptr<SharedTable> table, const Clock& clock, Metrics& metrics, TableContact& contact)
    : m_table(std::move(table))
    , m_clock(clock)
    , m_metrics(metrics)
    , m_contact(contact)
{
}

template <typename T> void TimedTable::recordOutcome(const TableResult<T>& result)
{
    if (result || isResponse(result.error()))
        recordContact(m_contact, m_clock.now());
    else if (result.error() == TableFailure::NotApplied || result.error() == TableFailure::TimedOut)
        recordFailedContact(m_contact);
    // Unknown and Overloaded count neither way. After a lost response or a timeout the table may have
    // processed the call, or may be slow; and it reports overload to all nodes when many read at once. If the
    // table is unreachable, the time since the last response shows it.
}

template <typename T> TableCallback<T> TimedTable::recordingOutcome(TableCallback<T> callback)
{
    return [this, callback = std::move(callback)](TableResult<T> result) {
        recordOutcome(result);
        callback(std::move(result));
    };
}

void TimedTable::commit(
    const TableTransaction& transaction, milliseconds timeout, TableCallback<Version> callback)
{
    m_table->commit(transaction, responseTimeout(m_commitTimes, timeout),
        [this, sentAt = m_clock.now(), callback = std::move(callback)](TableResult<Version> result) {
            const auto responseTime = m_clock.now() - sentAt;
            m_metrics.observe("table_commit_seconds", responseTime);
            if (!result && result.error() == TableFailure::Unknown)
                recordTimeout(m_commitTimes);
            else
                recordResponseTime(m_commitTimes, responseTime);
            recordOutcome(result);
            callback(result);
        });
}

void TimedTable::read(const std::string& table, const std::string& part, const std::string& from, int limit,
    TableCallback<TableRows> callback)
{
    m_table->read(table, part, from, limit, recordingOutcome(std::move(callback)));
}

void TimedTable::parts(
    const std::string& table, const std::string& after, TableCallback<std::vector<std::string>> callback)
{
    m_table->parts(table, after, recordingOutcome(std::move(callback)));
}

void TimedTable::follow(
    const std::string& table, Version after, milliseconds wait, TableCallback<TableRows> callback)
{
    m_table->follow(table, after, wait, recordingOutcome(std::move(callback)));
}

} // namespace damask::fleet
