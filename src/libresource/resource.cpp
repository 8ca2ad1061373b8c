#include <damaskworks/json_input.h>
#include <damaskworks/resource.h>
#include <damaskworks/row_fields.h>

namespace damask::resource {

using nlohmann::json;

namespace {

/// Each change of a spec adds one, so that higher numbers are never reached.
constexpr IntegerRange generationRange { 0, 1'000'000'000'000 };

} // namespace

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
    auto row = parseJson(text);
    RowFields fields(row);
    const auto generation = fields.integer("generation", generationRange);
    const auto& spec = fields.object("spec");
    if (!fields.isValid())
        return false;
    resource.generation = static_cast<std::uint64_t>(generation);
    resource.spec = spec;
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
