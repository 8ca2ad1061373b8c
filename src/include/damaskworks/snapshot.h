/// \file
/// Snapshots of the mirrored rows in the platform's object store. A node that starts from a snapshot reads
/// only the later changes from the table.
#pragma once

#include <damaskworks/store.h>

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace damask {
namespace snapshot {

/// Name of the object that holds the latest snapshot.
inline constexpr std::string_view objectName = "snapshot";

/// Why decode() refuses a snapshot.
enum class DecodeFailure {
    Malformed, ///< not JSON, or a member is missing or has the wrong type
    HashMismatch, ///< the hash does not match, for example after a partial write
    ForeignCluster, ///< written by another cluster
    UnknownFormat, ///< written in another format version
};

inline constexpr NameTable<DecodeFailure, 4> decodeFailureNames { {
    { DecodeFailure::Malformed, "malformed" },
    { DecodeFailure::HashMismatch, "torn" },
    { DecodeFailure::ForeignCluster, "foreign_cluster" },
    { DecodeFailure::UnknownFormat, "unknown_format" },
} };

/// Error of decode().
struct Error {
    DecodeFailure failure = DecodeFailure::Malformed;
};

/// Encodes \p set, which must hold all rows, as JSON text with the cluster, the table version and the XXH3
/// hash of the cluster, the version and the rows.
std::string encode(const RowSet& set, std::string_view cluster);
/// Decodes the text of a snapshot; fails if it is not intact or not of \p cluster.
tl::expected<RowSet, Error> decode(std::string_view text, std::string_view cluster);

} // namespace snapshot

/// Writes snapshots of a mirror to the object store at a limited rate.
class SnapshotWriter {
public:
    /// \p period is the shortest time between two writes.
    SnapshotWriter(Platform& platform, const Mirror& mirror, const Clock& clock, Metrics& metrics,
        std::string cluster, std::chrono::milliseconds period);

    /// Writes a snapshot if \p isWriter (this node is the one that writes snapshots), the mirror's last poll
    /// of the table succeeded, the period has passed and the table has changed since this node's last
    /// snapshot.
    void writeIfDue(bool isWriter);

private:
    Platform& m_platform;
    const Mirror& m_mirror;
    const Clock& m_clock;
    Metrics& m_metrics;
    std::string m_cluster;
    std::chrono::milliseconds m_period;
    TimePoint m_lastAttempt {};
    TableVersion m_writtenVersion = 0;
};

} // namespace damask
