#pragma once

#include "Core/Core.h"

#include <Poco/Net/ServerSocket.h>

#include <memory>

namespace Sapphireladder {

/** Listening socket for the connections of callers. */
class AcceptSocket
{
public:
    /** @return the listening socket, or ConnectionError::ListenFailed. */
    static Result<std::unique_ptr<AcceptSocket>> create(const Endpoint &endpoint);

    /** Result of accept(). */
    enum class AcceptResult : std::uint8_t {
        Connection,
        NoneWaiting,
        /** Out of file descriptors or memory. The socket stays readable, so polling must pause. */
        NoResources,
    };

    /** Accepts one connection without blocking. @param fd receives its file descriptor */
    AcceptResult accept(int &fd);

    /**
     * Makes the kernel ignore new connection attempts. Handshakes in progress can still complete
     * and be accepted, so that none is reset if the socket is closed some round trips later.
     */
    void ignoreNewConnections();
    bool isIgnoringNewConnections() const { return m_isIgnoringNewConnections; }

    const Poco::Net::ServerSocket &socket() const { return m_socket; }
    /** @return the address of the socket. */
    Endpoint endpoint() const;

private:
    AcceptSocket() = default;

    Poco::Net::ServerSocket m_socket;
    bool m_isIgnoringNewConnections = false;
};

} // namespace Sapphireladder
