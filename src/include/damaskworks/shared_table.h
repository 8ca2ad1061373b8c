/// \file
/// Client interface of the platform's transactional table service. A row is in a named table and, within it,
/// in a named part (a partition). A transaction covers one part, but may cover several tables.
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

/// Number of a transaction, common to all tables. As the version of a row, 0 means that it does not exist.
using Version = std::uint64_t;

/// One row.
struct TableRow {
    std::string part;
    std::string key;
    std::string value;
    Version version = 0; ///< of the transaction that last wrote the row
    bool deleted = false;
};

/// Requires a row to have this version when the transaction commits; 0: the row must not exist.
struct RowPrecondition {
    std::string table;
    std::string key;
    Version version = 0;
};

/// Sets a row, or deletes it if there is no value.
struct TableWrite {
    std::string table;
    std::string key;
    std::optional<std::string> value;
};

/// Writes that take effect together, and only if all preconditions hold.
struct TableTransaction {
    std::string part;
    std::vector<RowPrecondition> preconditions;
    std::vector<TableWrite> writes;
};

/// Rows in one response.
struct TableRows {
    Version version = 0; ///< the rows reflect all transactions up to this one
    std::vector<TableRow> rows;
    bool hasMore = false; ///< there are more rows than fit into the response
};

/// Why a call to the table failed.
enum class TableFailure {
    NotApplied, ///< the call had no effect
    TimedOut, ///< a read got no complete response in time
    Overloaded, ///< the call had no effect; the table limits the rate of calls
    Unknown, ///< the write may have taken effect, or still may
    Conflict, ///< a precondition did not hold; the call had no effect
    HistoryTruncated, ///< the table no longer keeps the requested changes
    Invalid, ///< the table rejected the call for good, or its response cannot be decoded
};

inline constexpr NameTable<TableFailure, 7> tableFailureNames { {
    { TableFailure::NotApplied, "not_done" },
    { TableFailure::TimedOut, "timed_out" },
    { TableFailure::Overloaded, "overloaded" },
    { TableFailure::Unknown, "unknown" },
    { TableFailure::Conflict, "conflict" },
    { TableFailure::HistoryTruncated, "history_gone" },
    { TableFailure::Invalid, "invalid" },
} };

template <typename T> using TableResult = tl::expected<T, TableFailure>;
template <typename T> using TableCallback = std::function<void(TableResult<T>)>;

/// Largest number of preconditions and writes in one transaction.
inline constexpr std::size_t maxTransactionEntries = 100;
/// Largest call, in bytes of its text.
inline constexpr std::size_t maxTransactionBytes = 1'000'000;
/// Longest name of a table, part or key, in bytes.
inline constexpr std::size_t maxNameBytes = 200;
/// Largest value of a row, if the settings don't tell.
inline constexpr std::size_t defaultMaxRowBytes = 65'536;

/// Client of the table. It calls each callback exactly once, on the event loop, never from within the call.
class SharedTable {
public:
    virtual ~SharedTable() = default;
    /// Commits a transaction and passes its version to \p callback.
    virtual void commit(const TableTransaction& transaction, std::chrono::milliseconds timeout,
        TableCallback<Version> callback)
        = 0;
    /// Reads at most \p limit rows of a part in the order of their keys, starting at \p from.
    virtual void read(const std::string& table, const std::string& part, const std::string& from, int limit,
        TableCallback<TableRows> callback)
        = 0;
    /// Lists the names of a table's parts that sort after \p after.
    virtual void parts(
        const std::string& table, const std::string& after, TableCallback<std::vector<std::string>> callback)
        = 0;
    /// Reads the rows that changed after \p after; waits at most \p wait for the first change.
    virtual void follow(const std::string& table, Version after, std::chrono::milliseconds wait,
        TableCallback<TableRows> callback)
        = 0;
};

} // namespace damask::fleet
