#include "connections_pvt.h"

#include <damaskworks/log.h>
#include <kj/debug.h>

#include <algorithm>
#include <set>

namespace damask {
namespace {

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxLoads = 512;
/// An accepted connection is closed after more refused calls than this.
constexpr unsigned maxRefusedCalls = 8;
/// At the connection limit, one tick in this many (on average) replaces the oldest connection by one to a
/// peer that is not connected yet.
constexpr unsigned ticksPerReplacement = 8;
/// Times that a fetch may begin a row set, counting the restarts because the peer's rows changed.
constexpr int maxFetchStarts = 3;

/// Approximate memory use of a row, in bytes.
std::size_t approximateSize(const Row& row) { return row.key.size() + row.value.size() + sizeof(Row); }

} // namespace

struct PeerService::Impl : private kj::TaskSet::ErrorHandler {
    Impl(event_base* eventBase, const Clock& clockSource, Metrics& metricsSink, Callbacks functions,
        std::uint64_t seed, PeerLimits bounds)
        : base(eventBase)
        , clock(clockSource)
        , metrics(metricsSink)
        , callbacks(std::move(functions))
        , limits(bounds)
        , random(seed)
        , tasks(*this)
        , listener(eventBase, [this](kj::Own<kj::AsyncIoStream> stream) { accept(kj::mv(stream)); })
    {
    }

    /// Handles the calls on one accepted connection.
    class Server final : public wire::Peer::Server {
    public:
        Server(Impl& impl, std::uint64_t connectionId)
            : m_impl(impl)
            , m_connectionId(connectionId)
        {
        }
        kj::Promise<void> exchange(ExchangeContext context) override
        {
            m_impl.handleCall(m_connectionId, [&] { m_impl.receiveDigest(context.getParams().getDigest()); });
            auto answer = m_impl.makeDigest(!context.getParams().getIsHint());
            context.getResults().setDigest(answer);
            return kj::READY_NOW;
        }
        kj::Promise<void> fetch(FetchContext context) override
        {
            kj::Array<kj::byte> chunk;
            m_impl.handleCall(
                m_connectionId, [&] { chunk = m_impl.serveRows(m_connectionId, context.getParams()); });
            context.getResults().setChunk(chunk);
            return kj::READY_NOW;
        }

    private:
        Impl& m_impl;
        std::uint64_t m_connectionId;
    };

    /// A fetch of rows from a peer.
    struct Fetch {
        Address address;
        TableVersion newerThan = 0;
        RowSet set;
        std::size_t bytes = 0;
        int starts = 0; ///< times that the peer began a row set
        TimePoint calledAt {};
    };

    // Accepted connections.

    void accept(kj::Own<kj::AsyncIoStream> stream)
    {
        if (accepted.size() >= limits.acceptedConnections) {
            metrics.count("damask_peer_refused_total");
            return;
        }
        const auto id = nextConnectionId++;
        auto connection = std::make_unique<AcceptedConnection>(
            kj::heap<CountingStream>(kj::mv(stream), metrics), kj::heap<Server>(*this, id));
        connection->lastValidCall = clock.now();
        tasks.add(connection->network.onDisconnect().then(
            [this, id] { closeAcceptedLater(id); }, [this, id](kj::Exception&&) { closeAcceptedLater(id); }));
        accepted.emplace(id, std::move(connection));
    }

    void closeAcceptedLater(std::uint64_t id)
    {
        // Deferred, because this runs in a callback of the connection's own network.
        tasks.add(kj::evalLater([this, id] { closeAccepted(id); }));
    }

    void closeAccepted(std::uint64_t id)
    {
        auto found = accepted.find(id);
        if (found == accepted.end())
            return;
        if (found->second->validCalls == 0 && found->second->refusedCalls == 0)
            metrics.count("damask_peer_refused_total");
        accepted.erase(found);
    }

    /// Runs \p call for a connection. If it throws, counts the call as refused and passes the error on.
    template <typename Call> void handleCall(std::uint64_t id, Call call)
    {
        auto& connection = *accepted.at(id);
        KJ_IF_MAYBE (problem, kj::runCatchingExceptions(call)) {
            metrics.count("damask_peer_refused_total");
            ++connection.refusedCalls;
            kj::throwFatalException(kj::mv(*problem));
        }
        ++connection.validCalls;
        connection.lastValidCall = clock.now();
    }

