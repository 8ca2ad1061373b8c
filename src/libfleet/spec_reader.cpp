#include <damaskworks/job_directory.h>
#include <damaskworks/log.h>
#include <damaskworks/spec_reader.h>

namespace damask::fleet {
namespace {

/// Calls at once: an answer takes some 5 ms, so this is far beyond the jobs that come in a second, and
/// leaves the table to others while a new holder reads a backlog.
constexpr int mostOpen = 32;
constexpr std::chrono::milliseconds retryPause { 100 };

} // namespace

SpecReader::SpecReader(event_base* base, SharedTable& table, Metrics& metrics, Listener onRead)
    : m_table(table)
    , m_metrics(metrics)
    , m_onRead(std::move(onRead))
    , m_timer(base, [this] { pump(); })
{
}

SpecReader::~SpecReader() { *m_alive = false; }

void SpecReader::want(std::string part, std::string job)
{
    m_waiting.push_back({ std::move(part), std::move(job) });
    pump();
}

void SpecReader::pump()
{
    while (m_open < mostOpen && !m_waiting.empty()) {
        const auto wanted = std::move(m_waiting.front());
        m_waiting.pop_front();
        read(wanted);
    }
}

void SpecReader::read(const Wanted& wanted)
{
    ++m_open;
    m_table.read(std::string(specTable), wanted.part, wanted.job, 1,
        [this, alive = m_alive, wanted](const TableResult<TableRows>& rows) {
            if (*alive)
                onRows(wanted, rows);
        });
}

void SpecReader::onRows(const Wanted& wanted, const TableResult<TableRows>& rows)
{
    --m_open;
    if (rows && !rows->rows.empty() && rows->rows.front().key == wanted.job) {
        m_onRead(wanted.job, rows->rows.front().value);
        return pump();
    }
    m_metrics.count("spec_read_failures_total");
    if (rows) // written with the job's own row, so this is a row that somebody has removed
        logEvent(LogLevel::Error, "spec_missing", { { "job", wanted.job }, { "part", wanted.part } });
    m_waiting.push_back(wanted);
    m_timer.startOnce(retryPause);
}

} // namespace damask::fleet
