#include "connections_pvt.h"

#include <damaskworks/log.h>
#include <kj/debug.h>

#include <algorithm>
#include <set>

namespace damask {
namespace {

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxLoads = 512;
/// Refused calls after which a connection is closed.
constexpr unsigned maxRefusedCalls = 8;
/// One tick in so many replaces a partner by another one.
constexpr unsigned ticksPerPartner = 8;
/// Times that a peer may start a set of rows again because its rows changed.
constexpr int maxRestarts = 3;

std::size_t sizeOf(const Row& row) { return row.key.size() + row.value.size() + sizeof(Row); }

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

    /// Serves one connection from a peer.
    class Server final : public wire::Peer::Server {
    public:
        Server(Impl& impl, std::uint64_t connection)
            : m_impl(impl)
            , m_connection(connection)
        {
        }
        kj::Promise<void> exchange(ExchangeContext context) override
        {
            m_impl.checked(m_connection, [&] { m_impl.hear(context.getParams().getDigest()); });
            auto answer = m_impl.makeDigest(!context.getParams().getIsHint());
            context.getResults().setDigest(answer);
            return kj::READY_NOW;
        }
        kj::Promise<void> fetch(FetchContext context) override
        {
            kj::Array<kj::byte> chunk;
            m_impl.checked(
                m_connection, [&] { chunk = m_impl.serveRows(m_connection, context.getParams()); });
            context.getResults().setChunk(chunk);
            return kj::READY_NOW;
        }

    private:
        Impl& m_impl;
        std::uint64_t m_connection;
    };

    /// A set of rows being taken from a peer.
    struct Fetch {
        Address address;
        TableVersion newerThan = 0;
        RowSet set;
        std::size_t bytes = 0;
        int starts = 0;
        TimePoint calledAt {};
    };

    // Connections from peers.

    void accept(kj::Own<kj::AsyncIoStream> stream)
    {
        if (accepted.size() >= limits.accepted) {
            metrics.count("damask_peer_refused_total");
            return;
        }
        const auto id = nextConnection++;
        auto connection = std::make_unique<AcceptedConnection>(
            kj::heap<CountingStream>(kj::mv(stream), metrics), kj::heap<Server>(*this, id));
        connection->lastValidCall = clock.now();
        tasks.add(connection->network.onDisconnect().then(
            [this, id] { dropLater(id); }, [this, id](kj::Exception&&) { dropLater(id); }));
        accepted.emplace(id, std::move(connection));
    }

    void dropLater(std::uint64_t id)
    {
        tasks.add(kj::evalLater([this, id] { drop(id); }));
    }

    void drop(std::uint64_t id)
    {
        auto found = accepted.find(id);
        if (found == accepted.end())
            return;
        if (found->second->validCalls == 0 && found->second->refusedCalls == 0)
            metrics.count("damask_peer_refused_total");
        accepted.erase(found);
    }

    /// Runs one call of a peer; counts it as refused if it throws.
    template <typename Call> void checked(std::uint64_t id, Call call)
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

    void dropSilent()
    {
        const auto now = clock.now();
        std::vector<std::uint64_t> silent;
        for (auto& [id, connection] : accepted) {
            const auto idle = now - connection->lastValidCall;
            const auto limit = connection->validCalls > 0 ? limits.silence : limits.callTimeout;
            if (idle >= limit || connection->refusedCalls > maxRefusedCalls)
                silent.push_back(id);
            if (idle >= limits.callTimeout)
                connection->served.reset();
        }
        for (const auto id : silent)
            drop(id);
    }

