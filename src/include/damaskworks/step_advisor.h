/// \file
/// Requests from the advice service the tickets that steps of a pool need to run on a VM.
#pragma once

#include <damaskworks/metrics.h>
#include <damaskworks/step_advice.h>

#include <functional>
#include <memory>

namespace damask::fleet {

/// Sends one request at a time, since the service handles a node's requests one after another.
class StepAdvisor {
public:
    /// Applies each response to \p state, then calls \p onResponse.
    StepAdvisor(AdviceControl& service, PoolState& state, const Clock& clock, Metrics& metrics,
        std::function<void()> onResponse);
    ~StepAdvisor();
    /// Sends the next question if there is one and no other question is in flight.
    void requestNext();

private:
    AdviceControl& m_service;
    PoolState& m_state;
    const Clock& m_clock;
    Metrics& m_metrics;
    std::function<void()> m_onResponse;
    bool m_isRequestOpen = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< false once destroyed
};

} // namespace damask::fleet
