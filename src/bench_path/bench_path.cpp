/// \file
/// Measures throughput and latency of the request path on one node, compared with a bare libevhtp server
/// in the same run.
#include "../../testsuite/harness/fleet.h"

#include <cmath>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace damask;
using namespace damask::harness;
using nlohmann::json;

namespace {

constexpr int endpointCount = 4;
constexpr int rounds = 5;
constexpr int roundMilliseconds = 1500;
constexpr int connections = 24;
constexpr double targetRatio = 0.4;
constexpr double targetMemoryMb = 256;

struct Measurement {
    double perSecond = 0;
    double cpuMicrosPerRequest = 0; ///< processor time of the server
    double p50 = 0; ///< latency, microseconds
    double p99 = 0; ///< latency, microseconds
    std::string failed; ///< connections that ended or failed
};

/// Processor time used by a process, in seconds.
double cpuSeconds(pid_t pid)
{
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string word;
    double ticks = 0;
    for (int field = 1; field <= 15 && stat >> word; ++field) {
        if (field >= 14)
            ticks += std::atof(word.c_str());
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

Measurement measure(const Address& address, pid_t server, const std::string& path)
{
    const double before = cpuSeconds(server);
    const auto result = runCommand({ binary("bench_load"), http::toString(address), path,
        std::to_string(connections), std::to_string(roundMilliseconds) });
    const double used = cpuSeconds(server) - before;
    const auto numberField
        = [&](const std::string& key) { return std::atof(Process::field(result.output, key).c_str()); };
    const double perSecond = numberField("ok_per_s");
    const double answers = perSecond * roundMilliseconds / 1000;
    return { perSecond, 1e6 * used / answers, numberField("p50_us"), numberField("p99_us"),
        Process::field(result.output, "failed") };
}

double peakResidentMb(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::atof(line.c_str() + 6) / 1024;
    }
    return 0;
}

} // namespace

int main()
{
    Fleet fleet;
    std::vector<std::unique_ptr<Process>> servers;
    std::vector<Address> addresses;
    for (int i = 0; i < endpointCount; ++i) {
        servers.push_back(
            std::make_unique<Process>(std::vector<std::string> { binary("bench_bare_server") }));
        const auto port = Process::field(servers.back()->waitForEvent("listening"), "port");
        addresses.push_back({ "127.0.0.1", static_cast<std::uint16_t>(std::stoi(port)) });
    }
    auto& daemon = fleet.startDaemon("a", "east");
    fleet.publishVmList();
    fleet.create(daemon.admin, "pools", "pricing", json::object());
    for (int i = 0; i < endpointCount; ++i)
        fleet.create(daemon.admin, "vms", "vm-" + std::to_string(i),
            { { "pool", "pricing" }, { "address", http::toString(addresses[static_cast<std::size_t>(i)]) },
                { "dataCentre", "east" }, { "rack", "r" + std::to_string(i) } });
    fleet.create(daemon.admin, "configurations", "current",
        { { "routes", { { { "prefix", "/" }, { "pool", "pricing" } } } } });
    if (!fleet.eventually([&] {
            auto got = fleet.call(daemon.callers, { .path = "/quote" });
            return got && got->status == 200;
        }))
        return 1;

    std::vector<double> ratios;
    std::cout << "| round | bare/s | damaskd/s | ratio | bare cpu us | damaskd cpu us | bare p50 us | "
                 "damaskd p50 us | "
                 "damaskd p99 us | failed |\n|---|---|---|---|---|---|---|---|---|---|\n";
    for (int round = 1; round <= rounds; ++round) {
        const auto bareServer = measure(addresses[0], servers[0]->pid(), "/quote");
        const auto requestPath = measure(daemon.callers, daemon.process->pid(), "/quote");
        ratios.push_back(requestPath.perSecond / bareServer.perSecond);
        std::cout << "| " << round << " | " << bareServer.perSecond << " | " << requestPath.perSecond << " | "
                  << ratios.back() << " | " << bareServer.cpuMicrosPerRequest << " | "
                  << requestPath.cpuMicrosPerRequest << " | " << bareServer.p50 << " | " << requestPath.p50
                  << " | " << requestPath.p99 << " | " << requestPath.failed << " |" << std::endl;
    }
    std::sort(ratios.begin(), ratios.end());
    const double median = ratios[ratios.size() / 2];
    const double memoryMb = peakResidentMb(daemon.process->pid());
    std::cout << "\nmedian ratio " << median << " (target " << targetRatio << "), peak memory " << memoryMb
              << " MB (target below " << targetMemoryMb << ")\n";
    return median >= targetRatio && memoryMb < targetMemoryMb ? 0 : 1;
}
