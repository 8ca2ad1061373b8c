/// \file
/// Requests from the advice service the tickets that steps of a pool need to run on a VM.
#pragma once

#include <damaskworks/metrics.h>
#include <damaskworks/step_advice.h>

#include <functional>
#include <memory>

namespace damask::fleet {

/// Sends one question at a time, since the service answers a node's questions one after another.
class StepAdvisor {
public:
    /// Applies each answer to \p state, then calls \p onAnswer.
    StepAdvisor(AdviceControl& service, PoolState& state, const Clock& clock, Metrics& metrics,
        std::function<void()> onAnswer);
    ~StepAdvisor();
    /// Sends the next question if there is one and no other question is in flight.
    void requestNext();

private:
    AdviceControl& m_service;
    PoolState& m_state;
    const Clock& m_clock;
    Metrics& m_metrics;
    std::function<void()> m_onAnswer;
    bool m_isRequestOpen = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
