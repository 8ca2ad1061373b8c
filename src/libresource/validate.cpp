#include <damaskworks/http.h>
#include <damaskworks/resource.h>

#include <algorithm>
#include <limits>
#include <span>

namespace damask::resource {
namespace {

using nlohmann::json;

constexpr std::size_t maxNameLength = 63;
constexpr std::int64_t maxCount = 1'000'000;
constexpr std::int64_t maxMilliseconds = 24LL * 3600 * 1000;

enum class FieldType { Name, Text, Address, Integer, Number, Boolean, Priority, FailureDomain, List, Object };

/// Validation rule for one field of a spec.
struct FieldRule {
    std::string_view name;
    FieldType type;
    double minimum = 0; ///< of a number, or of the length of a text in bytes
    double maximum = 0;
    json defaultValue = nullptr; ///< null: the field is required, unless it is optional
    bool isOptional = false; ///< the field may be missing and has no default
};

/// Rules for the members of a spec.
const std::vector<FieldRule>& rulesFor(Kind kind)
{
    static const std::vector<FieldRule> poolRules {
        { "slotsPerVm", FieldType::Integer, 1, 1024, 8 },
        { "connectionsPerVm", FieldType::Integer, 1, 4096, 64 },
        { "queueLimit", FieldType::Integer, 0, 100'000, 256 },
        { "requestTimeoutMs", FieldType::Integer, 1, 600'000, 10'000 },
        { "spare", FieldType::Boolean, 0, 0, false },
        { "minVms", FieldType::Integer, 0, 100'000, 1 },
        { "weight", FieldType::Number, 0, 1000, 1.0 },
    };
    static const std::vector<FieldRule> jobRules {
        { "pool", FieldType::Name },
        { "team", FieldType::Name, 0, 0, "default" },
        { "cpu", FieldType::Number, 0.01, 4096 },
        { "memoryMb", FieldType::Integer, 1, 16'000'000 },
        { "accelerators", FieldType::Integer, 0, 64, 0 },
        { "priority", FieldType::Priority, 0, 0, "normal" },
        { "expectedMs", FieldType::Integer, 1, double(maxMilliseconds) * 365, 60'000 },
        { "maxAttempts", FieldType::Integer, 1, 100, 3 },
        { "command", FieldType::Text, 0, 4096, "" },
        { "cancelled", FieldType::Boolean, 0, 0, false },
    };
    static const std::vector<FieldRule> waveRules {
        { "pool", FieldType::Name },
        { "domain", FieldType::FailureDomain, 0, 0, "rack" },
        { "stopAfterFailures", FieldType::Integer, 1, 1000, 2 },
        { "paused", FieldType::Boolean, 0, 0, false },
        { "cancelled", FieldType::Boolean, 0, 0, false },
    };
    static const std::vector<FieldRule> budgetRules {
        { "pool", FieldType::Name },
        { "maxUnavailable", FieldType::Integer, 0, double(maxCount) },
    };
    static const std::vector<FieldRule> vmRules {
        { "pool", FieldType::Name },
        { "address", FieldType::Address },
        { "dataCentre", FieldType::Name },
        { "rack", FieldType::Name },
        { "cpu", FieldType::Number, 0.01, 4096, 16 },
        { "memoryMb", FieldType::Integer, 1, 16'000'000, 32'768 },
        { "accelerators", FieldType::Integer, 0, 64, 0 },
    };
    static const std::vector<FieldRule> teamRules {
        { "cpu", FieldType::Number, 0, double(maxCount) },
        { "memoryMb", FieldType::Integer, 0, 1e12 },
        { "accelerators", FieldType::Integer, 0, double(maxCount), 0 },
    };
    static const std::vector<FieldRule> configurationRules {
        { "routes", FieldType::List },
        { "policy", FieldType::Object, 0, 0, json::object() },
    };
    switch (kind) {
    case Kind::Pool:
        return poolRules;
    case Kind::Job:
        return jobRules;
    case Kind::Wave:
        return waveRules;
    case Kind::Budget:
        return budgetRules;
    case Kind::Vm:
        return vmRules;
    case Kind::Team:
        return teamRules;
    case Kind::Configuration:
        return configurationRules;
    }
    return poolRules;
}

/// Rules for an element of `spec.routes` of a configuration.
const std::vector<FieldRule>& routeRules()
{
    static const std::vector<FieldRule> rules {
        { "prefix", FieldType::Text, 1, 1024 },
        { "pool", FieldType::Name },
        { "idempotent", FieldType::Boolean, 0, 0, false },
        { "urgent", FieldType::Boolean, 0, 0, false },
    };
    return rules;
}

const std::vector<FieldRule>& policyRules()
{
    static const std::vector<FieldRule> rules {
        { "move", FieldType::Object, 0, 0, nullptr, true },
        { "maintenance", FieldType::Object, 0, 0, nullptr, true },
    };
    return rules;
}

const std::vector<FieldRule>& movePolicyRules()
{
    static const std::vector<FieldRule> rules {
        { "name", FieldType::Name, 0, 0, nullptr, true },
        { "bufferWeight", FieldType::Number, 0, 1000, nullptr, true },
        { "rolloutWeight", FieldType::Number, 0, 1000, nullptr, true },
        { "peakCover", FieldType::Number, 0, 1000, nullptr, true },
        { "hysteresisVms", FieldType::Number, 0, 1000, nullptr, true },
        { "smoothingSeconds", FieldType::Number, 0.1, 86'400, nullptr, true },
    };
    return rules;
}

const std::vector<FieldRule>& maintenancePolicyRules()
{
    static const std::vector<FieldRule> rules {
        { "rebootTimeoutMs", FieldType::Integer, 1, double(maxMilliseconds), nullptr, true },
        { "verifyTimeoutMs", FieldType::Integer, 1, double(maxMilliseconds), nullptr, true },
        { "reportLagMs", FieldType::Integer, 0, double(maxMilliseconds), nullptr, true },
        { "drainNoticeMs", FieldType::Integer, 0, double(maxMilliseconds), nullptr, true },
        { "routeLagMs", FieldType::Integer, 0, double(maxMilliseconds), nullptr, true },
    };
    return rules;
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > maxNameLength || text.front() == '-')
        return false;
    return text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
}

bool isNameValue(const json& value)
{
    return value.is_string() && isName(value.get_ref<const std::string&>());
}

bool isAddressOfVm(const json& value)
{
    if (!value.is_string())
        return false;
    const auto address = http::parseAddress(value.get_ref<const std::string&>());
    return address && address->port != 0;
}

constexpr std::string_view nameDescription = "1 to 63 of a-z, 0-9 and '-', not starting with '-'";

std::string describeRange(const FieldRule& rule, std::string_view noun)
{
    const json low = rule.minimum;
    const json high = rule.maximum;
    return std::string(noun) + " from " + low.dump() + " to " + high.dump();
}

bool isInRange(const FieldRule& rule, const json& value)
{
    const double number = value.get<double>();
    return number >= rule.minimum && number <= rule.maximum;
}

/// Describes the allowed values if \p value violates \p rule; nothing if the value is valid.
std::optional<std::string> describeViolation(const FieldRule& rule, const json& value)
{
    switch (rule.type) {
    case FieldType::Name:
        return isNameValue(value) ? std::nullopt : std::optional<std::string>(nameDescription);
    case FieldType::Text:
        if (value.is_string() && value.get_ref<const std::string&>().size() <= rule.maximum
            && value.get_ref<const std::string&>().size() >= rule.minimum)
            return std::nullopt;
        return "a string, length" + describeRange(rule, "");
    case FieldType::Address:
        if (isAddressOfVm(value))
            return std::nullopt;
        return "ip:port with a port from 1 to 65535";
    case FieldType::Integer:
        return value.is_number_integer() && isInRange(rule, value)
            ? std::nullopt
            : std::optional(describeRange(rule, "an integer"));
    case FieldType::Number:
        return value.is_number() && isInRange(rule, value) ? std::nullopt
                                                           : std::optional(describeRange(rule, "a number"));
    case FieldType::Boolean:
        return value.is_boolean() ? std::nullopt : std::optional<std::string>("true or false");
    case FieldType::Priority:
        if (value == "urgent" || value == "normal" || value == "low")
            return std::nullopt;
        return "urgent, normal, low";
    case FieldType::FailureDomain:
        return value == "rack" || value == "dataCentre" ? std::nullopt
                                                        : std::optional<std::string>("rack, dataCentre");
    case FieldType::List:
        return value.is_array() ? std::nullopt : std::optional<std::string>("a list");
    case FieldType::Object:
        return value.is_object() ? std::nullopt : std::optional<std::string>("an object");
    }
    return "a known type";
}

bool isKnownField(const std::vector<FieldRule>& rules, std::string_view name)
{
    for (const auto& rule : rules) {
        if (rule.name == name)
            return true;
    }
    return false;
}

std::string joinFieldNames(const std::vector<FieldRule>& rules)
{
    std::string out;
    for (const auto& rule : rules)
        out += (out.empty() ? "" : ", ") + std::string(rule.name);
    return out;
}

/// Validates the members of \p object, adds defaults and appends an error for each invalid or unknown member.
void validateFields(const std::vector<FieldRule>& rules, const std::string& path, json& object,
    std::vector<FieldError>& errors)
{
    if (!object.is_object()) {
        errors.push_back({ path, object.dump(), "an object" });
        return;
    }
    for (const auto& [name, value] : object.items()) {
        if (!isKnownField(rules, name))
            errors.push_back({ path + "." + name, value.dump(), "one of " + joinFieldNames(rules) });
    }
    for (const auto& rule : rules) {
        const std::string field = path + "." + std::string(rule.name);
        auto it = object.find(rule.name);
        if (it == object.end()) {
            if (rule.isOptional)
                continue;
            if (rule.defaultValue.is_null())
                errors.push_back({ field, "", "a value: the field is required" });
            else
                object[std::string(rule.name)] = rule.defaultValue;
            continue;
        }
        if (auto allowed = describeViolation(rule, *it))
            errors.push_back({ field, it->dump(), *allowed });
    }
}

void validatePolicy(json& policy, std::vector<FieldError>& errors)
{
    validateFields(policyRules(), "spec.policy", policy, errors);
    if (policy.contains("move"))
        validateFields(movePolicyRules(), "spec.policy.move", policy["move"], errors);
    if (policy.contains("maintenance"))
        validateFields(maintenancePolicyRules(), "spec.policy.maintenance", policy["maintenance"], errors);
}

/// Whether a stored value can be used although the API might not accept it: an integer may be written as 1e6.
bool isUsable(const FieldRule& rule, const json& value)
{
    if (rule.type == FieldType::Integer)
        return value.is_number() && isInRange(rule, value);
    return !describeViolation(rule, value);
}

/// Whether the fields of \p object that the rules know are absent or usable.
bool areKnownFieldsUsable(const std::vector<FieldRule>& rules, const json& object)
{
    return object.is_object() && std::all_of(rules.begin(), rules.end(), [&](const FieldRule& rule) {
        const auto field = object.find(rule.name);
        return field == object.end() || isUsable(rule, *field);
    });
}

/// Like areKnownFieldsUsable(), for the object in an optional field.
bool isNestedObjectUsable(const std::vector<FieldRule>& rules, const json& object, const char* name)
{
    const auto field = object.find(name);
    return field == object.end() || areKnownFieldsUsable(rules, *field);
}

enum class StatusType { Text, Count32, Count64, TextList, RecordList };

/// Type of one field of a status.
struct StatusRule {
    std::string_view name;
    StatusType type;
};

std::span<const StatusRule> statusRulesFor(Kind kind)
{
    static constexpr StatusRule poolRules[] = {
        { "disruptions", StatusType::RecordList },
        { "conditions", StatusType::RecordList },
    };
    static constexpr StatusRule vmRules[] = {
        { "pool", StatusType::Text },
        { "phase", StatusType::Text },
        { "operation", StatusType::Text },
        { "moveTo", StatusType::Text },
        { "incarnationBefore", StatusType::Count64 },
        { "attempt", StatusType::Count32 },
    };
    static constexpr StatusRule jobRules[] = {
        { "phase", StatusType::Text },
        { "vm", StatusType::Text },
        { "task", StatusType::Text },
        { "epoch", StatusType::Count64 },
        { "attempts", StatusType::Count32 },
        { "ending", StatusType::Text },
        { "failedOn", StatusType::TextList },
        { "conditions", StatusType::TextList },
        { "generation", StatusType::Count64 },
        { "specVersion", StatusType::Count64 },
    };
    static constexpr StatusRule waveRules[] = {
        { "phase", StatusType::Text },
        { "done", StatusType::Count32 },
        { "failed", StatusType::Count32 },
        { "total", StatusType::Count32 },
        { "doneVms", StatusType::TextList },
        { "failedVms", StatusType::TextList },
        { "conditions", StatusType::RecordList },
    };
    switch (kind) {
    case Kind::Pool:
        return poolRules;
    case Kind::Vm:
        return vmRules;
    case Kind::Job:
        return jobRules;
    case Kind::Wave:
        return waveRules;
    case Kind::Budget:
    case Kind::Team:
    case Kind::Configuration:
        break;
    }
    return {};
}

bool isText(const json& value) { return value.is_string(); }

/// Whether the value is an object of texts.
bool isRecord(const json& value)
{
    return value.is_object() && std::all_of(value.begin(), value.end(), isText);
}

bool hasType(const json& value, StatusType type)
{
    constexpr std::uint64_t maxCount32 = std::numeric_limits<std::uint32_t>::max();
    switch (type) {
    case StatusType::Text:
        return value.is_string();
    case StatusType::Count32:
        return value.is_number_unsigned() && value.get<std::uint64_t>() <= maxCount32;
    case StatusType::Count64:
        return value.is_number_unsigned();
    case StatusType::TextList:
        return value.is_array() && std::all_of(value.begin(), value.end(), isText);
    case StatusType::RecordList:
        return value.is_array() && std::all_of(value.begin(), value.end(), isRecord);
    }
    return false;
}

} // namespace

bool isUsableSpec(Kind kind, const json& spec)
{
    if (!areKnownFieldsUsable(rulesFor(kind), spec))
        return false;
    if (kind != Kind::Configuration)
        return true;
    const auto policy = spec.find("policy");
    const bool hasUsablePolicy = policy == spec.end()
        || (isNestedObjectUsable(movePolicyRules(), *policy, "move")
            && isNestedObjectUsable(maintenancePolicyRules(), *policy, "maintenance"));
    const auto routes = spec.find("routes");
    return hasUsablePolicy
        && (routes == spec.end() || std::all_of(routes->begin(), routes->end(), [](const json& route) {
               return areKnownFieldsUsable(routeRules(), route);
           }));
}

std::vector<std::string> removeUnusableFields(Kind kind, json& status)
{
    std::vector<std::string> removed;
    for (const auto& rule : statusRulesFor(kind)) {
        const auto field = status.find(rule.name);
        if (field == status.end() || hasType(*field, rule.type))
            continue;
        status.erase(field);
        removed.emplace_back(rule.name);
    }
    return removed;
}

std::vector<FieldError> validate(Kind kind, std::string_view name, json& spec)
{
    std::vector<FieldError> errors;
    if (!isName(name))
        errors.push_back({ "name", std::string(name), std::string(nameDescription) });
    if (kind == Kind::Configuration && name != currentConfigurationName)
        errors.push_back({ "name", std::string(name), std::string(currentConfigurationName) });
    validateFields(rulesFor(kind), "spec", spec, errors);
    if (kind == Kind::Configuration && spec.is_object() && spec.contains("policy")
        && spec["policy"].is_object())
        validatePolicy(spec["policy"], errors);
    if (kind != Kind::Configuration || !spec.is_object() || !spec.contains("routes")
        || !spec["routes"].is_array())
        return errors;
    std::size_t index = 0;
    for (auto& route : spec["routes"]) {
        const std::string path = "spec.routes[" + std::to_string(index++) + "]";
        validateFields(routeRules(), path, route, errors);
        if (route.is_object() && route.contains("prefix") && route["prefix"].is_string()
            && !route["prefix"].get_ref<const std::string&>().starts_with("/"))
            errors.push_back({ path + ".prefix", route["prefix"].dump(), "a path starting with '/'" });
    }
    return errors;
}

} // namespace damask::resource
