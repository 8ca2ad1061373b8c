#include "commands_pvt.h"

namespace damask::ctl {
namespace {

using nlohmann::json;

constexpr std::size_t maxCellWidth = 48;
constexpr std::size_t columnGap = 2;

/// Text of a table cell, truncated to maxCellWidth bytes.
std::string cellText(const json& value)
{
    std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    if (text.size() > maxCellWidth)
        text = text.substr(0, maxCellWidth - 3) + "...";
    return text;
}

} // namespace

std::string formatTable(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string out;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + columnGap, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + "\n";
    }
    return out;
}

std::string resourceTable(const json& items)
{
    std::vector<std::string> specFields;
    std::vector<std::string> statusFields;
    auto collectFields = [](const json& object, std::vector<std::string>& fields) {
        for (const auto& [name, value] : object.items()) {
            if (std::find(fields.begin(), fields.end(), name) == fields.end())
                fields.push_back(name);
        }
    };
    for (const auto& item : items) {
        collectFields(item.at("spec"), specFields);
        collectFields(item.at("status"), statusFields);
    }
    std::vector<std::vector<std::string>> rows { { "NAME", "VERSION" } };
    for (const auto& field : specFields)
        rows[0].push_back(field);
    for (const auto& field : statusFields)
        rows[0].push_back("status." + field);
    for (const auto& item : items) {
        std::vector<std::string> row { item.at("name"), item.at("resourceVersion").dump() };
        for (const auto& field : specFields)
            row.push_back(item.at("spec").contains(field) ? cellText(item.at("spec").at(field)) : "");
        for (const auto& field : statusFields)
            row.push_back(item.at("status").contains(field) ? cellText(item.at("status").at(field)) : "");
        rows.push_back(std::move(row));
    }
    return formatTable(rows);
}

} // namespace damask::ctl
