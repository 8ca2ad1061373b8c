#include <damaskworks/sliding_sum.h>

#include <algorithm>

namespace damask {

void SlidingSum::add(TimePoint now, std::int64_t amount)
{
    const auto slot = slotNumber(now);
    const auto firstToClear = std::max(m_newestSlot + 1, slot - slotCount + 1);
    for (auto number = firstToClear; number <= slot; ++number)
        m_amounts[static_cast<std::size_t>(number % slotCount)] = 0;
    m_newestSlot = std::max(m_newestSlot, slot);
    m_amounts[static_cast<std::size_t>(slot % slotCount)] += amount;
}

std::int64_t SlidingSum::sum(TimePoint now) const
{
    std::int64_t out = 0;
    const auto oldest = std::max(slotNumber(now) - slotCount + 1, m_newestSlot - slotCount + 1);
    for (auto number = std::max<std::int64_t>(oldest, 0); number <= m_newestSlot; ++number)
        out += m_amounts[static_cast<std::size_t>(number % slotCount)];
    return out;
}

} // namespace damask
