#include "Connection/Loop/ConnectionLoop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Sapphireladder {

std::optional<TcpEndpoint> toTcpEndpoint(const Endpoint &endpoint)
{
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(endpoint.host, ec);
    if (ec)
        return std::nullopt;
    return TcpEndpoint(address, endpoint.port);
}

void setSocketOptions(TcpSocket &socket, Duration ackTimeout)
{
    /** Unacknowledged keep-alive probes after which the kernel ends an idle connection. */
    constexpr int keepAliveProbes = 2;
    const int ackTimeoutMs = static_cast<int>(toMilliseconds(ackTimeout));
    const int probeSeconds = std::max(1, ackTimeoutMs / 1000 / (keepAliveProbes + 1));
    struct Row
    {
        int level;
        int name;
        int value;
    };
    const Row rows[] = {
            {IPPROTO_TCP, TCP_NODELAY, 1},
            {SOL_SOCKET, SO_KEEPALIVE, 1},
            {IPPROTO_TCP, TCP_KEEPIDLE, probeSeconds},
            {IPPROTO_TCP, TCP_KEEPINTVL, probeSeconds},
            {IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes},
            {IPPROTO_TCP, TCP_USER_TIMEOUT, ackTimeoutMs},
    };
    // Errors are ignored: without an option the timers of the event loop still apply.
    for (const auto &it : rows)
        ::setsockopt(socket.native_handle(), it.level, it.name, &it.value, sizeof it.value);
}

void limitUnsentBytes(TcpSocket &socket, std::size_t maxBytes)
{
    const int value = static_cast<int>(maxBytes);
    // Errors are ignored: the kernel then holds more, and answers that are not read are still
    // bounded by the budget.
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &value, sizeof value);
}

std::string_view readAvailable(LoopContext &context, TcpSocket &socket,
                               boost::system::error_code &ec, std::size_t maxBytes)
{
    const auto size = socket.read_some(boost::asio::buffer(context.receiveBuffer, maxBytes), ec);
    if (ec == boost::asio::error::would_block)
        ec.clear();
    return {context.receiveBuffer.data(), size};
}

} // namespace Sapphireladder
