#include "locality_log_pvt.h"

#include <damaskworks/log.h>

namespace damask::fleet {

void reportLocality(PoolState& state, Metrics& metrics)
{
    for (const auto& placement : state.localityPlacements) {
        const std::string place(nameOf(localityPlaceNames, placement.place));
        const bool hasWaited = placement.waited.count() > 0;
        metrics.count(
            "task_locality_total{place=\"" + place + "\",waited=\"" + (hasWaited ? "yes" : "no") + "\"}");
        if (hasWaited)
            metrics.observe("task_locality_wait_seconds", placement.waited);
        if (placement.place == LocalityPlace::InRack && !hasWaited)
            continue;
        logEvent(LogLevel::Info, "task_locality",
            { { "task", toString(placement.task) }, { "vm", placement.vm }, { "rack", placement.rack },
                { "place", place }, { "waited_ms", std::to_string(placement.waited.count()) },
                { "reason",
                    placement.reason ? std::string(nameOf(localityReasonNames, *placement.reason)) : "" } });
    }
    state.localityPlacements.clear();
}

} // namespace damask::fleet
