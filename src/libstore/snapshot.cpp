#include <damaskworks/json_input.h>
#include <damaskworks/snapshot.h>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace damask {
namespace snapshot {
namespace {

using nlohmann::json;

constexpr int formatVersion = 1;

/// Decimal XXH3 hash of the cluster, the version and the JSON text of the rows.
std::string computeHash(std::string_view cluster, TableVersion version, const std::string& rows)
{
    const auto text = std::string(cluster) + "\n" + std::to_string(version) + "\n" + rows;
    return std::to_string(XXH3_64bits(text.data(), text.size()));
}

json toJson(const std::vector<Row>& rows)
{
    json out = json::array();
    for (const auto& row : rows)
        out.push_back(json::array({ row.key, row.version, row.value }));
    return out;
}

std::vector<Row> toRows(const json& value)
{
    std::vector<Row> out;
    for (const auto& row : value)
        out.push_back(
            { row.at(0).get<std::string>(), row.at(1).get<TableVersion>(), row.at(2).get<std::string>() });
    return out;
}

tl::expected<RowSet, Error> read(const json& value, std::string_view cluster)
{
    const auto fail = [](DecodeFailure failure) { return tl::make_unexpected(Error { failure }); };
    if (value.at("format") != formatVersion)
        return fail(DecodeFailure::UnknownFormat);
    if (value.at("cluster").get<std::string>() != cluster)
        return fail(DecodeFailure::ForeignCluster);
    RowSet out;
    out.version = value.at("version").get<TableVersion>();
    if (value.at("hash").get<std::string>() != computeHash(cluster, out.version, value.at("rows").dump()))
        return fail(DecodeFailure::HashMismatch);
    out.rows = toRows(value.at("rows"));
    return out;
}

} // namespace

std::string encode(const RowSet& set, std::string_view cluster)
{
    const auto rows = toJson(set.rows);
    return json {
        { "format", formatVersion }, { "cluster", cluster }, { "version", set.version },
        { "hash", computeHash(cluster, set.version, rows.dump()) }, { "rows", rows }
    }.dump();
}

tl::expected<RowSet, Error> decode(std::string_view text, std::string_view cluster)
{
    const auto value = parseJson(text);
    if (!value.is_object())
        return tl::make_unexpected(Error { DecodeFailure::Malformed });
    try {
        return read(value, cluster);
    } catch (const json::exception&) {
        // A member is missing or has the wrong type.
        return tl::make_unexpected(Error { DecodeFailure::Malformed });
    }
}

} // namespace snapshot

SnapshotWriter::SnapshotWriter(Platform& platform, const Mirror& mirror, const Clock& clock, Metrics& metrics,
    std::string cluster, std::chrono::milliseconds period)
    : m_platform(platform)
    , m_mirror(mirror)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_cluster(std::move(cluster))
    , m_period(period)
{
}

void SnapshotWriter::writeIfDue(bool isWriter)
{
    const auto now = m_clock.now();
    const bool isDue = m_lastAttempt == TimePoint {} || now - m_lastAttempt >= m_period;
    if (!isWriter || !isDue || m_mirror.isTableUnreachable() || m_mirror.version() <= m_writtenVersion)
        return;
    m_lastAttempt = now;
    const auto version = m_mirror.version();
    m_platform.writeObject(std::string(snapshot::objectName),
        snapshot::encode(m_mirror.rowsSince(0), m_cluster), [this, version](PlatformResult<bool> result) {
            m_metrics.count(result ? "damask_snapshot_writes_total{result=\"ok\"}"
                                   : "damask_snapshot_writes_total{result=\"failed\"}");
            if (result)
                m_writtenVersion = version;
        });
}

} // namespace damask
