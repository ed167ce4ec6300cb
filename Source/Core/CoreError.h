#pragma once

#include <system_error>

namespace Sapphireladder {

/** Errors of the core library. */
enum class CoreError {
    InvalidEndpoint = 1,
    InvalidNumber,
    InvalidDuration,
    InvalidBase64,
};

std::error_code make_error_code(CoreError error);

} // namespace Sapphireladder

template<>
struct std::is_error_code_enum<Sapphireladder::CoreError> : std::true_type
{};
