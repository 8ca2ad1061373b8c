#include "process.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace damask::harness {
namespace {

struct ChildProcess {
    pid_t pid = -1;
    int output = -1;
};

ChildProcess spawn(const std::vector<std::string>& arguments, const std::vector<std::string>& environment,
    bool captureStderr, const std::string& log = "")
{
    int pipeEnds[2];
    if (pipe2(pipeEnds, O_CLOEXEC) != 0)
        return {};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (log.empty())
        posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    else
        posix_spawn_file_actions_addopen(
            &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (captureStderr)
        posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDERR_FILENO);
    std::vector<char*> argv;
    for (const auto& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    std::vector<char*> env;
    for (char** variable = environ; *variable; ++variable)
        env.push_back(*variable);
    for (const auto& variable : environment)
        env.push_back(const_cast<char*>(variable.c_str()));
    env.push_back(nullptr);
    ChildProcess child;
    if (posix_spawn(&child.pid, argv[0], &actions, nullptr, argv.data(), env.data()) != 0)
        child.pid = -1;
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
    child.output = pipeEnds[0];
    return child;
}

/// Exit status of a process that could not be started, as a shell reports it.
constexpr int couldNotStart = 127;

int exitCodeOf(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status); }

} // namespace

std::string binary(const std::string& name) { return std::string(DAMASK_BIN_DIR) + "/" + name; }

CommandResult runCommand(
    const std::vector<std::string>& arguments, const std::vector<std::string>& environment)
{
    auto child = spawn(arguments, environment, true);
    CommandResult result;
    if (child.pid <= 0) {
        result.exitCode = couldNotStart;
        close(child.output);
        return result;
    }
    char buffer[4096];
    for (auto n = read(child.output, buffer, sizeof(buffer)); n > 0;
         n = read(child.output, buffer, sizeof(buffer)))
        result.output.append(buffer, static_cast<std::size_t>(n));
    close(child.output);
    int status = 0;
    waitpid(child.pid, &status, 0);
    result.exitCode = exitCodeOf(status);
    return result;
}

Process::Process(const std::vector<std::string>& arguments, const std::string& log)
{
    auto child = spawn(arguments, {}, false, log);
    m_pid = child.pid;
    m_output = child.output;
    // kill() with -1 would signal every process of the machine.
    if (m_pid <= 0)
        m_exitCode = couldNotStart;
}

Process::~Process()
{
    if (!m_exitCode) {
        kill(m_pid, SIGCONT);
        kill(m_pid, SIGKILL);
        wait();
    }
    close(m_output);
}

std::string Process::waitForEvent(const std::string& event)
{
    const std::string pattern = "event=" + event + " ";
    for (;;) {
        const auto end = m_buffer.find('\n');
        if (end != std::string::npos) {
            auto line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 1);
            if ((line + " ").find(pattern) != std::string::npos)
                return line;
            continue;
        }
        char buffer[4096];
        const auto n = read(m_output, buffer, sizeof(buffer));
        if (n <= 0)
            return {};
        m_buffer.append(buffer, static_cast<std::size_t>(n));
    }
}

std::string Process::field(const std::string& line, const std::string& key)
{
    const auto at = line.find(" " + key + "=");
    if (at == std::string::npos)
        return {};
    const auto start = at + key.size() + 2;
    return line.substr(start, line.find(' ', start) - start);
}

void Process::signal(int number) const
{
    if (!m_exitCode)
        kill(m_pid, number);
}

bool Process::hasEnded()
{
    if (m_exitCode)
        return true;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_exitCode = exitCodeOf(status);
    return true;
}

std::string Process::remainingOutput()
{
    char buffer[4096];
    for (auto n = read(m_output, buffer, sizeof(buffer)); n > 0; n = read(m_output, buffer, sizeof(buffer)))
        m_buffer.append(buffer, static_cast<std::size_t>(n));
    return std::move(m_buffer);
}

int Process::wait()
{
    if (m_exitCode)
        return *m_exitCode;
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_exitCode = exitCodeOf(status);
    return *m_exitCode;
}

} // namespace damask::harness
