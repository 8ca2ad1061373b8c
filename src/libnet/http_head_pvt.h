/// \file
/// Validates the raw head of a request independently of libevhtp's parser. The server runs a request only if
/// both agree on where its head ends. This prevents request smuggling through bytes that they read
/// differently.
#pragma once

#include <string>
#include <string_view>

namespace damask::http {

/// Head of one request: the request line and the header fields, collected as the bytes arrive.
struct RequestHead {
    std::string text; ///< raw bytes, up to and including the empty line
    bool isComplete = false;
};

/// Appends \p bytes up to the end of the head. Returns the number of bytes that follow the head.
std::size_t appendToHead(RequestHead& head, std::string_view bytes);

/// Returns the status with which the server refuses a complete head, or 0 if the head is valid. Invalid are
/// line ends other than CRLF, control bytes, folded fields, field names that are not tokens, targets that are
/// not in origin form, methods that can't be forwarded and versions other than 1.0 and 1.1 (RFC 9112,
/// sections 2.2, 3 and 5).
int headRefusalStatus(const RequestHead& head);

/// Returns the request target of a complete head.
std::string_view requestTarget(const RequestHead& head);

/// Whether the request is HTTP/1.1, which requires a Host field.
bool requiresHost(const RequestHead& head);

} // namespace damask::http
