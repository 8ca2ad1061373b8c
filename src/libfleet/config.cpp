#include <damaskworks/deployment.h>

namespace damask::fleet {

const Queue* FleetConfig::route(std::string_view host, std::string_view path) const
{
    const Queue* best = nullptr;
    for (const auto& candidate : queues) {
        if (candidate.host != host || !path.starts_with(candidate.prefix))
            continue;
        if (!best || candidate.prefix.size() > best->prefix.size())
            best = &candidate;
    }
    return best;
}

const Queue* FleetConfig::queue(std::string_view name) const
{
    for (const auto& candidate : queues) {
        if (candidate.name == name)
            return &candidate;
    }
    return nullptr;
}

} // namespace damask::fleet
