#include <damaskworks/move.h>

#include <algorithm>
#include <cmath>

namespace damask::move {
namespace {

/// Relative increase of Settings::peakCover when only roll-out time has weight.
constexpr double maxRolloutHeadroom = 0.1;
/// A donor without surplus must keep its need per VM below this fraction of the receiver's.
constexpr double maxNeedRatioWithoutSurplus = 0.85;
/// Demand in slots that each queued request adds, for at most as many requests as there are busy slots.
/// In a saturated pool the queue is the only sign of the requests that it refuses.
constexpr double queuedDemandWeight = 0.1;

double expectedVms(const Pool& pool) { return double(pool.vms) + double(pool.arriving); }

double needPerVm(double need, double vms) { return need / std::max(vms, 1e-9); }

/// Index of the pool with the largest need per VM, among pools that hold less than their need.
std::optional<std::size_t> chooseReceiver(const std::vector<Pool>& pools, const std::vector<double>& needs)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < pools.size(); ++i) {
        if (expectedVms(pools[i]) >= needs[i])
            continue;
        if (!best
            || needPerVm(needs[i], expectedVms(pools[i]))
                > needPerVm(needs[*best], expectedVms(pools[*best])))
            best = i;
    }
    return best;
}

bool mayDonate(const std::vector<Pool>& pools, const std::vector<double>& needs, std::size_t donor,
    std::size_t receiver, double hysteresisVms)
{
    const Pool& pool = pools[donor];
    if (donor == receiver || pool.vms == 0 || pool.vms <= pool.minVms)
        return false;
    const double vmsAfterMove = expectedVms(pool) - 1;
    if (vmsAfterMove >= needs[donor] + hysteresisVms)
        return true;
    return needPerVm(needs[donor], vmsAfterMove)
        < maxNeedRatioWithoutSurplus * needPerVm(needs[receiver], expectedVms(pools[receiver]));
}

std::optional<std::size_t> chooseDonor(const std::vector<Pool>& pools, const std::vector<double>& needs,
    std::size_t receiver, double hysteresisVms)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < pools.size(); ++i) {
        if (!mayDonate(pools, needs, i, receiver, hysteresisVms))
            continue;
        const bool hasSurplus = expectedVms(pools[i]) - 1 >= needs[i] + hysteresisVms;
        if (pools[i].spare && hasSurplus)
            return i;
        if (!best || expectedVms(pools[i]) - needs[i] > expectedVms(pools[*best]) - needs[*best])
            best = i;
    }
    return best;
}

} // namespace

void updateDemand(State& state, const std::vector<Pool>& pools, Duration smoothing, TimePoint now)
{
    if (state.startedAt == TimePoint {})
        state.updatedAt = state.startedAt = now;
    const double elapsed = std::chrono::duration<double>(now - state.updatedAt).count();
    const double sampleWeight = 1 - std::exp(-elapsed / std::chrono::duration<double>(smoothing).count());
    state.updatedAt = now;
    state.totalWeight += sampleWeight * (1 - state.totalWeight);
    for (const auto& pool : pools) {
        const double currentDemand
            = pool.busySlots + queuedDemandWeight * std::min(pool.queued, pool.busySlots);
        double& mean = state.weightedDemand[pool.name];
        mean += sampleWeight * (currentDemand - mean);
    }
}

double smoothedDemand(const State& state, std::string_view pool)
{
    const auto it = state.weightedDemand.find(pool);
    if (it == state.weightedDemand.end() || state.totalWeight <= 0)
        return 0;
    return it->second / state.totalWeight;
}

double headroomFactor(const Settings& settings)
{
    const double weightSum = settings.weights.buffer + settings.weights.rollout;
    const double rolloutShare = weightSum > 0 ? settings.weights.rollout / weightSum : 0;
    return settings.peakCover * (1 + maxRolloutHeadroom * rolloutShare);
}

double neededVms(const Pool& pool, double demandSlots, double headroomFactor)
{
    return std::max(double(pool.minVms), demandSlots * headroomFactor / pool.slotsPerVm);
}

std::vector<Move> balance(std::vector<Pool> pools, const std::vector<double>& needs, const Settings& settings)
{
    std::vector<Move> moves;
    std::uint32_t arriving = 0;
    for (const auto& pool : pools)
        arriving += pool.arriving;
    while (arriving < settings.maxArriving) {
        const auto receiver = chooseReceiver(pools, needs);
        if (!receiver)
            break;
        const auto donor = chooseDonor(pools, needs, *receiver, settings.hysteresisVms);
        if (!donor)
            break;
        --pools[*donor].vms;
        ++pools[*receiver].arriving;
        ++arriving;
        moves.push_back({ pools[*donor].name, pools[*receiver].name });
    }
    return moves;
}

} // namespace damask::move
