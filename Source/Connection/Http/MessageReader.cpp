#include "Connection/Http/ConnectionHttp.h"

#include <algorithm>
#include <charconv>

namespace Sapphireladder {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
/** Longest line that states a chunk's size, extensions included. */
constexpr std::size_t maxChunkLine = 256;

/** Turns a close between messages into a cut, once a part of the message was read. */
Error cutIfClosed(Error error)
{
    if (error.code == ConnectionError::PeerClosed)
        return makeError(ConnectionError::MessageCut);
    return error;
}

/** @return whether a line ends with a line feed only. Such an end would be waited for in vain. */
bool hasBareLineFeed(std::string_view text)
{
    for (auto n = text.find('\n'); n != std::string_view::npos; n = text.find('\n', n + 1)) {
        if (n == 0 || text[n - 1] != '\r')
            return true;
    }
    return false;
}

} // namespace

Result<std::string> MessageReader::readHead(std::size_t limit)
{
    // RFC 9112 lets a server skip empty lines before a request.
    while (unread().starts_with(lineEnd))
        consume(lineEnd.size());
    std::size_t searched = 0;
    while (true) {
        const auto text = unread();
        const auto end = text.find(headEnd, searched);
        if (std::min(end, text.size()) > limit)
            return makeError(ConnectionError::HeadTooLarge);
        if (hasBareLineFeed(text.substr(0, end)))
            return makeError(ConnectionError::HeadMalformed);
        if (end != std::string_view::npos) {
            std::string head(text.substr(0, end + lineEnd.size()));
            consume(end + headEnd.size());
            return head;
        }
        searched = text.size() < headEnd.size() ? 0 : text.size() - headEnd.size() + 1;
        if (auto filled = fill(); !filled)
            return text.empty() ? filled.error() : cutIfClosed(filled.error());
        while (searched == 0 && unread().starts_with(lineEnd))
            consume(lineEnd.size());
    }
}

Result<std::string> MessageReader::readBody(const MessageFraming &framing, std::size_t limit)
{
    if (framing.kind == FramingKind::None)
        return std::string();
    if (framing.kind == FramingKind::Chunked)
        return readChunks(limit);
    if (framing.length > limit)
        return makeError(ConnectionError::BodyTooLarge);
    std::string body;
    TRY(append(body, static_cast<std::size_t>(framing.length)));
    return body;
}

Result<> MessageReader::fill()
{
    char buf[16384];
    TRY_ASSIGN(n, m_socket.receive(buf));
    if (n == 0)
        return makeError(ConnectionError::PeerClosed);
    m_buffer.append(buf, n);
    m_lastReceiveAt = SteadyClock().now();
    return success();
}

Result<> MessageReader::append(std::string &text, std::size_t size)
{
    while (true) {
        const auto part = unread().substr(0, size);
        text.append(part);
        size -= part.size();
        consume(part.size());
        if (size == 0)
            return success();
        if (auto filled = fill(); !filled)
            return cutIfClosed(filled.error());
    }
}

Result<std::string> MessageReader::readLine(std::size_t limit)
{
    while (true) {
        const auto text = unread();
        const auto end = text.find(lineEnd);
        if (std::min(end, text.size()) > limit || hasBareLineFeed(text.substr(0, end)))
            return makeError(ConnectionError::BadFraming);
        if (end != std::string_view::npos) {
            std::string line(text.substr(0, end));
            consume(end + lineEnd.size());
            return line;
        }
        if (auto filled = fill(); !filled)
            return cutIfClosed(filled.error());
    }
}

Result<std::string> MessageReader::readChunks(std::size_t limit)
{
    std::string body;
    while (true) {
        TRY_ASSIGN(size, readChunkSize());
        if (size == 0)
            break;
        if (size > limit - body.size())
            return makeError(ConnectionError::BodyTooLarge);
        TRY(append(body, static_cast<std::size_t>(size)));
        TRY_ASSIGN(rest, readLine(maxChunkLine));
        if (!rest.empty())
            return makeError(ConnectionError::BadFraming);
    }
    TRY(skipTrailers());
    return body;
}

Result<std::uint64_t> MessageReader::readChunkSize()
{
    TRY_ASSIGN(line, readLine(maxChunkLine));
    const auto digits = std::string_view(line).substr(0, line.find(';'));
    std::uint64_t size = 0;
    const auto *end = digits.data() + digits.size();
    constexpr int hexadecimal = 16;
    const auto [stop, ec] = std::from_chars(digits.data(), end, size, hexadecimal);
    if (digits.empty() || ec != std::errc() || stop != end)
        return makeError(ConnectionError::BadFraming);
    return size;
}

Result<> MessageReader::skipTrailers()
{
    std::size_t total = 0;
    while (true) {
        TRY_ASSIGN(line, readLine(maxHeadSize));
        total += line.size();
        if (line.empty())
            return success();
        if (total > maxHeadSize)
            return makeError(ConnectionError::BadFraming);
    }
}

void MessageReader::consume(std::size_t size)
{
    m_position += size;
    if (m_position < m_buffer.size())
        return;
    m_position = 0;
    m_buffer = std::string();
}

} // namespace Sapphireladder
