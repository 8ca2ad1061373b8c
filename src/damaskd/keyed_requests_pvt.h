/// \file
/// Claims of idempotency keys in the platform's table.
#pragma once

#include <damaskworks/http.h>
#include <damaskworks/idempotency.h>
#include <damaskworks/store.h>

#include <functional>
#include <string>
#include <unordered_map>

namespace damask {

/// A claim held by this entry VM.
struct HeldClaim {
    std::string row;
    TableVersion version = 0;
    idempotency::Claim claim;
};

/// How an attempt to claim a key ended.
struct ClaimResult {
    enum class Kind {
        Held, ///< the request may be run
        Claimed, ///< the key is claimed already: see verdict
        Unverifiable, ///< the table can't be asked; the request must not be run
    } kind
        = Kind::Unverifiable;
    HeldClaim held;
    idempotency::RepeatDecision verdict = idempotency::RepeatDecision::InUse;
    std::optional<idempotency::StoredResponse> answer; ///< for RepeatDecision::Replay
};

/// Claims keys before their requests are dispatched and records their outcomes. The caller's answer
/// does not wait for the record: until it is written, the claim says Running, and a repeat is refused.
class KeyedRequests {
public:
    /// Whether the node runs with this incarnation, as far as is known.
    using HolderLives = std::function<bool(const std::string& node, std::uint64_t incarnation)>;

    KeyedRequests(event_base* base, Store& store, const Clock& clock, Metrics& metrics, std::string node,
        std::uint64_t incarnation, HolderLives holderLives);

    /// Claims \p key of \p pool for \p request.
    void claim(const std::string& pool, std::string_view key, const HttpRequest& request,
        std::function<void(ClaimResult)> callback);
    /// Records the answer.
    void finish(HeldClaim held, const HttpResponse& response);
    /// Records that the request may have run.
    void finishUnknown(HeldClaim held);
    /// Gives the key free: the request did not run.
    void release(HeldClaim held);
    /// Number of outcomes that are not recorded yet.
    std::size_t unrecorded() const { return m_unrecorded.size(); }

private:
    struct Record {
        HeldClaim held;
        bool remove = false;
        bool writing = false;
    };

    void examine(const std::string& fingerprint, PlatformError conflict,
        const std::function<void(ClaimResult)>& callback);
    /// Removes a claim whose write had no answer, if it is there.
    void takeBack(HeldClaim held);
    void record(HeldClaim held, bool remove);
    void writeRecords();
    void write(const std::string& row);
    void sweep();
    void deleteRows(const std::vector<Row>& rows);

    Store& m_store;
    const Clock& m_clock;
    Metrics& m_metrics;
    std::string m_node;
    std::uint64_t m_incarnation;
    HolderLives m_holderLives;
    Timer m_retry;
    Timer m_sweep;
    std::uint64_t m_slice;
    std::uint64_t m_serial = 0;
    std::unordered_map<std::string, Record> m_unrecorded; ///< by row
};

} // namespace damask
