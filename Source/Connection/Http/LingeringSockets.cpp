#include "Connection/Http/ConnectionHttp.h"

#include <cerrno>

#include <sys/socket.h>

namespace Sapphireladder {

namespace {

/** Many times the round trip between a caller and its VM, which takes 16 ms. */
constexpr Duration lingerTime = std::chrono::seconds(1);
/** Beyond this number, sockets are closed without lingering, so that callers that never close
 * cannot exhaust the file descriptors. */
constexpr std::size_t maxLingeringSockets = 1024;

/** @return whether the connection is still open for input. */
bool discardAvailableInput(int fd)
{
    char buf[16384];
    const auto n = ::recv(fd, buf, sizeof buf, MSG_DONTWAIT);
    return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

} // namespace

void LingeringSockets::add(const Poco::Net::StreamSocket &socket)
{
    ::shutdown(socket.impl()->sockfd(), SHUT_WR);
    const std::lock_guard lock(m_mutex);
    if (m_deadlines.size() >= maxLingeringSockets)
        return;
    m_deadlines.emplace(socket, SteadyClock().now() + lingerTime);
    m_pollSet.add(socket, Poco::Net::PollSet::POLL_READ);
}

bool LingeringSockets::discardInput(const Poco::Net::Socket &socket)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_deadlines.find(socket);
    if (it == m_deadlines.end())
        return false;
    if (!discardAvailableInput(socket.impl()->sockfd())) {
        m_pollSet.remove(socket);
        m_deadlines.erase(it);
    }
    return true;
}

void LingeringSockets::closeExpired()
{
    const auto now = SteadyClock().now();
    const std::lock_guard lock(m_mutex);
    for (auto it = m_deadlines.begin(); it != m_deadlines.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        m_pollSet.remove(it->first);
        it = m_deadlines.erase(it);
    }
}

bool LingeringSockets::isEmpty() const
{
    const std::lock_guard lock(m_mutex);
    return m_deadlines.empty();
}

} // namespace Sapphireladder
