#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Sapphireladder {

/** How the end of a message's body is found. */
enum class FramingKind : std::uint8_t {
    None,
    Length,
    Chunked,
};

/** Framing of one message. */
struct MessageFraming
{
    FramingKind kind = FramingKind::None;
    /** Bytes of the body, with FramingKind::Length. */
    std::uint64_t length = 0;
};

/** @return whether a line ends with a line feed only. Such an end would be waited for in vain. */
bool hasBareLineFeed(std::string_view text);

/**
 * Parses the head of a request by POCO. Folded lines, spaces before a colon and control characters,
 * which POCO takes, are refused, since two readers may take them differently.
 * @param head lines that each end with CR LF, without the empty line
 * @param message receives the request line and the fields
 * @return whether the head is a valid HTTP/1.0 or HTTP/1.1 request.
 */
bool parseRequestHead(std::string_view head, Poco::Net::HTTPRequest &message);

/** As parseRequestHead(), for the head of an answer. */
bool parseAnswerHead(std::string_view head, Poco::Net::HTTPResponse &message);

/** @return the framing, or nothing if the framing fields are invalid or contradict each other. */
std::optional<MessageFraming> framingOf(const Poco::Net::HTTPMessage &message);

/** @return whether a field of that name has the token in its comma-separated list. */
bool hasToken(const Poco::Net::HTTPMessage &message, std::string_view name, std::string_view token);

/** @return whether the sender of the message keeps the connection open after it. */
bool keepsConnection(const Poco::Net::HTTPMessage &message);

} // namespace Sapphireladder
