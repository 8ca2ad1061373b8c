#include "callers.h"

namespace damask::demo {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::chrono::milliseconds sendPeriod { 10 };
constexpr std::chrono::milliseconds requestTimeout { 10'000 };

} // namespace

void Callers::start(const std::vector<Service>& services, std::vector<std::string> daemons)
{
    for (const auto& service : services)
        m_services.push_back(service.name);
    m_daemons = std::move(daemons);
    m_sendTimer.startPeriodic(sendPeriod);
}

void Callers::stopUsing(const std::string& daemon) { std::erase(m_daemons, daemon); }

void Callers::sendNext()
{
    const auto& service = m_services[m_turn % m_services.size()];
    ++m_turn;
    send(service, service + "-" + std::to_string(m_nextId++));
}

void Callers::send(const std::string& service, const std::string& id)
{
    const auto& node = m_daemons[m_turn % m_daemons.size()];
    ++m_openRequests;
    ++m_countsByService[service].sent;
    m_outcomesById[id].service = service;
    HttpRequest request { "POST", "/" + service, "", { { "X-Request-Id", id } }, "order " + id };
    m_fleet.client().send(
        m_fleet.daemon(node).callers, request, requestTimeout, [this, service, id](const HttpResult& result) {
            --m_openRequests;
            recordResult(service, id, result);
        });
}

void Callers::recordResult(const std::string& service, const std::string& id, const HttpResult& result)
{
    auto& counts = m_countsByService[service];
    if (!result) {
        // If no bytes were sent, nothing ran. Otherwise the response was cut off.
        result.error().mayHaveBeenSent ? ++counts.cut : ++counts.notRun;
        return;
    }
    const std::string outcome(http::header(result->headers, "Damask-Outcome").value_or(""));
    if (outcome == "not-run") {
        ++counts.notRun;
        return;
    }
    if (outcome == "unknown") {
        ++counts.unknown;
        ++m_outcomesById[id].unknown;
        return;
    }
    ++m_outcomesById[id].done;
    const auto body = json::parse(result->body, nullptr, false);
    const bool isOwnResponse = result->status == 200 && body.is_object() && body.value("id", "") == id;
    isOwnResponse ? ++counts.done : ++counts.cut;
}

bool Callers::finish()
{
    m_sendTimer.stop();
    return m_fleet.loop().runUntil([this] { return m_openRequests == 0; }, requestTimeout + 5s);
}

std::vector<std::string> Callers::mismatches()
{
    std::vector<std::string> out;
    auto runs = m_fleet.runCountsById();
    for (const auto& [id, outcomes] : m_outcomesById) {
        const int ran = runs[id];
        if (ran > 1)
            out.push_back("duplicated: " + id + " ran " + std::to_string(ran) + " times");
        if (outcomes.done && ran == 0)
            out.push_back("lost: " + id + " was reported as done but did not run");
        if (!outcomes.done && !outcomes.unknown && ran > 0)
            out.push_back("wrong: " + id + " was reported as not run but ran");
    }
    return out;
}

} // namespace damask::demo
