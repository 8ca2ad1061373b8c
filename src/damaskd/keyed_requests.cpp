#include "keyed_requests_pvt.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace damask {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds retryPeriod { 500 };
constexpr std::chrono::milliseconds sweepPeriod { 2000 };
constexpr std::size_t maxDeletionsPerCommit = 32;
constexpr std::size_t maxWritesAtOnce = 16;

std::string hashOf(std::string_view text)
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> out {};
    std::snprintf(out.data(), out.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
        static_cast<unsigned long long>(hash.low64));
    return out.data();
}

std::string fingerprintOf(const HttpRequest& request)
{
    return hashOf(request.method + " " + request.path + "?" + request.query + "\n" + request.body);
}

json toJson(const idempotency::Claim& claim)
{
    json out = { { "node", claim.node }, { "incarnation", claim.incarnation }, { "serial", claim.serial },
        { "fingerprint", claim.fingerprint },
        { "state", nameOf(idempotency::claimStateNames, claim.state) } };
    if (!claim.answer)
        return out;
    json headers = json::array();
    for (const auto& [name, value] : claim.answer->headers)
        headers.push_back({ name, value });
    out["answer"] = { { "status", claim.answer->status }, { "headers", headers },
        { "body", json::binary({ claim.answer->body.begin(), claim.answer->body.end() }) } };
    return out;
}

/// Bodies may be any bytes, so a claim is kept as hexadecimal MessagePack text.
std::string encode(const idempotency::Claim& claim)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text = "\"";
    for (auto byte : json::to_msgpack(toJson(claim))) {
        text += digits[byte >> 4];
        text += digits[byte & 0xf];
    }
    return text + "\"";
}

std::optional<idempotency::Claim> decode(const std::string& text)
{
    std::vector<std::uint8_t> bytes;
    for (std::size_t at = 1; at + 2 < text.size(); at += 2)
        bytes.push_back(static_cast<std::uint8_t>(std::strtoul(text.substr(at, 2).c_str(), nullptr, 16)));
    const auto value = json::from_msgpack(bytes, true, false);
    if (!value.is_object())
        return std::nullopt;
    const auto state = valueOf(idempotency::claimStateNames, value.value("state", ""));
    if (!state)
        return std::nullopt;
    idempotency::Claim claim { value.value("node", ""), value.value("incarnation", std::uint64_t { 0 }),
        value.value("serial", std::uint64_t { 0 }), value.value("fingerprint", ""), *state, std::nullopt };
    if (!value.contains("answer"))
        return claim;
    const auto& answer = value["answer"];
    const auto& body = answer["body"].get_binary();
    claim.answer = { answer.value("status", 0), {}, std::string(body.begin(), body.end()) };
    for (const auto& header : answer["headers"])
        claim.answer->headers.emplace_back(header[0].get<std::string>(), header[1].get<std::string>());
    return claim;
}

std::optional<idempotency::StoredResponse> keep(const HttpResponse& response)
{
    idempotency::StoredResponse answer { response.status, response.headers, response.body };
    std::size_t bytes = answer.body.size();
    for (const auto& [name, value] : answer.headers)
        bytes += name.size() + value.size();
    return bytes <= idempotency::maxStoredResponseBytes ? std::optional(std::move(answer)) : std::nullopt;
}

} // namespace

KeyedRequests::KeyedRequests(event_base* base, Store& store, const Clock& clock, Metrics& metrics,
    std::string node, std::uint64_t incarnation, HolderLives holderLives)
    : m_store(store)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_node(std::move(node))
    , m_incarnation(incarnation)
    , m_holderLives(std::move(holderLives))
    , m_retry(base, [this] { writeRecords(); })
    , m_sweep(base, [this] { sweep(); })
    , m_slice(incarnation)
{
    m_sweep.startPeriodic(sweepPeriod);
}

