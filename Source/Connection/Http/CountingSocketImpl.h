#pragma once

#include "Core/Core.h"

#include <Poco/Net/StreamSocketImpl.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Sapphireladder {

/**
 * A TCP socket that counts what it hands to the kernel and keeps one deadline for all reads and
 * writes. POCO's own sendBytes() blocks without a deadline, and forgets the bytes that it sent
 * before it failed; a request that ran would then look as if it was not sent.
 */
class CountingSocketImpl final : public Poco::Net::StreamSocketImpl
{
public:
    CountingSocketImpl();
    /** @param fd an open TCP socket; the object owns it. */
    explicit CountingSocketImpl(poco_socket_t fd);

    /**
     * Adds what is there to the unread input, and waits for something until the deadline.
     * @return ConnectionError::PeerClosed, ConnectionReset or DeadlinePassed on failure.
     */
    Result<> fill();
    /** @return input that was received and not consumed. */
    std::string_view unread() const { return std::string_view(m_input).substr(m_position); }
    /** Removes the first bytes of the unread input. */
    void consume(std::size_t size);
    /** @return when input was last received. */
    TimePoint lastReceiveAt() const { return m_lastReceiveAt; }

    /** Sends everything. @return ConnectionError::ConnectionReset or DeadlinePassed on failure. */
    Result<> sendAll(std::string_view bytes);

    /** Ends the sending direction, so that the peer reads the close after the last byte. */
    void closeSending();

    /** @return whether bytes, a close or a reset wait to be read. */
    bool hasPendingInput();

    /** @param deadline time by which reads and writes are done; input that waits is still read. */
    void setDeadline(TimePoint deadline) { m_deadline = deadline; }

    /** Forgets the bytes counted so far, before a new message. */
    void resetCount()
    {
        m_bytesSent = 0;
        m_bytesReceived = 0;
    }
    /** @return bytes handed to the kernel since resetCount(). */
    std::uint64_t bytesSent() const { return m_bytesSent; }
    /** @return bytes taken from the kernel since resetCount(). */
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

protected:
    ~CountingSocketImpl() override = default;

private:
    Result<std::size_t> receive(std::span<char> buffer);
    Result<> waitUntilReady(short event);

    TimePoint m_deadline = TimePoint::max();
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    /** Empty while the connection is idle, since most connections are idle. */
    std::string m_input;
    std::size_t m_position = 0;
    TimePoint m_lastReceiveAt{};
};

} // namespace Sapphireladder
