/// \file
/// Cost of the control plane on one entry VM as the fleet grows: processor time, memory and requests to
/// the platform when idle, and processor time for each configuration change. After a small fleet come
/// fleets of n, 2n and 4n VMs, where 4n is the design size. In all rows but the last, a single daemon
/// holds every controller lease. In the last row it is one of eight daemons.
#include "../../testsuite/harness/fleet.h"

#include <cmath>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace damask;
using namespace damask::harness;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr int rowsPerTransaction = 500;
constexpr std::chrono::milliseconds settleTime { 6000 };
constexpr std::chrono::milliseconds idleTime { 10'000 };
constexpr int changeCount = 20;
constexpr std::chrono::milliseconds changePeriod { 250 };

struct FleetSize {
    int vms = 0;
    int pools = 0;
    int teams = 0;
    int daemons = 1;
};

struct Sample {
    double cpuSeconds = 0;
    double residentMb = 0;
    double reads = 0;
    double writes = 0;
    double requests = 0;
};

struct Result {
    FleetSize size;
    double idleCpuPercent = 0;
    double residentMb = 0;
    double readsPerSecond = 0;
    double writesPerSecond = 0;
    double requestsPerSecond = 0;
    double cpuMsPerChange = 0;
};

Sample takeSample(Fleet& fleet, const DaemonHandle& daemon)
{
    Sample out;
    const auto pid = std::to_string(daemon.process->pid());
    std::ifstream stat("/proc/" + pid + "/stat");
    std::string word;
    for (int field = 1; field <= 15 && stat >> word; ++field) {
        if (field >= 14)
            out.cpuSeconds += std::atof(word.c_str()) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
    std::ifstream status("/proc/" + pid + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:"))
            out.residentMb = std::atof(line.c_str() + 6) / 1024;
    }
    const auto counts = fleet.callJson(fleet.platform(), "GET", "/admin/counts").second;
    out.reads = counts["reads"];
    out.writes = counts["writes"];
    for (const auto& [client, count] : counts["requests"].items()) {
        if (client.starts_with("damaskd/"))
            out.requests += count.get<double>();
    }
    return out;
}

void runFor(Fleet& fleet, std::chrono::milliseconds time)
{
    fleet.loop().runUntil([] { return false; }, time);
}

/// Commits rows directly to the table, in place of many changes made by operators through the API.
void commitRows(Fleet& fleet, const std::vector<std::pair<std::string, json>>& rows)
{
    json writes = json::array();
    auto commit = [&] {
        if (!writes.empty())
            fleet.callJson(fleet.platform(), "POST", "/table/commit",
                { { "conditions", json::array() }, { "writes", writes } });
        writes = json::array();
    };
    for (const auto& [key, value] : rows) {
        writes.push_back({ { "key", key }, { "value", value.dump() } });
        if (writes.size() >= rowsPerTransaction)
            commit();
    }
    commit();
}

json makeSpec(const json& value) { return { { "generation", 1 }, { "spec", value } }; }

void createFleet(Fleet& fleet, const FleetSize& size)
{
    std::vector<std::pair<std::string, json>> rows;
    json listedVms = json::array();
    json routes = json::array();
    for (int i = 0; i < size.pools; ++i) {
        const auto pool = "pool-" + std::to_string(i);
        rows.emplace_back(
            "f/r/pool/" + pool, makeSpec({ { "slotsPerVm", 8 }, { "minVms", 1 }, { "spare", i == 0 } }));
        rows.emplace_back("f/r/budget/" + pool, makeSpec({ { "pool", pool }, { "maxUnavailable", 1 } }));
        routes.push_back({ { "prefix", "/" + pool + "/" }, { "pool", pool }, { "idempotent", false },
            { "urgent", false } });
    }
    for (int i = 0; i < size.teams; ++i)
        rows.emplace_back("f/r/team/team-" + std::to_string(i),
            makeSpec({ { "cpu", 100 }, { "memoryMb", 400'000 }, { "accelerators", 8 } }));
    for (int i = 0; i < size.vms; ++i) {
        const auto vm = "vm-" + std::to_string(i);
        const auto dataCentre = "dc-" + std::to_string(i % 8);
        const auto rack = dataCentre + "-r" + std::to_string(i / 32);
        const auto address = "127.0.0.1:" + std::to_string(20'000 + i);
        rows.emplace_back("f/r/vm/" + vm,
            makeSpec({ { "pool", "pool-" + std::to_string(i % size.pools) }, { "address", address },
                { "dataCentre", dataCentre }, { "rack", rack }, { "cpu", 16 }, { "memoryMb", 32'768 },
                { "accelerators", i % 2 ? 3 : 0 } }));
        listedVms.push_back(
            { { "id", vm }, { "role", "worker" }, { "state", "live" }, { "dataCentre", dataCentre },
                { "rack", rack }, { "address", address }, { "incarnation", 1 }, { "static", true } });
    }
    rows.emplace_back(
        "f/r/configuration/current", makeSpec({ { "routes", routes }, { "policy", json::object() } }));
    commitRows(fleet, rows);
    fleet.callJson(fleet.platform(), "PUT", "/admin/vms", { { "items", listedVms } });
}

void changeConfiguration(Fleet& fleet, const Address& admin, int number)
{
    const auto current = fleet.callJson(admin, "GET", "/v1/configurations/current").second;
    auto changedSpec = current["spec"];
    changedSpec["routes"].push_back(
        { { "prefix", "/extra-" + std::to_string(number) }, { "pool", "pool-0" } });
    fleet.callJson(admin, "PUT", "/v1/configurations/current",
        { { "resourceVersion", current["resourceVersion"] }, { "spec", changedSpec } });
}

Result measure(const FleetSize& size)
{
    Fleet fleet;
    createFleet(fleet, size);
    // The last flag wins: this restores the default period, which the harness overrides.
    auto& daemon = fleet.startDaemon("a", "dc-0", { "--poll_period_ms=1000" });
    auto listedVms = fleet.callJson(fleet.platform(), "GET", "/vms").second["items"];
    for (int i = 1; i < size.daemons; ++i)
        fleet.startDaemon(
            "d" + std::to_string(i), "dc-" + std::to_string(i % 8), { "--poll_period_ms=1000" });
    for (int i = 0; i < size.daemons; ++i) {
        const auto& entry = i == 0 ? daemon : fleet.daemon("d" + std::to_string(i));
        listedVms.push_back({ { "id", entry.node }, { "role", "entry" }, { "state", "live" },
            { "dataCentre", entry.dataCentre }, { "address", http::toString(entry.peers) },
            { "incarnation", 1 } });
    }
    fleet.callJson(fleet.platform(), "PUT", "/admin/vms", { { "items", listedVms } });
    fleet.eventually([&] {
        const auto status = fleet.callJson(daemon.admin, "GET", "/v1/status").second;
        return status.is_object() && status.value("configurationGeneration", 0) == 1;
    });
    runFor(fleet, settleTime);
    const auto start = takeSample(fleet, daemon);
    runFor(fleet, idleTime);
    const auto idle = takeSample(fleet, daemon);
    for (int i = 0; i < changeCount; ++i) {
        changeConfiguration(fleet, daemon.admin, i);
        runFor(fleet, changePeriod);
    }
    const auto changed = takeSample(fleet, daemon);
    const double seconds = std::chrono::duration<double>(idleTime).count();
    const double idleCpu = (idle.cpuSeconds - start.cpuSeconds) / seconds;
    const double changeSeconds = changeCount * std::chrono::duration<double>(changePeriod).count();
    Result out { size };
    out.idleCpuPercent = 100 * idleCpu;
    out.residentMb = changed.residentMb;
    out.readsPerSecond = (idle.reads - start.reads) / seconds;
    out.writesPerSecond = (idle.writes - start.writes) / seconds;
    out.requestsPerSecond = (idle.requests - start.requests) / seconds;
    out.cpuMsPerChange
        = 1000 * (changed.cpuSeconds - idle.cpuSeconds - idleCpu * changeSeconds) / changeCount;
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    const int selectedVms = argc > 1 ? std::atoi(argv[1]) : 0; // runs only the sizes with so many VMs; 0: all
    std::cout
        << "| daemons | VMs | pools | teams | idle CPU % of a core | resident MB | table reads/s | table "
           "writes/s | platform requests/s | CPU ms a configuration change |\n"
           "|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto& size : { FleetSize { 50, 5, 10 }, FleetSize { 248, 14, 58 }, FleetSize { 495, 27, 115 },
             FleetSize { 990, 53, 230 }, FleetSize { 990, 53, 230, 8 } }) {
        if (selectedVms && size.vms != selectedVms)
            continue;
        const auto result = measure(size);
        std::cout << "| " << size.daemons << " | " << size.vms << " | " << size.pools << " | " << size.teams
                  << " | " << result.idleCpuPercent << " | " << result.residentMb << " | "
                  << result.readsPerSecond << " | " << result.writesPerSecond << " | "
                  << result.requestsPerSecond << " | " << result.cpuMsPerChange << " |" << std::endl;
    }
}
