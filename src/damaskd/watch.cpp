#include "watch_pvt.h"

#include <damaskworks/json_input.h>
#include <nlohmann/json.hpp>

namespace damask {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds bookmarkPeriod { 5 };
/// A stream with more unsent bytes is ended. Its client can resume from the last version that it received.
constexpr std::size_t maxUnsentBytes = 4 * 1024 * 1024;

std::string eventLine(const Row& row, const resource::ParsedKey& key)
{
    json event
        = { { "version", row.version }, { "kind", nameOf(kindNames, key.kind) }, { "name", key.name } };
    event["part"] = key.isStatus ? "status" : "spec";
    event["type"] = row.deleted ? "deleted" : "changed";
    if (row.deleted)
        return event.dump() + "\n";
    const auto value = parseJson(row.value);
    Resource resource;
    if (key.isStatus)
        event["status"] = value.is_object() ? value : json::object();
    else if (resource::decodeSpecRow(row.value, resource)) {
        event["spec"] = std::move(resource.spec);
        event["generation"] = resource.generation;
    }
    return event.dump() + "\n";
}

} // namespace

WatchHub::WatchHub(event_base* base, Platform& platform, Mirror& mirror)
    : m_platform(platform)
    , m_mirror(mirror)
    , m_bookmarkTimer(base, [this] { sendBookmarks(); })
{
    m_mirror.addListener([this](const Row& row) { onChange(row); });
    m_bookmarkTimer.startPeriodic(bookmarkPeriod);
}

void WatchHub::open(
    std::shared_ptr<HttpExchange> exchange, std::optional<TableVersion> since, std::set<Kind> kinds)
{
    auto stream = std::make_shared<Stream>();
    stream->exchange = exchange;
    stream->kinds = std::move(kinds);
    stream->since = since.value_or(m_mirror.version());
    stream->lastSentVersion = stream->since;
    m_streams.push_back(stream);
    exchange->startStream(200, { { "Content-Type", "application/x-ndjson" } });
    std::weak_ptr<Stream> weak = stream;
    exchange->onCallerDisconnected([this, weak] {
        if (auto closed = weak.lock())
            m_streams.remove(closed);
    });
    const json firstBookmark = { { "type", "bookmark" }, { "version", stream->lastSentVersion } };
    exchange->sendChunk(firstBookmark.dump() + "\n");
    if (since)
        replay(stream);
}

void WatchHub::replay(std::shared_ptr<Stream> stream)
{
    stream->isReplaying = true;
    std::weak_ptr<Stream> weak = stream;
    m_platform.readChanges(
        resource::rowPrefix, stream->lastSentVersion, [this, weak](PlatformResult<Changes> result) {
            auto stream = weak.lock();
            if (!stream)
                return;
            if (!result) {
                const bool isHistoryGone = result.error().failure == PlatformFailure::HistoryTruncated;
                const json error
                    = { { "type", "error" }, { "error", isHistoryGone ? "history_gone" : "unavailable" } };
                stream->exchange->sendChunk(error.dump() + "\n");
                stream->exchange->endStream();
                m_streams.remove(stream);
                return;
            }
            stream->isReplaying = false;
            for (const auto& row : result->rows)
                send(*stream, row);
            auto buffered = std::move(stream->bufferedRows);
            for (const auto& row : buffered)
                send(*stream, row);
        });
}

void WatchHub::onChange(const Row& row)
{
    const auto streams = m_streams;
    for (const auto& stream : streams) {
        if (stream->isReplaying)
            stream->bufferedRows.push_back(row);
        else
            send(*stream, row);
    }
}

void WatchHub::send(Stream& stream, const Row& row)
{
    const auto key = resource::parseKey(row.key);
    if (!key || row.version <= stream.since || row.version < stream.lastSentVersion
        || !stream.kinds.contains(key->kind))
        return;
    // All rows of one commit have its version, so the keys tell which of them were sent.
    if (row.version > stream.lastSentVersion)
        stream.keysSentAtVersion.clear();
    if (!stream.keysSentAtVersion.insert(row.key).second)
        return;
    stream.lastSentVersion = row.version;
    stream.exchange->sendChunk(eventLine(row, *key));
}

void WatchHub::sendBookmarks()
{
    auto streams = m_streams;
    for (const auto& stream : streams) {
        if (stream->isReplaying)
            continue;
        if (stream->exchange->unsentBytes() > maxUnsentBytes) {
            stream->exchange->endStream();
            m_streams.remove(stream);
            continue;
        }
        const json bookmark = { { "type", "bookmark" },
            { "version", std::max(stream->lastSentVersion, m_mirror.version()) } };
        stream->exchange->sendChunk(bookmark.dump() + "\n");
    }
}

void WatchHub::closeAll()
{
    auto streams = std::move(m_streams);
    m_streams.clear();
    for (const auto& stream : streams)
        stream->exchange->endStream();
}

} // namespace damask
