#include "Connection/Http/ConnectionHttp.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";

/** Ignores empty lines before a message, as RFC 9112, 2.2 recommends for requests. */
void skipEmptyLines(CountingSocketImpl &socket)
{
    while (socket.unread().starts_with(lineEnd))
        socket.consume(lineEnd.size());
}

/** Reads a body of known size. POCO's own stream reports a truncated body as complete. */
Result<std::string> readSized(CountingSocketImpl &socket, std::size_t size)
{
    std::string body;
    while (true) {
        const auto part = socket.unread().substr(0, size - body.size());
        body.append(part);
        socket.consume(part.size());
        if (body.size() == size)
            return body;
        if (auto received = socket.receiveMore(); !received)
            return truncatedIfClosed(received.error());
    }
}

} // namespace

Result<std::string> readHead(CountingSocketImpl &socket, std::size_t maxBytes)
{
    skipEmptyLines(socket);
    std::size_t searched = 0;
    while (true) {
        const auto text = socket.unread();
        const auto end = text.find(headEnd, searched);
        if (std::min(end, text.size()) > maxBytes)
            return makeError(ConnectionError::HeadTooLarge);
        if (hasBareLineFeed(text.substr(0, end)))
            return makeError(ConnectionError::HeadMalformed);
        if (end != std::string_view::npos) {
            std::string head(text.substr(0, end + lineEnd.size()));
            socket.consume(end + headEnd.size());
            return head;
        }
        searched = text.size() < headEnd.size() ? 0 : text.size() - headEnd.size() + 1;
        if (auto received = socket.receiveMore(); !received)
            return text.empty() ? received.error() : truncatedIfClosed(received.error());
        if (searched == 0)
            skipEmptyLines(socket);
    }
}

Result<std::string> readBody(CountingSocketImpl &socket, const MessageFraming &framing,
                             std::size_t maxBytes)
{
    if (framing.kind == FramingKind::None)
        return std::string();
    if (framing.kind == FramingKind::Chunked)
        return ChunkedBodyReader(socket, maxBytes).readBody();
    if (framing.length > maxBytes)
        return makeError(ConnectionError::BodyTooLarge);
    return readSized(socket, static_cast<std::size_t>(framing.length));
}

} // namespace Sapphireladder
