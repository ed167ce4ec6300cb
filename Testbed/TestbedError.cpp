#include "Testbed/Testbed.h"

namespace Sapphireladder::Testbed {

std::error_code make_error_code(TestbedError error)
{
    static constexpr ErrorText<TestbedError> texts[] = {
            {TestbedError::NotAnObject, "expected a JSON object"},
            {TestbedError::UnknownField, "unknown field"},
            {TestbedError::InvalidValue, "invalid value of field"},
            {TestbedError::MissingEndpoints, "--endpoints needs at least one address"},
            {TestbedError::DemoFailed, "the demo failed"},
    };
    static const TableErrorCategory<TestbedError> category("testbed", texts);
    return {static_cast<int>(error), category};
}

} // namespace Sapphireladder::Testbed
