/// \file
/// Checks the invariants of the request path. The checker sees only the events passed to decide() and the
/// actions it returns. It keeps its own record and shares no code with the implementation.
#pragma once

#include <damaskworks/request.h>

#include <map>
#include <string>
#include <vector>

namespace damask::request::test {

/// One request, as recorded by the checker.
struct ObservedRequest {
    std::string pool;
    TimePoint deadline;
    bool idempotent = false;
    bool inFlight = false;
    bool answered = false;
    bool isCallerDisconnected = false;
    bool mayHaveRun = false; ///< an attempt was answered or has failed
    bool isWaiting = false;
    std::uint32_t attempts = 0;
    EndpointId endpoint;
};

/// One endpoint, as recorded by the checker.
struct ObservedEndpoint {
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
    bool accepting = false;
};

/// Passes events to decide() and records each violated invariant.
class Checker {
public:
    std::vector<Action> apply(State& state, const Event& event, TimePoint now);
    const std::vector<std::string>& violations() const { return m_violations; }
    const std::map<RequestId, ObservedRequest>& requests() const { return m_requests; }
    /// Checks, after the last event, that each request has its final reply.
    void checkAllAnswered();

private:
    void recordEvent(const Arrived& event, TimePoint now);
    void recordEvent(const AttemptEnded& event, TimePoint now);
    void recordEvent(const CallerDisconnected& event, TimePoint now);
    void recordEvent(const PoolChanged& event, TimePoint now);
    void recordEvent(const EntryVmsChanged&, TimePoint) { }
    void recordEvent(const Tick&, TimePoint) { }
    void recordEvent(const StopRequested&, TimePoint) { m_stopping = true; }
    void check(const Dispatch& action, TimePoint now);
    void check(const Reply& action, TimePoint now);
    void check(const CancelAttempt& action, TimePoint now);
    void endAttempt(ObservedRequest& request);
    void checkInvariants(TimePoint now);
    void expect(bool holds, const std::string& invariant);

    std::map<RequestId, ObservedRequest> m_requests;
    std::map<std::string, std::map<EndpointId, ObservedEndpoint>> m_endpoints;
    std::map<std::string, std::size_t> m_queueLimits;
    std::vector<std::string> m_violations;
    const AttemptEnded* m_endedAttempt = nullptr; ///< the current event, if it ends an attempt in flight
    bool m_stopping = false;
};

} // namespace damask::request::test
