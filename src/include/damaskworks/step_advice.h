/// \file
/// Requests to the advice service, which says which VMs may run a step, and handling of its responses.
#pragma once

#include <damaskworks/pool_state.h>

#include <optional>
#include <string>
#include <vector>

namespace damask::fleet {

/// A request to the advice service about one step.
struct AdviceRequest {
    StepId step;
    std::vector<std::string> vms; ///< ids
    milliseconds expected { 0 }; ///< expected time until the response
};

/// The next request, for the most urgent step that needs tickets. Marks the step's request as pending.
std::optional<AdviceRequest> planAdviceRequest(PoolState& state, TimePoint now);
/// Applies a response. A failed request is retried after a delay.
void applyAdvice(PoolState& state, const AdviceRequest& request,
    const tl::expected<Advice, CommandOutcome>& response, TimePoint now);

} // namespace damask::fleet
