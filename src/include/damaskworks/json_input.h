/// \file
/// Parses JSON that other programs wrote. nlohmann::json copies, compares and writes values recursively, so
/// nesting is limited before a value exists. It also rejects a whole document for one number that no type
/// holds, so lists can be split into their entries, which are then parsed apart.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace damask {

/// Most levels of arrays and objects in a document; messages and rows nest a few.
inline constexpr std::size_t maxJsonDepth = 64;

/// Whether the arrays and objects in \p text nest at most \p maxDepth levels. \p text need not be valid.
bool isJsonDepthAtMost(std::string_view text, std::size_t maxDepth);

/// Parses one document; the result is discarded if it is invalid or nests more than maxJsonDepth levels.
nlohmann::json parseJson(std::string_view text);

/// A member of an object, as text.
struct JsonMember {
    std::string_view name; ///< without the quotes; escapes are not decoded
    std::string_view value;
};

/// Splits an object into its members, or an array into its entries, without parsing these: only brackets,
/// quotes, commas and colons have to be right. Empty optional if \p text is none. The views are into \p text.
std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

/// Parses an object member by member and leaves out the members that parseJson() rejects; the result is
/// discarded if \p text is no object.
nlohmann::json parseReadableMembers(std::string_view text);

/// A document of which one member is a list.
struct JsonWithList {
    nlohmann::json object; ///< the document with an empty list; discarded if it is no valid object
    std::vector<std::string_view> entries; ///< texts of the list's entries
};

/// Parses an object but for the entries of the list in its member \p name, so that one of these can't make
/// the others unreadable. There are no entries if the member is missing or is no list.
JsonWithList parseJsonWithList(std::string_view text, std::string_view name);

} // namespace damask
