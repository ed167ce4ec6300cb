#include "Process/Loop/ProcessLoop.h"

namespace Sapphireladder {

namespace {

using Udp = boost::asio::ip::udp;

/** Datagrams read before other work of the loop gets its turn. */
constexpr unsigned maxDatagramsPerTurn = 64;

std::optional<Udp::endpoint> toUdpEndpoint(const Endpoint &endpoint)
{
    const auto address = toTcpEndpoint(endpoint);
    if (!address)
        return std::nullopt;
    return Udp::endpoint(address->address(), address->port());
}

Endpoint fromUdpEndpoint(const Udp::endpoint &endpoint)
{
    return {endpoint.address().to_string(), endpoint.port()};
}

} // namespace

DatagramSocket::DatagramSocket(LoopContext &context, Handler handler)
    : m_context(context)
    , m_handler(std::move(handler))
    , m_socket(context.io)
{}

Result<> DatagramSocket::open(const Endpoint &local)
{
    const auto address = toUdpEndpoint(local);
    if (!address)
        return makeError(ConnectionError::ListenFailed, local.toString());
    boost::system::error_code ec;
    m_socket.open(address->protocol(), ec);
    if (!ec)
        m_socket.bind(*address, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec) {
        close();
        return makeError(ConnectionError::ListenFailed, local.toString() + ": " + ec.message());
    }
    awaitInput();
    return success();
}

Endpoint DatagramSocket::localEndpoint() const
{
    boost::system::error_code ec;
    return fromUdpEndpoint(m_socket.local_endpoint(ec));
}

void DatagramSocket::send(const Endpoint &receiver, std::string_view bytes)
{
    const auto address = toUdpEndpoint(receiver);
    boost::system::error_code ec;
    if (address && m_socket.is_open())
        m_socket.send_to(boost::asio::buffer(bytes), *address, 0, ec);
}

void DatagramSocket::close()
{
    boost::system::error_code ec;
    m_socket.close(ec);
}

void DatagramSocket::awaitInput()
{
    m_socket.async_wait(Udp::socket::wait_read, [this](const auto &ec) {
        if (ec == boost::asio::error::operation_aborted || !m_socket.is_open())
            return;
        receiveAvailable();
        if (m_socket.is_open())
            awaitInput();
    });
}

void DatagramSocket::receiveAvailable()
{
    for (unsigned n = 0; n < maxDatagramsPerTurn && m_socket.is_open(); ++n) {
        Udp::endpoint sender;
        boost::system::error_code ec;
        const auto size = m_socket.receive_from(boost::asio::buffer(m_context.receiveBuffer),
                                                sender, 0, ec);
        if (ec == boost::asio::error::would_block)
            return;
        // Other errors report that an earlier datagram found no receiver.
        if (!ec)
            m_handler(fromUdpEndpoint(sender), {m_context.receiveBuffer.data(), size});
    }
}

} // namespace Sapphireladder
