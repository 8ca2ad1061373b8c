#include <damaskworks/membership.h>

#include <algorithm>
#include <tuple>

namespace damask::membership {
namespace {

constexpr std::size_t heartbeatBaseBytes = 36;
constexpr std::size_t loadBaseBytes = 14;

bool isNewer(const Heartbeat& a, const Heartbeat& b)
{
    return std::tie(a.incarnation, a.sequence) > std::tie(b.incarnation, b.sequence);
}

/// Whether a later process with another name uses the address of \p heartbeat.
bool isAddressReused(const State& state, const Heartbeat& heartbeat)
{
    if (heartbeat.address.port == 0)
        return false;
    return std::any_of(state.members.begin(), state.members.end(), [&](const auto& entry) {
        const auto& other = entry.second.heartbeat;
        return other.node != heartbeat.node && other.address == heartbeat.address
            && other.incarnation > heartbeat.incarnation;
    });
}

/// Removes members whose address the sender of \p heartbeat, a later process, now uses.
void removeEarlierAddressUsers(State& state, const Heartbeat& heartbeat)
{
    if (heartbeat.address.port == 0)
        return;
    std::erase_if(state.members, [&](const auto& entry) {
        const auto& other = entry.second.heartbeat;
        return other.node != heartbeat.node && other.address == heartbeat.address;
    });
}

/// Keeps as many loads as fit into \p bytes, starting at index \p first and wrapping round. Advances
/// \p first past them.
void truncateLoads(std::vector<PoolLoad>& loads, std::size_t bytes, std::size_t& first)
{
    if (loads.empty())
        return;
    std::vector<PoolLoad> kept;
    std::size_t used = 0;
    first %= loads.size();
    for (std::size_t i = 0; i < loads.size(); ++i) {
        auto& load = loads[(first + i) % loads.size()];
        used += loadBaseBytes + load.pool.size();
        if (used > bytes)
            break;
        kept.push_back(std::move(load));
    }
    first += kept.size();
    loads = std::move(kept);
}

/// Adds the known loads of pools that \p heartbeat does not contain, if the incarnation is the same.
void mergeKnownLoads(Heartbeat& heartbeat, const Heartbeat& known)
{
    if (heartbeat.incarnation != known.incarnation)
        return;
    const auto reported = heartbeat.loads;
    for (const auto& load : known.loads) {
        const bool isReported = std::any_of(
            reported.begin(), reported.end(), [&](const PoolLoad& other) { return other.pool == load.pool; });
        if (!isReported)
            heartbeat.loads.push_back(load);
    }
    // A fixed order ensures that successive truncated heartbeats cover every pool.
    std::sort(heartbeat.loads.begin(), heartbeat.loads.end(),
        [](const PoolLoad& a, const PoolLoad& b) { return a.pool < b.pool; });
}

} // namespace

HeartbeatResult observe(State& state, const Heartbeat& heartbeat, TimePoint now)
{
    if (heartbeat.node == state.self) {
        if (heartbeat.incarnation <= state.incarnation)
            return HeartbeatResult::Stale;
        state.superseded = true;
        return HeartbeatResult::Superseded;
    }
    if (isAddressReused(state, heartbeat))
        return HeartbeatResult::Stale;
    auto found = state.members.find(heartbeat.node);
    if (found != state.members.end() && !isNewer(heartbeat, found->second.heartbeat))
        return HeartbeatResult::Stale;
    if (heartbeat.age >= state.limits.forgetAfter)
        return HeartbeatResult::Stale;
    if (found == state.members.end() && state.members.size() >= state.limits.members)
        return HeartbeatResult::Stale;
    removeEarlierAddressUsers(state, heartbeat);
    found = state.members.find(heartbeat.node);
    PeerView view { heartbeat, now - heartbeat.age };
    if (found != state.members.end()) {
        mergeKnownLoads(view.heartbeat, found->second.heartbeat);
        view.nextLoad = found->second.nextLoad;
        view.lastForwarded = found->second.lastForwarded;
    }
    state.members[heartbeat.node] = std::move(view);
    return HeartbeatResult::Newer;
}

std::chrono::milliseconds suspicionTimeout(const State& state)
{
    const auto members = static_cast<std::int64_t>(state.members.size());
    return std::max(state.limits.suspectAfter, state.limits.suspectAfterPerMember * members);
}

Phase phase(const State& state, const PeerView& view, TimePoint now)
{
    if (now - view.lastHeard >= suspicionTimeout(state))
        return Phase::Suspected;
    return view.heartbeat.leaving ? Phase::Leaving : Phase::Live;
}

void removeExpired(State& state, TimePoint now)
{
    std::erase_if(state.members,
        [&](const auto& entry) { return now - entry.second.lastHeard >= state.limits.forgetAfter; });
}

void limitOwnLoads(State& state, Heartbeat& self)
{
    truncateLoads(self.loads, state.limits.ownLoadBytes, state.nextOwnLoad);
}

std::vector<Heartbeat> digest(State& state, TimePoint now)
{
    std::vector<PeerView*> known;
    for (auto& [node, view] : state.members) {
        if (phase(state, view, now) != Phase::Suspected)
            known.push_back(&view);
    }
    std::sort(known.begin(), known.end(), [](const PeerView* a, const PeerView* b) {
        return std::tuple(!a->hasUnsentUpdate, a->lastForwarded)
            < std::tuple(!b->hasUnsentUpdate, b->lastForwarded);
    });
    std::vector<Heartbeat> out;
    std::size_t bytes = 0;
    for (auto* view : known) {
        auto heartbeat = view->heartbeat;
        auto nextLoad = view->nextLoad;
        truncateLoads(heartbeat.loads, out.empty() ? state.limits.forwardedLoadBytes : 0, nextLoad);
        bytes += encodedSize(heartbeat);
        if (bytes > state.limits.digestBytes)
            break;
        view->hasUnsentUpdate = false;
        view->lastForwarded = now;
        view->nextLoad = nextLoad;
        out.push_back(std::move(heartbeat));
        out.back().age = std::chrono::duration_cast<std::chrono::milliseconds>(now - view->lastHeard);
    }
    return out;
}

std::vector<std::string> choosePartners(
    std::vector<std::string> candidates, std::size_t count, std::mt19937_64& random)
{
    std::shuffle(candidates.begin(), candidates.end(), random);
    if (candidates.size() > count)
        candidates.resize(count);
    return candidates;
}

std::size_t encodedSize(const Heartbeat& heartbeat)
{
    std::size_t bytes = heartbeatBaseBytes + heartbeat.node.size() + heartbeat.dataCentre.size();
    for (const auto& load : heartbeat.loads)
        bytes += loadBaseBytes + load.pool.size();
    return bytes;
}

} // namespace damask::membership
