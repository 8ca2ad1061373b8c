/// \file
/// Ids of the entries of a map that have changed, for several readers that each visit what has changed since
/// their last turn.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace damask::fleet {

/// Who reads the changes of a pool's VMs and jobs.
enum class ChangeReader : std::uint8_t {
    Planning, ///< the indexes that planStarts() uses
    Visits, ///< the holder's passes
    Load, ///< the sums of the pool's load
};

inline constexpr std::size_t changeReaderCount = 3;

/// Readers for which an entry is listed as changed; a bit for each.
using PendingReaders = std::uint8_t;

/// Changed ids by reader, each id once.
using ChangedIds = std::array<std::vector<std::string>, changeReaderCount>;

/// Lists \p id for the reader unless it is listed already.
inline void addChanged(
    ChangedIds& changed, const std::string& id, PendingReaders& pending, ChangeReader reader)
{
    const auto index = static_cast<std::size_t>(reader);
    const auto bit = static_cast<PendingReaders>(1U << index);
    if (pending & bit)
        return;
    pending = static_cast<PendingReaders>(pending | bit);
    changed[index].push_back(id);
}

/// Lists \p id for all readers.
inline void addChanged(ChangedIds& changed, const std::string& id, PendingReaders& pending)
{
    for (const auto reader : { ChangeReader::Planning, ChangeReader::Visits, ChangeReader::Load })
        addChanged(changed, id, pending, reader);
}

/// The ids that have changed since the reader's last call. \p entries maps ids to structs with a member
/// `pendingReaders`; ids that it lacks are listed too.
template <typename Entries>
std::vector<std::string> takeChanged(ChangedIds& changed, Entries& entries, ChangeReader reader)
{
    const auto index = static_cast<std::size_t>(reader);
    auto out = std::exchange(changed[index], {});
    for (const auto& id : out) {
        if (const auto entry = entries.find(id); entry != entries.end())
            entry->second.pendingReaders
                = static_cast<PendingReaders>(entry->second.pendingReaders & ~(1U << index));
    }
    return out;
}

} // namespace damask::fleet
