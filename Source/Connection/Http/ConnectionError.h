#pragma once

#include <system_error>

namespace Sapphireladder {

/** Failures of connections. */
enum class ConnectionError {
    ConnectFailed = 1,
    ListenFailed,
};

std::error_code make_error_code(ConnectionError error);

} // namespace Sapphireladder

template<>
struct std::is_error_code_enum<Sapphireladder::ConnectionError> : std::true_type
{};
