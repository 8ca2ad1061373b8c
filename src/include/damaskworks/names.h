/// \file
/// Tables that map the values of an `enum class` to their names.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace damask {

/// (value, name) pairs of one enumeration.
template <typename E, std::size_t N> using NameTable = std::array<std::pair<E, std::string_view>, N>;

/// Name of \p value in \p table; "unknown" if it has no entry.
template <typename E, std::size_t N> constexpr std::string_view nameOf(const NameTable<E, N>& table, E value)
{
    for (const auto& [candidate, name] : table) {
        if (candidate == value)
            return name;
    }
    return "unknown";
}

/// Value whose name in \p table is \p name, if any.
template <typename E, std::size_t N>
constexpr std::optional<E> valueOf(const NameTable<E, N>& table, std::string_view name)
{
    for (const auto& [value, candidate] : table) {
        if (candidate == name)
            return value;
    }
    return std::nullopt;
}

/// All names of \p table joined by ", ", for error messages.
template <typename E, std::size_t N> std::string allNames(const NameTable<E, N>& table)
{
    std::string joined;
    for (const auto& [value, name] : table) {
        if (!joined.empty())
            joined += ", ";
        joined += name;
    }
    return joined;
}

} // namespace damask
