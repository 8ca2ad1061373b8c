#include "connections_pvt.h"

#include <capnp/message.h>

namespace damask {
namespace {

/// The RPC system closes a connection that sends a larger message.
constexpr std::uint64_t maxMessageWords = 128 * 1024;
constexpr int maxNestingDepth = 16;

constexpr std::string_view receivedBytes = "damask_peer_bytes_total{direction=\"received\"}";
constexpr std::string_view sentBytes = "damask_peer_bytes_total{direction=\"sent\"}";

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageWords;
    options.nestingLimit = maxNestingDepth;
    return options;
}

wire::Peer::Client bootstrapPeer(capnp::RpcSystem<capnp::rpc::twoparty::VatId>& system)
{
    capnp::MallocMessageBuilder message;
    auto id = message.initRoot<capnp::rpc::twoparty::VatId>();
    id.setSide(capnp::rpc::twoparty::Side::SERVER);
    return system.bootstrap(id).castAs<wire::Peer>();
}

} // namespace

CountingStream::CountingStream(kj::Own<kj::AsyncIoStream> inner, Metrics& metrics)
    : m_inner(kj::mv(inner))
    , m_metrics(metrics)
{
}

kj::Promise<size_t> CountingStream::tryRead(void* buffer, size_t minBytes, size_t maxBytes)
{
    return m_inner->tryRead(buffer, minBytes, maxBytes).then([this](size_t size) {
        m_metrics.count(receivedBytes, size);
        return size;
    });
}

kj::Promise<void> CountingStream::write(const void* buffer, size_t size)
{
    m_metrics.count(sentBytes, size);
    return m_inner->write(buffer, size);
}

kj::Promise<void> CountingStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    for (const auto& piece : pieces)
        m_metrics.count(sentBytes, piece.size());
    return m_inner->write(pieces);
}

kj::Promise<void> CountingStream::whenWriteDisconnected() { return m_inner->whenWriteDisconnected(); }

void CountingStream::shutdownWrite() { m_inner->shutdownWrite(); }

AcceptedConnection::AcceptedConnection(
    kj::Own<kj::AsyncIoStream> byteStream, kj::Own<wire::Peer::Server> server)
    : stream(kj::mv(byteStream))
    , network(*stream, capnp::rpc::twoparty::Side::SERVER, readerOptions())
    , system(capnp::makeRpcServer(network, kj::mv(server)))
{
}

OutgoingConnection::OutgoingConnection(kj::Own<kj::AsyncIoStream> byteStream)
    : stream(kj::mv(byteStream))
    , network(*stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions())
    , system(capnp::makeRpcClient(network))
    , peer(bootstrapPeer(system))
{
}

} // namespace damask
