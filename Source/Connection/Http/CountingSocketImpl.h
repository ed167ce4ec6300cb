#pragma once

#include "Core/Core.h"

#include <Poco/Net/StreamSocketImpl.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Sapphireladder {

/**
 * A TCP socket that counts the bytes it passes to and from the kernel, with one deadline for all
 * reads and writes. POCO's own sendBytes() blocks without a deadline and does not report the bytes
 * sent before an error, so that a request which ran could be taken for one that was never sent.
 */
class CountingSocketImpl final : public Poco::Net::StreamSocketImpl
{
public:
    CountingSocketImpl();
    /** @param fd an open TCP socket; the object takes ownership */
    explicit CountingSocketImpl(poco_socket_t fd);

    /**
     * Receives more input, waiting until the deadline if none is available.
     * @return ConnectionError::PeerClosed, ConnectionReset or DeadlinePassed on failure.
     */
    Result<> receiveMore();
    /** @return input that was received but not yet consumed. */
    std::string_view unread() const { return std::string_view(m_input).substr(m_consumed); }
    /** Removes the first bytes of the unread input. */
    void consume(std::size_t size);
    /** @return the time at which input was last received. */
    TimePoint lastReceiveAt() const { return m_lastReceiveAt; }

    /** Sends all bytes. @return ConnectionError::ConnectionReset or DeadlinePassed on failure. */
    Result<> sendAll(std::string_view bytes);

    /** Shuts down the sending direction, so that the peer reads end of file after the last byte. */
    void closeSending();

    /** @return whether bytes, an end of file or an error are pending on the socket. */
    bool hasPendingInput();

    /** Sets the deadline of reads and writes. Input already available can be read after it. */
    void setDeadline(TimePoint deadline) { m_deadline = deadline; }

    /** Resets the byte counts before a new message. */
    void resetByteCounts()
    {
        m_bytesSent = 0;
        m_bytesReceived = 0;
    }
    /** @return the number of bytes passed to the kernel since resetByteCounts(). */
    std::uint64_t bytesSent() const { return m_bytesSent; }
    /** @return the number of bytes received from the kernel since resetByteCounts(). */
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

protected:
    ~CountingSocketImpl() override = default;

private:
    Result<std::size_t> receive(std::span<char> buffer);
    Result<> waitUntilReady(short event);

    TimePoint m_deadline = TimePoint::max();
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    /** Released when all input is consumed, so that idle connections hold no buffer. */
    std::string m_input;
    std::size_t m_consumed = 0;
    TimePoint m_lastReceiveAt{};
};

} // namespace Sapphireladder
