/// \file
/// Move policy "reactive", a baseline: follows the current demand, queued requests included, without
/// smoothing.
#include <damaskworks/move.h>
#include <damaskworks/registry.h>

namespace damask::move {
namespace {

std::vector<Move> decideReactive(State&, const std::vector<Pool>& pools, const Settings& settings, TimePoint)
{
    std::vector<double> needs;
    for (const auto& pool : pools)
        needs.push_back(neededVms(pool, pool.busySlots + pool.queued, 1));
    return balance(pools, needs, settings);
}

[[maybe_unused]] const bool registered = Registry<Policy>::instance().add("reactive", decideReactive);

} // namespace
} // namespace damask::move
