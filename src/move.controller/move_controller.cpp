#include "move_plan.h"

#include <damaskworks/registry.h>

namespace damask::move {
namespace {

/// The only key of this controller: a policy compares all pools with each other.
constexpr std::string_view allPools = "all";

std::vector<std::string> keys(const Catalogue&) { return { std::string(allPools) }; }

std::vector<controller::Action> planAll(
    const controller::View& view, std::string_view, std::any& plannerState)
{
    if (!plannerState.has_value())
        plannerState = PlannerState {};
    return plan(view, std::any_cast<PlannerState&>(plannerState));
}

[[maybe_unused]] const bool registered
    = Registry<controller::Definition>::instance().add("move", { keys, planAll });

} // namespace
} // namespace damask::move
