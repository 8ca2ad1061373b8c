#include <damaskworks/cancel_fences.h>

#include <algorithm>

namespace damask::fleet {
namespace {

constexpr std::string_view fencePrefix = "f/";

} // namespace

namespace rows {

std::string cancelFenceKey(std::string_view job, std::string_view organisation)
{
    return std::string(fencePrefix) + std::string(job) + "/" + std::string(organisation);
}

} // namespace rows

bool isCancelFenceRow(std::string_view key)
{
    return key == rows::submissionEpochKey || key.starts_with(fencePrefix);
}

FencedJob parseCancelFenceKey(std::string_view key)
{
    if (!key.starts_with(fencePrefix))
        return {};
    key.remove_prefix(fencePrefix.size());
    const auto end = key.find('/'); // ids of jobs have none
    if (end == std::string_view::npos)
        return {};
    return { key.substr(0, end), key.substr(end + 1) };
}

void CancelFences::apply(const TableRow& row)
{
    auto& part = m_parts[row.part];
    if (row.key == rows::submissionEpochKey) {
        part.epoch = std::max(part.epoch, row.version);
        return;
    }
    const auto known = part.versions.find(row.key);
    if (known != part.versions.end()) {
        part.keysByVersion.erase({ known->second, row.key });
        part.versions.erase(known);
    }
    if (row.deleted)
        return;
    part.versions.emplace(row.key, row.version);
    part.keysByVersion.emplace(row.version, row.key);
    m_newestVersion = std::max(m_newestVersion, row.version);
}

void CancelFences::clear()
{
    m_parts.clear();
    m_newestVersion = 0;
}

bool CancelFences::contains(const std::string& part, const std::string& key) const
{
    const auto found = m_parts.find(part);
    return found != m_parts.end() && found->second.versions.contains(key);
}

Version CancelFences::epoch(const std::string& part) const
{
    const auto found = m_parts.find(part);
    return found == m_parts.end() ? 0 : found->second.epoch;
}

std::vector<CancelFence> CancelFences::oldest(const std::string& part, Version newest, std::size_t most) const
{
    std::vector<CancelFence> out;
    const auto found = m_parts.find(part);
    if (found == m_parts.end())
        return out;
    for (const auto& [version, key] : found->second.keysByVersion) {
        if (version > newest || out.size() == most)
            break;
        out.push_back({ key, version });
    }
    return out;
}

std::set<std::string> CancelFences::parts() const
{
    std::set<std::string> out;
    for (const auto& [name, part] : m_parts) {
        if (!part.versions.empty())
            out.insert(name);
    }
    return out;
}

std::size_t CancelFences::size() const
{
    std::size_t fences = 0;
    for (const auto& [name, part] : m_parts)
        fences += part.versions.size();
    return fences;
}

} // namespace damask::fleet
