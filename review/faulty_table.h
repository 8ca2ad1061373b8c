/// \file
/// Stands between the processes and the stand-in of the platform's store. Keeps the limits of the store that
/// the stand-in does not keep, and can lose the answers of chosen writes.
#pragma once

#include "../platform/standin/delayed_calls.h"

#include <damaskworks/http.h>
#include <damaskworks/loop.h>

#include <chrono>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace damask::review {

/// An HTTP server that passes all calls on to the store.
class FaultyTable {
public:
    using Exchange = std::shared_ptr<HttpExchange>;
    /// Returns after which time the store performs a write that gets no answer; empty: the write is
    /// performed and answered.
    using LateWrites = std::function<std::optional<std::chrono::milliseconds>(const nlohmann::json&)>;

    FaultyTable(event_base* base, Address store);

    Address address() const { return m_address; }
    /// Adds rows to the store that were there before, with keys in ascending order below those of all other
    /// rows of the part. They are encoded once, since the stand-in would take long for each page of them.
    void addEarlierRows(const std::string& table, const std::string& part,
        const std::vector<std::pair<std::string, std::string>>& valuesByKey);
    void setLateWrites(LateWrites lateWrites) { m_lateWrites = std::move(lateWrites); }
    /// Writes since the start, and those of them that got no answer.
    int writes() const { return m_writes; }
    int lostAnswers() const { return m_lostAnswers; }
    /// Writes that the store has rejected since they exceed its limits.
    int rejectedWrites() const { return m_rejectedWrites; }
    const std::string& lastRejection() const { return m_lastRejection; }

private:
    void handle(const Exchange& exchange);
    void handleWrite(const Exchange& exchange);
    void pass(const Exchange& exchange);
    /// Answers a read that begins among the rows of addEarlierRows(); returns whether it did.
    bool readEarlierRows(const Exchange& exchange);

    Address m_store;
    HttpClient m_client;
    fleet::standin::DelayedCalls m_calls;
    LateWrites m_lateWrites;
    struct EarlierRow {
        std::string key;
        std::string text; ///< as in a response
    };
    std::map<std::pair<std::string, std::string>, std::vector<EarlierRow>> m_earlierRows; ///< by table, part
    std::uint64_t m_version = 1; ///< of the store in its last response
    int m_writes = 0;
    int m_lostAnswers = 0;
    int m_rejectedWrites = 0;
    std::string m_lastRejection;
    HttpServer m_server;
    Address m_address;
};

} // namespace damask::review
