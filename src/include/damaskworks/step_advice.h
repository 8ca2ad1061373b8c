/// \file
/// Which VMs to ask the advice service about, and what its answers allow.
#pragma once

#include <damaskworks/pool_state.h>

#include <optional>
#include <string>
#include <vector>

namespace damask::fleet {

/// A question to the advice service.
struct AdviceQuestion {
    StepId step;
    std::vector<std::string> vms;
    milliseconds expected { 0 }; ///< until the answer
};

/// The next question, for the most urgent step that waits for a ticket; marks the step as asked about.
std::optional<AdviceQuestion> planAdvice(PoolState& state, TimePoint now);
/// Takes in an answer. A failed question is repeated after a pause.
void applyAdvice(PoolState& state, const AdviceQuestion& question,
    const tl::expected<Advice, OrderOutcome>& answer, TimePoint now);

} // namespace damask::fleet
