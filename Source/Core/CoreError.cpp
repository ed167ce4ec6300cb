#include "Core/Core.h"

namespace Sapphireladder {

std::error_code make_error_code(CoreError error)
{
    static constexpr ErrorText<CoreError> texts[] = {
            {CoreError::InvalidEndpoint,
             "expected an IP number and a port, such as 127.0.0.1:8080"},
            {CoreError::InvalidNumber, "expected a whole number"},
            {CoreError::InvalidDuration, "expected a number with unit us, ms, s, min or h"},
            {CoreError::BadBase64, "expected base64"},
    };
    static const TableErrorCategory<CoreError> category("core", texts);
    return {static_cast<int>(error), category};
}

} // namespace Sapphireladder
