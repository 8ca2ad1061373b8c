#include "codec_pvt.h"

#include "peer.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cmath>
#include <kj/io.h>

namespace damask::codec {
namespace {

constexpr std::uint64_t maxDigestWords = 16 * 1024;
constexpr std::uint64_t maxChunkWords = 1024 * 1024;
constexpr int maxNestingDepth = 16;

capnp::ReaderOptions readerOptions(std::uint64_t maxWords)
{
    capnp::ReaderOptions out;
    out.traversalLimitInWords = maxWords;
    out.nestingLimit = maxNestingDepth;
    return out;
}

kj::Array<kj::byte> pack(capnp::MessageBuilder& message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    return kj::heapArray<kj::byte>(out.getArray());
}

void write(const Heartbeat& from, wire::Heartbeat::Builder to)
{
    to.setNode(from.node);
    to.setIncarnation(from.incarnation);
    to.setDataCentre(from.dataCentre);
    to.setLeaving(from.leaving);
    to.setConfigurationVersion(from.configurationVersion);
    to.setTableVersion(from.tableVersion);
    to.setSpecVersion(from.specVersion);
    to.setSequence(from.sequence);
    to.setIp(from.address.ip);
    to.setPort(from.address.port);
    to.setAgeMs(static_cast<std::uint32_t>(from.age.count()));
    auto loads = to.initLoads(static_cast<unsigned>(from.loads.size()));
    unsigned index = 0;
    for (const auto& load : from.loads) {
        auto entry = loads[index++];
        entry.setPool(load.pool);
        entry.setInFlight(load.inFlight);
        entry.setQueued(load.queued);
        entry.setArrivals(load.arrivals);
    }
}

/// The rate, or 0 if it is none.
float finiteRate(float rate) { return std::isfinite(rate) && rate >= 0 ? rate : 0; }

Heartbeat read(wire::Heartbeat::Reader from, const Digest& digest)
{
    Heartbeat to;
    to.cluster = digest.cluster;
    to.protocol = digest.protocol;
    to.node = from.getNode().cStr();
    to.incarnation = from.getIncarnation();
    to.dataCentre = from.getDataCentre().cStr();
    to.leaving = from.getLeaving();
    to.configurationVersion = from.getConfigurationVersion();
    to.tableVersion = from.getTableVersion();
    to.specVersion = from.getSpecVersion();
    to.sequence = from.getSequence();
    to.address = { from.getIp().cStr(), from.getPort() };
    to.age = std::chrono::milliseconds(from.getAgeMs());
    for (auto load : from.getLoads())
        to.loads.push_back(
            { load.getPool().cStr(), load.getInFlight(), load.getQueued(), finiteRate(load.getArrivals()) });
    return to;
}

} // namespace

kj::Array<kj::byte> encode(const Digest& digest)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Digest>();
    root.setCluster(digest.cluster);
    root.setProtocol(digest.protocol);
    auto heartbeats = root.initHeartbeats(static_cast<unsigned>(digest.heartbeats.size()));
    unsigned index = 0;
    for (const auto& heartbeat : digest.heartbeats)
        write(heartbeat, heartbeats[index++]);
    return pack(message);
}

Digest decodeDigest(kj::ArrayPtr<const kj::byte> bytes)
{
    kj::ArrayInputStream in(bytes);
    capnp::PackedMessageReader message(in, readerOptions(maxDigestWords));
    const auto root = message.getRoot<wire::Digest>();
    Digest out;
    out.cluster = root.getCluster().cStr();
    out.protocol = root.getProtocol();
    for (auto heartbeat : root.getHeartbeats())
        out.heartbeats.push_back(read(heartbeat, out));
    return out;
}

kj::Array<kj::byte> encode(const RowChunk& chunk)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::RowChunk>();
    root.setSince(chunk.set.since);
    root.setVersion(chunk.set.version);
    root.setIsLast(chunk.isLast);
    auto rows = root.initRows(static_cast<unsigned>(chunk.set.rows.size()));
    unsigned index = 0;
    for (const auto& row : chunk.set.rows) {
        auto to = rows[index++];
        to.setKey(row.key);
        to.setVersion(row.version);
        to.setValue(row.value);
        to.setDeleted(row.deleted);
    }
    return pack(message);
}

RowChunk decodeChunk(kj::ArrayPtr<const kj::byte> bytes)
{
    kj::ArrayInputStream in(bytes);
    capnp::PackedMessageReader message(in, readerOptions(maxChunkWords));
    const auto root = message.getRoot<wire::RowChunk>();
    RowChunk out;
    out.set.since = root.getSince();
    out.set.version = root.getVersion();
    out.isLast = root.getIsLast();
    for (auto row : root.getRows())
        out.set.rows.push_back(
            { row.getKey().cStr(), row.getVersion(), row.getValue().cStr(), row.getDeleted() });
    return out;
}

} // namespace damask::codec
