/// \file
/// Claims of idempotency keys, held as rows of the platform's table.
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
        Acquired, ///< the request may be run; see `held`
        AlreadyClaimed, ///< by an earlier request; see `decision`
        Unverifiable, ///< the table gave no definite result; the request must not be run
    } kind
        = Kind::Unverifiable;
    HeldClaim held;
    idempotency::RepeatDecision decision = idempotency::RepeatDecision::InUse; ///< on the repeat
    std::optional<idempotency::StoredResponse> storedResponse; ///< for RepeatDecision::Replay
};

/// Claims keys before their requests are dispatched and records the outcomes in the claims. The reply to
/// the caller does not wait for that write. Until it commits, the claim's state is Running and repeats of
/// the request are refused.
class KeyClaims {
public:
    /// Whether the process with this node name and incarnation is known to be running.
    using IsProcessLive = std::function<bool(const std::string& node, std::uint64_t incarnation)>;

    KeyClaims(event_base* base, Store& store, const Clock& clock, Metrics& metrics, std::string node,
        std::uint64_t incarnation, IsProcessLive isProcessLive);

    /// Claims \p key within \p pool for \p request. \p callback is called once, with the result.
    void claim(const std::string& pool, std::string_view key, const HttpRequest& request,
        std::function<void(ClaimResult)> callback);
    /// Records that the request is done, with its response if that is short enough to be stored.
    void recordDone(HeldClaim held, const HttpResponse& response);
    /// Records that the request may have run.
    void recordUnknown(HeldClaim held);
    /// Deletes the claim of a request that did not run, so that the key can be claimed again.
    void release(HeldClaim held);
    /// Number of outcomes that are not in the table yet.
    std::size_t pendingWrites() const { return m_pendingWrites.size(); }

private:
    /// An outcome that is not in the table yet.
    struct PendingWrite {
        HeldClaim held;
        bool isDeletion = false;
        bool isInFlight = false;
    };

    /// Reads the claim that \p conflict names and decides on the repeat.
    void readExistingClaim(const std::string& fingerprint, PlatformError conflict,
        const std::function<void(ClaimResult)>& callback);
    /// Deletes a claim whose write had an unknown outcome, if the table has it.
    void deleteUnconfirmedClaim(HeldClaim held);
    void queueWrite(HeldClaim held, bool isDeletion);
    void retryWrites();
    /// Sends the pending write of \p row.
    void write(const std::string& row);
    /// Deletes expired claims, one slice of the key space at a time.
    void deleteExpiredClaims();
    void deleteRows(const std::vector<Row>& rows);

    Store& m_store;
    const Clock& m_clock;
    Metrics& m_metrics;
    std::string m_node;
    std::uint64_t m_incarnation;
    IsProcessLive m_isProcessLive;
    Timer m_retryTimer;
    Timer m_expiryTimer;
    std::uint64_t m_expirySlice; ///< slice of the next deletion
    std::uint64_t m_lastSerial = 0;
    std::unordered_map<std::string, PendingWrite> m_pendingWrites; ///< by row
};

} // namespace damask
