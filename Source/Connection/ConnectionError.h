#pragma once

#include <system_error>

namespace Sapphireladder {

/** Failures of connections. */
enum class ConnectionError {
    ConnectFailed = 1,
    ListenFailed,
    /** The peer closed between two messages. */
    PeerClosed,
    /** The peer closed in the middle of a message. */
    MessageCut,
    ConnectionReset,
    DeadlinePassed,
    HeadTooLarge,
    HeadMalformed,
    BodyTooLarge,
    BadFraming,
    /** Only the close would end the message, so that a cut one could not be told apart. */
    NoLength,
};

std::error_code make_error_code(ConnectionError error);

} // namespace Sapphireladder

template<>
struct std::is_error_code_enum<Sapphireladder::ConnectionError> : std::true_type
{};
