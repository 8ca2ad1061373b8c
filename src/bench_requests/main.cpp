/// \file
/// Compares the policies of the request path. Prints a Markdown table with one row per scenario.
#include "simulate_pvt.h"

#include <cstdio>
#include <string>
#include <vector>

using namespace damask;
using namespace damask::bench;

namespace {

struct Policy {
    std::string name;
    std::string balancer;
    std::string admission;
    bool ejection; ///< whether unhealthy endpoints are ejected
};

const std::vector<Policy> policies {
    { "weighted", "weighted", "deadline", true },
    { "weighted, no_admission", "weighted", "no_admission", true },
    { "round_robin", "round_robin", "deadline", false },
    { "least_outstanding", "least_outstanding", "deadline", false },
};

double percent(std::uint64_t part, std::uint64_t whole) { return 100.0 * double(part) / double(whole); }

void printRow(const Policy& policy, const Scenario& scenario)
{
    const auto result = simulate(scenario);
    std::printf("| %s | %s | %g | %s | %.0f | %.1f%% | %.1f%% | %.1f%% | %.1f%% | %.0f | %.0f | %.4f |\n",
        policy.name.c_str(), std::string(nameOf(demandPatternNames, scenario.pattern)).c_str(), scenario.load,
        std::string(nameOf(faultNames, scenario.fault)).c_str(), result.goodput(),
        percent(result.good, result.offered), percent(result.refused, result.offered),
        percent(result.late, result.offered), percent(result.failed, result.offered), result.p50, result.p99,
        double(result.retries) / double(result.offered));
}

void printTable(const Policy& policy, DemandPattern pattern)
{
    for (const auto load : { 0.5, 1.0, 2.0, 5.0 }) {
        for (const auto& [fault, name] : faultNames)
            printRow(policy, { policy.balancer, policy.admission, policy.ejection, pattern, load, fault, 1 });
    }
}

} // namespace

int main()
{
    std::printf(
        "| policy | demand | load | fault of one endpoint of ten | goodput /s | good | refused | late "
        "| failed | p50 ms | p99 ms | retries per request |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto pattern : { DemandPattern::Steady, DemandPattern::Peaks }) {
        for (const auto& policy : policies)
            printTable(policy, pattern);
    }
    return 0;
}
