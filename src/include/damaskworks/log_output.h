/// \file
/// Bounded log output that never blocks the process.
#pragma once

#include <cstdint>
#include <memory>

struct event_base;

namespace damask {

/// Takes over the output of log lines while it exists: lines are buffered and written to a
/// descriptor as it accepts them. Lines that don't fit into the buffer are dropped and counted;
/// the count is logged as `log_lines_dropped` once there is room again.
class LogOutput {
public:
    /// Most bytes that wait to be written; a few thousand lines.
    static constexpr std::size_t defaultLimit = 512 * 1024;

    LogOutput(event_base* base, int descriptor, std::size_t limit = defaultLimit);
    ~LogOutput();
    LogOutput(const LogOutput&) = delete;
    LogOutput& operator=(const LogOutput&) = delete;
    /// Lines dropped so far.
    std::uint64_t dropped() const;
    /// Writes what the descriptor accepts now.
    void flush();

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace damask
