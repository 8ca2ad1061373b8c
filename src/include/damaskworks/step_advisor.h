/// \file
/// Asks the advice service for the tickets that a pool's steps wait for.
#pragma once

#include <damaskworks/metrics.h>
#include <damaskworks/step_advice.h>

#include <functional>
#include <memory>

namespace damask::fleet {

/// Keeps one question open at a time: the service answers a node's questions one after another.
class StepAdvisor {
public:
    /// \p onAnswer is called after each answer has been applied to \p state.
    StepAdvisor(AdviceControl& service, PoolState& state, const Clock& clock, Metrics& metrics,
        std::function<void()> onAnswer);
    ~StepAdvisor();
    /// Sends the next question, if there is one and none is open.
    void pass();

private:
    AdviceControl& m_service;
    PoolState& m_state;
    const Clock& m_clock;
    Metrics& m_metrics;
    std::function<void()> m_onAnswer;
    bool m_open = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
