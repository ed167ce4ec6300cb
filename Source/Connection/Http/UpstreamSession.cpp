#include "Connection/Http/ConnectionHttp.h"

#include <Poco/Exception.h>

namespace Sapphireladder {

Result<std::unique_ptr<UpstreamSession>> UpstreamSession::create(const Endpoint &endpoint,
                                                                 TimePoint deadline)
{
    const auto remaining = deadline - SteadyClock().now();
    const auto micros = duration_cast<std::chrono::microseconds>(remaining).count();
    if (micros <= 0)
        return makeError(ConnectionError::ConnectFailed, endpoint.toString());
    auto *socketImpl = new CountingSocketImpl;
    const Poco::Net::StreamSocket socket(socketImpl);
    try {
        socketImpl->connect(Poco::Net::SocketAddress(endpoint.host, endpoint.port),
                            Poco::Timespan(micros));
        socketImpl->setNoDelay(true);
    } catch (const Poco::Exception &) {
        return makeError(ConnectionError::ConnectFailed, endpoint.toString());
    }
    return std::unique_ptr<UpstreamSession>(new UpstreamSession(endpoint, socket, socketImpl));
}

UpstreamSession::UpstreamSession(const Endpoint &endpoint, const Poco::Net::StreamSocket &socket,
                                 CountingSocketImpl *socketImpl)
    : m_endpoint(endpoint)
    , m_socket(socket)
    , m_socketImpl(socketImpl)
{
    const auto now = SteadyClock().now();
    m_history = {now, now, 0};
}

UpstreamSession::~UpstreamSession()
{
    if (m_openCount)
        --*m_openCount;
}

bool UpstreamSession::hasUnexpectedInput()
{
    return !m_socketImpl->unread().empty() || m_socketImpl->hasPendingInput();
}

void UpstreamSession::trackOpenCount(std::shared_ptr<std::atomic<std::size_t>> count)
{
    m_openCount = std::move(count);
    ++*m_openCount;
}

} // namespace Sapphireladder
