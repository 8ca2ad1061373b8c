#include "http_chunk_pvt.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <string>

namespace damask::http {
namespace {

using State = ChunkParser::State;

/// Longest accepted chunk size, in hexadecimal digits. 15 digits always fit in 64 bits.
constexpr int maxSizeDigits = 15;
constexpr std::uint64_t hexBase = 16;

int hexDigitValue(char byte)
{
    if (byte >= '0' && byte <= '9')
        return byte - '0';
    const char lower = absl::ascii_tolower(static_cast<unsigned char>(byte));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

State parseSizeByte(ChunkParser& parser, char byte)
{
    if (const int digit = hexDigitValue(byte); digit >= 0) {
        parser.remainingBytes = parser.remainingBytes * hexBase + static_cast<std::uint64_t>(digit);
        return ++parser.sizeDigits > maxSizeDigits ? State::Invalid : State::Size;
    }
    if (parser.sizeDigits == 0)
        return State::Invalid;
    if (byte == '\r')
        return State::SizeEnd;
    return byte == ';' || byte == ' ' || byte == '\t' ? State::Extension : State::Invalid;
}

State nextState(ChunkParser& parser, char byte)
{
    switch (parser.state) {
    case State::Size:
        return parseSizeByte(parser, byte);
    case State::Extension:
        return byte == '\r' ? State::SizeEnd : byte == '\n' ? State::Invalid : State::Extension;
    case State::SizeEnd:
        if (byte != '\n')
            return State::Invalid;
        parser.sizeDigits = 0;
        return parser.remainingBytes == 0 ? State::TrailerLineStart : State::Data;
    case State::DataEnd:
        return byte == '\r' ? State::DataEnd : byte == '\n' ? State::Size : State::Invalid;
    case State::TrailerLineStart:
        return byte == '\n' ? State::Complete : byte == '\r' ? State::TrailerLineStart : State::TrailerLine;
    case State::TrailerLine:
        return byte == '\n' ? State::TrailerLineStart : State::TrailerLine;
    case State::Data:
    case State::Complete:
    case State::Invalid:
        break;
    }
    return parser.state;
}

} // namespace

bool parseChunks(ChunkParser& parser, std::string_view bytes)
{
    while (!bytes.empty() && parser.state != State::Complete && parser.state != State::Invalid) {
        if (parser.state == State::Data) {
            const auto consumed = std::min<std::uint64_t>(parser.remainingBytes, bytes.size());
            bytes.remove_prefix(static_cast<std::size_t>(consumed));
            parser.remainingBytes -= consumed;
            if (parser.remainingBytes == 0)
                parser.state = State::DataEnd;
            continue;
        }
        parser.state = nextState(parser, bytes.front());
        bytes.remove_prefix(1);
    }
    return parser.state != State::Invalid;
}

bool isChunked(std::string_view head)
{
    constexpr std::string_view field = "\r\ntransfer-encoding:";
    return absl::AsciiStrToLower(std::string(head)).find(field) != std::string::npos;
}

} // namespace damask::http
