#pragma once

#include <system_error>

namespace Sapphireladder::Testbed {

/** Errors of the fake servers and the load generator. */
enum class TestbedError {
    NotAnObject = 1,
    UnknownField,
    InvalidValue,
    MissingEndpoints,
    DemoFailed,
};

std::error_code make_error_code(TestbedError error);

} // namespace Sapphireladder::Testbed

template<>
struct std::is_error_code_enum<Sapphireladder::Testbed::TestbedError> : std::true_type
{};
