#include "Connection/Http/ConnectionHttp.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

namespace Sapphireladder {

Result<std::unique_ptr<UpstreamSession>> UpstreamSession::create(const Endpoint &endpoint,
                                                                 TimePoint deadline)
{
    const auto remaining = deadline - SteadyClock().now();
    const auto micros = duration_cast<std::chrono::microseconds>(remaining).count();
    if (micros <= 0)
        return makeError(ConnectionError::ConnectFailed, endpoint.toString());
    auto *counter = new CountingSocketImpl;
    const Poco::Net::StreamSocket socket(counter);
    try {
        counter->connect(Poco::Net::SocketAddress(endpoint.host, endpoint.port),
                         Poco::Timespan(micros));
        counter->setNoDelay(true);
    } catch (const Poco::Exception &) {
        return makeError(ConnectionError::ConnectFailed, endpoint.toString());
    }
    return std::unique_ptr<UpstreamSession>(new UpstreamSession(socket, counter));
}

UpstreamSession::UpstreamSession(const Poco::Net::StreamSocket &socket, CountingSocketImpl *counter)
    : HTTPClientSession(socket)
    , m_counter(counter)
{
    setKeepAlive(true);
    const auto now = SteadyClock().now();
    m_record = {now, now, 0};
}

bool UpstreamSession::hasUnexpectedInput()
{
    return buffered() > 0 || socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

void UpstreamSession::connect(const Poco::Net::SocketAddress &address)
{
    throw Poco::Net::ConnectionAbortedException(address.toString());
}

bool UpstreamSession::mustReconnect() const
{
    return false;
}

} // namespace Sapphireladder
