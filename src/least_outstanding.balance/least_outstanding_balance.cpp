/// \file
/// Balancer `least_outstanding`: chooses the endpoint with the fewest requests in flight, by a linear scan.
/// A baseline for comparisons.
#include <damaskworks/registry.h>
#include <damaskworks/request_policy.h>

#include <algorithm>

namespace damask::request {
namespace {

Endpoint& choose(const Candidates& candidates)
{
    return **std::min_element(candidates.endpoints.begin(), candidates.endpoints.end(),
        [](const Endpoint* a, const Endpoint* b) { return a->inFlight < b->inFlight; });
}

const bool registered = Registry<Balancer>::instance().add("least_outstanding", Balancer { choose });

} // namespace
} // namespace damask::request