    kj::Array<kj::byte> serveRows(std::uint64_t id, wire::Peer::FetchParams::Reader params)
    {
        check(params.getCluster().cStr(), params.getProtocol());
        auto& served = accepted.at(id)->served;
        std::size_t first = params.getFirst();
        if (!served || params.getVersion() != served->version || first > served->rows.size()) {
            served.reset();
            const auto fetches = std::count_if(accepted.begin(), accepted.end(),
                [](const auto& entry) { return bool(entry.second->served); });
            KJ_REQUIRE(static_cast<std::size_t>(fetches) < limits.fetches, "too many peers fetch rows");
            served = callbacks.rows(params.getNewerThan());
            first = 0;
        }
        codec::RowChunk chunk { { served->since, served->version, {} }, false };
        std::size_t bytes = 0;
        auto next = first;
        for (; next < served->rows.size() && bytes < limits.chunkBytes; ++next) {
            bytes += sizeOf(served->rows[next]);
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
        auto self = callbacks.self();
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

    /// Throws towards the peer if it is of another cluster or protocol.
    void check(const std::string& cluster, std::uint32_t protocol)
    {
        const auto self = callbacks.self();
        KJ_REQUIRE(cluster == self.cluster, "peer of another cluster");
        KJ_REQUIRE(protocol == self.protocol, "peer of another protocol");
    }

    /// Takes over a peer's digest; throws if it is refused. Returns the node that sent it.
    std::string hear(kj::ArrayPtr<const kj::byte> bytes)
    {
        const auto digest = codec::decodeDigest(bytes);
        check(digest.cluster, digest.protocol);
        KJ_REQUIRE(!digest.heartbeats.empty(), "digest without a sender");
        for (const auto& heartbeat : digest.heartbeats) {
            const bool named = !heartbeat.node.empty() && heartbeat.node.size() <= maxNameLength;
            KJ_REQUIRE(named && heartbeat.loads.size() <= maxLoads, "heartbeat out of bounds");
        }
        const auto self = callbacks.self();
        state.self = self.node;
        state.incarnation = self.incarnation;
        for (const auto& heartbeat : digest.heartbeats)
            observe(heartbeat);
        const auto& sender = digest.heartbeats.front();
        const bool isSelf = sender.node == self.node && sender.incarnation == self.incarnation;
        return isSelf ? std::string() : sender.node;
    }

    void observe(const Heartbeat& heartbeat)
    {
        const bool isKnown = state.members.contains(heartbeat.node);
        const bool wasSuperseded = state.superseded;
        const auto verdict = membership::observe(state, heartbeat, clock.now());
        if (state.superseded && !wasSuperseded)
            logEvent(LogLevel::Error, "name_taken_over", { { "node", heartbeat.node } });
        if (verdict != membership::HeartbeatResult::Newer)
            return;
        if (!isKnown)
            logEvent(LogLevel::Info, "peer_joined",
                { { "peer", heartbeat.node }, { "data_centre", heartbeat.dataCentre } });
        callbacks.heard(heartbeat);
    }

    // Connections to peers.

    std::optional<Address> addressOf(const std::string& node) const
    {
        auto member = state.members.find(node);
        if (member != state.members.end() && member->second.heartbeat.address.port != 0)
            return member->second.heartbeat.address;
        auto found = listed.find(node);
        return found == listed.end() ? std::nullopt : std::optional(found->second);
    }

    /// Addresses that may be tried now.
    std::vector<Address> candidates() const
    {
        std::set<Address> out(seeds.begin(), seeds.end());
        for (const auto& [node, address] : listed)
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

    OutgoingConnection& open(const Address& address)
    {
        auto& slot = outgoing[address];
        if (!slot) {
            slot = std::make_unique<OutgoingConnection>(
                kj::heap<CountingStream>(rpc::connect(base, address), metrics));
            slot->id = nextConnection++;
            slot->opened = clock.now();
            metrics.count("damask_peer_connections_total");
        }
        return *slot;
    }

    /// The connection if it is still the one with this id.
    OutgoingConnection* find(const Address& address, std::uint64_t id)
    {
        auto found = outgoing.find(address);
        return found == outgoing.end() || found->second->id != id ? nullptr : found->second.get();
    }

    void exchangeWith(const Address& address, bool withOthers)
    {
        auto& connection = open(address);
        if (connection.busy || connection.broken)
            return;
        connection.busy = true;
        connection.calledAt = clock.now();
        auto request = connection.peer.exchangeRequest();
        request.setDigest(makeDigest(withOthers));
        request.setIsHint(!withOthers);
        metrics.count("damask_peer_exchanges_total");
        tasks.add(request.send().then([this, address, id = connection.id](
                                          auto&& response) { onAnswer(address, id, response.getDigest()); },
            [this, address, id = connection.id](kj::Exception&&) { onFailure(address, id); }));
    }

    void onAnswer(const Address& address, std::uint64_t id, kj::ArrayPtr<const kj::byte> digest)
    {
        std::string node;
        KJ_IF_MAYBE (problem, kj::runCatchingExceptions([&] { node = hear(digest); })) {
            (void)problem;
            metrics.count("damask_peer_refused_total");
            return onFailure(address, id);
        }
        retryAt.erase(address);
        auto* connection = find(address, id);
        if (!connection)
            return;
        connection->busy = false;
        connection->node = node;
        if (!node.empty())
            return;
        ownAddresses.insert(address);
        connection->broken = true;
    }

    void onFailure(const Address& address, std::uint64_t id)
    {
        metrics.count("damask_peer_failures_total");
        retryAt[address] = clock.now() + limits.retry;
        if (auto* connection = find(address, id))
            connection->broken = true;
        if (fetching && fetching->address == address)
            fetching.reset();
    }

    void dropBroken()
    {
        const auto now = clock.now();
        for (auto& [address, connection] : outgoing) {
            if (connection->busy && now - connection->calledAt >= limits.callTimeout)
                onFailure(address, connection->id);
        }
        if (fetching && now - fetching->calledAt >= limits.callTimeout)
            onFailure(fetching->address, 0);
        std::erase_if(outgoing, [](const auto& entry) { return entry.second->broken; });
        std::erase_if(retryAt, [&](const auto& entry) { return entry.second <= now; });
    }

    /// The partner of this tick: mostly one with an open connection, now and then a new one.
    std::optional<Address> choosePartner()
    {
        auto fresh = candidates();
        std::erase_if(fresh, [&](const Address& address) { return outgoing.contains(address); });
        const bool isFull = outgoing.size() >= limits.connections;
        const bool replaces = isFull && !fresh.empty() && random() % ticksPerPartner == 0;
        if (replaces)
            closeOldest();
        if (!fresh.empty() && (!isFull || replaces))
            return fresh[random() % fresh.size()];
        if (outgoing.empty())
            return std::nullopt;
        // In turn, so that no partner waits for long.
        return std::min_element(outgoing.begin(), outgoing.end(), [](const auto& one, const auto& other) {
            return one.second->calledAt < other.second->calledAt;
        })->first;
    }

    void closeOldest()
    {
        auto oldest = outgoing.end();
        for (auto it = outgoing.begin(); it != outgoing.end(); ++it) {
            const bool inUse = it->second->busy || (fetching && fetching->address == it->first);
            if (!inUse && (oldest == outgoing.end() || it->second->opened < oldest->second->opened))
                oldest = it;
        }
        if (oldest != outgoing.end())
            outgoing.erase(oldest);
    }

    void tick()
    {
        dropBroken();
        dropSilent();
        membership::removeExpired(state, clock.now());
        if (const auto partner = choosePartner())
            exchangeWith(*partner, true);
    }

    void hint()
    {
        const auto now = clock.now();
        if (lastHint != TimePoint {} && now - lastHint < limits.hintPeriod)
            return;
        lastHint = now;
        const auto specVersion = callbacks.self().specVersion;
        std::vector<Address> partners;
        for (const auto& [address, connection] : outgoing) {
            auto member = state.members.find(connection->node);
            if (member == state.members.end() || member->second.heartbeat.specVersion < specVersion)
                partners.push_back(address);
        }
        std::shuffle(partners.begin(), partners.end(), random);
        for (std::size_t i = 0; i < std::min(partners.size(), limits.hintPartners); ++i)
            exchangeWith(partners[i], false);
    }

    // Rows taken from a peer.

    /// A live member that has newer rows, of the own data centre if there is one.
    std::optional<Address> chooseSource(TableVersion newerThan)
    {
        const auto dataCentre = callbacks.self().dataCentre;
        std::vector<Address> near;
        std::vector<Address> far;
        for (const auto& [node, view] : state.members) {
            const auto address = addressOf(node);
            const bool isLive = membership::phase(state, view, clock.now()) != membership::Phase::Suspected;
            if (!isLive || !address || view.heartbeat.tableVersion <= newerThan || retryAt.contains(*address))
                continue;
            (view.heartbeat.dataCentre == dataCentre ? near : far).push_back(*address);
        }
        const auto& sources = near.empty() ? far : near;
        if (sources.empty())
            return std::nullopt;
        return sources[random() % sources.size()];
    }

    void fetch(TableVersion newerThan)
    {
        if (fetching)
            return;
        const auto source = chooseSource(newerThan);
        if (!source)
            return;
        fetching = Fetch { *source, newerThan };
        metrics.count("damask_peer_fetches_total");
        fetchNext();
    }

    void fetchNext()
    {
        auto& connection = open(fetching->address);
        fetching->calledAt = clock.now();
        const auto self = callbacks.self();
        auto request = connection.peer.fetchRequest();
        request.setCluster(self.cluster);
        request.setProtocol(self.protocol);
        request.setNewerThan(fetching->newerThan);
        request.setVersion(fetching->set.version);
        request.setFirst(static_cast<std::uint32_t>(fetching->set.rows.size()));
        const auto address = fetching->address;
        tasks.add(request.send().then(
            [this, address, id = connection.id](auto&& response) {
                if (fetching && fetching->address == address)
                    onChunk(id, response.getChunk());
            },
            [this, address, id = connection.id](kj::Exception&&) { onFailure(address, id); }));
    }

    void onChunk(std::uint64_t connection, kj::ArrayPtr<const kj::byte> bytes)
    {
        KJ_IF_MAYBE (problem, kj::runCatchingExceptions([&] { addChunk(codec::decodeChunk(bytes)); })) {
            (void)problem;
            metrics.count("damask_peer_refused_total");
            return onFailure(fetching->address, connection);
        }
    }

    void addChunk(codec::RowChunk chunk)
    {
        auto& set = fetching->set;
        if (chunk.set.version != set.version || fetching->starts == 0) {
            KJ_REQUIRE(++fetching->starts <= maxRestarts, "the peer's rows keep changing");
            set = { chunk.set.since, chunk.set.version, {} };
            fetching->bytes = 0;
        }
        KJ_REQUIRE(chunk.isLast || !chunk.set.rows.empty(), "chunk without rows");
        for (auto& row : chunk.set.rows) {
            fetching->bytes += sizeOf(row);
            set.rows.push_back(std::move(row));
        }
        KJ_REQUIRE(fetching->bytes <= limits.fetchedBytes, "the peer sends too many rows");
        if (!chunk.isLast)
            return fetchNext();
        const auto whole = std::move(set);
        fetching.reset();
        callbacks.fetched(whole);
    }

    void taskFailed(kj::Exception&&) override { metrics.count("damask_peer_failures_total"); }

    event_base* base;
    const Clock& clock;
    Metrics& metrics;
    Callbacks callbacks;
    PeerLimits limits;
    std::mt19937_64 random;
    membership::State state;
    std::map<std::string, Address> listed;
    std::vector<Address> seeds;
    std::set<Address> ownAddresses;
    std::map<Address, TimePoint> retryAt;
    std::map<Address, std::unique_ptr<OutgoingConnection>> outgoing;
    std::map<std::uint64_t, std::unique_ptr<AcceptedConnection>> accepted;
    std::uint64_t nextConnection = 1;
    std::optional<Fetch> fetching;
    TimePoint lastHint {};
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
    m_impl->listed.clear();
    for (const auto& peer : peers)
        m_impl->listed[peer.id] = peer.address;
}

void PeerService::setSeeds(const std::vector<Address>& seeds) { m_impl->seeds = seeds; }

void PeerService::tick() { m_impl->tick(); }

void PeerService::hint() { m_impl->hint(); }

void PeerService::fetch(TableVersion newerThan) { m_impl->fetch(newerThan); }

const std::map<std::string, PeerView>& PeerService::views() const { return m_impl->state.members; }

const membership::State& PeerService::membership() const { return m_impl->state; }

} // namespace damask
