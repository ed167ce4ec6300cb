#pragma once

#include <system_error>

namespace Sapphireladder {

/** Errors of connections and of the messages on them. */
enum class ConnectionError {
    ConnectFailed = 1,
    ListenFailed,
    /** The peer closed the connection between two messages. */
    PeerClosed,
    /** The peer closed the connection in the middle of a message. */
    MessageTruncated,
    ConnectionReset,
    DeadlinePassed,
    HeadTooLarge,
    HeadMalformed,
    BodyTooLarge,
    BadFraming,
    /** The body would end with the connection, so that truncation could not be detected. */
    NoLength,
};

std::error_code make_error_code(ConnectionError error);

} // namespace Sapphireladder

template<>
struct std::is_error_code_enum<Sapphireladder::ConnectionError> : std::true_type
{};
