/// \file
/// The platform's transactional table: rows in named tables, divided into parts. A transaction
/// touches one part.
#pragma once

#include <damaskworks/names.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace damask::fleet {

/// Version of the table after a transaction, common to all tables; 0: "no such row".
using Version = std::uint64_t;

/// One row.
struct TableRow {
    std::string part;
    std::string key;
    std::string value;
    Version version = 0; ///< of the transaction that last wrote the row
    bool deleted = false;
};

/// The row must have this version when the transaction commits; 0: it must not exist.
struct RowExpectation {
    std::string table;
    std::string key;
    Version version = 0;
};

/// Sets a row, or deletes it when there is no value.
struct TableWrite {
    std::string table;
    std::string key;
    std::optional<std::string> value;
};

/// Expectations and writes that take effect together or not at all.
struct TableTransaction {
    std::string part;
    std::vector<RowExpectation> expectations;
    std::vector<TableWrite> writes;
};

/// Rows of one answer.
struct TableRows {
    Version version = 0; ///< newest version covered
    std::vector<TableRow> rows;
    bool hasMore = false;
};

/// Why a call to the table failed.
enum class TableFailure {
    NotDone, ///< nothing was done
    Overloaded, ///< nothing was done; too many calls
    Unknown, ///< a write may have taken effect, or may yet
    Conflict, ///< an expectation did not hold; nothing was done
    HistoryGone, ///< the changes asked for are no longer kept
    Invalid, ///< the answer could not be read
};

inline constexpr NameTable<TableFailure, 6> tableFailureNames { {
    { TableFailure::NotDone, "not_done" },
    { TableFailure::Overloaded, "overloaded" },
    { TableFailure::Unknown, "unknown" },
    { TableFailure::Conflict, "conflict" },
    { TableFailure::HistoryGone, "history_gone" },
    { TableFailure::Invalid, "invalid" },
} };

template <typename T> using TableResult = tl::expected<T, TableFailure>;
template <typename T> using TableCallback = std::function<void(TableResult<T>)>;

/// Largest number of expectations and writes in one transaction.
inline constexpr std::size_t maxTransactionEntries = 100;

/// Client of the table. Callbacks are called exactly once, on the loop, never from within the call.
class SharedTable {
public:
    virtual ~SharedTable() = default;
    /// Commits a transaction; gives its version.
    virtual void commit(const TableTransaction& transaction, std::chrono::milliseconds timeout,
        TableCallback<Version> callback)
        = 0;
    /// Reads rows of a part in order of key, beginning with \p from.
    virtual void read(const std::string& table, const std::string& part, const std::string& from, int limit,
        TableCallback<TableRows> callback)
        = 0;
    /// Names of the parts of a table after \p after.
    virtual void parts(
        const std::string& table, const std::string& after, TableCallback<std::vector<std::string>> callback)
        = 0;
    /// Waits for at most \p wait for rows changed after \p after.
    virtual void follow(const std::string& table, Version after, std::chrono::milliseconds wait,
        TableCallback<TableRows> callback)
        = 0;
};

} // namespace damask::fleet
