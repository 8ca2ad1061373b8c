/// \file
/// Move policy "static", a baseline: never moves a VM.
#include <damaskworks/move.h>
#include <damaskworks/registry.h>

namespace damask::move {
namespace {

[[maybe_unused]] const bool registered = Registry<Policy>::instance().add("static",
    [](State&, const std::vector<Pool>&, const Settings&, TimePoint) { return std::vector<Move> {}; });

} // namespace
} // namespace damask::move
