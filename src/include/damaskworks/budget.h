/// \file
/// Availability budgets: which VMs of a pool are out of service, and whether one more may be.
#pragma once

#include <damaskworks/names.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace damask::budget {

/// Limit on VMs out of service in a pool without a budget.
inline constexpr std::uint32_t defaultMaxUnavailable = 1;

/// Why a VM is out of service.
enum class Reason { Wave, Move, Failure };

inline constexpr NameTable<Reason, 3> reasonNames { {
    { Reason::Wave, "wave" },
    { Reason::Move, "move" },
    { Reason::Failure, "failure" },
} };

/// A VM that is out of service, with a permit or because it failed.
struct Disruption {
    std::string vm;
    Reason reason = Reason::Failure;
    std::string operation; ///< `wave/<name>` or `move/<pool>`; empty for a failure outside of an operation

    bool operator==(const Disruption&) const = default;
};

/// Input of the decision on a permit.
struct Usage {
    std::vector<Disruption> disruptions; ///< as in the pool's status row
    std::set<std::string> notReportedHealthy; ///< VMs reported as not serving, or without a report
    std::uint32_t maxUnavailable = defaultMaxUnavailable; ///< smallest of the pool's budgets
};

/// Whether \p disruptions contains an entry for \p vm.
bool contains(const std::vector<Disruption>& disruptions, std::string_view vm);
/// Number of VMs that are out of service or are not reported healthy.
std::size_t unavailableCount(const Usage& usage);
/// Whether the budget allows taking \p vm, which is in service and healthy, out of service.
bool mayDisrupt(const Usage& usage, std::string_view vm);

} // namespace damask::budget
