#include <damaskworks/trace.h>

#include <damaskworks/registry.h>

#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace damask {
namespace {

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
/// `VV-TRACEID-SPANID-FF`; versions later than 00 may append fields.
constexpr std::size_t minTraceparentLength = 55;

bool isHex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isZero(std::string_view text) { return text.find_first_not_of('0') == std::string_view::npos; }

std::string toHex(std::uint64_t value)
{
    std::ostringstream out;
    out << std::hex << std::setfill('0') << std::setw(spanIdDigits) << value;
    return out.str();
}

std::int64_t microseconds(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

/// Appends spans to a file, one JSON object per line.
class FileExporter final : public TraceExporter {
public:
    explicit FileExporter(const std::string& path)
        : m_out(path, std::ios::app)
    {
    }
    void exportSpan(const Span& span) override { m_out << trace::toJson(span) << std::endl; }

private:
    std::ofstream m_out;
};

std::unique_ptr<TraceExporter> makeFileExporter(const TraceExporterContext& context)
{
    return std::make_unique<FileExporter>(context.target);
}

[[maybe_unused]] const bool fileRegistered
    = Registry<TraceExporterFactory>::instance().add("file", makeFileExporter);

} // namespace

namespace trace {

std::optional<TraceContext> parse(std::string_view header)
{
    if (header.size() < minTraceparentLength || header[2] != '-' || header[35] != '-' || header[52] != '-')
        return std::nullopt;
    const auto version = header.substr(0, 2);
    const auto traceId = header.substr(3, traceIdDigits);
    const auto spanId = header.substr(36, spanIdDigits);
    if (!isHex(version) || version == "ff" || !isHex(traceId) || !isHex(spanId))
        return std::nullopt;
    if (isZero(traceId) || isZero(spanId))
        return std::nullopt;
    return TraceContext { std::string(traceId), std::string(spanId) };
}

std::string format(const TraceContext& context)
{
    return "00-" + context.traceId + "-" + context.spanId + "-01";
}

TraceContext child(const std::optional<TraceContext>& parent, std::mt19937_64& random)
{
    TraceContext context;
    // An id must not be all zeros, so one bit is always set.
    context.traceId = parent ? parent->traceId : toHex(random()) + toHex(random() | 1);
    context.spanId = toHex(random() | 1);
    return context;
}

std::string toJson(const Span& span)
{
    nlohmann::json out = {
        { "traceId", span.context.traceId },
        { "spanId", span.context.spanId },
        { "parentSpanId", span.parentSpanId },
        { "name", span.name },
        { "startUs", microseconds(span.start) },
        { "endUs", microseconds(span.end) },
        { "attributes", span.attributes },
    };
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace trace
} // namespace damask
