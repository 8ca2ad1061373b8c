/// \file
/// Plan function of the move controller. A move policy decides which pools give VMs to which other pools;
/// the plan chooses the VMs and sets their move target. The pool controller then drains, reassigns and
/// attaches them.
#pragma once

#include <damaskworks/controller.h>
#include <damaskworks/move.h>

namespace damask::move {

/// In-memory state of one lease holder between plans.
struct PlannerState {
    State policyState;
};

/// A move policy and its settings.
struct SelectedPolicy {
    const Policy* policy = nullptr; ///< nullptr: the configuration names an unknown policy
    Settings settings;
};
/// Reads the policy and its settings from the configuration in force.
SelectedPolicy selectPolicy(const Catalogue& catalogue);

/// Reads all pools with their VMs and demand, as input for the policy.
std::vector<Pool> readPools(const controller::View& view);
/// Chooses the VM that pool \p from gives: the one with the fewest running requests and tasks, or nullptr if
/// no VM can be moved.
const Resource* chooseVm(const controller::View& view, std::string_view from);

std::vector<controller::Action> plan(const controller::View& view, PlannerState& plannerState);

} // namespace damask::move
