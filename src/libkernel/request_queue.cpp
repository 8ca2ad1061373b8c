#include <damaskworks/request_queue.h>

#include <algorithm>

namespace damask::request {
namespace {

/// Updates byLength after a change in the number of requests of \p caller.
void updateLengthIndex(FairQueue& queue, const std::string& caller, std::size_t before, std::size_t after)
{
    if (before > 0)
        queue.byLength.erase({ before, caller });
    if (after > 0)
        queue.byLength.emplace(after, caller);
}

} // namespace

void push(FairQueue& queue, const std::string& caller, RequestId id)
{
    auto& requests = queue.byCaller[caller];
    const auto before = requests.size();
    if (!requests.insert(id).second)
        return;
    updateLengthIndex(queue, caller, before, before + 1);
    ++queue.size;
}

void erase(FairQueue& queue, const std::string& caller, RequestId id)
{
    auto found = queue.byCaller.find(caller);
    if (found == queue.byCaller.end() || found->second.erase(id) == 0)
        return;
    const auto after = found->second.size();
    updateLengthIndex(queue, caller, after + 1, after);
    if (after == 0)
        queue.byCaller.erase(found);
    --queue.size;
}

RequestId pop(FairQueue& queue)
{
    auto next = queue.byCaller.upper_bound(queue.lastServedCaller);
    if (next == queue.byCaller.end())
        next = queue.byCaller.begin();
    const auto id = *next->second.begin();
    queue.lastServedCaller = next->first;
    erase(queue, queue.lastServedCaller, id);
    return id;
}

std::size_t lengthOf(const FairQueue& queue, const std::string& caller)
{
    auto found = queue.byCaller.find(caller);
    return found == queue.byCaller.end() ? 0 : found->second.size();
}

std::optional<RequestId> newestOfLongestQueue(const FairQueue& queue, std::size_t length)
{
    if (queue.byLength.empty() || queue.byLength.rbegin()->first <= length)
        return std::nullopt;
    return *queue.byCaller.find(queue.byLength.rbegin()->second)->second.rbegin();
}

std::size_t maxServedBefore(const FairQueue& queue, const std::string& caller)
{
    const auto rounds = lengthOf(queue, caller) + 1;
    return std::min(queue.size, rounds * std::max<std::size_t>(queue.byCaller.size(), 1));
}

} // namespace damask::request
