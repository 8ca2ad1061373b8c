#include <damaskworks/json_input.h>

#include <string>

namespace damask {
namespace {

using nlohmann::json;

constexpr std::string_view whitespace = " \t\r\n";
constexpr auto npos = std::string_view::npos;

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(whitespace);
    return first == npos ? std::string_view()
                         : text.substr(first, text.find_last_not_of(whitespace) + 1 - first);
}

/// Position after the string that starts at \p start; npos if it does not end.
std::size_t skipString(std::string_view text, std::size_t start)
{
    for (auto at = text.find('"', start + 1); at != npos; at = text.find('"', at + 1)) {
        const auto lastOther = text.find_last_not_of('\\', at - 1);
        const bool isEscaped = (at - 1 - lastOther) % 2 != 0;
        if (!isEscaped)
            return at + 1;
    }
    return npos;
}

/// Position of the comma or closing bracket after the value that starts at \p at; npos if there is none.
std::size_t skipValue(std::string_view text, std::size_t at)
{
    std::size_t depth = 0;
    while (at < text.size()) {
        switch (text[at]) {
        case '"':
            at = skipString(text, at);
            continue;
        case '[':
        case '{':
            ++depth;
            break;
        case ']':
        case '}':
            if (depth == 0)
                return at;
            --depth;
            break;
        case ',':
            if (depth == 0)
                return at;
            break;
        default:
            break;
        }
        ++at;
    }
    return npos;
}

/// Splits the text between two brackets at its commas. Empty optional if the closing bracket of an entry is
/// missing, or one is too many.
std::optional<std::vector<std::string_view>> splitList(std::string_view text, char opening, char closing)
{
    text = trimmed(text);
    if (text.size() < 2 || text.front() != opening || text.back() != closing)
        return std::nullopt;
    std::vector<std::string_view> entries;
    std::size_t at = 1;
    while (true) {
        const auto end = skipValue(text, at);
        if (end == npos)
            return std::nullopt;
        const auto entry = trimmed(text.substr(at, end - at));
        const bool isLast = text[end] != ',';
        const bool isEmptyList = isLast && entries.empty() && entry.empty();
        if (!isEmptyList)
            entries.push_back(entry);
        if (isLast)
            return end + 1 == text.size() ? std::optional(std::move(entries)) : std::nullopt;
        at = end + 1;
    }
}

} // namespace

bool isJsonDepthAtMost(std::string_view text, std::size_t maxDepth)
{
    std::size_t depth = 0;
    std::size_t at = 0;
    while (at < text.size()) {
        switch (text[at]) {
        case '"':
            at = skipString(text, at);
            continue;
        case '[':
        case '{':
            if (++depth > maxDepth)
                return false;
            break;
        case ']':
        case '}':
            depth -= depth > 0 ? 1 : 0;
            break;
        default:
            break;
        }
        ++at;
    }
    return true;
}

json parseJson(std::string_view text)
{
    if (!isJsonDepthAtMost(text, maxJsonDepth))
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    const auto entries = splitList(text, '{', '}');
    if (!entries)
        return std::nullopt;
    std::vector<JsonMember> members;
    for (const auto& entry : *entries) {
        const auto nameEnd = entry.starts_with('"') ? skipString(entry, 0) : npos;
        const auto colon = nameEnd == npos ? npos : entry.find_first_not_of(whitespace, nameEnd);
        if (colon == npos || entry[colon] != ':')
            return std::nullopt;
        members.push_back({ entry.substr(1, nameEnd - 2), trimmed(entry.substr(colon + 1)) });
    }
    return members;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    return splitList(text, '[', ']');
}

json parseReadableMembers(std::string_view text)
{
    auto whole = parseJson(text);
    if (whole.is_object())
        return whole;
    const auto members = splitJsonObject(text);
    if (!members)
        return json(json::value_t::discarded);
    json object = json::object();
    for (const auto& member : *members) {
        auto value = parseJson(member.value);
        if (!value.is_discarded())
            object[std::string(member.name)] = std::move(value);
    }
    return object;
}

JsonWithList parseJsonWithList(std::string_view text, std::string_view name)
{
    JsonWithList out { json(json::value_t::discarded), {} };
    const auto members = splitJsonObject(text);
    if (!members)
        return out;
    const JsonMember* list = nullptr;
    for (const auto& member : *members) {
        if (member.name == name)
            list = &member;
    }
    auto entries = list ? splitJsonArray(list->value) : std::nullopt;
    if (!entries) {
        out.object = parseJson(text);
        return out;
    }
    const auto listStart = static_cast<std::size_t>(list->value.data() - text.data());
    std::string rest(text.substr(0, listStart));
    rest += "[]";
    rest += text.substr(listStart + list->value.size());
    out.object = parseJson(rest);
    if (!out.object.is_discarded())
        out.entries = std::move(*entries);
    return out;
}

} // namespace damask
