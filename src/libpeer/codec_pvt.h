/// \file
/// Encodes and decodes the messages between entry VMs as packed Cap'n Proto.
#pragma once

#include <damaskworks/membership.h>
#include <damaskworks/store.h>

#include <kj/array.h>
#include <vector>

namespace damask::codec {

/// The heartbeats of one message. The sender's own heartbeat comes first.
struct Digest {
    std::string cluster;
    std::uint32_t protocol = peerProtocolVersion;
    std::vector<Heartbeat> heartbeats;
};

/// Consecutive rows of a set that is sent in several messages.
struct RowChunk {
    RowSet set;
    bool isLast = false;
};

kj::Array<kj::byte> encode(const Digest& digest);
/// Throws kj::Exception if the bytes are not a valid digest or exceed the size limit.
Digest decodeDigest(kj::ArrayPtr<const kj::byte> bytes);

kj::Array<kj::byte> encode(const RowChunk& chunk);
/// Throws kj::Exception if the bytes are not a valid chunk or exceed the size limit.
RowChunk decodeChunk(kj::ArrayPtr<const kj::byte> bytes);

} // namespace damask::codec
