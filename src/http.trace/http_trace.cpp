/// \file
/// Trace exporter "http": posts batches of spans to a collector, one JSON object per line. While a post is in
/// flight, spans are buffered up to a limit. The exporter drops spans beyond it and reports their number in a
/// header of the next batch. A batch whose post fails is lost and not counted.
#include <damaskworks/http.h>
#include <damaskworks/loop.h>
#include <damaskworks/registry.h>
#include <damaskworks/trace.h>

namespace damask {
namespace {

constexpr std::size_t maxBufferedSpans = 4096;
constexpr std::chrono::milliseconds flushPeriod { 500 };
constexpr std::chrono::milliseconds collectorTimeout { 2000 };

class HttpExporter final : public TraceExporter {
public:
    HttpExporter(event_base* base, const Address& collector)
        : m_collector(collector)
        , m_client(base, {})
        , m_flushTimer(base, [this] { flush(); })
    {
        m_flushTimer.startPeriodic(flushPeriod);
    }

    void exportSpan(const Span& span) override
    {
        if (m_bufferedSpans >= maxBufferedSpans) {
            ++m_droppedSpans;
            return;
        }
        ++m_bufferedSpans;
        m_buffer += trace::toJson(span) + "\n";
    }

private:
    void flush()
    {
        if (m_isSending || m_bufferedSpans == 0)
            return;
        m_isSending = true;
        HttpRequest request { "POST", "/v1/spans", "", { { "Content-Type", "application/x-ndjson" } },
            std::move(m_buffer) };
        if (m_droppedSpans > 0)
            request.headers.emplace_back("Damask-Dropped-Spans", std::to_string(m_droppedSpans));
        m_buffer.clear();
        m_bufferedSpans = 0;
        m_droppedSpans = 0;
        m_client.send(
            m_collector, request, collectorTimeout, [this](const HttpResult&) { m_isSending = false; });
    }

    Address m_collector;
    HttpClient m_client;
    Timer m_flushTimer;
    std::string m_buffer;
    std::size_t m_bufferedSpans = 0;
    std::uint64_t m_droppedSpans = 0;
    bool m_isSending = false;
};

std::unique_ptr<TraceExporter> makeExporter(const TraceExporterContext& context)
{
    const auto collector = http::parseAddress(context.target);
    if (!collector)
        return nullptr;
    return std::make_unique<HttpExporter>(context.base, *collector);
}

[[maybe_unused]] const bool registered = Registry<TraceExporterFactory>::instance().add("http", makeExporter);

} // namespace
} // namespace damask
