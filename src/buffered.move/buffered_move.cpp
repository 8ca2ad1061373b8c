/// \file
/// Move policy "buffered": follows the smoothed demand, so that a peak of a few seconds causes no move.
/// Holds a buffer of VMs in each pool, sized by the organisation's cost weights.
#include <damaskworks/move.h>
#include <damaskworks/registry.h>

namespace damask::move {
namespace {

std::vector<Move> decideBuffered(
    State& state, const std::vector<Pool>& pools, const Settings& settings, TimePoint now)
{
    updateDemand(state, pools, settings.smoothing, now);
    // Until the time constant has passed, the first samples dominate the mean.
    if (now - state.startedAt < settings.smoothing)
        return {};
    std::vector<double> needs;
    for (const auto& pool : pools)
        needs.push_back(neededVms(pool, smoothedDemand(state, pool.name), headroomFactor(settings)));
    return balance(pools, needs, settings);
}

[[maybe_unused]] const bool registered = Registry<Policy>::instance().add("buffered", decideBuffered);

} // namespace
} // namespace damask::move
