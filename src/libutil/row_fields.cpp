#include <damaskworks/row_fields.h>

namespace damask {

using nlohmann::json;

namespace {

const json emptyArray = json::array();
const json emptyObject = json::object();

} // namespace

std::optional<std::int64_t> integerIn(const json& value, const IntegerRange& range)
{
    if (!value.is_number_integer())
        return std::nullopt;
    const bool exceedsSigned = value.is_number_unsigned()
        && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (exceedsSigned)
        return std::nullopt;
    const auto number = value.get<std::int64_t>();
    return number >= range.lowest && number <= range.highest ? std::optional(number) : std::nullopt;
}

RowFields::RowFields(const json& object)
    : m_object(object)
    , m_isValid(object.is_object())
{
}

const json* RowFields::find(const char* name, bool isOptional)
{
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(name);
    if (found != m_object.end())
        return &*found;
    m_isValid = m_isValid && isOptional;
    return nullptr;
}

std::int64_t RowFields::integer(
    const char* name, const IntegerRange& range, std::optional<std::int64_t> fallback)
{
    const auto* member = find(name, fallback.has_value());
    if (!member)
        return fallback.value_or(0);
    const auto number = integerIn(*member, range);
    m_isValid = m_isValid && number;
    return number.value_or(fallback.value_or(0));
}

bool RowFields::flag(const char* name, std::optional<bool> fallback)
{
    const auto* member = find(name, fallback.has_value());
    if (member && member->is_boolean())
        return member->get<bool>();
    m_isValid = m_isValid && !member;
    return fallback.value_or(false);
}

std::string RowFields::text(const char* name, std::optional<std::string> fallback)
{
    const auto* member = find(name, fallback.has_value());
    if (member && member->is_string())
        return member->get<std::string>();
    m_isValid = m_isValid && !member;
    return fallback.value_or("");
}

const json& RowFields::array(const char* name, bool isOptional)
{
    const auto* member = find(name, isOptional);
    if (member && member->is_array())
        return *member;
    m_isValid = m_isValid && !member;
    return emptyArray;
}

const json& RowFields::object(const char* name, bool isOptional)
{
    const auto* member = find(name, isOptional);
    if (member && member->is_object())
        return *member;
    m_isValid = m_isValid && !member;
    return emptyObject;
}

} // namespace damask
