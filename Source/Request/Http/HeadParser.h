#pragma once

#include "Request/HeaderField.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

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

enum class HttpVersion : std::uint8_t {
    Http10,
    Http11,
};

/** What the heads of requests and responses have in common. */
struct MessageHead
{
    HttpVersion version = HttpVersion::Http11;
    /** In the order in which they were received. */
    std::vector<HeaderField> fields;
    /** Nothing if the framing fields are invalid or conflicting. The fields are incomplete then. */
    std::optional<MessageFraming> framing = MessageFraming{};
};

struct RequestHead : MessageHead
{
    std::string method;
    /** Path and query as received. */
    std::string requestTarget;
};

struct ResponseHead : MessageHead
{
    unsigned status = 0;
};

/**
 * The names that the Connection fields of a message list: options, and fields that concern this
 * connection only.
 */
class ConnectionOptions
{
public:
    explicit ConnectionOptions(const MessageHead &head);
    /** @return whether the name is listed, ignoring case. */
    bool contains(std::string_view name) const;

private:
    /** In lower case. Ordered, since a hash table slows down with names that are made to collide.
     */
    std::set<std::string> m_names;
};

/**
 * @param text received so far
 * @param from position from which on the text has not been checked yet
 * @return whether a line ends with LF only. The search for CRLF CRLF would miss the end of such a
 * head.
 */
bool hasBareLineFeed(std::string_view text, std::size_t from = 0);

/** @return whether the text is valid in a field value: no control character but the tab. */
bool isFieldText(std::string_view text);

/**
 * @param lines lines with CRLF between them
 * @return whether each line is a field that all parsers read alike: a token, a colon, and a value
 * without control characters.
 */
bool hasValidFields(std::string_view lines);

/**
 * Parses the head of a request in time proportional to its size. Rejects folded lines, spaces
 * before a colon and control characters, since other parsers may read them differently.
 * @param head lines that each end with CRLF, without the empty line
 * @return the head, or nothing if it is not one of a valid HTTP/1.0 or HTTP/1.1 request.
 */
std::optional<RequestHead> parseRequestHead(std::string_view head);

/** As parseRequestHead(), for the head of a response. */
std::optional<ResponseHead> parseResponseHead(std::string_view head);

/** @return whether a field of this name has the token in its comma-separated list. */
bool hasToken(const MessageHead &head, std::string_view name, std::string_view token);

/** @return whether the sender of the message keeps the connection open after it. */
bool isKeepAlive(const MessageHead &head, const ConnectionOptions &options);

} // namespace Sapphireladder
