/// \file
/// Bounded log output that never blocks the process.
#pragma once

#include <cstdint>
#include <memory>

struct event_base;

namespace damask {

/// Receives all log lines while it exists, buffers them and writes them to a non-blocking descriptor. It
/// drops and counts lines that do not fit into the buffer, and logs the count as `log_lines_dropped` once the
/// buffer is empty. At most one instance may exist.
class LogOutput {
public:
    /// Size of the buffer in bytes: a few thousand lines.
    static constexpr std::size_t defaultLimit = 512 * 1024;

    LogOutput(event_base* base, int descriptor, std::size_t limit = defaultLimit);
    ~LogOutput();
    LogOutput(const LogOutput&) = delete;
    LogOutput& operator=(const LogOutput&) = delete;
    /// Number of lines dropped so far.
    std::uint64_t dropped() const;
    /// Writes as much of the buffer as the descriptor accepts now.
    void flush();

    struct Impl;

private:
    std::unique_ptr<Impl> m_impl;
};

} // namespace damask
