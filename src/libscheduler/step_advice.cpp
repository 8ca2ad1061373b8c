#include <damaskworks/step_advice.h>

#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"

#include <algorithm>

namespace damask::fleet {
namespace {

/// The objective of a job leaves time for one request about this many VMs.
constexpr std::size_t maxVmsPerRequest = 30;
/// Delay after a failed request; the service accepts one call of a node at a time.
constexpr milliseconds retryDelay { 200 };

StepState* findStep(PoolState& state, const StepId& id)
{
    const auto job = state.jobs.find(id.job);
    if (job == state.jobs.end() || isFinal(job->second.state))
        return nullptr;
    const auto occurrence = job->second.occurrences.find(id.occurrence);
    return occurrence == job->second.occurrences.end()
        ? nullptr
        : &occurrence->second.steps[static_cast<std::size_t>(id.step)];
}

} // namespace

std::optional<AdviceRequest> planAdviceRequest(PoolState& state, TimePoint now)
{
    for (const auto& id : state.stepsNeedingTickets) {
        auto* step = findStep(state, id);
        if (!step || step->advice.isRequestPending || now < step->advice.nextRequestAt)
            continue;
        const auto& job = state.jobs.find(id.job)->second;
        const auto settings = adviceSettings(state, job);
        if (!settings)
            continue;
        auto vms = adviceCandidates(state, job, { id.job, id.occurrence, id.step, 0 }, maxVmsPerRequest, now);
        if (vms.empty())
            continue;
        step->advice.isRequestPending = true;
        const auto count = static_cast<int>(vms.size());
        return AdviceRequest { id, std::move(vms), settings->baseLatency + settings->latencyPerVm * count };
    }
    return std::nullopt;
}

void applyAdvice(PoolState& state, const AdviceRequest& request,
    const tl::expected<Advice, CommandOutcome>& response, TimePoint now)
{
    auto* step = findStep(state, request.step);
    if (!step)
        return;
    auto& advice = step->advice;
    advice.isRequestPending = false;
    if (!response) {
        advice.nextRequestAt = now + retryDelay;
        return;
    }
    for (const auto& vm : request.vms) {
        const auto ticket = response->tickets.find(vm);
        if (ticket == response->tickets.end())
            advice.deniedVms.insert(vm);
        else
            advice.tickets[vm] = { ticket->second, now + response->validFor };
    }
}

} // namespace damask::fleet
