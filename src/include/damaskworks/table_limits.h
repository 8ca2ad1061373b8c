/// \file
/// Keeps transactions within the limits of the table, and what the table rejects apart from the rest.
#pragma once

#include <damaskworks/clock.h>
#include <damaskworks/shared_table.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace damask::fleet {

/// Upper bound of what the write adds to the size of a call, in bytes; \p part is that of the transaction.
std::size_t encodedSize(const TableWrite& write, std::string_view part);

/// What in the transaction exceeds a limit of the table, as a text for callers; empty if nothing does.
std::string findExcess(const TableTransaction& transaction, std::size_t maxRowBytes);

/// Limits of the rows and transactions that a holder writes, in bytes.
struct LedgerLimits {
    std::size_t maxRowBytes = defaultMaxRowBytes; ///< value of a row
    /// From here on a record is divided into several rows, of which only those that have changed are written.
    std::size_t dividedRowBytes = 16'384;
    /// Call of a holder. One of 1 MB takes most of the time that a commit may over a link of 10 Mbit/s.
    std::size_t maxBatchBytes = 262'144;
};

/// The limits for a table whose rows hold \p maxRowBytes.
LedgerLimits ledgerLimitsFor(std::size_t maxRowBytes);

/// Records that the table rejects, kept apart so that they don't hold back the others.
struct RejectedRecords {
    struct SetAside {
        TimePoint until {};
        Duration time {}; ///< length of the present pause
    };
    std::set<std::string> suspects; ///< were in a rejected transaction with others
    std::map<std::string, SetAside> setAside; ///< were rejected alone
};

/// Notes that the table has rejected a transaction with the records \p ids. The pause of one that was alone
/// doubles with each rejection.
void noteRejection(RejectedRecords& rejected, const std::set<std::string>& ids, TimePoint now);
/// Notes that the records have been written.
void noteWritten(RejectedRecords& rejected, const std::set<std::string>& ids);
/// Whether the record is not to be written yet.
bool isSetAside(const RejectedRecords& rejected, const std::string& id, TimePoint now);
/// The first of \p ids that is to be written in a transaction of its own now, if there is one.
std::optional<std::string> nextAlone(
    const RejectedRecords& rejected, const std::set<std::string>& ids, TimePoint now);

} // namespace damask::fleet