    /// Closes idle connections and those with too many refused calls, and ends abandoned fetches.
    void closeIdleAccepted()
    {
        const auto now = clock.now();
        std::vector<std::uint64_t> closing;
        for (auto& [id, connection] : accepted) {
            const auto idle = now - connection->lastValidCall;
            const auto limit = connection->validCalls > 0 ? limits.idleTimeout : limits.callTimeout;
            if (idle >= limit || connection->refusedCalls > maxRefusedCalls)
                closing.push_back(id);
            if (idle >= limits.callTimeout)
                connection->servedRows.reset();
        }
        for (const auto id : closing)
            closeAccepted(id);
    }

    kj::Array<kj::byte> serveRows(std::uint64_t id, wire::Peer::FetchParams::Reader params)
    {
        checkClusterAndProtocol(params.getCluster().cStr(), params.getProtocol());
        auto& served = accepted.at(id)->servedRows;
        std::size_t first = params.getFirst();
        if (!served || params.getVersion() != served->version || first > served->rows.size()) {
            served.reset();
            const auto servedFetches = std::count_if(accepted.begin(), accepted.end(),
                [](const auto& entry) { return bool(entry.second->servedRows); });
            KJ_REQUIRE(
                static_cast<std::size_t>(servedFetches) < limits.servedFetches, "too many peers fetch rows");
            served = callbacks.rowsNewerThan(params.getNewerThan());
            first = 0;
        }
        codec::RowChunk chunk { { served->since, served->version, {} }, false };
        std::size_t bytes = 0;
        auto next = first;
        for (; next < served->rows.size() && bytes < limits.chunkBytes; ++next) {
            bytes += approximateSize(served->rows[next]);
            chunk.set.rows.push_back(served->rows[next]);
        }
        chunk.isLast = next == served->rows.size();
        if (chunk.isLast)
            served.reset();
        metrics.count("damask_peer_rows_served_total", chunk.set.rows.size());
        return codec::encode(chunk);
    }

    // Heartbeats.

    kj::Array<kj::byte> makeDigest(bool withOthers)
    {
        auto self = callbacks.ownHeartbeat();
        state.self = self.node;
        state.incarnation = self.incarnation;
        if (!withOthers)
            self.loads.clear();
        membership::limitOwnLoads(state, self);
        codec::Digest digest { self.cluster, self.protocol, { std::move(self) } };
        if (withOthers) {
            auto others = membership::digest(state, clock.now());
            digest.heartbeats.insert(digest.heartbeats.end(), others.begin(), others.end());
        }
        return codec::encode(digest);
    }

    /// Throws if the peer of another cluster or uses another protocol version.
    void checkClusterAndProtocol(const std::string& cluster, std::uint32_t protocol)
    {
        const auto self = callbacks.ownHeartbeat();
        KJ_REQUIRE(cluster == self.cluster, "peer of another cluster");
        KJ_REQUIRE(protocol == self.protocol, "peer of another protocol");
    }

    /// Applies a peer's digest to the membership. Throws if the digest is invalid. Returns the node that
    /// sent it, or an empty string if this node has connected to itself.
    std::string receiveDigest(kj::ArrayPtr<const kj::byte> bytes)
    {
        const auto digest = codec::decodeDigest(bytes);
        checkClusterAndProtocol(digest.cluster, digest.protocol);
        KJ_REQUIRE(!digest.heartbeats.empty(), "digest without a sender");
        for (const auto& heartbeat : digest.heartbeats) {
            const bool hasValidName = !heartbeat.node.empty() && heartbeat.node.size() <= maxNameLength;
            KJ_REQUIRE(hasValidName && heartbeat.loads.size() <= maxLoads, "heartbeat out of bounds");
        }
        const auto self = callbacks.ownHeartbeat();
        state.self = self.node;
        state.incarnation = self.incarnation;
        for (const auto& heartbeat : digest.heartbeats)
            observeHeartbeat(heartbeat);
        const auto& sender = digest.heartbeats.front();
        const bool isSelf = sender.node == self.node && sender.incarnation == self.incarnation;
        return isSelf ? std::string() : sender.node;
    }

