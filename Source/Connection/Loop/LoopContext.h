#pragma once

#include "Core/Core.h"

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

/**
 * Reads what has arrived, without waiting.
 * @param ec set if the connection has ended
 * @return the bytes, which stand in the context's buffer until the next read.
 */
std::string_view readArrived(LoopContext &context, TcpSocket &socket,
                             boost::system::error_code &ec);

/**
 * Calls a member function after a delay, unless the object is gone or the timer was set again.
 * @param timer a member of the object
 */
template<typename T>
void callAfter(LoopTimer &timer, std::weak_ptr<T> object, Duration delay, void (T::*handler)())
{
    timer.expires_after(std::max(Duration::zero(), delay));
    timer.async_wait([object = std::move(object), handler, &timer](const auto &ec) {
        const auto self = object.lock();
        // A timer that was set again may still deliver its former end.
        if (self && !ec && timer.expiry() <= LoopTimer::clock_type::now())
            ((*self).*handler)();
    });
}

} // namespace Sapphireladder
