/// \file
/// The choice of a VM for one task.
#pragma once

#include <damaskworks/pool_state.h>

namespace damask::fleet {

/// VM on which the task starts now; nullptr if it has to wait. \p waited is the age of its
/// occurrence.
VmState* chooseVm(
    PoolState& state, const JobEntry& job, const TaskId& id, milliseconds waited, TimePoint now);

/// Whether the job's tasks run only on VMs with a ticket.
bool needsTicket(const PoolState& state, const JobEntry& job);
/// VMs with room for the task of which it is not known whether they may run it, best first.
std::vector<std::string> vmsToAskAbout(
    const PoolState& state, const JobEntry& job, const TaskId& id, std::size_t limit, TimePoint now);

} // namespace damask::fleet
