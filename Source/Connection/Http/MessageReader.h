#pragma once

#include "Connection/Http/CountingSocketImpl.h"
#include "Request/Http/RequestHttp.h"

#include <string>
#include <string_view>

namespace Sapphireladder {

/**
 * Reads HTTP/1.x messages from one connection. A message is whole only if its own framing says so:
 * POCO's streams give a cut head, body or chunk as if it were whole.
 */
class MessageReader
{
public:
    /** @param socket outlives the reader */
    explicit MessageReader(CountingSocketImpl &socket)
        : m_socket(socket)
    {}

    /**
     * Reads up to the empty line that ends a head.
     * @param limit largest head in bytes
     * @return the lines of the head, or ConnectionError::PeerClosed if nothing came before a close.
     */
    Result<std::string> readHead(std::size_t limit);

    /**
     * Reads the body that follows a head.
     * @param framing how the body's end is found
     * @param limit largest body in bytes
     */
    Result<std::string> readBody(const MessageFraming &framing, std::size_t limit);

    /** @return whether bytes beyond the last message were read from the socket. */
    bool hasBufferedInput() const { return m_position < m_buffer.size(); }
    /** @return when bytes were last read from the socket. */
    TimePoint lastReceiveAt() const { return m_lastReceiveAt; }

private:
    Result<> fill();
    Result<> append(std::string &text, std::size_t size);
    Result<std::string> readLine(std::size_t limit);
    Result<std::string> readChunks(std::size_t limit);
    Result<std::uint64_t> readChunkSize();
    Result<> skipTrailers();
    std::string_view unread() const { return std::string_view(m_buffer).substr(m_position); }
    void consume(std::size_t size);

    CountingSocketImpl &m_socket;
    /** Empty while the connection is idle, since most connections are idle. */
    std::string m_buffer;
    std::size_t m_position = 0;
    TimePoint m_lastReceiveAt{};
};

} // namespace Sapphireladder
