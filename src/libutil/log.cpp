#include <damaskworks/log.h>
#include <damaskworks/log_output.h>
#include <damaskworks/names.h>

#include <cerrno>
#include <chrono>
#include <climits>
#include <ctime>
#include <event2/event.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace damask {
namespace {

std::string& nodeName()
{
    static std::string name;
    return name;
}

LogLevel& leastLevel()
{
    static LogLevel level = LogLevel::Debug;
    return level;
}

/// Appends \p value, in quotes if it needs them.
void appendValue(std::string& out, std::string_view value)
{
    if (value.find_first_of(" \"=\n") == std::string_view::npos && !value.empty()) {
        out += value;
        return;
    }
    out += '"';
    for (char c : value) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c == '\n' ? ' ' : c;
    }
    out += '"';
}

void appendEvent(std::string& out, std::string_view event, std::initializer_list<LogField> fields)
{
    out += "event=";
    appendValue(out, event);
    if (!nodeName().empty()) {
        out += " node=";
        appendValue(out, nodeName());
    }
    for (const auto& field : fields) {
        out += ' ';
        out += field.key;
        out += '=';
        appendValue(out, field.value);
    }
}

/// Formats calendar times in UTC with milliseconds.
class Timestamps {
public:
    void append(std::string& out, std::chrono::system_clock::time_point time)
    {
        const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
        if (seconds != m_second) {
            m_second = seconds;
            const auto value = std::chrono::system_clock::to_time_t(seconds);
            std::tm utc {};
            gmtime_r(&value, &utc);
            m_text.resize(maxLength);
            m_text.resize(std::strftime(m_text.data(), m_text.size(), "%Y-%m-%dT%H:%M:%S.", &utc));
        }
        const auto millis = std::chrono::floor<std::chrono::milliseconds>(time - seconds).count();
        out += m_text;
        out += static_cast<char>('0' + millis / 100);
        out += static_cast<char>('0' + millis / 10 % 10);
        out += static_cast<char>('0' + millis % 10);
    }

private:
    static constexpr std::size_t maxLength = 40;
    std::chrono::sys_seconds m_second = std::chrono::sys_seconds::min();
    std::string m_text; ///< up to the point before the milliseconds
};

constexpr NameTable<LogLevel, 4> levelNames { {
    { LogLevel::Debug, "DEBUG" },
    { LogLevel::Info, "INFO" },
    { LogLevel::Warning, "WARNING" },
    { LogLevel::Error, "ERROR" },
} };

void setEnabled(el::Configurations& configurations, el::Level level, bool enabled)
{
    configurations.set(level, el::ConfigurationType::Enabled, enabled ? "true" : "false");
}

} // namespace

void initializeLogging(LogLevel level, std::string_view node)
{
    nodeName() = std::string(node);
    leastLevel() = level;
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configurations.setGlobally(
        el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    setEnabled(configurations, el::Level::Debug, level <= LogLevel::Debug);
    setEnabled(configurations, el::Level::Info, level <= LogLevel::Info);
    setEnabled(configurations, el::Level::Warning, level <= LogLevel::Warning);
    el::Loggers::reconfigureLogger("default", configurations);
}

struct LogOutput::Impl {
    int descriptor;
    std::size_t limit;
    std::string buffer;
    std::string line; ///< keeps its memory from one line to the next
    Timestamps timestamps;
    std::uint64_t dropped = 0;
    std::uint64_t reportedDrops = 0;
    event* flushTimer = nullptr;

    void add(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
    {
        line.clear();
        timestamps.append(line, std::chrono::system_clock::now());
        line += " level=";
        line += nameOf(levelNames, level);
        line += ' ';
        appendEvent(line, event, fields);
        line += '\n';
        if (buffer.size() + line.size() > limit) {
            ++dropped;
            return;
        }
        if (buffer.empty())
            event_add(flushTimer, &flushDelay);
        buffer += line;
    }

    /// Size of the next write, from \p offset on: as many whole lines as a pipe takes in one atomic write
    /// (PIPE_BUF), because log collectors may truncate longer writes. A longer line is written by itself.
    std::size_t nextWriteSize(std::size_t offset) const
    {
        if (buffer.size() - offset <= PIPE_BUF)
            return buffer.size() - offset;
        auto end = buffer.rfind('\n', offset + PIPE_BUF - 1);
        if (end == std::string::npos || end < offset)
            end = buffer.find('\n', offset);
        return end == std::string::npos ? buffer.size() - offset : end + 1 - offset;
    }

    void flush()
    {
        std::size_t written = 0;
        while (written < buffer.size()) {
            const auto result = ::write(descriptor, buffer.data() + written, nextWriteSize(written));
            if (result < 0 && errno == EINTR)
                continue;
            if (result <= 0)
                break;
            written += static_cast<std::size_t>(result);
        }
        buffer.erase(0, written);
        if (buffer.empty() && dropped > reportedDrops) {
            reportedDrops = dropped;
            logEvent(LogLevel::Warning, "log_lines_dropped", { { "total", std::to_string(dropped) } });
        }
        if (!buffer.empty())
            event_add(flushTimer, &flushDelay);
    }

    static void onFlushTimer(evutil_socket_t, short, void* argument)
    {
        static_cast<Impl*>(argument)->flush();
    }

    /// Lines are collected for this time and written together; a crash loses them.
    static constexpr timeval flushDelay { 0, 20'000 };
    static Impl* instance;
};

LogOutput::Impl* LogOutput::Impl::instance = nullptr;

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < leastLevel())
        return;
    // Easylogging++ formats a line for its own output even if that is off.
    if (LogOutput::Impl::instance)
        return LogOutput::Impl::instance->add(level, event, fields);
    std::string line;
    appendEvent(line, event, fields);
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        break;
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

LogOutput::LogOutput(event_base* base, int descriptor, std::size_t limit)
    : m_impl(new Impl { descriptor, limit })
{
    m_impl->flushTimer = evtimer_new(base, Impl::onFlushTimer, m_impl.get());
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    el::Configurations configurations = *el::Loggers::getLogger("default")->configurations();
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureLogger("default", configurations);
    Impl::instance = m_impl.get();
}

LogOutput::~LogOutput()
{
    flush();
    Impl::instance = nullptr;
    event_free(m_impl->flushTimer);
}

std::uint64_t LogOutput::dropped() const { return m_impl->dropped; }

void LogOutput::flush() { m_impl->flush(); }

} // namespace damask
