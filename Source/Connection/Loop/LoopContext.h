#pragma once

#include "Core/Core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <optional>

namespace Sapphireladder {

using TcpSocket = boost::asio::ip::tcp::socket;
using TcpEndpoint = boost::asio::ip::tcp::endpoint;
using LoopTimer = boost::asio::steady_timer;

/** What all connections of one thread's event loop share. Used by that thread only. */
struct LoopContext
{
    boost::asio::io_context &io;
    const Clock &clock;
    /** Input is received here, so that idle connections hold no buffer. */
    std::array<char, 64 * kibibyte> receiveBuffer{};
};

/** @return the address for Asio, or nothing if the host is not an IP number. */
std::optional<TcpEndpoint> toTcpEndpoint(const Endpoint &endpoint);

/**
 * Makes the kernel send what is written at once, and notice a peer that went silent.
 * @param socket an open socket
 * @param silenceLimit time without an acknowledgement after which the connection fails; at least 3
 * s
 */
void setSocketOptions(TcpSocket &socket, Duration silenceLimit);

} // namespace Sapphireladder
