#include "Connection/Http/ConnectionHttp.h"

#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

namespace Sapphireladder {

namespace {

bool isWouldBlockError(int errorNumber)
{
    return errorNumber == EAGAIN || errorNumber == EWOULDBLOCK;
}

} // namespace

CountingSocketImpl::CountingSocketImpl() = default;

CountingSocketImpl::CountingSocketImpl(poco_socket_t fd)
    : StreamSocketImpl(fd)
{}

Result<> CountingSocketImpl::receiveMore()
{
    char buf[16384];
    TRY_ASSIGN(n, receive(buf));
    if (n == 0)
        return makeError(ConnectionError::PeerClosed);
    m_input.append(buf, n);
    m_lastReceiveAt = SteadyClock().now();
    return success();
}

void CountingSocketImpl::consume(std::size_t size)
{
    m_consumed += size;
    if (m_consumed < m_input.size())
        return;
    m_consumed = 0;
    m_input = std::string();
}

Result<std::size_t> CountingSocketImpl::receive(std::span<char> buffer)
{
    while (true) {
        const auto n = ::recv(sockfd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (n >= 0) {
            m_bytesReceived += static_cast<std::uint64_t>(n);
            return static_cast<std::size_t>(n);
        }
        if (isWouldBlockError(errno)) {
            TRY(waitUntilReady(POLLIN));
            continue;
        }
        if (errno != EINTR)
            return makeError(ConnectionError::ConnectionReset);
    }
}

Result<> CountingSocketImpl::sendAll(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::send(sockfd(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n >= 0) {
            m_bytesSent += static_cast<std::uint64_t>(n);
            bytes.remove_prefix(static_cast<std::size_t>(n));
        } else if (isWouldBlockError(errno)) {
            TRY(waitUntilReady(POLLOUT));
        } else if (errno != EINTR) {
            return makeError(ConnectionError::ConnectionReset);
        }
    }
    return success();
}

void CountingSocketImpl::closeSending()
{
    ::shutdown(sockfd(), SHUT_WR);
}

bool CountingSocketImpl::hasPendingInput()
{
    char c = 0;
    return ::recv(sockfd(), &c, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || !isWouldBlockError(errno);
}

Result<> CountingSocketImpl::waitUntilReady(short event)
{
    pollfd entry{sockfd(), event, 0};
    const timespec *timeout = nullptr;
    timespec remaining{};
    if (m_deadline != TimePoint::max()) {
        const auto left = m_deadline - SteadyClock().now();
        if (left <= Duration::zero())
            return makeError(ConnectionError::DeadlinePassed);
        const auto seconds = duration_cast<std::chrono::seconds>(left);
        remaining = {seconds.count(), (left - seconds).count()};
        timeout = &remaining;
    }
    if (::ppoll(&entry, 1, timeout, nullptr) == 0)
        return makeError(ConnectionError::DeadlinePassed);
    return success();
}

} // namespace Sapphireladder