void KeyedRequests::claim(const std::string& pool, std::string_view key, const HttpRequest& request,
    std::function<void(ClaimResult)> callback)
{
    const auto rows = idempotency::claimRowKeys(m_clock.wallNow(), hashOf(pool + "\n" + std::string(key)));
    HeldClaim held { rows[1], 0,
        { m_node, m_incarnation, ++m_serial, fingerprintOf(request), idempotency::ClaimState::Running,
            std::nullopt } };
    Transaction transaction;
    for (const auto& row : rows)
        transaction.conditions.push_back({ row, 0 });
    transaction.writes.push_back({ held.row, encode(held.claim) });
    m_metrics.count("damask_key_claims_total");
    m_store.commit(
        std::move(transaction), [this, held, callback](PlatformResult<TableVersion> result) mutable {
            if (result) {
                held.version = *result;
                ClaimResult out { ClaimResult::Kind::Held };
                out.held = std::move(held);
                return callback(std::move(out));
            }
            if (result.error().failure == PlatformFailure::Conflict)
                return examine(held.claim.fingerprint, result.error(), callback);
            // The claim may still be written: it is taken back, because its request will not run.
            if (result.error().failure == PlatformFailure::OutcomeUnknown)
                takeBack(std::move(held));
            callback({ ClaimResult::Kind::Unverifiable });
        });
}

void KeyedRequests::examine(
    const std::string& fingerprint, PlatformError conflict, const std::function<void(ClaimResult)>& callback)
{
    m_store.platform().readRow(conflict.key, [this, fingerprint, callback](PlatformResult<Row> row) {
        const auto claim = row ? decode(row->value) : std::nullopt;
        if (!claim)
            return callback({ ClaimResult::Kind::Unverifiable });
        ClaimResult out { ClaimResult::Kind::Claimed };
        out.verdict = decideRepeat(*claim, fingerprint, m_holderLives(claim->node, claim->incarnation));
        out.answer = claim->answer;
        callback(std::move(out));
    });
}

void KeyedRequests::takeBack(HeldClaim held)
{
    m_store.platform().readRow(held.row, [this, held](const PlatformResult<Row>& row) mutable {
        const auto claim = row ? decode(row->value) : std::nullopt;
        const bool own = claim && claim->node == m_node && claim->incarnation == m_incarnation
            && claim->serial == held.claim.serial;
        if (!own)
            return; // if it is written later, repeats are refused until it expires
        held.version = row->version;
        release(std::move(held));
    });
}

void KeyedRequests::finish(HeldClaim held, const HttpResponse& response)
{
    held.claim.state = idempotency::ClaimState::Done;
    held.claim.answer = keep(response);
    record(std::move(held), false);
}

void KeyedRequests::finishUnknown(HeldClaim held)
{
    held.claim.state = idempotency::ClaimState::Unknown;
    record(std::move(held), false);
}

void KeyedRequests::release(HeldClaim held) { record(std::move(held), true); }

void KeyedRequests::record(HeldClaim held, bool remove)
{
    const auto row = held.row;
    m_unrecorded[row] = { std::move(held), remove, false };
    write(row);
}

void KeyedRequests::writeRecords()
{
    std::vector<std::string> rows;
    for (const auto& [row, record] : m_unrecorded) {
        if (!record.writing && rows.size() < maxWritesAtOnce)
            rows.push_back(row);
    }
    for (const auto& row : rows)
        write(row);
}

void KeyedRequests::write(const std::string& row)
{
    auto& record = m_unrecorded.at(row);
    record.writing = true;
    const auto& held = record.held;
    Transaction transaction;
    transaction.conditions.push_back({ row, held.version });
    transaction.writes.push_back({ row, record.remove ? std::nullopt : std::optional(encode(held.claim)) });
    m_store.commit(std::move(transaction), [this, row](const PlatformResult<TableVersion>& result) {
        auto found = m_unrecorded.find(row);
        if (found == m_unrecorded.end())
            return;
        found->second.writing = false;
        // A conflict means that an earlier try took effect.
        if (result || result.error().failure == PlatformFailure::Conflict)
            m_unrecorded.erase(found);
        else
            m_retry.startOnce(retryPeriod);
    });
}

void KeyedRequests::sweep()
{
    const auto prefix = idempotency::expiredClaimPrefix(m_clock.wallNow(), m_slice);
    m_store.platform().readRows(prefix, [this](const PlatformResult<Changes>& rows) {
        if (!rows)
            return;
        if (rows->rows.size() <= maxDeletionsPerCommit)
            ++m_slice;
        deleteRows(rows->rows);
    });
}

void KeyedRequests::deleteRows(const std::vector<Row>& rows)
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
