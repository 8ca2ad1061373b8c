/// \file
/// RPC connections between entry VMs.
#pragma once

#include "codec_pvt.h"
#include "peer.capnp.h"

#include <damaskworks/peer.h>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <optional>

namespace damask {

/// Byte stream that counts the bytes read and written in `damask_peer_bytes_total`.
class CountingStream final : public kj::AsyncIoStream {
public:
    CountingStream(kj::Own<kj::AsyncIoStream> inner, Metrics& metrics);
    kj::Promise<size_t> tryRead(void* buffer, size_t minBytes, size_t maxBytes) override;
    kj::Promise<void> write(const void* buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;

private:
    kj::Own<kj::AsyncIoStream> m_inner;
    Metrics& m_metrics;
};

/// A connection opened by a peer. This node is the RPC server.
struct AcceptedConnection {
    AcceptedConnection(kj::Own<kj::AsyncIoStream> stream, kj::Own<wire::Peer::Server> server);
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    TimePoint lastValidCall {};
    unsigned validCalls = 0;
    unsigned refusedCalls = 0;
    std::optional<RowSet> servedRows; ///< of the peer's fetch in progress
};

/// A connection opened by this node. The peer is the RPC server.
struct OutgoingConnection {
    explicit OutgoingConnection(kj::Own<kj::AsyncIoStream> stream);
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    wire::Peer::Client peer;
    std::uint64_t id = 0; ///< distinguishes this connection from earlier ones to the same address
    TimePoint openedAt {};
    TimePoint lastExchangeAt {}; ///< start of the latest exchange
    std::string node; ///< name of the peer; empty until its first answer
    bool isExchanging = false; ///< an exchange waits for its answer
    bool isBroken = false; ///< closed by the next tick
};

} // namespace damask
