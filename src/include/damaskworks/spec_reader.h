/// \file
/// Reads what jobs pass to their tasks.
#pragma once

#include <damaskworks/loop.h>
#include <damaskworks/metrics.h>
#include <damaskworks/shared_table.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace damask::fleet {

/// Reads the specs of jobs from the table, a few at a time.
class SpecReader {
public:
    using Listener = std::function<void(const std::string& job, std::string spec)>;

    SpecReader(event_base* base, SharedTable& table, Metrics& metrics, Listener onRead);
    ~SpecReader();
    /// Reads the spec of a job; repeated until the table answers.
    void want(std::string part, std::string job);

private:
    struct Wanted {
        std::string part;
        std::string job;
    };
    void pump();
    void read(const Wanted& wanted);
    void onRows(const Wanted& wanted, const TableResult<TableRows>& rows);

    SharedTable& m_table;
    Metrics& m_metrics;
    Listener m_onRead;
    Timer m_timer;
    std::deque<Wanted> m_waiting;
    int m_open = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
