/// \file
/// Checks which configuration the nodes answer by, from their answers to counts. Each version of the
/// configuration has a queue of its own, so an answer shows whether the node applies that version.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace damask::soak {

/// A count that was sent to a node.
struct ConfigProbe {
    std::string node;
    int boot = 0; ///< counts the starts of the node's process
    int version = 0; ///< whose queue is counted
    int seenBefore
        = 0; ///< highest version whose effect this boot of the node had shown when the probe was sent
    std::chrono::steady_clock::time_point sentAt {};
};

/// Collects the answers and reports violations.
class ConfigChecker {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Report = std::function<void(const std::string&)>;

    /// A version must be in force \p applyBound after its acknowledgement.
    ConfigChecker(std::chrono::milliseconds applyBound, Report report);
    /// Name of the queue that only this version has.
    static std::string queueOf(int version) { return "version" + std::to_string(version); }
    /// The table has acknowledged the next version, which replaces the one before.
    void onAcknowledged(TimePoint at);
    int newestVersion() const { return static_cast<int>(m_acknowledgedAt.size()); }
    ConfigProbe startProbe(const std::string& node, int boot, int version, TimePoint at) const;
    void onAnswer(const ConfigProbe& probe, int status, TimePoint at);
    /// Whether this boot of the node has answered by the newest version.
    bool hasNewest(const std::string& node, int boot) const;

private:
    int highestSeen(const std::string& node, int boot) const;
    /// When the version was replaced; the end of time if it has not been.
    TimePoint replacedAt(int version) const;

    std::chrono::milliseconds m_applyBound;
    Report m_report;
    std::vector<TimePoint> m_acknowledgedAt; ///< by version, from 1
    std::map<std::pair<std::string, int>, int> m_highestSeen; ///< version, by node and boot
};

} // namespace damask::soak
