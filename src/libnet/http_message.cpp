#include <damaskworks/http.h>

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <event2/http.h>
#include <strings.h>

namespace damask::http {
namespace {

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string percentDecode(std::string_view text)
{
    std::size_t length = 0;
    char* decoded = evhttp_uridecode(std::string(text).c_str(), 1, &length);
    if (!decoded)
        return {};
    std::string result(decoded, length);
    free(decoded);
    return result;
}

} // namespace

std::optional<std::string_view> header(const HttpHeaders& headers, std::string_view name)
{
    for (const auto& [candidate, value] : headers) {
        if (equalsIgnoringCase(candidate, name))
            return value;
    }
    return std::nullopt;
}

std::optional<std::string> queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1));
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return std::nullopt;
}

std::string percentEncode(std::string_view text)
{
    char* encoded = evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
    std::string result = encoded ? encoded : "";
    free(encoded);
    return result;
}

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Address result { std::string(text.substr(0, colon)), 0 };
    const auto digits = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
    in_addr parsed {};
    if (error != std::errc() || end != digits.data() + digits.size()
        || inet_pton(AF_INET, result.ip.c_str(), &parsed) != 1)
        return std::nullopt;
    return result;
}

std::string toString(const Address& address) { return address.ip + ":" + std::to_string(address.port); }

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> hopByHopNames { "connection", "keep-alive",
        "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
        "content-length" };
    for (auto candidate : hopByHopNames) {
        if (equalsIgnoringCase(candidate, name))
            return true;
    }
    return false;
}

} // namespace damask::http
