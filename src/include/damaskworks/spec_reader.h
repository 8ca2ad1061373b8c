/// \file
/// Reads the specs that jobs pass to their tasks.
#pragma once

#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/shared_table.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace damask::fleet {

/// Reads the specs of jobs from the table, with a limited number of reads at a time.
class SpecReader {
public:
    using Listener = std::function<void(const std::string& job, std::string spec)>;

    SpecReader(event_base* base, SharedTable& table, Metrics& metrics, Listener onRead);
    ~SpecReader();
    /// Reads the spec of a job and passes it to the listener. Failed reads are retried without limit.
    void requestSpec(std::string part, std::string job);

private:
    struct Request {
        std::string part;
        std::string job;
    };
    void sendReads();
    void read(const Request& request);
    void onRows(const Request& request, const TableResult<TableRows>& rows);

    SharedTable& m_table;
    Metrics& m_metrics;
    Listener m_onRead;
    Timer m_timer;
    std::deque<Request> m_queue;
    int m_openReads = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