    void observeHeartbeat(const Heartbeat& heartbeat)
    {
        const bool isKnown = state.members.contains(heartbeat.node);
        const bool wasSuperseded = state.superseded;
        const auto result = membership::observe(state, heartbeat, clock.now());
        if (state.superseded && !wasSuperseded)
            logEvent(LogLevel::Error, "name_taken_over", { { "node", heartbeat.node } });
        if (result != membership::HeartbeatResult::Newer)
            return;
        if (!isKnown)
            logEvent(LogLevel::Info, "peer_joined",
                { { "peer", heartbeat.node }, { "data_centre", heartbeat.dataCentre } });
        callbacks.onHeartbeat(heartbeat);
    }

    // Outgoing connections.

    std::optional<Address> addressOf(const std::string& node) const
    {
        auto member = state.members.find(node);
        if (member != state.members.end() && member->second.heartbeat.address.port != 0)
            return member->second.heartbeat.address;
        auto found = listedAddresses.find(node);
        return found == listedAddresses.end() ? std::nullopt : std::optional(found->second);
    }

    /// Known addresses other than the own ones and those that failed within the retry delay.
    std::vector<Address> connectableAddresses() const
    {
        std::set<Address> out(seeds.begin(), seeds.end());
        for (const auto& [node, address] : listedAddresses)
            out.insert(address);
        for (const auto& [node, view] : state.members) {
            if (membership::phase(state, view, clock.now()) != membership::Phase::Suspected
                && view.heartbeat.address.port != 0)
                out.insert(view.heartbeat.address);
        }
        const auto now = clock.now();
        std::erase_if(out, [&](const Address& address) {
            auto failed = retryAt.find(address);
            return ownAddresses.contains(address) || (failed != retryAt.end() && failed->second > now);
        });
        return { out.begin(), out.end() };
    }

    /// Returns the connection to an address; opens one if there is none.
    OutgoingConnection& connectionTo(const Address& address)
    {
        auto& connection = outgoing[address];
        if (!connection) {
            connection = std::make_unique<OutgoingConnection>(
                kj::heap<CountingStream>(rpc::connect(base, address), metrics));
            connection->id = nextConnectionId++;
            connection->openedAt = clock.now();
            metrics.count("damask_peer_connections_total");
        }
        return *connection;
    }

    /// Returns the connection to an address, or null if it is closed or has been replaced since.
    OutgoingConnection* findConnection(const Address& address, std::uint64_t id)
    {
        auto found = outgoing.find(address);
        return found == outgoing.end() || found->second->id != id ? nullptr : found->second.get();
    }

    void exchangeWith(const Address& address, bool withOthers)
    {
        auto& connection = connectionTo(address);
        if (connection.isExchanging || connection.isBroken)
            return;
        connection.isExchanging = true;
        connection.lastExchangeAt = clock.now();
        auto request = connection.peer.exchangeRequest();
        request.setDigest(makeDigest(withOthers));
        request.setIsHint(!withOthers);
        metrics.count("damask_peer_exchanges_total");
        tasks.add(request.send().then(
            [this, address, id = connection.id](
                auto&& response) { onExchangeAnswered(address, id, response.getDigest()); },
            [this, address, id = connection.id](kj::Exception&&) { onCallFailed(address, id); }));
    }

    void onExchangeAnswered(const Address& address, std::uint64_t id, kj::ArrayPtr<const kj::byte> digest)
    {
        std::string node;
        KJ_IF_MAYBE (problem, kj::runCatchingExceptions([&] { node = receiveDigest(digest); })) {
            (void)problem;
            metrics.count("damask_peer_refused_total");
            return onCallFailed(address, id);
        }
        retryAt.erase(address);
        auto* connection = findConnection(address, id);
        if (!connection)
            return;
        connection->isExchanging = false;
        connection->node = node;
        if (!node.empty())
            return;
        // This node has connected to itself.
        ownAddresses.insert(address);
        connection->isBroken = true;
    }

    void onCallFailed(const Address& address, std::uint64_t id)
    {
        metrics.count("damask_peer_failures_total");
        retryAt[address] = clock.now() + limits.retryDelay;
        if (auto* connection = findConnection(address, id))
            connection->isBroken = true;
        if (currentFetch && currentFetch->address == address)
            currentFetch.reset();
    }

