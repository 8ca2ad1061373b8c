#include <damaskworks/log.h>
#include <damaskworks/step_advisor.h>

namespace damask::fleet {

StepAdvisor::StepAdvisor(AdviceControl& service, PoolState& state, const Clock& clock, Metrics& metrics,
    std::function<void()> onAnswer)
    : m_service(service)
    , m_state(state)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_onAnswer(std::move(onAnswer))
{
}

StepAdvisor::~StepAdvisor() { *m_alive = false; }

void StepAdvisor::requestNext()
{
    if (m_isRequestOpen)
        return;
    const auto question = planAdviceRequest(m_state, m_clock.now());
    if (!question)
        return;
    m_isRequestOpen = true;
    m_service.requestAdvice(question->step, question->vms, question->expected,
        [this, alive = m_alive, question = *question, sentAt = m_clock.now()](
            const tl::expected<Advice, CommandOutcome>& answer) {
            if (!*alive)
                return;
            m_isRequestOpen = false;
            const auto now = m_clock.now();
            m_metrics.observe("advice_seconds", now - sentAt);
            logEvent(answer ? LogLevel::Info : LogLevel::Warning, "step_advice",
                { { "step", toString(question.step) }, { "asked", std::to_string(question.vms.size()) },
                    { "outcome",
                        answer ? "answered" : std::string(nameOf(commandOutcomeNames, answer.error())) },
                    { "allowed", std::to_string(answer ? answer->tickets.size() : 0) } });
            applyAdvice(m_state, question, answer, now);
            m_onAnswer();
        });
}

} // namespace damask::fleet
