/// \file
/// Decisions on requests with an idempotency key: of all requests with the same key, sent through any
/// number of entry VMs, at most one is run. Each key has at most one claim, a row of the platform's
/// table. An entry VM writes it before it dispatches the request, on condition that there is none yet.
/// The functions are pure. Claims are timed by the wall clock.
#pragma once

#include <damaskworks/names.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damask::idempotency {

/// A claim is valid for at least this long after it was made, and for at most twice as long.
inline constexpr std::chrono::hours claimRetention { 12 };
/// Longest response that is stored for repeats, in bytes of headers and body.
inline constexpr std::size_t maxStoredResponseBytes = 16 * 1024;

/// What is known about the request that made a claim.
enum class ClaimState {
    Running, ///< its holder, and no other, may run it now or later
    Done, ///< its response has arrived
    Unknown, ///< it may have run, but no response arrived
};

inline constexpr NameTable<ClaimState, 3> claimStateNames { {
    { ClaimState::Running, "running" },
    { ClaimState::Done, "done" },
    { ClaimState::Unknown, "unknown" },
} };

/// A response that is stored for repeats.
struct StoredResponse {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// The claim on one idempotency key.
struct Claim {
    std::string node; ///< node id of the holder: the entry VM that made the claim
    std::uint64_t incarnation = 0; ///< of the holder; changes with each restart
    std::uint64_t serial = 0; ///< number of the claim among those of its holder
    std::string fingerprint; ///< hash of the request
    ClaimState state = ClaimState::Running;
    std::optional<StoredResponse> response; ///< for Done; std::nullopt if it was too long to store
};

/// What to do with a repeat: a request whose key has a claim already.
enum class RepeatDecision {
    Replay, ///< reply with the stored response
    InUse, ///< refuse: the first request is running
    OutcomeUnknown, ///< refuse: the first request may have run
    ResponseNotStored, ///< refuse: the first request has run, but its response was too long to store
    OtherRequest, ///< refuse: the key was used for a different request
};

inline constexpr NameTable<RepeatDecision, 5> repeatDecisionNames { {
    { RepeatDecision::Replay, "replay" },
    { RepeatDecision::InUse, "key_in_use" },
    { RepeatDecision::OutcomeUnknown, "key_outcome_unknown" },
    { RepeatDecision::ResponseNotStored, "key_answer_not_kept" },
    { RepeatDecision::OtherRequest, "key_of_other_request" },
} };

/// Decides what to do with a repeat. \p isHolderAlive says whether the claim's holder is known to run with
/// the claim's incarnation.
RepeatDecision decideRepeat(const Claim& claim, std::string_view fingerprint, bool isHolderAlive);

/// Keys of the three rows that can hold the claim of an idempotency key with hash \p hash at \p now. A new
/// claim is written to the middle one. Its write is conditional on all three being absent, so that the
/// clocks of entry VMs may differ by up to claimRetention.
std::vector<std::string> claimRowKeys(std::chrono::system_clock::time_point now, std::string_view hash);
/// Key prefix of one slice of the expired claim rows, which no repeat can read any more. Successive
/// values of \p slice go round all slices.
std::string expiredClaimPrefix(std::chrono::system_clock::time_point now, std::uint64_t slice);

/// Whether \p key is 1 to 255 printable ASCII characters.
bool isValidKey(std::string_view key);

} // namespace damask::idempotency