    /// Fails the calls that have timed out, and closes broken connections.
    void closeBroken()
    {
        const auto now = clock.now();
        for (auto& [address, connection] : outgoing) {
            if (connection->isExchanging && now - connection->lastExchangeAt >= limits.callTimeout)
                onCallFailed(address, connection->id);
        }
        if (currentFetch && now - currentFetch->calledAt >= limits.callTimeout)
            onCallFailed(currentFetch->address, 0);
        std::erase_if(outgoing, [](const auto& entry) { return entry.second->isBroken; });
        std::erase_if(retryAt, [&](const auto& entry) { return entry.second <= now; });
    }

    /// Chooses the peer of this tick: a new one while fewer connections than allowed are open, otherwise
    /// mostly one that is connected already.
    std::optional<Address> choosePeer()
    {
        auto unconnected = connectableAddresses();
        std::erase_if(unconnected, [&](const Address& address) { return outgoing.contains(address); });
        const bool isFull = outgoing.size() >= limits.outgoingConnections;
        const bool shouldReplace = isFull && !unconnected.empty() && random() % ticksPerReplacement == 0;
        if (shouldReplace)
            closeOldestUnused();
        if (!unconnected.empty() && (!isFull || shouldReplace))
            return unconnected[random() % unconnected.size()];
        if (outgoing.empty())
            return std::nullopt;
        // The peer that has waited the longest, so that every connection is used in turn.
        return std::min_element(outgoing.begin(), outgoing.end(), [](const auto& one, const auto& other) {
            return one.second->lastExchangeAt < other.second->lastExchangeAt;
        })->first;
    }

    /// Closes the oldest connection that is not in use, if there is one.
    void closeOldestUnused()
    {
        auto oldest = outgoing.end();
        for (auto it = outgoing.begin(); it != outgoing.end(); ++it) {
            const bool inUse
                = it->second->isExchanging || (currentFetch && currentFetch->address == it->first);
            if (!inUse && (oldest == outgoing.end() || it->second->openedAt < oldest->second->openedAt))
                oldest = it;
        }
        if (oldest != outgoing.end())
            outgoing.erase(oldest);
    }

    void tick()
    {
        closeBroken();
        closeIdleAccepted();
        membership::removeExpired(state, clock.now());
        if (const auto peer = choosePeer())
            exchangeWith(*peer, true);
    }

    void sendHints()
    {
        const auto now = clock.now();
        if (lastHintAt != TimePoint {} && now - lastHintAt < limits.minHintInterval)
            return;
        lastHintAt = now;
        const auto specVersion = callbacks.ownHeartbeat().specVersion;
        std::vector<Address> peers;
        for (const auto& [address, connection] : outgoing) {
            auto member = state.members.find(connection->node);
            if (member == state.members.end() || member->second.heartbeat.specVersion < specVersion)
                peers.push_back(address);
        }
        std::shuffle(peers.begin(), peers.end(), random);
        for (std::size_t i = 0; i < std::min(peers.size(), limits.peersPerHint); ++i)
            exchangeWith(peers[i], false);
    }

    // Rows fetched from a peer.

    /// Chooses a live member that has newer rows, in the own data centre if possible.
    std::optional<Address> chooseSource(TableVersion newerThan)
    {
        const auto dataCentre = callbacks.ownHeartbeat().dataCentre;
        std::vector<Address> inDataCentre;
        std::vector<Address> elsewhere;
        for (const auto& [node, view] : state.members) {
            const auto address = addressOf(node);
            const bool isLive = membership::phase(state, view, clock.now()) != membership::Phase::Suspected;
            if (!isLive || !address || view.heartbeat.tableVersion <= newerThan || retryAt.contains(*address))
                continue;
            (view.heartbeat.dataCentre == dataCentre ? inDataCentre : elsewhere).push_back(*address);
        }
        const auto& sources = inDataCentre.empty() ? elsewhere : inDataCentre;
        if (sources.empty())
            return std::nullopt;
        return sources[random() % sources.size()];
    }

    void fetch(TableVersion newerThan)
    {
        if (currentFetch)
            return;
        const auto source = chooseSource(newerThan);
        if (!source)
            return;
        currentFetch = Fetch { *source, newerThan };
        metrics.count("damask_peer_fetches_total");
        fetchNextChunk();
    }

