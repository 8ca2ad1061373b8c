#include <damaskworks/ended_occurrences.h>

#include <algorithm>
#include <iterator>

namespace damask::fleet {

bool contains(const EndedOccurrences& ended, int number)
{
    const auto next = ended.ranges.upper_bound(number);
    return next != ended.ranges.begin() && std::prev(next)->second >= number;
}

void addRange(EndedOccurrences& ended, int first, int last)
{
    auto it = ended.ranges.upper_bound(first);
    if (it != ended.ranges.begin() && std::prev(it)->second >= first - 1)
        --it;
    // Replaces the ranges that overlap or touch the new one.
    while (it != ended.ranges.end() && it->first <= last + 1) {
        first = std::min(first, it->first);
        last = std::max(last, it->second);
        ended.count -= it->second - it->first + 1;
        it = ended.ranges.erase(it);
    }
    ended.ranges.emplace(first, last);
    ended.count += last - first + 1;
}

} // namespace damask::fleet
