/// \file
/// Balancer `round_robin`: chooses the endpoints with a free slot in turn. A baseline for comparisons.
#include <damaskworks/registry.h>
#include <damaskworks/request_policy.h>

namespace damask::request {
namespace {

Endpoint& choose(const Candidates& candidates)
{
    candidates.cursor = (candidates.cursor + 1) % candidates.endpoints.size();
    return *candidates.endpoints[candidates.cursor];
}

const bool registered = Registry<Balancer>::instance().add("round_robin", Balancer { choose });

} // namespace
} // namespace damask::request
