/// \file
/// A child process of a test, ended with the test.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace damask::harness {

/// Result of a command that ran to its end.
struct CommandResult {
    int exitCode = -1;
    std::string output;
};

/// Path of a binary of this build.
std::string binary(const std::string& name);
/// Runs a command to its end and collects what it prints.
CommandResult runCommand(
    const std::vector<std::string>& arguments, const std::vector<std::string>& environment = {});

/// A running child process whose standard output is read line by line.
class Process {
public:
    /// With \p log, standard output is appended to that file and can't be read here.
    explicit Process(const std::vector<std::string>& arguments, const std::string& log = "");
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Waits for the line with `event=<event>` and returns it; empty if the process ended first.
    std::string waitForEvent(const std::string& event);
    /// Value of `key=` in a log line.
    static std::string field(const std::string& line, const std::string& key);
    void signal(int number) const;
    /// Waits for the end and returns the exit code, or 128 + the signal.
    int wait();
    /// Whether the process has ended.
    bool hasEnded();
    /// What it printed after the last line that was waited for, up to its end.
    std::string remainingOutput();
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_buffer;
    std::optional<int> m_exitCode;
};

} // namespace damask::harness
