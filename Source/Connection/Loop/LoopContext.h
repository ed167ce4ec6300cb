#pragma once

#include "Connection/Loop/BufferBudget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string_view>

namespace Sapphireladder {

using TcpSocket = boost::asio::ip::tcp::socket;
using TcpEndpoint = boost::asio::ip::tcp::endpoint;
using LoopTimer = boost::asio::steady_timer;

/** State shared by all connections of one event loop. Used by the thread of that loop only. */
struct LoopContext
{
    boost::asio::io_context &io;
    const Clock &clock;
    /** Shared receive buffer, so that idle connections need none of their own. */
    std::array<char, 64 * kibibyte> receiveBuffer{};
    /** Limit for the incomplete messages of all connections. */
    BufferBudget buffers{};
    /** Maximum of bytes that the kernel holds unsent for a caller; 0 for the kernel's default. */
    std::size_t maxUnsentBytes = 0;
};

/** @return the endpoint for Asio, or nothing if the host is not an IP address. */
std::optional<TcpEndpoint> toTcpEndpoint(const Endpoint &endpoint);

/**
 * Turns off Nagle's algorithm and turns on detection of unresponsive peers.
 * @param socket an open socket
 * @param ackTimeout time without an acknowledgement after which the kernel ends the connection;
 * at least 3 s
 */
void setSocketOptions(TcpSocket &socket, Duration ackTimeout);

/** Limits the bytes that the kernel holds unsent for a socket. */
void limitUnsentBytes(TcpSocket &socket, std::size_t maxBytes);

/**
 * Reads the available input without blocking.
 * @param ec set if the connection has ended
 * @param maxBytes maximum number of bytes to read
 * @return a view into the context's receive buffer, valid until the next read.
 */
std::string_view readAvailable(LoopContext &context, TcpSocket &socket,
                               boost::system::error_code &ec,
                               std::size_t maxBytes = std::string_view::npos);

/**
 * Calls a member function after a delay, unless the object is destroyed or the timer restarted
 * before.
 * @param timer a member of the object
 */
template<typename T>
void callAfter(LoopTimer &timer, std::weak_ptr<T> object, Duration delay, void (T::*handler)())
{
    timer.expires_after(std::max(Duration::zero(), delay));
    timer.async_wait([object = std::move(object), handler, &timer](const auto &ec) {
        const auto self = object.lock();
        // A restarted timer may still deliver its previous expiry, if that was already queued.
        if (self && !ec && timer.expiry() <= LoopTimer::clock_type::now())
            ((*self).*handler)();
    });
}

} // namespace Sapphireladder
