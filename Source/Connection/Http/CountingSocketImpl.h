#pragma once

#include "Core/Core.h"

#include <Poco/Net/StreamSocketImpl.h>

#include <cstdint>

namespace Sapphireladder {

/**
 * A TCP socket that counts what it hands to the kernel, notes the peer's close and keeps a deadline
 * for each read. POCO's HTTP streams report a cut message as if it were whole; the noted close
 * tells the two apart.
 */
class CountingSocketImpl final : public Poco::Net::StreamSocketImpl
{
public:
    CountingSocketImpl();
    /** @param fd an open TCP socket; the object owns it. */
    explicit CountingSocketImpl(poco_socket_t fd);

    using StreamSocketImpl::receiveBytes;
    using StreamSocketImpl::sendBytes;
    int sendBytes(const void *buffer, int length, int flags = 0) override;
    int receiveBytes(void *buffer, int length, int flags = 0) override;

    /** @param deadline reads and writes that are not done by then throw Poco::TimeoutException. */
    void setDeadline(TimePoint deadline) { m_deadline = deadline; }
    /** Forgets the bytes counted so far, before a new message. */
    void resetCounts();

    /** @return bytes handed to the kernel since resetCounts(). */
    std::uint64_t bytesSent() const { return m_bytesSent; }
    /** @return bytes read since resetCounts(). */
    std::uint64_t bytesReceived() const { return m_bytesReceived; }
    bool isPeerClosed() const { return m_peerClosed; }

protected:
    ~CountingSocketImpl() override = default;

private:
    void waitUntilReady(int mode);

    TimePoint m_deadline = TimePoint::max();
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    bool m_peerClosed = false;
};

} // namespace Sapphireladder
