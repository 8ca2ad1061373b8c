#include <damaskworks/step_advice.h>

#include "placement_choice_pvt.h"
#include "pool_state_pvt.h"

#include <algorithm>

namespace damask::fleet {
namespace {

/// VMs asked about at once: the objective allows for the time of one question about so many.
constexpr std::size_t vmsPerQuestion = 30;
/// After a question that failed; the service takes one call of a node at a time.
constexpr milliseconds questionPause { 200 };

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

std::optional<AdviceQuestion> planAdvice(PoolState& state, TimePoint now)
{
    for (const auto& id : state.wantAdvice) {
        auto* step = findStep(state, id);
        if (!step || step->advice.asked || now < step->advice.nextQuestion)
            continue;
        const auto& job = state.jobs.find(id.job)->second;
        const auto queue = state.queues.find(job.spec.queue);
        if (queue == state.queues.end() || !queue->second.advice)
            continue;
        auto vms = vmsToAskAbout(state, job, { id.job, id.occurrence, id.step, 0 }, vmsPerQuestion, now);
        if (vms.empty())
            continue;
        step->advice.asked = true;
        const auto& terms = *queue->second.advice;
        const auto count = static_cast<int>(vms.size());
        return AdviceQuestion { id, std::move(vms), terms.decision + terms.perVm * count };
    }
    return std::nullopt;
}

void applyAdvice(PoolState& state, const AdviceQuestion& question,
    const tl::expected<Advice, OrderOutcome>& answer, TimePoint now)
{
    auto* step = findStep(state, question.step);
    if (!step)
        return;
    auto& advice = step->advice;
    advice.asked = false;
    if (!answer) {
        advice.nextQuestion = now + questionPause;
        return;
    }
    for (const auto& vm : question.vms) {
        const auto ticket = answer->tickets.find(vm);
        if (ticket == answer->tickets.end())
            advice.denied.insert(vm);
        else
            advice.tickets[vm] = { ticket->second, now + answer->validFor };
    }
}

} // namespace damask::fleet
