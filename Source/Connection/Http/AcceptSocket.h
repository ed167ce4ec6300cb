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
     * Lets the kernel ignore further attempts to connect. Connections that are being opened can
     * still be taken for a moment, so that none is reset when the socket closes after that.
     */
    void ignoreNewConnections();
    bool isIgnoring() const { return m_ignoring; }

    const Poco::Net::ServerSocket &socket() const { return m_socket; }
    /** @return the address that it listens on. */
    Endpoint endpoint() const;

private:
    AcceptSocket() = default;

    Poco::Net::ServerSocket m_socket;
    bool m_ignoring = false;
};

} // namespace Sapphireladder
