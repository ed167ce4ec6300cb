#pragma once

#include "Core/Core.h"

#include <Poco/Net/ServerSocket.h>

#include <memory>

namespace Sapphireladder {

/** The socket on which callers' connections arrive. */
class AcceptSocket
{
public:
    /** @return the socket, listening, or ConnectionError::ListenFailed. */
    static Result<std::unique_ptr<AcceptSocket>> create(const Endpoint &endpoint);

    /** Result of accept(). */
    enum class Accepted : std::uint8_t {
        Connection,
        NoneWaiting,
        /** Descriptors or memory are short. The queue stays readable, so the caller must pause. */
        NoResources,
    };

    /** Takes one connection without waiting. @param fd receives the connection */
    Accepted accept(int &fd);

    /**
     * Lets the kernel ignore attempts to connect. What was accepted by the kernel before can still
     * be taken, so that no connection is reset when the socket closes after that.
     */
    void ignoreNewConnections();

    const Poco::Net::ServerSocket &socket() const { return m_socket; }
    /** @return the address that it listens on. */
    Endpoint endpoint() const;

private:
    AcceptSocket() = default;

    Poco::Net::ServerSocket m_socket;
};

} // namespace Sapphireladder
