#include "jobs_plan.h"

#include <damaskworks/registry.h>

namespace damask::jobs {
namespace {

/// The only key of this controller: one holder plans all jobs.
constexpr std::string_view allJobs = "all";

std::vector<std::string> keys(const Catalogue&) { return { std::string(allJobs) }; }

std::vector<controller::Action> planAll(
    const controller::View& view, std::string_view, std::any& plannerState)
{
    if (!plannerState.has_value())
        plannerState = PlannerState {};
    return plan(view, std::any_cast<PlannerState&>(plannerState));
}

[[maybe_unused]] const bool registered
    = Registry<controller::Definition>::instance().add("jobs", { keys, planAll });

} // namespace
} // namespace damask::jobs
