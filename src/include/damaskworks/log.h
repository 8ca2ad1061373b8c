/// \file
/// Structured logging: one line per event, as `event=NAME node=NODE key=value ...`.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace damask {

/// Severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// A key and its value in a log line.
struct LogField {
    std::string_view key;
    std::string value;
};

/// Makes the process's logger write lines at \p level and above to standard output, each with `node=<node>`
/// unless \p node is empty. While a LogOutput exists, the lines go there instead.
void initializeLogging(LogLevel level, std::string_view node);

/// Writes one line. Quotes values that are empty or hold spaces, quotes, equals signs or line breaks; a line
/// break becomes a space.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace damask
