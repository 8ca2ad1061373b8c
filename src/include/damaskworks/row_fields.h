/// \file
/// Reads the members of JSON objects in stored rows, which another program may have damaged.
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace damask {

/// Integers from \c lowest to \c highest.
struct IntegerRange {
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

inline constexpr IntegerRange anyInteger { std::numeric_limits<std::int64_t>::min(),
    std::numeric_limits<std::int64_t>::max() };
/// Values of a number that only ever increases, such as a version or a term.
inline constexpr IntegerRange anyCount { 0, std::numeric_limits<std::int64_t>::max() };

/// The integer in \p value; nothing if it is of another type or out of range.
std::optional<std::int64_t> integerIn(const nlohmann::json& value, const IntegerRange& range);

/// Reads the members of one object. A missing member is an error unless it has a fallback; a member of
/// another type, or out of range, is always one. After an error isValid() is false, and what is read is the
/// fallback or empty.
class RowFields {
public:
    explicit RowFields(const nlohmann::json& object);
    bool isValid() const { return m_isValid; }
    /// For errors that the reader of the object finds.
    void markInvalid() { m_isValid = false; }

    std::int64_t integer(
        const char* name, const IntegerRange& range, std::optional<std::int64_t> fallback = std::nullopt);
    bool flag(const char* name, std::optional<bool> fallback = std::nullopt);
    std::string text(const char* name, std::optional<std::string> fallback = std::nullopt);
    /// The array in a member; an empty one after an error or if an optional one is missing.
    const nlohmann::json& array(const char* name, bool isOptional = false);
    const nlohmann::json& object(const char* name, bool isOptional = false);

private:
    const nlohmann::json* find(const char* name, bool isOptional);

    const nlohmann::json& m_object;
    bool m_isValid;
};

} // namespace damask
