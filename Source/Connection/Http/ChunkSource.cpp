#include "Connection/Http/ConnectionHttp.h"

#include <algorithm>
#include <charconv>

namespace Sapphireladder {

namespace {

constexpr std::string_view lineEnd = "\r\n";
/** Maximum length of a chunk-size line, including extensions. */
constexpr std::size_t maxChunkLineBytes = 256;

} // namespace

Error truncatedIfClosed(Error error)
{
    if (error.code == ConnectionError::PeerClosed)
        return makeError(ConnectionError::MessageTruncated);
    return error;
}

ChunkSource::ChunkSource(CountingSocketImpl &socket, std::size_t maxBodyBytes)
    : m_socket(socket)
    , m_remainingBytes(maxBodyBytes)
{}

int ChunkSource::receiveBytes(void *buffer, int /*length*/, int /*flags*/)
{
    if (!hasInput())
        return 0;
    const char c = m_socket.unread().front();
    m_socket.consume(1);
    m_text.push_back(c);
    // POCO accepts a bare line feed as a line end and has no limit on the length of a line.
    if ((c == '\n' && !m_text.ends_with(lineEnd)) || m_text.size() > maxHeadSize) {
        m_error = makeError(ConnectionError::BadFraming);
        return 0;
    }
    *static_cast<char *>(buffer) = c;
    return 1;
}

std::size_t ChunkSource::readData(std::span<char> buffer)
{
    if (!m_text.empty())
        checkSizeLine();
    if (!hasInput())
        return 0;
    const auto part = m_socket.unread().substr(0, buffer.size());
    std::copy(part.begin(), part.end(), buffer.begin());
    const auto size = part.size();
    m_socket.consume(size);
    return size;
}

Result<> ChunkSource::finish()
{
    const auto size = parseChunkSize();
    if (!m_error && size != std::size_t{0})
        m_error = makeError(ConnectionError::BadFraming);
    char c = 0;
    while (!m_error && !m_text.ends_with("\r\n\r\n"))
        receiveBytes(&c, 1, 0);
    if (m_error)
        return *m_error;
    // The text is the size line, the trailer fields and an empty line.
    std::string_view trailers(m_text);
    trailers.remove_prefix(trailers.find(lineEnd, m_isFirstChunk ? 0 : lineEnd.size())
                           + lineEnd.size());
    if (!hasValidFields(trailers.substr(0, trailers.size() - lineEnd.size())))
        return makeError(ConnectionError::BadFraming);
    return success();
}

bool ChunkSource::hasInput()
{
    if (!m_error && m_socket.unread().empty()) {
        if (auto received = m_socket.receiveMore(); !received)
            m_error = truncatedIfClosed(received.error());
    }
    return !m_error;
}

void ChunkSource::checkSizeLine()
{
    if (m_error)
        return;
    const auto size = parseChunkSize();
    if (!size)
        m_error = makeError(ConnectionError::BadFraming);
    else if (*size > m_remainingBytes)
        m_error = makeError(ConnectionError::BodyTooLarge);
    else
        m_remainingBytes -= *size;
    m_text.clear();
    m_isFirstChunk = false;
}

/**
 * Parses the chunk size again from the text: POCO does not expose it, skips white space before it
 * and accepts any text at the end of a chunk's data.
 */
std::optional<std::size_t> ChunkSource::parseChunkSize() const
{
    std::string_view text(m_text);
    if (!m_isFirstChunk) {
        if (!text.starts_with(lineEnd))
            return std::nullopt;
        text.remove_prefix(lineEnd.size());
    }
    const auto line = text.substr(0, text.find(lineEnd));
    const auto digits = line.substr(0, line.find(';'));
    std::size_t size = 0;
    const auto *end = digits.data() + digits.size();
    constexpr int hexadecimal = 16;
    const auto [stop, ec] = std::from_chars(digits.data(), end, size, hexadecimal);
    if (line.size() == text.size() || line.size() > maxChunkLineBytes || digits.empty()
        || ec != std::errc() || stop != end || !isFieldText(line))
        return std::nullopt;
    return size;
}

} // namespace Sapphireladder
