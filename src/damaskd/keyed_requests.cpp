#include "keyed_requests_pvt.h"

#include <damaskworks/row_fields.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace damask {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds retryDelay { 500 };
constexpr std::chrono::milliseconds expiryPeriod { 2000 };
constexpr std::size_t maxDeletionsPerCommit = 32;
constexpr std::size_t maxWritesPerRetry = 16;
/// A claim, its response, the list of headers, a header.
constexpr std::size_t maxClaimDepth = 8;
constexpr IntegerRange statusRange { 100, 999 };

/// XXH3 128-bit hash as 32 hexadecimal digits.
std::string hexHash(std::string_view text)
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> out {};
    std::snprintf(out.data(), out.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
        static_cast<unsigned long long>(hash.low64));
    return out.data();
}

/// Distinguishes requests that share a key. Headers are not compared.
std::string fingerprintOf(const HttpRequest& request)
{
    return hexHash(request.method + " " + request.path + "?" + request.query + "\n" + request.body);
}

json toJson(const idempotency::Claim& claim)
{
    json out = { { "node", claim.node }, { "incarnation", claim.incarnation }, { "serial", claim.serial },
        { "fingerprint", claim.fingerprint },
        { "state", nameOf(idempotency::claimStateNames, claim.state) } };
    if (!claim.response)
        return out;
    json headers = json::array();
    for (const auto& [name, value] : claim.response->headers)
        headers.push_back({ name, value });
    out["answer"] = { { "status", claim.response->status }, { "headers", headers },
        { "body", json::binary({ claim.response->body.begin(), claim.response->body.end() }) } };
    return out;
}

/// Encodes a claim as a JSON string of hexadecimal MessagePack, since response bodies may hold any bytes.
std::string encodeClaim(const idempotency::Claim& claim)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text = "\"";
    for (auto byte : json::to_msgpack(toJson(claim))) {
        text += digits[byte >> 4];
        text += digits[byte & 0xf];
    }
    return text + "\"";
}

/// Receives the elements of a claim's MessagePack and builds nothing. Ends the parse if they nest too deeply,
/// because the parser calls itself for each level.
class ClaimDepth final : public nlohmann::json_sax<json> {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return ++m_depth <= maxClaimDepth; }
    bool key(string_t&) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return ++m_depth <= maxClaimDepth; }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

private:
    bool leave()
    {
        --m_depth;
        return true;
    }
    std::size_t m_depth = 0;
};

/// The bytes of a claim's row, see encodeClaim().
std::vector<std::uint8_t> claimBytes(const std::string& text)
{
    std::vector<std::uint8_t> bytes;
    for (std::size_t at = 1; at + 2 < text.size(); at += 2)
        bytes.push_back(static_cast<std::uint8_t>(std::strtoul(text.substr(at, 2).c_str(), nullptr, 16)));
    return bytes;
}

std::optional<idempotency::StoredResponse> decodeResponse(const json& value)
{
    RowFields fields(value);
    idempotency::StoredResponse response { static_cast<int>(fields.integer("status", statusRange)), {}, "" };
    for (const auto& header : fields.array("headers")) {
        if (!header.is_array() || header.size() != 2 || !header[0].is_string() || !header[1].is_string())
            return std::nullopt;
        response.headers.emplace_back(header[0].get<std::string>(), header[1].get<std::string>());
    }
    const auto body = value.is_object() ? value.find("body") : value.end();
    if (!fields.isValid() || body == value.end() || !body->is_binary())
        return std::nullopt;
    response.body.assign(body->get_binary().begin(), body->get_binary().end());
    return response;
}

/// Decodes the text of a claim's row; nothing if it is malformed.
std::optional<idempotency::Claim> decodeClaim(const std::string& text)
{
    const auto bytes = claimBytes(text);
    ClaimDepth depth;
    if (!json::sax_parse(bytes, &depth, json::input_format_t::msgpack))
        return std::nullopt;
    const auto value = json::from_msgpack(bytes, true, false);
    RowFields fields(value);
    const auto state = valueOf(idempotency::claimStateNames, fields.text("state"));
    idempotency::Claim claim { fields.text("node", ""),
        static_cast<std::uint64_t>(fields.integer("incarnation", anyCount, 0)),
        static_cast<std::uint64_t>(fields.integer("serial", anyCount, 0)), fields.text("fingerprint", ""),
        state.value_or(idempotency::ClaimState::Unknown), std::nullopt };
    if (!fields.isValid() || !state)
        return std::nullopt;
    if (!value.contains("answer"))
        return claim;
    claim.response = decodeResponse(value["answer"]);
    return claim.response ? std::optional(claim) : std::nullopt;
}

/// The response as stored for repeats; nothing if it exceeds idempotency::maxStoredResponseBytes.
std::optional<idempotency::StoredResponse> storableResponse(const HttpResponse& response)
{
    idempotency::StoredResponse stored { response.status, response.headers, response.body };
    std::size_t bytes = stored.body.size();
    for (const auto& [name, value] : stored.headers)
        bytes += name.size() + value.size();
    return bytes <= idempotency::maxStoredResponseBytes ? std::optional(std::move(stored)) : std::nullopt;
}

} // namespace

KeyClaims::KeyClaims(event_base* base, Store& store, const Clock& clock, Metrics& metrics, std::string node,
    std::uint64_t incarnation, IsProcessLive isProcessLive)
    : m_store(store)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_node(std::move(node))
    , m_incarnation(incarnation)
    , m_isProcessLive(std::move(isProcessLive))
    , m_retryTimer(base, [this] { retryWrites(); })
    , m_expiryTimer(base, [this] { deleteExpiredClaims(); })
    , m_expirySlice(incarnation)
{
    m_expiryTimer.startPeriodic(expiryPeriod);
}

