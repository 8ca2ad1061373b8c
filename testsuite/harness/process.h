/// \file
/// Child processes of tests.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace damask::harness {

/// Result of a completed command.
struct CommandResult {
    int exitCode = -1;
    std::string output; ///< standard output and standard error
};

/// Path of a binary in the build's bin folder.
std::string binary(const std::string& name);
/// Runs a command until it exits and collects its output. \p environment adds NAME=value variables.
CommandResult runCommand(
    const std::vector<std::string>& arguments, const std::vector<std::string>& environment = {});

/// A child process whose standard output is read line by line. The destructor kills the process.
class Process {
public:
    /// With \p log, the process appends its standard output to that file, and this object cannot read it.
    explicit Process(const std::vector<std::string>& arguments, const std::string& log = "");
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Reads up to the next line with `event=<event>` and returns that line; empty if the process exits
    /// first.
    std::string waitForEvent(const std::string& event);
    /// Value of `key=` in a log line; empty if the line has no such key.
    static std::string field(const std::string& line, const std::string& key);
    void signal(int number) const;
    /// Waits for the process to exit and returns its exit code, or 128 + the signal number.
    int wait();
    /// Whether the process has exited.
    bool hasEnded();
    /// Reads until the process closes its output; returns everything after the last line read by
    /// waitForEvent().
    std::string remainingOutput();
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_buffer;
    std::optional<int> m_exitCode;
};

} // namespace damask::harness
