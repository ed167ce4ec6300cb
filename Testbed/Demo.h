#pragma once

#include "Core/Core.h"

#include <iosfwd>

namespace Sapphireladder::Testbed {

/**
 * Runs a stand-in platform, three targets and one VM in this process, stores a preset and puts it
 * in force, and sends one request.
 * @param out receives what happens, with the whole answer
 * @return TestbedError::DemoFailed if a step fails or the answer is not whole.
 */
Result<> runDemo(std::ostream &out);

} // namespace Sapphireladder::Testbed
