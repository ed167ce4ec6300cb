#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Sapphireladder {

/** How the length of a message's body is determined. */
enum class FramingKind : std::uint8_t {
    None,
    Length,
    Chunked,
};

/** Body framing of a message. */
struct MessageFraming
{
    FramingKind kind = FramingKind::None;
    /** Bytes of the body, with FramingKind::Length. */
    std::uint64_t length = 0;
};

/** @return whether a line ends with LF only. The search for CRLF CRLF would miss the end of such a
 * head. */
bool hasBareLineFeed(std::string_view text);

/** @return whether the text is valid in a field value: no control character but the tab. */
bool isFieldText(std::string_view text);

/**
 * @param lines lines with CRLF between them
 * @return whether each line is a field that all parsers read alike: a token, a colon, and a value
 * without control characters.
 */
bool hasValidFields(std::string_view lines);

/**
 * Parses the head of a request with POCO. Rejects folded lines, spaces before a colon and control
 * characters, which POCO accepts, since other parsers may read them differently.
 * @param head lines that each end with CRLF, without the empty line
 * @param message receives the request line and the fields
 * @return whether the head is a valid HTTP/1.0 or HTTP/1.1 request.
 */
bool parseRequestHead(std::string_view head, Poco::Net::HTTPRequest &message);

/** As parseRequestHead(), for the head of a response. */
bool parseResponseHead(std::string_view head, Poco::Net::HTTPResponse &message);

/** @return the framing, or nothing if the framing fields are invalid or conflicting. */
std::optional<MessageFraming> framingOf(const Poco::Net::HTTPMessage &message);

/** @return whether a field of this name has the token in its comma-separated list. */
bool hasToken(const Poco::Net::HTTPMessage &message, std::string_view name, std::string_view token);

/** @return whether the sender of the message keeps the connection open after it. */
bool isKeepAlive(const Poco::Net::HTTPMessage &message);

} // namespace Sapphireladder
