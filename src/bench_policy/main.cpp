/// \file
/// Prints the cost of each move policy for both organisations, at the same limit for refused requests.
/// With --sensitivity, prints how the cost of the buffered policy depends on the assumptions instead.
#include "simulation.h"

#include <cstdio>

using namespace damask::policy;

namespace {

constexpr double refusedLimit = 0.001;
constexpr std::uint32_t maxFleet = 150;

void printRow(
    const char* policy, const std::optional<SizedFleet>& sized, double staticIdle, const Scenario& scenario)
{
    if (!sized) {
        std::printf("| %s | none up to %u | - | - | - | - |\n", policy, maxFleet);
        return;
    }
    const auto& result = sized->result;
    std::printf("| %s | %u | %.0f | %.2f | %.4f%% | %.1f |\n", policy, sized->fleet,
        result.idleVmSeconds / scenario.days, result.idleVmSeconds / staticIdle, 100 * result.refusedShare,
        result.moves / scenario.days);
}

std::optional<SizedFleet> smallestFleetFor(
    const Organisation& organisation, const Scenario& scenario, const RunFunction& run)
{
    return smallestFleet(fleetForMean(organisation, scenario), maxFleet, refusedLimit, run);
}

std::optional<SizedFleet> smallestFleetForPolicy(
    const Organisation& organisation, const Scenario& scenario, const char* policy)
{
    return smallestFleetFor(organisation, scenario,
        [&](std::uint32_t fleet) { return runPolicy(organisation, scenario, fleet, policy); });
}

std::optional<SizedFleet> smallestStaticFleet(const Organisation& organisation, const Scenario& scenario)
{
    return smallestFleetFor(organisation, scenario,
        [&](std::uint32_t fleet) { return runStatic(organisation, scenario, fleet); });
}

void printOrganisation(const Organisation& organisation, const Scenario& scenario)
{
    const auto fixed = smallestStaticFleet(organisation, scenario);
    const auto buffered = smallestFleetForPolicy(organisation, scenario, "buffered");
    const double idle = fixed ? fixed->result.idleVmSeconds : 1;
    std::printf("\n%s\n\n", organisation.name.c_str());
    std::printf(
        "| policy | smallest fleet | idle VM-seconds a day | relative to static | refused | moves a day |\n");
    std::printf("|---|---|---|---|---|---|\n");
    printRow("static", fixed, idle, scenario);
    printRow("reactive", smallestFleetForPolicy(organisation, scenario, "reactive"), idle, scenario);
    printRow("buffered", buffered, idle, scenario);
    const auto clairvoyant = smallestFleetFor(organisation, scenario,
        [&](std::uint32_t fleet) { return runClairvoyant(organisation, scenario, fleet, refusedLimit); });
    printRow("clairvoyant", clairvoyant, idle, scenario);
    const auto pooled = smallestFleetFor(organisation, scenario,
        [&](std::uint32_t fleet) { return runPooled(organisation, scenario, fleet); });
    printRow("bound: any VM serves any pool", pooled, idle, scenario);
    if (!buffered)
        return;
    const auto clairvoyantRun = runClairvoyant(organisation, scenario, buffered->fleet, refusedLimit);
    if (!clairvoyantRun)
        return;
    std::printf("\nMoves a day with %u VMs: buffered %.1f, clairvoyant %.1f, ratio %.2f\n", buffered->fleet,
        buffered->result.moves / scenario.days, clairvoyantRun->moves / scenario.days,
        double(buffered->result.moves) / clairvoyantRun->moves);
}

/// Prints the cost of the buffered policy relative to the static split for a range of assumptions.
void printSensitivity(const Organisation& organisation)
{
    std::printf(
        "\n%s: idle VM-seconds of buffered relative to static, by assumption\n\n", organisation.name.c_str());
    std::printf("| drift amplitude | move time, s | static fleet | buffered fleet | relative to static |\n");
    std::printf("|---|---|---|---|---|\n");
    for (double amplitude : { 0.5, 0.8, 0.95 }) {
        for (double moveSeconds : { 5.0, 20.0, 120.0 }) {
            Scenario scenario;
            scenario.driftAmplitude = amplitude;
            scenario.moveSeconds = moveSeconds;
            const auto fixed = smallestStaticFleet(organisation, scenario);
            const auto buffered = smallestFleetForPolicy(organisation, scenario, "buffered");
            if (!fixed || !buffered)
                continue;
            std::printf("| %.2f | %.0f | %u | %u | %.2f |\n", amplitude, moveSeconds, fixed->fleet,
                buffered->fleet, buffered->result.idleVmSeconds / fixed->result.idleVmSeconds);
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    const bool showSensitivity = argc > 1 && std::string_view(argv[1]) == "--sensitivity";
    for (const auto& organisation : { sugarcraft(), linBrothers() }) {
        if (showSensitivity)
            printSensitivity(organisation);
        else
            printOrganisation(organisation, Scenario {});
    }
}
