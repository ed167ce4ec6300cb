#include "Connection/Http/ConnectionHttp.h"

#include <Poco/Exception.h>

namespace Sapphireladder {

CountingSocketImpl::CountingSocketImpl() = default;

CountingSocketImpl::CountingSocketImpl(poco_socket_t fd)
    : StreamSocketImpl(fd)
{}

void CountingSocketImpl::resetCounts()
{
    m_bytesSent = 0;
    m_bytesReceived = 0;
}

int CountingSocketImpl::sendBytes(const void *buffer, int length, int flags)
{
    waitUntilReady(SELECT_WRITE);
    const int n = StreamSocketImpl::sendBytes(buffer, length, flags);
    m_bytesSent += static_cast<std::uint64_t>(n);
    return n;
}

int CountingSocketImpl::receiveBytes(void *buffer, int length, int flags)
{
    waitUntilReady(SELECT_READ);
    const int n = StreamSocketImpl::receiveBytes(buffer, length, flags);
    if (n == 0)
        m_peerClosed = true;
    m_bytesReceived += static_cast<std::uint64_t>(n);
    return n;
}

void CountingSocketImpl::waitUntilReady(int mode)
{
    if (m_deadline == TimePoint::max())
        return;
    const auto remaining = m_deadline - SteadyClock().now();
    const auto micros = duration_cast<std::chrono::microseconds>(remaining).count();
    if (micros <= 0 || !poll(Poco::Timespan(micros), mode))
        throw Poco::TimeoutException("deadline of the connection passed");
}

} // namespace Sapphireladder
