#include <damaskworks/log.h>
#include <damaskworks/step_advisor.h>

namespace damask::fleet {

StepAdvisor::StepAdvisor(AdviceControl& service, PoolState& state, const Clock& clock, Metrics& metrics,
    std::function<void()> onResponse)
    : m_service(service)
    , m_state(state)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_onResponse(std::move(onResponse))
{
}

StepAdvisor::~StepAdvisor() { *m_alive = false; }

void StepAdvisor::requestNext()
{
    if (m_isRequestOpen)
        return;
    const auto request = planAdviceRequest(m_state, m_clock.now());
    if (!request)
        return;
    m_isRequestOpen = true;
    m_service.requestAdvice(request->step, request->vms, request->expected,
        [this, alive = m_alive, request = *request, sentAt = m_clock.now()](
            const tl::expected<Advice, CommandOutcome>& response) {
            if (!*alive)
                return;
            m_isRequestOpen = false;
            const auto now = m_clock.now();
            m_metrics.observe("advice_seconds", now - sentAt);
            logEvent(response ? LogLevel::Info : LogLevel::Warning, "step_advice",
                { { "step", toString(request.step) }, { "asked", std::to_string(request.vms.size()) },
                    { "outcome",
                        response ? "answered" : std::string(nameOf(commandOutcomeNames, response.error())) },
                    { "allowed", std::to_string(response ? response->tickets.size() : 0) } });
            applyAdvice(m_state, request, response, now);
            m_onResponse();
        });
}

} // namespace damask::fleet
