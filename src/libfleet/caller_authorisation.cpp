#include <damaskworks/caller_authorisation.h>
#include <damaskworks/log.h>

#include <algorithm>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <optional>

namespace damask::fleet {
namespace {

using Digest = std::array<std::uint8_t, 32>;

/// Secret under which this process stores keys, so that a copy of its memory or the time of a lookup tells
/// nothing about them. Nothing if the random generator fails.
const std::optional<Digest>& processSecret()
{
    static const auto secret = []() -> std::optional<Digest> {
        Digest bytes {};
        if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1)
            return bytes;
        logEvent(LogLevel::Error, "caller_keys_unusable", { { "detail", "no random bytes" } });
        return std::nullopt;
    }();
    return secret;
}

std::optional<Digest> digest(std::string_view key)
{
    const auto& secret = processSecret();
    Digest out {};
    unsigned size = 0;
    if (!secret
        || !HMAC(EVP_sha256(), secret->data(), static_cast<int>(secret->size()),
            reinterpret_cast<const unsigned char*>(key.data()), key.size(), out.data(), &size)
        || size != out.size())
        return std::nullopt;
    return out;
}

} // namespace

CallerKeys CallerKeys::takeFrom(FleetConfig& config)
{
    CallerKeys out;
    for (auto& [name, organisation] : config.organisations) {
        for (auto& key : organisation.keys) {
            const auto keyDigest = digest(key);
            if (keyDigest && !key.empty() && !out.m_organisations.emplace(*keyDigest, name).second)
                logEvent(LogLevel::Warning, "caller_key_repeated",
                    { { "organisation", name }, { "version", std::to_string(config.version) } });
            OPENSSL_cleanse(key.data(), key.size());
        }
        organisation.keys.clear();
    }
    return out;
}

const std::string* CallerKeys::organisation(std::string_view key) const
{
    const auto keyDigest = digest(key);
    if (!keyDigest)
        return nullptr;
    const auto found = m_organisations.lower_bound(*keyDigest);
    const bool isKnown = found != m_organisations.end()
        && CRYPTO_memcmp(found->first.data(), keyDigest->data(), keyDigest->size()) == 0;
    return isKnown ? &found->second : nullptr;
}

Duration maxAgeToTrustKeys(const KeyTiming& timing)
{
    if (timing.keyRevocationTime.count() == 0)
        return Duration::max();
    // The tenth covers clocks of callers, of the table and of this node that run at different rates.
    constexpr int marginDivisor = 10;
    const auto revocationTime = timing.keyRevocationTime - timing.keyRevocationTime / marginDivisor;
    return std::min(revocationTime, timing.configApplyTime);
}

CallerAuthorisation authoriseCaller(const FleetConfig& config, const CallerKeys& keys, const Queue& queue,
    std::string_view key, Duration configAge, const KeyTiming& timing)
{
    // Where keys can be revoked, a configuration whose last organisation was removed opens no queue.
    const bool hasKeys = !config.organisations.empty() || timing.keyRevocationTime.count() > 0;
    if (queue.isPublic || !hasKeys)
        return { CallerAccess::Public, "" };
    if (configAge > maxAgeToTrustKeys(timing))
        return { CallerAccess::Undecided, "" };
    if (const auto* organisation = keys.organisation(key))
        return { CallerAccess::Organisation, *organisation };
    return { configAge > timing.configApplyTime ? CallerAccess::Undecided : CallerAccess::UnknownKey, "" };
}

bool mayAccess(const CallerAuthorisation& caller, const Queue& queue, const JobRecord& record)
{
    if (record.organisation.empty() || record.organisation == caller.organisation)
        return true;
    // A queue that has become public opens its own jobs, not those of other queues.
    return caller.access == CallerAccess::Public && record.queue == queue.name;
}

} // namespace damask::fleet