void KeyClaims::claim(const std::string& pool, std::string_view key, const HttpRequest& request,
    std::function<void(ClaimResult)> callback)
{
    const auto rows = idempotency::claimRowKeys(m_clock.wallNow(), hexHash(pool + "\n" + std::string(key)));
    HeldClaim held { rows[1], 0,
        { m_node, m_incarnation, ++m_lastSerial, fingerprintOf(request), idempotency::ClaimState::Running,
            std::nullopt } };
    Transaction transaction;
    for (const auto& row : rows)
        transaction.conditions.push_back({ row, 0 });
    transaction.writes.push_back({ held.row, encodeClaim(held.claim) });
    m_metrics.count("damask_key_claims_total");
    m_store.commit(
        std::move(transaction), [this, held, callback](PlatformResult<TableVersion> result) mutable {
            if (result) {
                held.version = *result;
                ClaimResult out { ClaimResult::Kind::Acquired };
                out.held = std::move(held);
                return callback(std::move(out));
            }
            if (result.error().failure == PlatformFailure::Conflict)
                return readExistingClaim(held.claim.fingerprint, result.error(), callback);
            // The claim may still commit. It is deleted, because its request will not run.
            if (result.error().failure == PlatformFailure::OutcomeUnknown)
                deleteUnconfirmedClaim(std::move(held));
            callback({ ClaimResult::Kind::Unverifiable });
        });
}

void KeyClaims::readExistingClaim(
    const std::string& fingerprint, PlatformError conflict, const std::function<void(ClaimResult)>& callback)
{
    m_store.platform().readRow(conflict.key, [this, fingerprint, callback](PlatformResult<Row> row) {
        const auto claim = row ? decodeClaim(row->value) : std::nullopt;
        if (!claim)
            return callback({ ClaimResult::Kind::Unverifiable });
        ClaimResult out { ClaimResult::Kind::AlreadyClaimed };
        out.decision = decideRepeat(*claim, fingerprint, m_isProcessLive(claim->node, claim->incarnation));
        out.storedResponse = claim->response;
        callback(std::move(out));
    });
}

void KeyClaims::deleteUnconfirmedClaim(HeldClaim held)
{
    m_store.platform().readRow(held.row, [this, held](const PlatformResult<Row>& row) mutable {
        const auto claim = row ? decodeClaim(row->value) : std::nullopt;
        const bool isOwn = claim && claim->node == m_node && claim->incarnation == m_incarnation
            && claim->serial == held.claim.serial;
        if (!isOwn)
            return; // if it commits later, repeats are refused until it expires
        held.version = row->version;
        release(std::move(held));
    });
}

void KeyClaims::recordDone(HeldClaim held, const HttpResponse& response)
{
    held.claim.state = idempotency::ClaimState::Done;
    held.claim.response = storableResponse(response);
    queueWrite(std::move(held), false);
}

void KeyClaims::recordUnknown(HeldClaim held)
{
    held.claim.state = idempotency::ClaimState::Unknown;
    queueWrite(std::move(held), false);
}

void KeyClaims::release(HeldClaim held) { queueWrite(std::move(held), true); }

void KeyClaims::queueWrite(HeldClaim held, bool isDeletion)
{
    const auto row = held.row;
    m_pendingWrites[row] = { std::move(held), isDeletion, false };
    write(row);
}

void KeyClaims::retryWrites()
{
    std::vector<std::string> rows;
    for (const auto& [row, pending] : m_pendingWrites) {
        if (!pending.isInFlight && rows.size() < maxWritesPerRetry)
            rows.push_back(row);
    }
    for (const auto& row : rows)
        write(row);
}

void KeyClaims::write(const std::string& row)
{
    auto& pending = m_pendingWrites.at(row);
    pending.isInFlight = true;
    const auto& held = pending.held;
    Transaction transaction;
    transaction.conditions.push_back({ row, held.version });
    transaction.writes.push_back(
        { row, pending.isDeletion ? std::nullopt : std::optional(encodeClaim(held.claim)) });
    m_store.commit(std::move(transaction), [this, row](const PlatformResult<TableVersion>& result) {
        auto found = m_pendingWrites.find(row);
        if (found == m_pendingWrites.end())
            return;
        found->second.isInFlight = false;
        // A conflict means that an earlier attempt has committed.
        if (result || result.error().failure == PlatformFailure::Conflict)
            m_pendingWrites.erase(found);
        else
            m_retryTimer.startOnce(retryDelay);
    });
}

void KeyClaims::deleteExpiredClaims()
{
    const auto prefix = idempotency::expiredClaimPrefix(m_clock.wallNow(), m_expirySlice);
    m_store.platform().readRows(prefix, [this](const PlatformResult<Changes>& rows) {
        if (!rows)
            return;
        if (rows->rows.size() <= maxDeletionsPerCommit)
            ++m_expirySlice;
        deleteRows(rows->rows);
    });
}

void KeyClaims::deleteRows(const std::vector<Row>& rows)
{
    Transaction transaction;
    for (const auto& row : rows) {
        if (transaction.writes.size() < maxDeletionsPerCommit)
            transaction.writes.push_back({ row.key, std::nullopt });
    }
    if (!transaction.writes.empty())
        m_store.commit(std::move(transaction), [](const PlatformResult<TableVersion>&) {});
}

} // namespace damask
