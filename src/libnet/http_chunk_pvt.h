/// \file
/// Validates the framing of a chunked body independently of libevhtp's parser, in which a long chunk size
/// overflows (RFC 9112, section 7.1: recipients must anticipate large numbers and prevent such errors).
#pragma once

#include <cstdint>
#include <string_view>

namespace damask::http {

/// State of parsing one chunked body.
struct ChunkParser {
    enum class State {
        Size,
        Extension, ///< of the chunk size; ignored
        SizeEnd, ///< expects the line feed that ends the line of the chunk size
        Data,
        DataEnd, ///< expects the line end after the data
        TrailerLineStart,
        TrailerLine,
        Complete,
        Invalid,
    };
    State state = State::Size;
    int sizeDigits = 0; ///< digits read of the current chunk's size
    std::uint64_t remainingBytes = 0; ///< data bytes left in the current chunk
};

/// Parses \p bytes, the next part of the body. Returns false if the framing is invalid. Ignores bytes after
/// the end of the body.
bool parseChunks(ChunkParser& parser, std::string_view bytes);

/// Whether the complete \p head has a Transfer-Encoding field, which the server accepts only as `chunked`.
bool isChunked(std::string_view head);

} // namespace damask::http
