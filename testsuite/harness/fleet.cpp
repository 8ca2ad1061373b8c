#include "fleet.h"

#include <sstream>
#include <stdexcept>

namespace damask::harness {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds conditionPollInterval { 20 };
constexpr std::size_t vmsPerRack = 4;

Address loopbackAddress(const std::string& port)
{
    if (port.empty())
        throw std::runtime_error("a fleet process exited before it logged its listening port");
    return { "127.0.0.1", static_cast<std::uint16_t>(std::stoi(port)) };
}

} // namespace

Fleet::Fleet(std::chrono::milliseconds vmListDelay)
    : m_client(m_loop.base(), HttpLimits { .maxBodyBytes = 64 << 20 })
    , m_platform(std::make_unique<Process>(
          std::vector<std::string> { binary("standin_platform"), std::to_string(vmListDelay.count()) }))
{
    m_platformAddress = loopbackAddress(Process::field(m_platform->waitForEvent("listening"), "port"));
}

Fleet::~Fleet() = default;

DaemonHandle& Fleet::startDaemon(
    const std::string& node, const std::string& dataCentre, const std::vector<std::string>& flags)
{
    std::vector<std::string> arguments { binary("damaskd"), "--node=" + node, "--data_centre=" + dataCentre,
        "--listen=127.0.0.1:0", "--admin_listen=127.0.0.1:0", "--peer_listen=127.0.0.1:0",
        "--platform=" + http::toString(m_platformAddress), "--poll_period_ms=100" };
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    DaemonHandle handle { node, dataCentre, std::make_unique<Process>(arguments), {}, {}, {} };
    const auto line = handle.process->waitForEvent("listening");
    handle.callers = loopbackAddress(Process::field(line, "caller_port"));
    handle.admin = loopbackAddress(Process::field(line, "admin_port"));
    handle.peers = loopbackAddress(Process::field(line, "peer_port"));
    m_daemons.erase(node);
    return m_daemons.emplace(node, std::move(handle)).first->second;
}

void Fleet::startEndpoints(const std::string& dataCentre, const std::vector<std::string>& ids)
{
    std::vector<std::string> arguments { binary("standin_endpoint") };
    arguments.insert(arguments.end(), ids.begin(), ids.end());
    m_endpointProcesses.push_back(std::make_unique<Process>(arguments));
    std::stringstream ports(Process::field(m_endpointProcesses.back()->waitForEvent("listening"), "ports"));
    std::size_t index = 0;
    for (const auto& id : ids) {
        std::string port;
        std::getline(ports, port, ',');
        m_endpoints[id] = { id, dataCentre, dataCentre + "-r" + std::to_string(index++ / vmsPerRack),
            loopbackAddress(port) };
    }
}

void Fleet::publishVmList(const std::vector<std::string>& excludedIds)
{
    json items = json::array();
    auto isExcluded = [&](const std::string& id) {
        return std::find(excludedIds.begin(), excludedIds.end(), id) != excludedIds.end();
    };
    for (const auto& [node, handle] : m_daemons) {
        if (!isExcluded(node))
            items.push_back({ { "id", node }, { "role", "entry" }, { "state", "live" },
                { "dataCentre", handle.dataCentre }, { "address", http::toString(handle.peers) },
                { "incarnation", 1 } });
    }
    for (const auto& [id, handle] : m_endpoints) {
        if (!isExcluded(id))
            items.push_back({ { "id", id }, { "role", "worker" }, { "state", "live" },
                { "dataCentre", handle.dataCentre }, { "rack", handle.rack },
                { "address", http::toString(handle.address) }, { "incarnation", 1 } });
    }
    callJson(m_platformAddress, "PUT", "/admin/vms", { { "items", items } });
}

HttpResult Fleet::call(const Address& address, const HttpRequest& request, std::chrono::milliseconds timeout)
{
    std::optional<HttpResult> answer;
    m_client.send(address, request, timeout, [&](HttpResult result) { answer = std::move(result); });
    m_loop.runUntil([&] { return answer.has_value(); }, timeout + 5s);
    if (!answer)
        throw std::runtime_error("the HTTP client returned no result for " + request.path);
    return *answer;
}

std::pair<int, json> Fleet::callJson(
    const Address& address, const std::string& method, const std::string& path, const json& body)
{
    const auto queryStart = path.find('?');
    HttpRequest request { method, path.substr(0, queryStart),
        queryStart == std::string::npos ? "" : path.substr(queryStart + 1), {},
        body.is_null() ? "" : body.dump() };
    auto result = call(address, request);
    if (!result)
        return { 0, nullptr };
    return { result->status, json::parse(result->body, nullptr, false) };
}

json Fleet::create(const Address& admin, const std::string& plural, const std::string& name, const json& spec)
{
    auto [status, body] = callJson(admin, "POST", "/v1/" + plural, { { "name", name }, { "spec", spec } });
    if (status != 201)
        throw std::runtime_error("creating " + plural + "/" + name + " returned status "
            + std::to_string(status) + ": " + body.dump());
    // The node may answer before its own copy of the table contains the write.
    eventually([&, path = "/v1/" + plural] {
        const auto items = callJson(admin, "GET", path).second.value("items", json::array());
        return std::any_of(
            items.begin(), items.end(), [&](const json& item) { return item["name"] == name; });
    });
    return body;
}

void Fleet::declarePool(
    const Address& admin, const std::string& pool, const std::vector<std::string>& vms, const json& spec)
{
    create(admin, "pools", pool, spec);
    for (const auto& id : vms) {
        const auto& vm = m_endpoints.at(id);
        create(admin, "vms", id,
            { { "pool", pool }, { "address", http::toString(vm.address) }, { "dataCentre", vm.dataCentre },
                { "rack", vm.rack } });
    }
}

bool Fleet::eventually(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        m_loop.runUntil([] { return false; }, conditionPollInterval);
    }
    return true;
}

void Fleet::setPlatformFaults(const json& faults)
{
    callJson(m_platformAddress, "POST", "/admin/faults", faults);
}

std::map<std::string, int> Fleet::runCountsById()
{
    std::map<std::string, int> runs;
    for (const auto& [id, endpoint] : m_endpoints) {
        for (const auto& run : runsOf(id))
            ++runs[run.value("id", "")];
    }
    return runs;
}

json Fleet::runsOf(const std::string& endpoint)
{
    return callJson(m_endpoints.at(endpoint).address, "POST", "/_control/runs", json::object())
        .second.value("runs", json::array());
}

} // namespace damask::harness
