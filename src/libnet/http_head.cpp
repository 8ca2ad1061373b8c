#include "http_head_pvt.h"

#include <algorithm>
#include <array>

namespace damask::http {
namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr int badRequest = 400;
constexpr int notImplemented = 501;
constexpr int versionNotSupported = 505;
constexpr std::array<std::string_view, 7> forwardableMethods { "GET", "POST", "PUT", "DELETE", "HEAD",
    "PATCH", "OPTIONS" };

bool isControl(char byte) { return (byte >= 0 && byte < ' ' && byte != '\t') || byte == 0x7f; }

bool isTokenByte(char byte)
{
    const bool isLetter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    const bool isDigit = byte >= '0' && byte <= '9';
    return isLetter || isDigit
        || (byte != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos);
}

int requestLineRefusalStatus(std::string_view line)
{
    const auto firstSpace = line.find(' ');
    const auto lastSpace = line.rfind(' ');
    if (firstSpace == std::string_view::npos || firstSpace == lastSpace)
        return badRequest;
    const auto target = line.substr(firstSpace + 1, lastSpace - firstSpace - 1);
    const auto version = line.substr(lastSpace + 1);
    if (!target.starts_with('/') || target.find_first_of(" \t#") != std::string_view::npos)
        return badRequest;
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
        return version.starts_with("HTTP/") ? versionNotSupported : badRequest;
    const auto method = line.substr(0, firstSpace);
    return std::find(forwardableMethods.begin(), forwardableMethods.end(), method) == forwardableMethods.end()
        ? notImplemented
        : 0;
}

bool isHeaderField(std::string_view line)
{
    const auto name = line.substr(0, line.find(':'));
    return !name.empty() && name.size() < line.size() && std::all_of(name.begin(), name.end(), isTokenByte);
}

} // namespace

std::size_t appendToHead(RequestHead& head, std::string_view bytes)
{
    if (head.isComplete)
        return bytes.size();
    const auto searchStart = head.text.size() < headEnd.size() ? 0 : head.text.size() - headEnd.size();
    head.text += bytes;
    // Ignores empty lines before a request (RFC 9112, section 2.2).
    while (searchStart == 0 && head.text.starts_with(lineEnd))
        head.text.erase(0, lineEnd.size());
    const auto end = head.text.find(headEnd, searchStart);
    if (end == std::string::npos)
        return 0;
    const auto excess = head.text.size() - end - headEnd.size();
    head.text.resize(end + headEnd.size());
    head.isComplete = true;
    return excess;
}

int headRefusalStatus(const RequestHead& head)
{
    std::string_view remaining = head.text;
    bool isRequestLine = true;
    while (!remaining.empty()) {
        const auto end = remaining.find(lineEnd);
        const auto line = remaining.substr(0, end);
        remaining.remove_prefix(end == std::string_view::npos ? remaining.size() : end + lineEnd.size());
        if (std::any_of(line.begin(), line.end(), isControl))
            return badRequest;
        if (isRequestLine) {
            if (const int status = requestLineRefusalStatus(line))
                return status;
        } else if (!line.empty() && !isHeaderField(line)) {
            return badRequest;
        }
        isRequestLine = false;
    }
    return 0;
}

std::string_view requestTarget(const RequestHead& head)
{
    const auto line = std::string_view(head.text).substr(0, head.text.find(lineEnd));
    const auto firstSpace = line.find(' ');
    const auto lastSpace = line.rfind(' ');
    return firstSpace == lastSpace ? std::string_view()
                                   : line.substr(firstSpace + 1, lastSpace - firstSpace - 1);
}

bool requiresHost(const RequestHead& head)
{
    return std::string_view(head.text).substr(0, head.text.find(lineEnd)).ends_with("HTTP/1.1");
}

} // namespace damask::http
