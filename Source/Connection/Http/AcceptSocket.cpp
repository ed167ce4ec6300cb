#include "Connection/Http/ConnectionHttp.h"

#include <Poco/Exception.h>

#include <array>
#include <cerrno>

#include <linux/filter.h>
#include <sys/socket.h>

namespace Sapphireladder {

Result<std::unique_ptr<AcceptSocket>> AcceptSocket::create(const Endpoint &endpoint)
{
    std::unique_ptr<AcceptSocket> result(new AcceptSocket);
    try {
        auto &socket = result->m_socket;
        // reusePort must be false, or POCO lets another process listen on the same port.
        socket.bind(Poco::Net::SocketAddress(endpoint.host, endpoint.port), true, false);
        socket.listen(SOMAXCONN);
        // A caller can disconnect between poll and accept, and a blocking accept would then wait.
        socket.setBlocking(false);
    } catch (const Poco::Exception &) {
        return makeError(ConnectionError::ListenFailed, endpoint.toString());
    }
    return result;
}

AcceptSocket::AcceptResult AcceptSocket::accept(int &fd)
{
    while (true) {
        fd = ::accept4(m_socket.impl()->sockfd(), nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0)
            return AcceptResult::Connection;
        switch (errno) {
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
            return AcceptResult::NoResources;
        case EINTR:
        case ECONNABORTED:
            continue;
        default:
            return AcceptResult::NoneWaiting;
        }
    }
}

void AcceptSocket::ignoreNewConnections()
{
    // Drops segments with SYN but without ACK. The last segment of a handshake in progress still
    // passes, so that no caller sees a connection as open that this kernel does not have.
    constexpr unsigned flagsOffset = 13;
    constexpr unsigned synAndAck = 0x12;
    constexpr unsigned syn = 0x02;
    constexpr unsigned keepAll = 0xffffffff;
    std::array<sock_filter, 5> code{{
            {BPF_LD | BPF_B | BPF_ABS, 0, 0, flagsOffset},
            {BPF_ALU | BPF_AND | BPF_K, 0, 0, synAndAck},
            {BPF_JMP | BPF_JEQ | BPF_K, 0, 1, syn},
            {BPF_RET | BPF_K, 0, 0, 0},
            {BPF_RET | BPF_K, 0, 0, keepAll},
    }};
    const sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
    ::setsockopt(m_socket.impl()->sockfd(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
    m_isIgnoringNewConnections = true;
}

Endpoint AcceptSocket::endpoint() const
{
    const auto address = m_socket.address();
    return {address.host().toString(), address.port()};
}

} // namespace Sapphireladder
