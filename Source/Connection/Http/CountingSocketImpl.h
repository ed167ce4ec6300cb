#pragma once

#include "Core/Core.h"

#include <Poco/Net/StreamSocketImpl.h>

#include <cstdint>
#include <span>
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
     * Reads what is there, and waits for something until the deadline.
     * @return number of bytes, 0 after the peer's close, or ConnectionError::ConnectionReset or
     * DeadlinePassed.
     */
    Result<std::size_t> receive(std::span<char> buffer);

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
    Result<> waitUntilReady(short event);

    TimePoint m_deadline = TimePoint::max();
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace Sapphireladder
