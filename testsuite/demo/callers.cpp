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
    m_again.startPeriodic(sendPeriod);
}

void Callers::leaveOut(const std::string& daemon) { std::erase(m_daemons, daemon); }

void Callers::sendRound()
{
    const auto& service = m_services[m_turn % m_services.size()];
    ++m_turn;
    send(service, service + "-" + std::to_string(m_nextId++));
}

void Callers::send(const std::string& service, const std::string& id)
{
    const auto& node = m_daemons[m_turn % m_daemons.size()];
    ++m_open;
    ++m_seen[service].sent;
    m_told[id].service = service;
    HttpRequest request { "POST", "/" + service, "", { { "X-Request-Id", id } }, "order " + id };
    m_fleet.client().send(
        m_fleet.daemon(node).callers, request, requestTimeout, [this, service, id](const HttpResult& result) {
            --m_open;
            take(service, id, result);
        });
}

void Callers::take(const std::string& service, const std::string& id, const HttpResult& result)
{
    auto& seen = m_seen[service];
    if (!result) {
        // A connection that was refused ran nothing; anything else is a request that was cut.
        result.error().bytesSent ? ++seen.cut : ++seen.notRun;
        return;
    }
    const std::string outcome(http::header(result->headers, "Damask-Outcome").value_or(""));
    if (outcome == "not-run") {
        ++seen.notRun;
        return;
    }
    if (outcome == "unknown") {
        ++seen.unknown;
        ++m_told[id].unknown;
        return;
    }
    ++m_told[id].done;
    const auto body = json::parse(result->body, nullptr, false);
    const bool own = result->status == 200 && body.is_object() && body.value("id", "") == id;
    own ? ++seen.done : ++seen.cut;
}

bool Callers::finish()
{
    m_again.stop();
    return m_fleet.loop().runUntil([this] { return m_open == 0; }, requestTimeout + 5s);
}

std::vector<std::string> Callers::mismatches()
{
    std::vector<std::string> out;
    auto runs = m_fleet.runCountsById();
    for (const auto& [id, told] : m_told) {
        const int ran = runs[id];
        if (ran > 1)
            out.push_back("doubled: " + id + " ran " + std::to_string(ran) + " times");
        if (told.done && ran == 0)
            out.push_back("lost: " + id + " was told done and did not run");
        if (!told.done && !told.unknown && ran > 0)
            out.push_back("wrong: " + id + " was told not run and ran");
    }
    return out;
}

} // namespace damask::demo
