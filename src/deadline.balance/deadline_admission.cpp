/// \file
/// Admission policy `deadline`: a request may wait only if the queue has room and the estimated wait leaves
/// enough time to meet its deadline.
#include <damaskworks/registry.h>
#include <damaskworks/request_policy.h>

namespace damask::request {
namespace {

std::optional<Reason> refuse(const QueueView& queue)
{
    if (queue.estimatedWait + queue.serviceTimeBound > queue.timeLeft)
        return Reason::DeadlineNear;
    if (queue.queued >= queue.queueLimit)
        return Reason::QueueFull;
    return std::nullopt;
}

const bool registered = Registry<Admission>::instance().add("deadline", Admission { refuse, true });

} // namespace
} // namespace damask::request
