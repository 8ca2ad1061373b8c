#include "faulty_table.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <cstdlib>

namespace damask::review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Limits of one call, see "The platform's metadata store" in PROTOCOL.md and `row_bytes` in the settings.
constexpr std::size_t maxRowBytes = 65536;
constexpr std::size_t maxCallBytes = 1'000'000;
constexpr std::size_t maxCallEntries = 100;
/// Longer than any call waits at the store.
constexpr milliseconds callTimeout { 60'000 };

constexpr std::size_t maxRowsPerRead = 500;
/// Time of an answer of the store.
constexpr milliseconds answerTime { 4 };

/// Why the store rejects the transaction; empty if it does not.
std::string findExcess(const json& transaction, std::size_t bytes)
{
    const auto rows = transaction.value("set_keys", json::array());
    const auto entries = rows.size() + transaction.value("expect_rev", json::array()).size()
        + transaction.value("remove", json::array()).size();
    if (bytes > maxCallBytes)
        return "a call of " + std::to_string(bytes) + " bytes";
    if (entries > maxCallEntries)
        return "a call of " + std::to_string(entries) + " entries";
    for (const auto& row : rows) {
        std::string value;
        absl::Base64Unescape(row.value("value", ""), &value);
        if (value.size() > maxRowBytes)
            return "row " + row.value("table", "") + "/" + row.value("part", "") + "/" + row.value("key", "")
                + " of " + std::to_string(value.size()) + " bytes";
    }
    return "";
}

/// The request as it is sent to the store.
HttpRequest forwarded(HttpRequest request)
{
    std::erase_if(request.headers, [](const auto& header) { return http::isHopByHop(header.first); });
    return request;
}

} // namespace

FaultyTable::FaultyTable(event_base* base, Address store)
    : m_store(std::move(store))
    , m_client(base, { .idleTimeout = callTimeout })
    , m_calls(base)
    , m_server(base, { .idleTimeout = std::chrono::hours(1) },
          [this](const Exchange& exchange) { handle(exchange); })
{
    m_address = { "127.0.0.1", *m_server.listen({ "127.0.0.1", 0 }) };
}

void FaultyTable::handle(const Exchange& exchange)
{
    if (exchange->request().path == "/rows-tx")
        return handleWrite(exchange);
    pass(exchange);
}

void FaultyTable::handleWrite(const Exchange& exchange)
{
    ++m_writes;
    const auto& body = exchange->request().body;
    const auto transaction = json::parse(body, nullptr, false);
    const auto excess = transaction.is_object() ? findExcess(transaction, body.size()) : "no JSON object";
    if (!excess.empty()) {
        ++m_rejectedWrites;
        m_lastRejection = excess;
        return exchange->reply(
            { 400, { { "Content-Type", "application/json" } }, json({ { "error", excess } }).dump() });
    }
    const auto delay = m_lateWrites ? m_lateWrites(transaction) : std::nullopt;
    if (!delay)
        return pass(exchange);
    ++m_lostAnswers;
    // The exchange stays open without an answer.
    m_calls.add(*delay, [this, exchange] {
        m_client.send(m_store, forwarded(exchange->request()), callTimeout, [exchange](const HttpResult&) {});
    });
}

void FaultyTable::addEarlierRows(const std::string& table, const std::string& part,
    const std::vector<std::pair<std::string, std::string>>& valuesByKey)
{
    auto& rows = m_earlierRows[{ table, part }];
    for (const auto& [key, value] : valuesByKey)
        rows.push_back({ key,
            json({ { "table", table }, { "part", part }, { "key", key }, { "ver", 1 },
                     { "value", absl::Base64Escape(value) } })
                .dump() });
}

bool FaultyTable::readEarlierRows(const Exchange& exchange)
{
    const auto& request = exchange->request();
    if (request.path != "/rows-get")
        return false;
    const auto queryText
        = [&](const char* name) { return http::queryValue(request.query, name).value_or(""); };
    const auto found = m_earlierRows.find({ queryText("table"), queryText("part") });
    if (found == m_earlierRows.end())
        return false;
    const auto& rows = found->second;
    auto row = std::lower_bound(rows.begin(), rows.end(), queryText("from"),
        [](const EarlierRow& row, const std::string& key) { return row.key < key; });
    if (row == rows.end())
        return false;
    const auto limit = std::min<std::size_t>(std::stoul("0" + queryText("limit")), maxRowsPerRead);
    std::string body = "{\"rows\":[";
    for (std::size_t i = 0; i < limit && row != rows.end(); ++i, ++row)
        body += (i > 0 ? "," : "") + row->text;
    // The rows of the store itself follow.
    body += "],\"has_more\":true,\"ver\":" + std::to_string(m_version) + "}";
    m_calls.add(answerTime, [exchange, body = std::move(body)] {
        exchange->reply({ 200, { { "Content-Type", "application/json" } }, body });
    });
    return true;
}

void FaultyTable::pass(const Exchange& exchange)
{
    if (readEarlierRows(exchange))
        return;
    m_client.send(m_store, forwarded(exchange->request()), callTimeout, [this, exchange](HttpResult result) {
        if (!result)
            return exchange->reply({ 503, { { "Content-Type", "application/json" } }, "{}" });
        std::erase_if(result->headers, [](const auto& header) { return http::isHopByHop(header.first); });
        const auto at = result->body.rfind("\"ver\":");
        if (!m_earlierRows.empty() && at != std::string::npos)
            m_version = std::max<std::uint64_t>(
                m_version, std::strtoull(result->body.c_str() + at + 6, nullptr, 10));
        exchange->reply(std::move(*result));
    });
}

} // namespace damask::review
