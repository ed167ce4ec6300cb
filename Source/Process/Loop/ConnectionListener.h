#pragma once

#include "Connection/Loop/ConnectionLoop.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace Sapphireladder {

/** Accepts connections on one address. */
class ConnectionListener
{
public:
    using AcceptHandler = std::function<void(TcpSocket socket)>;

    /** @param context outlives the listener */
    ConnectionListener(LoopContext &context, AcceptHandler handler);

    /** Starts to listen. @return ConnectionError::ListenFailed if the address cannot be used. */
    Result<> listen(const Endpoint &endpoint);
    /** Stops to listen. Connections that were not accepted yet are reset by the kernel. */
    void close();

private:
    void acceptNext();
    void pause();

    LoopContext &m_context;
    AcceptHandler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    LoopTimer m_timer;
};

} // namespace Sapphireladder
