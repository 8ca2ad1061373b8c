/// \file
/// Callers of the demo. They send requests with unique ids through all daemons and record the outcomes.
#pragma once

#include "../harness/fleet.h"

#include <map>
#include <string>
#include <vector>

namespace damask::demo {

/// One service of one firm.
struct Service {
    std::string firm;
    std::string name; ///< also the pool and the path
    std::vector<std::string> vms;
};

/// Numbers of outcomes that the callers of one service saw.
struct OutcomeCounts {
    int sent = 0;
    int done = 0;
    int notRun = 0;
    int unknown = 0;
    int cut = 0; ///< no complete response, or the response to another request
};

/// Callers of all services.
class Callers {
public:
    explicit Callers(harness::Fleet& fleet)
        : m_fleet(fleet)
        , m_sendTimer(fleet.loop().base(), [this] { sendNext(); })
    {
    }

    /// Starts to send one request per period, for the services in turn and through the daemons in turn.
    void start(const std::vector<Service>& services, std::vector<std::string> daemons);
    /// Stops sending through \p daemon, as a balancer does once the daemon announces that it stops.
    void stopUsing(const std::string& daemon);
    /// Stops sending and waits for all responses; returns false if one is missing.
    bool finish();
    const std::map<std::string, OutcomeCounts>& countsByService() const { return m_countsByService; }
    /// Compares the outcomes with what the endpoints ran; returns one line per mismatch.
    std::vector<std::string> mismatches();

private:
    /// Outcomes of one request id.
    struct RequestOutcomes {
        std::string service;
        int done = 0;
        int unknown = 0;
    };
    void sendNext();
    void send(const std::string& service, const std::string& id);
    void recordResult(const std::string& service, const std::string& id, const HttpResult& result);

    harness::Fleet& m_fleet;
    Timer m_sendTimer;
    std::vector<std::string> m_services;
    std::vector<std::string> m_daemons;
    std::map<std::string, OutcomeCounts> m_countsByService;
    std::map<std::string, RequestOutcomes> m_outcomesById;
    std::size_t m_turn = 0;
    int m_nextId = 0;
    int m_openRequests = 0;
};

} // namespace damask::demo
