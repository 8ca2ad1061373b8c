#include <damaskworks/record_rows.h>

#include <charconv>
#include <functional>
#include <iterator>

namespace damask::fleet {

TaskRange rangeOf(const RecordRows& record, std::int64_t position)
{
    const auto next = record.rows.upper_bound(position);
    return { position, next == record.rows.end() ? TaskRange {}.end : next->first };
}

std::uint64_t hashOf(std::string_view text)
{
    return static_cast<std::uint64_t>(std::hash<std::string_view> {}(text)) | 1;
}

std::string recordKey(std::string_view job, std::int64_t position)
{
    return position == 0 ? std::string(job) : std::string(job) + "/" + std::to_string(position);
}

std::optional<RecordKey> parseRecordKey(std::string_view key)
{
    const auto slash = key.find('/');
    RecordKey out { std::string(key.substr(0, slash)), 0 };
    if (slash == std::string_view::npos)
        return out;
    const auto digits = key.substr(slash + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), out.position);
    if (error != std::errc() || end != digits.data() + digits.size() || out.position <= 0)
        return std::nullopt;
    return out;
}

} // namespace damask::fleet
