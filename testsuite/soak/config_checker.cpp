#include "config_checker.h"

namespace damask::soak {

ConfigChecker::ConfigChecker(std::chrono::milliseconds applyBound, Report report)
    : m_applyBound(applyBound)
    , m_report(std::move(report))
{
}

void ConfigChecker::onAcknowledged(TimePoint at) { m_acknowledgedAt.push_back(at); }

ConfigProbe ConfigChecker::startProbe(const std::string& node, int boot, int version, TimePoint at) const
{
    return { node, boot, version, highestSeen(node, boot), at };
}

int ConfigChecker::highestSeen(const std::string& node, int boot) const
{
    const auto found = m_highestSeen.find({ node, boot });
    return found == m_highestSeen.end() ? 0 : found->second;
}

ConfigChecker::TimePoint ConfigChecker::replacedAt(int version) const
{
    return version < newestVersion() ? m_acknowledgedAt[static_cast<std::size_t>(version)] : TimePoint::max();
}

void ConfigChecker::onAnswer(const ConfigProbe& probe, int status, TimePoint at)
{
    const auto name = probe.node + " answers " + std::to_string(status)
        + " to a count in the queue of version " + std::to_string(probe.version);
    const auto addedAt = m_acknowledgedAt[static_cast<std::size_t>(probe.version - 1)];
    const auto droppedAt = replacedAt(probe.version);
    if (status == 200) {
        if (droppedAt != TimePoint::max() && probe.sentAt > droppedAt + m_applyBound)
            m_report(name + ", dropped longer ago than the bound");
        if (probe.seenBefore > probe.version)
            m_report(name + " after it has answered by version " + std::to_string(probe.seenBefore));
        auto& seen = m_highestSeen[{ probe.node, probe.boot }];
        seen = std::max(seen, probe.version);
    }
    const bool isInForceThroughout = probe.sentAt > addedAt + m_applyBound && at < droppedAt;
    if (status == 404 && isInForceThroughout)
        m_report(name + ", added longer ago than the bound");
}

bool ConfigChecker::hasNewest(const std::string& node, int boot) const
{
    return highestSeen(node, boot) == newestVersion();
}

} // namespace damask::soak
