#include <damaskworks/catalogue.h>
#include <damaskworks/json_input.h>
#include <damaskworks/log.h>

namespace damask {
namespace {

/// The string in a member of a JSON object; empty if it is missing or not a string.
std::string stringMember(const nlohmann::json& object, std::string_view member)
{
    const auto it = object.find(member);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// The pool that the resource belongs to; empty if there is none. For a VM the status takes precedence over
/// the spec, because it names the pool that the VM is in now.
std::string poolOf(const Resource& resource)
{
    if (resource.kind == Kind::Vm) {
        auto currentPool = stringMember(resource.status, "pool");
        if (!currentPool.empty())
            return currentPool;
    }
    return stringMember(resource.spec, "pool");
}

/// The status in a row, without what is unreadable in it.
nlohmann::json readStatus(const Row& row, Kind kind)
{
    auto status = parseJson(row.value);
    if (!status.is_object()) {
        logEvent(LogLevel::Error, "status_row_unreadable", { { "key", row.key } });
        return nlohmann::json::object();
    }
    for (const auto& field : resource::removeUnusableFields(kind, status))
        logEvent(LogLevel::Error, "status_field_unreadable", { { "key", row.key }, { "field", field } });
    return status;
}

/// Reads the spec in a row into \p resource; changes nothing and returns false if it can't be used.
bool readSpec(const Row& row, Resource& resource)
{
    Resource read;
    if (resource::decodeSpecRow(row.value, read) && resource::isUsableSpec(resource.kind, read.spec)) {
        resource.generation = read.generation;
        resource.spec = std::move(read.spec);
        return true;
    }
    logEvent(LogLevel::Error, "spec_row_unreadable", { { "key", row.key } });
    return false;
}

} // namespace

std::optional<Catalogue::Key> Catalogue::apply(const Row& row)
{
    const auto parsed = resource::parseKey(row.key);
    if (!parsed)
        return std::nullopt;
    const Key key { parsed->kind, parsed->name };
    auto& entry = m_entries[key];
    entry.resource.kind = parsed->kind;
    entry.resource.name = parsed->name;
    if (parsed->isStatus) {
        entry.statusVersion = row.deleted ? 0 : row.version;
        entry.resource.status = row.deleted ? nlohmann::json::object() : readStatus(row, parsed->kind);
    } else {
        entry.hasSpec = !row.deleted && readSpec(row, entry.resource);
        entry.resource.version = row.deleted ? 0 : row.version;
    }
    removeFromIndex(key, entry);
    if (!entry.hasSpec && entry.statusVersion == 0)
        m_entries.erase(key);
    else
        addToIndex(key, entry);
    return key;
}

void Catalogue::addToIndex(const Key& key, Entry& entry)
{
    entry.pool = poolOf(entry.resource);
    if (!entry.pool.empty())
        m_byPool[Key { key.first, entry.pool }].insert(key.second);
}

void Catalogue::removeFromIndex(const Key& key, const Entry& entry)
{
    const auto found = m_byPool.find(Key { key.first, entry.pool });
    if (found == m_byPool.end())
        return;
    found->second.erase(key.second);
    if (found->second.empty())
        m_byPool.erase(found);
}

std::vector<const Resource*> Catalogue::listByPool(Kind kind, std::string_view pool) const
{
    std::vector<const Resource*> out;
    const auto found = m_byPool.find(Key { kind, std::string(pool) });
    if (found == m_byPool.end())
        return out;
    for (const auto& name : found->second) {
        if (const auto* resource = find(kind, name))
            out.push_back(resource);
    }
    return out;
}

const Resource* Catalogue::find(Kind kind, std::string_view name) const
{
    auto it = m_entries.find(Key { kind, std::string(name) });
    return it == m_entries.end() || !it->second.hasSpec ? nullptr : &it->second.resource;
}

std::vector<const Resource*> Catalogue::list(Kind kind) const
{
    std::vector<const Resource*> out;
    for (auto it = m_entries.lower_bound(Key { kind, "" }); it != m_entries.end() && it->first.first == kind;
         ++it) {
        if (it->second.hasSpec)
            out.push_back(&it->second.resource);
    }
    return out;
}

TableVersion Catalogue::statusVersion(Kind kind, std::string_view name) const
{
    auto it = m_entries.find(Key { kind, std::string(name) });
    return it == m_entries.end() ? 0 : it->second.statusVersion;
}

} // namespace damask
