#include "Request/Http/RequestHttp.h"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/String.h>

#include <algorithm>

namespace Sapphireladder {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::string_view whitespace = " \t";

bool isVisibleAscii(char c)
{
    return c > ' ' && c < '\x7f';
}

bool isTokenCharacter(char c)
{
    static constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{}";
    return isVisibleAscii(c) && separators.find(c) == std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isSupportedVersion(std::string_view text)
{
    return text == HTTPMessage::HTTP_1_0 || text == HTTPMessage::HTTP_1_1;
}

std::string_view trimWhitespace(std::string_view text)
{
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/** Removes the text up to and including the separator. @return the part before the separator. */
std::string_view takeUntil(std::string_view &text, std::string_view separator)
{
    const auto end = text.find(separator);
    const auto part = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + separator.size());
    return part;
}

/**
 * Parses the head with POCO. POCO decodes RFC 2047 encoded words in fields, which are not part of
 * HTTP: a field would be passed on modified, or with a line end in it. While POCO parses, the "=?"
 * of such words is replaced by a sequence with a control character, which no valid head contains.
 * @return whether POCO accepted the head.
 */
bool parse(std::string_view head, HTTPMessage &message)
{
    static constexpr const char *encodedWordPrefix = "=?";
    static constexpr const char *maskedPrefix = "=\x01";
    auto text = Poco::replace(std::string(head), encodedWordPrefix, maskedPrefix,
                              head.find("\r\n"));
    // No limit on the number of fields: the size of the head is already limited.
    message.setFieldLimit(0);
    Poco::MemoryInputStream in(text.data(), static_cast<std::streamsize>(text.size()));
    try {
        message.read(in);
    } catch (const Poco::Exception &) {
        return false;
    }
    if (text == head)
        return true;
    Poco::Net::NameValueCollection fields;
    fields.swap(message);
    for (const auto &[name, value] : fields)
        message.add(name, Poco::replace(value, maskedPrefix, encodedWordPrefix));
    return true;
}

} // namespace

bool hasBareLineFeed(std::string_view text)
{
    for (auto n = text.find('\n'); n != std::string_view::npos; n = text.find('\n', n + 1)) {
        if (n == 0 || text[n - 1] != '\r')
            return true;
    }
    return false;
}

bool isFieldText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= ' ' && byte != 0x7f);
    });
}

bool hasValidFields(std::string_view lines)
{
    while (!lines.empty()) {
        const auto line = takeUntil(lines, "\r\n");
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon))
            || !isFieldText(line.substr(colon + 1)))
            return false;
    }
    return true;
}

bool parseRequestHead(std::string_view head, HTTPRequest &message)
{
    if (!parse(head, message))
        return false;
    const auto &uri = message.getURI();
    // POCO ignores extra white space in the request line and any text after the version.
    const auto line = message.getMethod() + ' ' + uri + ' ' + message.getVersion();
    return takeUntil(head, "\r\n") == line && isToken(message.getMethod())
           && std::all_of(uri.begin(), uri.end(), isVisibleAscii)
           && isSupportedVersion(message.getVersion()) && hasValidFields(head);
}

bool parseResponseHead(std::string_view head, HTTPResponse &message)
{
    if (!parse(head, message))
        return false;
    constexpr int minStatus = 100;
    constexpr int maxStatus = 599;
    const int status = message.getStatus();
    auto line = takeUntil(head, "\r\n");
    return takeUntil(line, " ") == message.getVersion() && isSupportedVersion(message.getVersion())
           && takeUntil(line, " ") == std::to_string(status) && status >= minStatus
           && status <= maxStatus && isFieldText(line) && hasValidFields(head);
}

std::optional<MessageFraming> framingOf(const HTTPMessage &message)
{
    MessageFraming framing;
    for (const auto &[name, value] : message) {
        const bool isLength = equalsIgnoringCase(name, HTTPMessage::CONTENT_LENGTH);
        const bool isEncoding = equalsIgnoringCase(name, HTTPMessage::TRANSFER_ENCODING);
        if (!isLength && !isEncoding)
            continue;
        // The next hop might use the other of two framing fields, even if both agree.
        if (framing.kind != FramingKind::None)
            return std::nullopt;
        if (isEncoding) {
            if (!equalsIgnoringCase(value, "chunked")
                || message.getVersion() == HTTPMessage::HTTP_1_0)
                return std::nullopt;
            framing.kind = FramingKind::Chunked;
            continue;
        }
        const auto length = parseUnsigned(value);
        if (!length)
            return std::nullopt;
        framing = {FramingKind::Length, length.value()};
    }
    return framing;
}

bool hasToken(const HTTPMessage &message, std::string_view name, std::string_view token)
{
    for (const auto &[field, value] : message) {
        if (!equalsIgnoringCase(field, name))
            continue;
        std::string_view list(value);
        while (!list.empty()) {
            if (equalsIgnoringCase(trimWhitespace(takeUntil(list, ",")), token))
                return true;
        }
    }
    return false;
}

bool isKeepAlive(const HTTPMessage &message)
{
    if (hasToken(message, HTTPMessage::CONNECTION, "close"))
        return false;
    return message.getVersion() == HTTPMessage::HTTP_1_1
           || hasToken(message, HTTPMessage::CONNECTION, "keep-alive");
}

} // namespace Sapphireladder
