#include <damaskworks/job_directory.h>
#include <damaskworks/log.h>
#include <damaskworks/spec_reader.h>

namespace damask::fleet {
namespace {

/// Limit of concurrent reads. A response takes about 5 ms, so the throughput is far above the rate of new
/// jobs. The limit leaves capacity of the table to others while a new holder reads a backlog.
constexpr int maxOpenReads = 32;
constexpr std::chrono::milliseconds retryDelay { 100 };

} // namespace

SpecReader::SpecReader(event_base* base, SharedTable& table, Metrics& metrics, Listener onRead)
    : m_table(table)
    , m_metrics(metrics)
    , m_onRead(std::move(onRead))
    , m_timer(base, [this] { sendReads(); })
{
}

SpecReader::~SpecReader() { *m_alive = false; }

void SpecReader::requestSpec(std::string part, std::string job)
{
    m_queue.push_back({ std::move(part), std::move(job) });
    sendReads();
}

void SpecReader::sendReads()
{
    while (m_openReads < maxOpenReads && !m_queue.empty()) {
        const auto request = std::move(m_queue.front());
        m_queue.pop_front();
        read(request);
    }
}

void SpecReader::read(const Request& request)
{
    ++m_openReads;
    m_table.read(std::string(specTable), request.part, request.job, 1,
        [this, alive = m_alive, request](const TableResult<TableRows>& rows) {
            if (*alive)
                onRows(request, rows);
        });
}

void SpecReader::onRows(const Request& request, const TableResult<TableRows>& rows)
{
    --m_openReads;
    if (rows && !rows->rows.empty() && rows->rows.front().key == request.job) {
        m_onRead(request.job, rows->rows.front().value);
        return sendReads();
    }
    m_metrics.count("spec_read_failures_total");
    if (rows) // the spec is committed together with the job's row, so someone has deleted it
        logEvent(LogLevel::Error, "spec_missing", { { "job", request.job }, { "part", request.part } });
    m_queue.push_back(request);
    m_timer.startOnce(retryDelay);
}

} // namespace damask::fleet
