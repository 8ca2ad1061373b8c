/// \file
/// Distributed tracing: W3C trace context, and spans that are passed to an exporter.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

struct event_base;

namespace damask {

/// Ids of a span and its trace, as in the `traceparent` header. Digits are in lower case.
struct TraceContext {
    std::string traceId; ///< 32 hexadecimal digits
    std::string spanId; ///< 16 hexadecimal digits
};

/// One timed operation of a request.
struct Span {
    TraceContext context;
    std::string parentSpanId;
    std::string name;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    std::map<std::string, std::string> attributes;
};

/// Receives finished spans.
class TraceExporter {
public:
    virtual ~TraceExporter() = default;
    /// Takes one finished span; must not block.
    virtual void exportSpan(const Span& span) = 0;
};

/// Arguments of a trace exporter plug-in's factory.
struct TraceExporterContext {
    event_base* base = nullptr; ///< event loop on which to export
    std::string target; ///< a file name or a collector's `ip:port`
};

/// Factory of a trace exporter plug-in; returns nullptr if the target is invalid.
using TraceExporterFactory = std::function<std::unique_ptr<TraceExporter>(const TraceExporterContext&)>;

namespace trace {

/// Parses a `traceparent` header; nothing if it is malformed or if either id is all zeros.
std::optional<TraceContext> parse(std::string_view header);
/// Formats a `traceparent` header.
std::string format(const TraceContext& context);
/// A new child span of \p parent, or the root span of a new trace if there is none.
TraceContext child(const std::optional<TraceContext>& parent, std::mt19937_64& random);
/// One span as a JSON object on one line.
std::string toJson(const Span& span);

} // namespace trace
} // namespace damask
