/// \file
/// Resources of the administration API: their kinds, their rows in the platform's table, and the validation
/// of the specs that operators write.
#pragma once

#include <damaskworks/names.h>
#include <damaskworks/platform.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// Kinds of resources.
enum class Kind { Pool, Job, Wave, Budget, Vm, Team, Configuration };

inline constexpr NameTable<Kind, 7> kindNames { {
    { Kind::Pool, "pool" },
    { Kind::Job, "job" },
    { Kind::Wave, "wave" },
    { Kind::Budget, "budget" },
    { Kind::Vm, "vm" },
    { Kind::Team, "team" },
    { Kind::Configuration, "configuration" },
} };

/// Plural names of the kinds, as in API paths (`/v1/pools`).
inline constexpr NameTable<Kind, 7> kindPlurals { {
    { Kind::Pool, "pools" },
    { Kind::Job, "jobs" },
    { Kind::Wave, "waves" },
    { Kind::Budget, "budgets" },
    { Kind::Vm, "vms" },
    { Kind::Team, "teams" },
    { Kind::Configuration, "configurations" },
} };

/// Name of the only Configuration resource that may exist.
inline constexpr std::string_view currentConfigurationName = "current";

/// A resource. Operators write the spec, controllers write the status.
struct Resource {
    Kind kind = Kind::Pool;
    std::string name;
    TableVersion version = 0; ///< version of the spec row; a request that replaces the spec must state it
    std::uint64_t generation = 1; ///< increases by one with each change of the spec
    nlohmann::json spec = nlohmann::json::object();
    nlohmann::json status = nlohmann::json::object();
};

/// A field that failed validation.
struct FieldError {
    std::string field; ///< path of the field, such as `spec.routes[0].prefix`
    std::string value; ///< rejected value, for a field of the spec as JSON text; empty: missing
    std::string allowed; ///< describes the allowed values, for people
};

namespace resource {

/// Key prefix of all rows of resources.
inline constexpr std::string_view rowPrefix = "f/";
/// Key prefix of the rows that hold specs.
inline constexpr std::string_view specPrefix = "f/r/";
/// Key prefix of the rows that hold statuses.
inline constexpr std::string_view statusPrefix = "f/s/";

/// Key of the row that holds the resource's spec.
std::string specKey(Kind kind, std::string_view name);
/// Key of the row that holds the resource's status.
std::string statusKey(Kind kind, std::string_view name);

/// The parts of the key of a spec or status row.
struct ParsedKey {
    bool isStatus = false;
    Kind kind = Kind::Pool;
    std::string name;
};
/// Parses the key of a row; returns nothing if it is not the key of a resource's row.
std::optional<ParsedKey> parseKey(std::string_view key);

/// Validates a name and a spec without regard to other resources. Returns one error for each invalid field.
/// Sets each missing field of \p spec that has a default to it.
std::vector<FieldError> validate(Kind kind, std::string_view name, nlohmann::json& spec);

/// Whether each known field of a stored spec has an allowed value. Missing and unknown fields are accepted,
/// since a daemon of another build may have written the spec.
bool isUsableSpec(Kind kind, const nlohmann::json& spec);
/// Removes the known fields of a stored status that have another type than controllers write. Returns their
/// names.
std::vector<std::string> removeUnusableFields(Kind kind, nlohmann::json& status);

/// Encodes the value of the resource's spec row, as JSON text.
std::string encodeSpecRow(const Resource& resource);
/// Decodes the value of a spec row into the generation and spec of \p resource. Returns false, and changes
/// nothing, if it is malformed.
bool decodeSpecRow(std::string_view text, Resource& resource);
/// Converts a resource to JSON as the administration API returns it.
nlohmann::json toJson(const Resource& resource);
/// Converts field errors to JSON as the administration API returns them.
nlohmann::json toJson(const std::vector<FieldError>& errors);

} // namespace resource
} // namespace damask
