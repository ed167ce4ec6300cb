#include "Soak/FaultProxy.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace Sapphireladder::Soak {

namespace {

using namespace std::chrono_literals;

/** Interval at which threads check whether the proxy was stopped. */
const Poco::Timespan stopCheckInterval(0, 20000);

} // namespace

FaultProxy::FaultProxy(Endpoint server)
    : m_server(std::move(server))
    , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , m_acceptor([this] { acceptConnections(); })
{}

FaultProxy::~FaultProxy()
{
    m_isStopped = true;
    m_acceptor.join();
    for (auto &it : m_forwarders)
        it.join();
}

Endpoint FaultProxy::endpoint() const
{
    return {"127.0.0.1", m_socket.address().port()};
}

void FaultProxy::resetAll()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &it : m_connections)
        it->isReset = true;
}

void FaultProxy::silenceAll()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &it : m_connections)
        it->isSilent = true;
}

void FaultProxy::acceptConnections()
{
    while (!m_isStopped) {
        if (!m_socket.poll(stopCheckInterval, Poco::Net::Socket::SELECT_READ))
            continue;
        const auto connection = std::make_shared<ProxiedConnection>();
        try {
            connection->client = m_socket.acceptConnection();
            if (m_mode == LinkMode::Refuse) {
                connection->client.setLinger(true, 0);
                continue;
            }
            connection->server.connect(Poco::Net::SocketAddress(m_server.host, m_server.port));
        } catch (const Poco::Exception &) {
            continue; // The server is unreachable; the client connection is closed.
        }
        const std::lock_guard lock(m_mutex);
        m_connections.push_back(connection);
        m_forwarders.emplace_back([this, connection] { forwardConnection(connection); });
    }
}

void FaultProxy::forwardConnection(const std::shared_ptr<ProxiedConnection> &connection)
{
    try {
        while (!m_isStopped && !connection->isReset) {
            const auto mode = connection->isSilent ? LinkMode::BlockBoth : m_mode.load();
            Poco::Net::Socket::SocketList readable;
            Poco::Net::Socket::SocketList none;
            Poco::Net::Socket::SocketList failed;
            if (mode != LinkMode::BlockBoth && mode != LinkMode::BlockToServer)
                readable.push_back(connection->client);
            if (mode != LinkMode::BlockBoth)
                readable.push_back(connection->server);
            if (readable.empty()) {
                std::this_thread::sleep_for(20ms);
                continue;
            }
            Poco::Net::Socket::select(readable, none, failed, stopCheckInterval);
            if (mode == LinkMode::Delay && !readable.empty())
                std::this_thread::sleep_for(m_delay.load());
            for (const auto &it : readable) {
                const bool isClient = it == connection->client;
                if (!forward(isClient ? connection->client : connection->server,
                             isClient ? connection->server : connection->client))
                    return;
            }
        }
        if (connection->isReset) {
            connection->client.setLinger(true, 0);
            connection->server.setLinger(true, 0);
            connection->client.close();
            connection->server.close();
        }
    } catch (const Poco::Exception &) {
        // One side closed its connection. Both sockets close with the proxied connection.
    }
}

bool FaultProxy::forward(Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to)
{
    std::array<char, 16384> buf{};
    const int size = from.receiveBytes(buf.data(), static_cast<int>(buf.size()));
    if (size <= 0) {
        from.close();
        to.close();
        return false;
    }
    for (int sent = 0; sent < size;)
        sent += to.sendBytes(buf.data() + sent, size - sent);
    return true;
}

} // namespace Sapphireladder::Soak
