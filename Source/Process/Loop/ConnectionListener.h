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
    using ExhaustionHandler = std::function<void()>;

    /**
     * @param context must outlive the listener
     * @param exhaustionHandler called when accepting fails, for example because the process has no
     * descriptor left; it may close connections
     */
    ConnectionListener(LoopContext &context, AcceptHandler handler,
                       ExhaustionHandler exhaustionHandler = {});

    /** Starts listening. @return ConnectionError::ListenFailed if the address cannot be bound. */
    Result<> listen(const Endpoint &endpoint);
    /**
     * Stops listening. Passes on the connections that the kernel has accepted already: it would
     * reset them, although their callers may have sent requests.
     */
    void close();

private:
    void acceptNext();
    void acceptPending();
    void retryAcceptLater();

    LoopContext &m_context;
    AcceptHandler m_handler;
    ExhaustionHandler m_exhaustionHandler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    LoopTimer m_retryTimer;
};

} // namespace Sapphireladder
