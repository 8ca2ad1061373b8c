#include <damaskworks/log.h>
#include <damaskworks/log_output.h>

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

std::string quotedIfNeeded(std::string_view value)
{
    if (value.find_first_of(" \"=\n") == std::string_view::npos && !value.empty())
        return std::string(value);
    std::string out = "\"";
    for (char c : value) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c == '\n' ? ' ' : c;
    }
    return out + "\"";
}

/// Current calendar time in UTC, with milliseconds.
std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto millis
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm utc {};
    gmtime_r(&seconds, &utc);
    char text[40];
    const auto length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
    std::snprintf(text + length, sizeof text - length, ".%03d", static_cast<int>(millis));
    return text;
}

void setEnabled(el::Configurations& configurations, el::Level level, bool enabled)
{
    configurations.set(level, el::ConfigurationType::Enabled, enabled ? "true" : "false");
}

} // namespace

void initializeLogging(LogLevel level, std::string_view node)
{
    nodeName() = std::string(node);
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

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=" + quotedIfNeeded(event);
    if (!nodeName().empty())
        line += " node=" + quotedIfNeeded(nodeName());
    for (const auto& field : fields)
        line += " " + std::string(field.key) + "=" + quotedIfNeeded(field.value);
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

struct LogOutput::Impl {
    int descriptor;
    std::size_t limit;
    std::string buffer;
    std::uint64_t dropped = 0;
    std::uint64_t reportedDrops = 0;
    event* flushTimer = nullptr;

    void add(std::string_view line)
    {
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

namespace {

class LogOutputDispatch final : public el::LogDispatchCallback {
    void handle(const el::LogDispatchData* data) override
    {
        if (!LogOutput::Impl::instance)
            return;
        const auto level = el::LevelHelper::convertToString(data->logMessage()->level());
        LogOutput::Impl::instance->add(
            timestamp() + " level=" + level + " " + data->logMessage()->message() + "\n");
    }
};

constexpr const char* dispatchName = "damaskworks-bounded";

} // namespace

LogOutput::LogOutput(event_base* base, int descriptor, std::size_t limit)
    : m_impl(new Impl { descriptor, limit })
{
    m_impl->flushTimer = evtimer_new(base, Impl::onFlushTimer, m_impl.get());
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    el::Configurations configurations = *el::Loggers::getLogger("default")->configurations();
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureLogger("default", configurations);
    Impl::instance = m_impl.get();
    el::Helpers::installLogDispatchCallback<LogOutputDispatch>(dispatchName);
}

LogOutput::~LogOutput()
{
    flush();
    el::Helpers::uninstallLogDispatchCallback<LogOutputDispatch>(dispatchName);
    Impl::instance = nullptr;
    event_free(m_impl->flushTimer);
}

std::uint64_t LogOutput::dropped() const { return m_impl->dropped; }

void LogOutput::flush() { m_impl->flush(); }

} // namespace damask
