#include "Request/Http/RequestHttp.h"

#include <Poco/String.h>

#include <algorithm>

namespace Sapphireladder {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t maxMethodLength = 32;
constexpr std::string_view whitespace = " \t";

bool isVisible(char c)
{
    return c > ' ' && c < '\x7f';
}

bool isTokenCharacter(char c)
{
    static constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{}";
    return isVisible(c) && separators.find(c) == std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

/** @return whether the text may stand in a field value: no control character but the tab. */
bool isFieldText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= ' ' && byte != 0x7f);
    });
}

bool isVersion(std::string_view text)
{
    return text == HTTPMessage::HTTP_1_0 || text == HTTPMessage::HTTP_1_1;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/** Removes the part up to the separator from the text. @return the part, without the separator. */
std::string_view takeUntil(std::string_view &text, std::string_view separator)
{
    const auto end = text.find(separator);
    const auto part = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + separator.size());
    return part;
}

bool parseFields(std::string_view lines, HTTPMessage &message)
{
    while (!lines.empty()) {
        const auto line = takeUntil(lines, "\r\n");
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
            return false;
        const auto value = trimmed(line.substr(colon + 1));
        if (!isFieldText(value))
            return false;
        message.add(std::string(line.substr(0, colon)), std::string(value));
    }
    return true;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return Poco::icompare(std::string(a), std::string(b)) == 0;
}

} // namespace

bool parseRequestHead(std::string_view head, HTTPRequest &message)
{
    auto line = takeUntil(head, "\r\n");
    const auto method = takeUntil(line, " ");
    const auto target = takeUntil(line, " ");
    const bool valid = isToken(method) && method.size() <= maxMethodLength && !target.empty()
                       && std::all_of(target.begin(), target.end(), isVisible) && isVersion(line);
    if (!valid)
        return false;
    message.setMethod(std::string(method));
    message.setURI(std::string(target));
    message.setVersion(std::string(line));
    return parseFields(head, message);
}

bool parseAnswerHead(std::string_view head, HTTPResponse &message)
{
    auto line = takeUntil(head, "\r\n");
    const auto version = takeUntil(line, " ");
    const auto status = parseUnsigned(takeUntil(line, " "));
    constexpr unsigned minStatus = 100;
    constexpr unsigned maxStatus = 599;
    if (!isVersion(version) || !status || status.value() < minStatus || status.value() > maxStatus
        || !isFieldText(line))
        return false;
    message.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(status.value()),
                               std::string(line));
    message.setVersion(std::string(version));
    return parseFields(head, message);
}

std::optional<MessageFraming> framingOf(const HTTPMessage &message)
{
    MessageFraming framing;
    for (const auto &[name, value] : message) {
        const bool isLength = equalsIgnoringCase(name, HTTPMessage::CONTENT_LENGTH);
        const bool isEncoding = equalsIgnoringCase(name, HTTPMessage::TRANSFER_ENCODING);
        if (!isLength && !isEncoding)
            continue;
        // A second framing field could be read differently by the next hop, even if it agrees.
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
            if (equalsIgnoringCase(trimmed(takeUntil(list, ",")), token))
                return true;
        }
    }
    return false;
}

bool keepsConnection(const HTTPMessage &message)
{
    if (hasToken(message, HTTPMessage::CONNECTION, "close"))
        return false;
    return message.getVersion() == HTTPMessage::HTTP_1_1
           || hasToken(message, HTTPMessage::CONNECTION, "keep-alive");
}

} // namespace Sapphireladder
