#include "Core/Core.h"

namespace Sapphireladder {

std::error_code make_error_code(CoreError error)
{
    static constexpr ErrorText<CoreError> texts[] = {
            {CoreError::InvalidEndpoint,
             "expected an IPv4 address and a port, such as 127.0.0.1:8080"},
            {CoreError::InvalidNumber, "expected an unsigned integer"},
            {CoreError::InvalidDuration,
             "expected a duration with unit us, ms, s, min or h, such as 250ms"},
            {CoreError::InvalidBase64, "invalid base64 encoding"},
    };
    static const TableErrorCategory<CoreError> category("core", texts);
    return {static_cast<int>(error), category};
}

} // namespace Sapphireladder
