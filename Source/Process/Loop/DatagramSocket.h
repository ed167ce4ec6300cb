#pragma once

#include "Connection/Loop/ConnectionLoop.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>

namespace Sapphireladder {

/** A UDP socket on an event loop. Datagrams that cannot be sent at once are dropped. */
class DatagramSocket
{
public:
    using Handler = std::function<void(const Endpoint &sender, std::string_view bytes)>;

    /** @param handler called for each datagram; the bytes are valid during the call */
    DatagramSocket(LoopContext &context, Handler handler);

    /**
     * Binds the address; no other socket can be bound to it at the same time.
     * @return ConnectionError::ListenFailed if it cannot be bound.
     */
    Result<> open(const Endpoint &local);
    bool isOpen() const { return m_socket.is_open(); }
    /** @return the bound address. */
    Endpoint localEndpoint() const;
    void send(const Endpoint &receiver, std::string_view bytes);
    void close();

private:
    void awaitInput();
    void receiveAvailable();

    LoopContext &m_context;
    Handler m_handler;
    boost::asio::ip::udp::socket m_socket;
};

} // namespace Sapphireladder
