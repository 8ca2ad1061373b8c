/// \file
/// Internal parts of the maintenance step.
#pragma once

#include <damaskworks/maintenance.h>

namespace damask::maintenance {

inline constexpr std::string_view wavePrefix = "wave/";
inline constexpr std::string_view movePrefix = "move/";

/// Whether the latest report shows the VM as reachable, healthy and not draining.
bool isServing(const Vm& vm);
/// The pool's budget usage according to its rows and the latest reports.
budget::Usage budgetUsage(const Pool& pool);
/// The wave that \p operation (`wave/<name>`) names, or nullptr.
Wave* findWave(Pool& pool, std::string_view operation);
/// Advances the phase of each VM that is out of service, and adds the commands to send to \p result.
void advanceVms(
    Pool& pool, VmTrackers& trackers, const Settings& settings, TimePoint now, StepResult& result);
/// Adds a disruption for each failed VM. Removes those of VMs that are healthy again or left the pool.
void updateFailureEntries(Pool& pool);
/// Grants permits for moves and waves, as far as the budget allows.
void grantPermits(Pool& pool, const Settings& settings, StepResult& result);
/// Updates the waves' phases, counts and conditions.
void updateWaves(Pool& pool);

} // namespace damask::maintenance