    void fetchNextChunk()
    {
        auto& connection = connectionTo(currentFetch->address);
        currentFetch->calledAt = clock.now();
        const auto self = callbacks.ownHeartbeat();
        auto request = connection.peer.fetchRequest();
        request.setCluster(self.cluster);
        request.setProtocol(self.protocol);
        request.setNewerThan(currentFetch->newerThan);
        request.setVersion(currentFetch->set.version);
        request.setFirst(static_cast<std::uint32_t>(currentFetch->set.rows.size()));
        const auto address = currentFetch->address;
        tasks.add(request.send().then(
            [this, address, id = connection.id](auto&& response) {
                if (currentFetch && currentFetch->address == address)
                    onChunk(id, response.getChunk());
            },
            [this, address, id = connection.id](kj::Exception&&) { onCallFailed(address, id); }));
    }

    void onChunk(std::uint64_t connectionId, kj::ArrayPtr<const kj::byte> bytes)
    {
        KJ_IF_MAYBE (problem, kj::runCatchingExceptions([&] { addChunk(codec::decodeChunk(bytes)); })) {
            (void)problem;
            metrics.count("damask_peer_refused_total");
            return onCallFailed(currentFetch->address, connectionId);
        }
    }

    void addChunk(codec::RowChunk chunk)
    {
        auto& set = currentFetch->set;
        if (chunk.set.version != set.version || currentFetch->starts == 0) {
            KJ_REQUIRE(++currentFetch->starts <= maxFetchStarts,
                "the peer's rows changed too often during the fetch");
            set = { chunk.set.since, chunk.set.version, {} };
            currentFetch->bytes = 0;
        }
        KJ_REQUIRE(chunk.isLast || !chunk.set.rows.empty(), "a chunk before the last one contains no rows");
        for (auto& row : chunk.set.rows) {
            currentFetch->bytes += approximateSize(row);
            set.rows.push_back(std::move(row));
        }
        KJ_REQUIRE(currentFetch->bytes <= limits.maxFetchedBytes, "the fetched rows exceed the size limit");
        if (!chunk.isLast)
            return fetchNextChunk();
        const auto complete = std::move(set);
        currentFetch.reset();
        callbacks.onRowsFetched(complete);
    }

    void taskFailed(kj::Exception&&) override { metrics.count("damask_peer_failures_total"); }

    event_base* base;
    const Clock& clock;
    Metrics& metrics;
    Callbacks callbacks;
    PeerLimits limits;
    std::mt19937_64 random;
    membership::State state;
    std::map<std::string, Address> listedAddresses; ///< of the platform's entry VMs, by node
    std::vector<Address> seeds;
    std::set<Address> ownAddresses; ///< that have turned out to reach this node itself
    std::map<Address, TimePoint> retryAt; ///< of addresses that failed
    std::map<Address, std::unique_ptr<OutgoingConnection>> outgoing;
    std::map<std::uint64_t, std::unique_ptr<AcceptedConnection>> accepted;
    std::uint64_t nextConnectionId = 1;
    std::optional<Fetch> currentFetch;
    TimePoint lastHintAt {};
    kj::TaskSet tasks;
    RpcListener listener;
};

PeerService::PeerService(event_base* base, const Clock& clock, Metrics& metrics, Callbacks callbacks,
    std::uint64_t seed, PeerLimits limits)
    : m_impl(std::make_unique<Impl>(base, clock, metrics, std::move(callbacks), seed, limits))
{
}

PeerService::~PeerService() = default;

tl::expected<std::uint16_t, NetError> PeerService::listen(const Address& address)
{
    return m_impl->listener.listen(address);
}

void PeerService::setPeers(const std::vector<ListedVm>& peers)
{
    m_impl->listedAddresses.clear();
    for (const auto& peer : peers) {
        if (peer.address.port != 0)
            m_impl->listedAddresses[peer.id] = peer.address;
    }
}

void PeerService::setSeeds(const std::vector<Address>& seeds) { m_impl->seeds = seeds; }

void PeerService::tick() { m_impl->tick(); }

void PeerService::sendHints() { m_impl->sendHints(); }

void PeerService::fetch(TableVersion newerThan) { m_impl->fetch(newerThan); }

const std::map<std::string, PeerView>& PeerService::views() const { return m_impl->state.members; }

const membership::State& PeerService::membership() const { return m_impl->state; }

} // namespace damask
