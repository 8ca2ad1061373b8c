/// \file
/// How the durable record of a job is divided into rows of the table, none of which exceeds the largest row.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace damask::fleet {

/// Part of a job's tasks, by position: the tasks of all occurrences one after the other, each in the order of
/// step and index.
struct TaskRange {
    std::int64_t first = 0;
    std::int64_t end = std::numeric_limits<std::int64_t>::max(); ///< position after the last task
};

/// One row of a record.
struct RecordRow {
    std::uint64_t hash = 0; ///< of the text last written; 0: to be written again
    bool isStored = false; ///< the table may have the row
};

/// Rows of a record by the position of their first task. A row holds the tasks up to the next row. The first
/// one is at position 0.
struct RecordRows {
    std::map<std::int64_t, RecordRow> rows { { 0, {} } };
    /// Set while a record takes several transactions: the rows before this position remain to be written.
    std::optional<std::int64_t> remainingBefore;
};

/// The tasks of the row at \p position.
TaskRange rangeOf(const RecordRows& record, std::int64_t position);
/// Hash of a row's text; never 0.
std::uint64_t hashOf(std::string_view text);
/// Key of the row at \p position: `JOB` for the first, else `JOB/POSITION`.
std::string recordKey(std::string_view job, std::int64_t position);

/// Job and position that a key names.
struct RecordKey {
    std::string job;
    std::int64_t position = 0;
};
/// Parses the result of recordKey(); returns nothing for a malformed key.
std::optional<RecordKey> parseRecordKey(std::string_view key);

} // namespace damask::fleet
