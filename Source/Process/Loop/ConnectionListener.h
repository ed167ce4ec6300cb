#pragma once

#include "Connection/Loop/ConnectionLoop.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace Sapphireladder {

/** Accepts TCP connections on one address. */
class ConnectionListener
{
public:
    using AcceptHandler = std::function<void(TcpSocket socket)>;

    /** @param context must outlive the listener */
    ConnectionListener(LoopContext &context, AcceptHandler handler);

    /** Starts listening. @return ConnectionError::ListenFailed if the address cannot be bound. */
    Result<> listen(const Endpoint &endpoint);
    /** Stops listening. The kernel resets connections that have not been accepted yet. */
    void close();

private:
    void acceptNext();
    void retryAcceptLater();

    LoopContext &m_context;
    AcceptHandler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    LoopTimer m_retryTimer;
};

} // namespace Sapphireladder
