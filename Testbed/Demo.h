#pragma once

#include "Core/Core.h"

#include <iosfwd>

namespace Sapphireladder::Testbed {

/**
 * Runs a fake platform, three fake targets and one VM in this process, stores and activates a
 * preset, and sends one request.
 * @param out receives the steps and the complete response
 * @return TestbedError::DemoFailed if a step fails or the response is not complete.
 */
Result<> runDemo(std::ostream &out);

} // namespace Sapphireladder::Testbed
