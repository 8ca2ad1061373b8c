#include <damaskworks/table_limits.h>

#include <algorithm>

namespace damask::fleet {
namespace {

/// Pause after the first rejection of a record that was alone in its transaction, and the longest one.
constexpr std::chrono::seconds firstPause { 1 };
constexpr std::chrono::seconds longestPause { 60 };

} // namespace

std::size_t encodedSize(const TableWrite& write, std::string_view part)
{
    constexpr std::size_t fieldNames = 64;
    const auto value = write.value ? (write.value->size() + 2) / 3 * 4 : 0; // Base64
    return fieldNames + write.table.size() + part.size() + write.key.size() + value;
}

std::string findExcess(const TableTransaction& transaction, std::size_t maxRowBytes)
{
    std::size_t bytes = 0;
    std::size_t longestName = transaction.part.size();
    for (const auto& write : transaction.writes) {
        if (write.value && write.value->size() > maxRowBytes)
            return std::to_string(write.value->size()) + " bytes in a row, at most "
                + std::to_string(maxRowBytes) + " fit";
        bytes += encodedSize(write, transaction.part);
        longestName = std::max(longestName, write.key.size());
    }
    for (const auto& precondition : transaction.preconditions)
        longestName = std::max(longestName, precondition.key.size());
    if (longestName > maxNameBytes)
        return "a name of " + std::to_string(longestName) + " bytes, at most " + std::to_string(maxNameBytes)
            + " fit";
    if (bytes > maxTransactionBytes)
        return std::to_string(bytes) + " bytes in all, at most " + std::to_string(maxTransactionBytes)
            + " fit";
    return "";
}

LedgerLimits ledgerLimitsFor(std::size_t maxRowBytes)
{
    LedgerLimits limits;
    limits.maxRowBytes = maxRowBytes;
    limits.dividedRowBytes = std::min(limits.dividedRowBytes, maxRowBytes);
    limits.maxBatchBytes = std::max(limits.maxBatchBytes, maxRowBytes * 2); // any row fits into a batch
    return limits;
}

void noteRejection(RejectedRecords& rejected, const std::set<std::string>& ids, TimePoint now)
{
    if (ids.size() != 1)
        return rejected.suspects.insert(ids.begin(), ids.end());
    const auto& id = *ids.begin();
    rejected.suspects.erase(id);
    auto& setAside = rejected.setAside[id];
    setAside.time
        = setAside.time == Duration {} ? firstPause : std::min<Duration>(setAside.time * 2, longestPause);
    setAside.until = now + setAside.time;
}

void noteWritten(RejectedRecords& rejected, const std::set<std::string>& ids)
{
    if (rejected.suspects.empty() && rejected.setAside.empty())
        return;
    for (const auto& id : ids) {
        rejected.suspects.erase(id);
        rejected.setAside.erase(id);
    }
}

bool isSetAside(const RejectedRecords& rejected, const std::string& id, TimePoint now)
{
    const auto found = rejected.setAside.find(id);
    return found != rejected.setAside.end() && now < found->second.until;
}

std::optional<std::string> nextAlone(
    const RejectedRecords& rejected, const std::set<std::string>& ids, TimePoint now)
{
    for (const auto& id : ids) {
        const bool hasBeenRejected = rejected.suspects.contains(id) || rejected.setAside.contains(id);
        if (hasBeenRejected && !isSetAside(rejected, id, now))
            return id;
    }
    return std::nullopt;
}

} // namespace damask::fleet
