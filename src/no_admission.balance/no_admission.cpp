/// \file
/// Admission policy `no_admission`: every request may wait, in a queue without a limit. A baseline for
/// comparisons.
#include <damaskworks/registry.h>
#include <damaskworks/request_policy.h>

namespace damask::request {
namespace {

std::optional<Reason> refuse(const QueueView&) { return std::nullopt; }

const bool registered = Registry<Admission>::instance().add("no_admission", Admission { refuse, false });

} // namespace
} // namespace damask::request
