/// \file
/// Jobs that were cancelled before they were accepted: rows that keep their submissions from being stored.
/// See docs/design/cancel-fences.md.
#pragma once

#include <damaskworks/shared_table.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damask::fleet {

namespace rows {

/// Key of the fence of a job, for submissions of one organisation. It is in the job's own part.
std::string cancelFenceKey(std::string_view job, std::string_view organisation);
/// Key of the row whose version each submission of the part names. It is written whenever fences of the part
/// are removed, so no submission from before that can be stored after it.
inline constexpr std::string_view submissionEpochKey = "e/";

} // namespace rows

/// Whether a row of jobTable is a fence or an epoch.
bool isCancelFenceRow(std::string_view key);

/// A job and the organisation whose submissions a fence keeps out.
struct FencedJob {
    std::string_view job;
    std::string_view organisation;
};

/// Parses the key of a fence; both are empty for an epoch.
FencedJob parseCancelFenceKey(std::string_view key);

/// A fence in the table.
struct CancelFence {
    std::string key;
    Version version = 0;
};

/// All fences and epochs, kept up to date from the changes of jobTable.
class CancelFences {
public:
    /// Applies a row for which isCancelFenceRow() holds.
    void apply(const TableRow& row);
    void clear();
    bool contains(const std::string& part, const std::string& key) const;
    /// Version of a part's epoch; 0 if it has none.
    Version epoch(const std::string& part) const;
    /// Version of the newest fence there has been; 0 if there was none.
    Version newestVersion() const { return m_newestVersion; }
    /// Returns fences of a part with versions up to \p newest, oldest first, at most \p most.
    std::vector<CancelFence> oldest(const std::string& part, Version newest, std::size_t most) const;
    /// Parts with fences.
    std::set<std::string> parts() const;
    /// Number of fences in all parts.
    std::size_t size() const;

private:
    struct Part {
        std::map<std::string, Version> versions; ///< by key
        std::set<std::pair<Version, std::string>> keysByVersion;
        Version epoch = 0;
    };
    std::map<std::string, Part> m_parts;
    Version m_newestVersion = 0;
};

} // namespace damask::fleet
