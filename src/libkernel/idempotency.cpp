#include <damaskworks/idempotency.h>

#include <algorithm>
#include <array>

namespace damask::idempotency {
namespace {

constexpr std::size_t maxKeyLength = 255;
/// Age, in buckets, from which a bucket is expired. A repeat reads its own bucket and both neighbours,
/// and the clock of its entry VM may be one bucket behind.
constexpr std::int64_t expiredBucketAge = 3;
constexpr std::int64_t sweptBuckets = 4; ///< expired buckets that are searched for rows to delete
constexpr std::uint64_t slicesPerBucket = 4096; ///< one for each prefix of three hexadecimal digits

/// Number of the bucket for claims made at \p now. A bucket spans claimRetention.
std::int64_t bucketOf(std::chrono::system_clock::time_point now)
{
    return std::chrono::duration_cast<std::chrono::hours>(now.time_since_epoch()) / claimRetention;
}

std::string bucketPrefix(std::int64_t bucket) { return "k/" + std::to_string(bucket) + "/"; }

} // namespace

RepeatDecision decideRepeat(const Claim& claim, std::string_view fingerprint, bool isHolderAlive)
{
    if (claim.fingerprint != fingerprint)
        return RepeatDecision::OtherRequest;
    if (claim.state == ClaimState::Done)
        return claim.response ? RepeatDecision::Replay : RepeatDecision::ResponseNotStored;
    const bool isRunning = claim.state == ClaimState::Running && isHolderAlive;
    return isRunning ? RepeatDecision::InUse : RepeatDecision::OutcomeUnknown;
}

std::vector<std::string> claimRowKeys(std::chrono::system_clock::time_point now, std::string_view hash)
{
    const auto bucket = bucketOf(now);
    std::vector<std::string> rows;
    for (auto candidate : { bucket - 1, bucket, bucket + 1 })
        rows.push_back(bucketPrefix(candidate) + std::string(hash));
    return rows;
}

std::string expiredClaimPrefix(std::chrono::system_clock::time_point now, std::uint64_t slice)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto age = static_cast<std::int64_t>(slice / slicesPerBucket) % sweptBuckets;
    auto prefix = bucketPrefix(bucketOf(now) - expiredBucketAge - age);
    for (int shift : { 8, 4, 0 })
        prefix += digits[(slice >> shift) & 0xf];
    return prefix;
}

bool isValidKey(std::string_view key)
{
    return !key.empty() && key.size() <= maxKeyLength
        && std::all_of(key.begin(), key.end(), [](char byte) { return byte > ' ' && byte < 0x7f; });
}

} // namespace damask::idempotency
