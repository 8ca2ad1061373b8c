/// \file
/// Decides whether a caller's request may be handled, from the key that it carries.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/deployment.h>
#include <damaskworks/job_directory.h>
#include <damaskworks/names.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace damask::fleet {

/// The keys of a configuration, stored as digests under a secret of this process.
class CallerKeys {
public:
    /// Knows no key.
    CallerKeys() = default;
    /// Moves the keys out of \p config and erases them there. Empty keys are dropped. A key that several
    /// organisations have belongs to the first by name.
    static CallerKeys takeFrom(FleetConfig& config);
    /// The organisation that has \p key; nullptr if none has. How long it takes tells nothing
    /// about the keys.
    const std::string* organisation(std::string_view key) const;
    std::size_t size() const { return m_organisations.size(); }

private:
    using Digest = std::array<std::uint8_t, 32>;
    std::map<Digest, std::string> m_organisations; ///< names by digest of the key
};

/// Bounds on how long after a change of the configuration requests may be decided by an older one.
struct KeyTiming {
    milliseconds configApplyTime; ///< see NodeSettings
    milliseconds keyRevocationTime; ///< see NodeSettings; zero: no bound
};

/// Age up to which a configuration proves that a key has not been removed.
Duration maxAgeToTrustKeys(const KeyTiming& timing);

/// Result of authoriseCaller().
enum class CallerAccess {
    Public, ///< may be handled without a key
    Organisation, ///< may be handled for the organisation that has the key
    UnknownKey, ///< no organisation has the key, or the request carries none
    /// The configuration is too old: the key may have been added or removed since. Another node, or this one
    /// later, may decide otherwise.
    Undecided,
};

inline constexpr NameTable<CallerAccess, 4> callerAccessNames { {
    { CallerAccess::Public, "public" },
    { CallerAccess::Organisation, "organisation" },
    { CallerAccess::UnknownKey, "unknown_key" },
    { CallerAccess::Undecided, "undecided" },
} };

/// Whether and for whom a request may be handled.
struct CallerAuthorisation {
    CallerAccess access = CallerAccess::Undecided;
    std::string organisation; ///< if access is Organisation

    bool isAllowed() const { return access == CallerAccess::Public || access == CallerAccess::Organisation; }
};

/// Decides about a request to \p queue with \p key, which is empty if the request carries none. \p configAge
/// is the time since \p config and \p keys were certainly the newest, taken after the request was read.
CallerAuthorisation authoriseCaller(const FleetConfig& config, const CallerKeys& keys, const Queue& queue,
    std::string_view key, Duration configAge, const KeyTiming& timing);

/// Whether the caller may read, repeat or cancel the job of \p record by a request to \p queue. Jobs without
/// an organisation are open to every caller that is allowed.
bool mayAccess(const CallerAuthorisation& caller, const Queue& queue, const JobRecord& record);

} // namespace damask::fleet
