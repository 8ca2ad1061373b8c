#include <damaskworks/settings.h>

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <algorithm>
#include <cstdlib>

namespace damask::settings {
namespace {

/// Debian builds Abseil for C++14, where absl::string_view is not std::string_view.
absl::string_view toAbseil(std::string_view text) { return { text.data(), text.size() }; }

absl::CommandLineFlag* findFlag(std::string_view name) { return absl::FindCommandLineFlag(toAbseil(name)); }

std::string environmentName(std::string_view prefix, std::string_view name)
{
    std::string out(prefix);
    for (char c : name)
        out += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return out;
}

bool isKnown(std::span<const std::string_view> names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

void assign(std::string_view name, std::string_view displayName, std::string_view value,
    std::vector<SettingError>& errors)
{
    auto* flag = findFlag(name);
    std::string parseError;
    if (flag->ParseFrom(toAbseil(value), &parseError))
        return;
    std::replace(parseError.begin(), parseError.end(), '\n', ' ');
    errors.push_back(
        { std::string(displayName), std::string(value), parseError.empty() ? flag->Help() : parseError });
}

void readEnvironment(
    std::string_view prefix, std::span<const std::string_view> names, std::vector<SettingError>& errors)
{
    for (auto name : names) {
        const std::string variable = environmentName(prefix, name);
        const char* value = std::getenv(variable.c_str());
        if (!value)
            continue;
        assign(name, variable, value, errors);
    }
}

} // namespace

SettingsResult read(std::span<char* const> arguments, std::string_view environmentPrefix,
    std::span<const std::string_view> names)
{
    SettingsResult result;
    readEnvironment(environmentPrefix, names, result.errors);
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        std::string_view argument = arguments[i];
        if (argument == "--help" || argument == "-h") {
            result.helpRequested = true;
            continue;
        }
        if (!argument.starts_with("--")) {
            result.positional.emplace_back(argument);
            continue;
        }
        argument.remove_prefix(2);
        const auto equals = argument.find('=');
        const auto name = argument.substr(0, equals);
        if (!isKnown(names, name)) {
            result.errors.push_back(
                { "--" + std::string(name), std::string(argument), "a flag listed by --help" });
            continue;
        }
        const std::string displayName = "--" + std::string(name);
        if (equals != std::string_view::npos) {
            assign(name, displayName, argument.substr(equals + 1), result.errors);
            continue;
        }
        if (findFlag(name)->IsOfType<bool>()) {
            assign(name, displayName, "true", result.errors);
            continue;
        }
        if (i + 1 >= arguments.size()) {
            result.errors.push_back({ displayName, "", "a value after the flag" });
            continue;
        }
        assign(name, displayName, arguments[++i], result.errors);
    }
    return result;
}

std::string describe(const SettingError& error)
{
    return "setting " + error.setting + ": value '" + error.value
        + "' is not allowed; expected: " + error.allowed;
}

std::string print(std::span<const std::string_view> names)
{
    std::string out;
    for (auto name : names)
        out += std::string(name) + "=" + findFlag(name)->CurrentValue() + "\n";
    return out;
}

std::string help(
    std::string_view usage, std::string_view environmentPrefix, std::span<const std::string_view> names)
{
    std::string out(usage);
    out += "\n\nSettings (a flag takes precedence over its environment variable):\n";
    for (auto name : names) {
        const auto* flag = findFlag(name);
        out += "  --" + std::string(name) + "  (" + environmentName(environmentPrefix, name) + ")\n      "
            + flag->Help() + " Default: '" + flag->DefaultValue() + "'.\n";
    }
    return out;
}

} // namespace damask::settings
