#pragma once

#include "Core/Core.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace Sapphireladder::Soak {

/** How a proxy treats the bytes that it forwards. */
enum class LinkMode {
    Forward,
    /** Each block of bytes is forwarded after a delay. */
    Delay,
    /** New connections are reset. */
    Refuse,
    /** Bytes to the server are held back; bytes to the client are forwarded. */
    BlockToServer,
    /** Bytes in both directions are held back, and no connection is closed. */
    BlockBoth,
};

/** A loopback proxy in front of one server, which injects network faults into its connections. */
class FaultProxy
{
public:
    explicit FaultProxy(Endpoint server);
    ~FaultProxy();

    Endpoint endpoint() const;
    void setMode(LinkMode mode) { m_mode = mode; }
    /** @param delay of each block in the mode Delay */
    void setDelay(Duration delay) { m_delay = delay; }
    /** Resets all open connections. */
    void resetAll();
    /** Forwards nothing more on the open connections, without closing them. */
    void silenceAll();

private:
    struct ProxiedConnection
    {
        Poco::Net::StreamSocket client;
        Poco::Net::StreamSocket server;
        std::atomic<bool> isReset = false;
        std::atomic<bool> isSilent = false;
    };

    void acceptConnections();
    void forwardConnection(const std::shared_ptr<ProxiedConnection> &connection);
    static bool forward(Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to);

    const Endpoint m_server;
    Poco::Net::ServerSocket m_socket;
    std::atomic<LinkMode> m_mode = LinkMode::Forward;
    std::atomic<Duration> m_delay = Duration(std::chrono::milliseconds(40));
    std::atomic<bool> m_isStopped = false;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<ProxiedConnection>> m_connections;
    std::vector<std::thread> m_forwarders;
    std::thread m_acceptor;
};

} // namespace Sapphireladder::Soak
