#include <damaskworks/resource.h>

namespace damask::resource {

using nlohmann::json;

std::string specKey(Kind kind, std::string_view name)
{
    return std::string(specPrefix) + std::string(nameOf(kindNames, kind)) + "/" + std::string(name);
}

std::string statusKey(Kind kind, std::string_view name)
{
    return std::string(statusPrefix) + std::string(nameOf(kindNames, kind)) + "/" + std::string(name);
}

std::optional<ParsedKey> parseKey(std::string_view key)
{
    ParsedKey out;
    if (key.starts_with(statusPrefix))
        out.isStatus = true;
    else if (!key.starts_with(specPrefix))
        return std::nullopt;
    key.remove_prefix(specPrefix.size());
    const auto slash = key.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto kind = valueOf(kindNames, key.substr(0, slash));
    if (!kind)
        return std::nullopt;
    out.kind = *kind;
    out.name = std::string(key.substr(slash + 1));
    return out;
}

std::string encodeSpecRow(const Resource& resource)
{
    return json { { "generation", resource.generation }, { "spec", resource.spec } }.dump();
}

bool decodeSpecRow(std::string_view text, Resource& resource)
{
    const auto row = json::parse(text, nullptr, false);
    if (!row.is_object() || !row.contains("spec") || !row["spec"].is_object())
        return false;
    if (!row.contains("generation") || !row["generation"].is_number_unsigned())
        return false;
    resource.generation = row["generation"];
    resource.spec = row["spec"];
    return true;
}

json toJson(const Resource& resource)
{
    return {
        { "kind", nameOf(kindNames, resource.kind) },
        { "name", resource.name },
        { "resourceVersion", resource.version },
        { "generation", resource.generation },
        { "spec", resource.spec },
        { "status", resource.status },
    };
}

json toJson(const std::vector<FieldError>& errors)
{
    json out = json::array();
    for (const auto& error : errors)
        out.push_back({ { "field", error.field }, { "value", error.value }, { "allowed", error.allowed } });
    return out;
}

} // namespace damask::resource
