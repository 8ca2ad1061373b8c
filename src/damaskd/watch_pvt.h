/// \file
/// Watch streams of the resource API: chunked responses with one JSON event on each line.
#pragma once

#include <damaskworks/http.h>
#include <damaskworks/resource.h>
#include <damaskworks/store.h>

#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace damask {

/// Sends each change of a resource to the streams that watch its kind. A stream that resumes from a
/// version first replays the later changes from the table's history, so a client may resume at any entry
/// VM and misses no change.
class WatchHub {
public:
    WatchHub(event_base* base, Platform& platform, Mirror& mirror);

    /// Opens a stream of the changes to resources of \p kinds after version \p since; without it, of the
    /// changes from now on.
    void open(
        std::shared_ptr<HttpExchange> exchange, std::optional<TableVersion> since, std::set<Kind> kinds);
    /// Ends all streams. Their clients can resume at another entry VM.
    void closeAll();
    std::size_t streamCount() const { return m_streams.size(); }

private:
    struct Stream {
        std::shared_ptr<HttpExchange> exchange;
        std::set<Kind> kinds;
        TableVersion since = 0; ///< the client has all changes up to this version
        TableVersion lastSentVersion = 0;
        std::set<std::string> keysSentAtVersion; ///< rows of the commit `lastSentVersion` that were sent
        bool isReplaying = false; ///< the history is being read
        std::vector<Row> bufferedRows; ///< changes that arrived during the replay
    };

    void onChange(const Row& row);
    /// Sends a change that the stream watches and has not sent yet.
    void send(Stream& stream, const Row& row);
    void replay(std::shared_ptr<Stream> stream);
    /// Sends the current table version to each stream, and ends the streams of slow readers.
    void sendBookmarks();

    Platform& m_platform;
    Mirror& m_mirror;
    Timer m_bookmarkTimer;
    std::list<std::shared_ptr<Stream>> m_streams;
};

} // namespace damask
