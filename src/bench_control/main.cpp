/// \file
/// Prints measurements of the control traffic. Usage: `bench_control [spread|steady|return]`.
#include "bench_pvt.h"

#include <damaskworks/log.h>

#include <string_view>

int main(int argc, char** argv)
{
    using namespace damask;
    const std::string_view selected = argc > 1 ? argv[1] : "";
    initializeLogging(LogLevel::Error, "bench");
    if (selected.empty() || selected == "return") {
        for (const int nodes : { 8, 24, 72 })
            bench::measureTableRecovery(nodes);
    }
    if (selected.empty() || selected == "steady")
        bench::measureSteady(72, 5);
    if (selected.empty() || selected == "spread") {
        for (const int nodes : { 8, 24, 72 })
            bench::measureSpread(nodes, 5);
        bench::measureSpread(72, 53);
    }
}
