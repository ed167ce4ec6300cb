#pragma once

#include <string>

namespace Sapphireladder {

/** One header field of a message, independent of how the message is encoded. */
struct HeaderField
{
    std::string name;
    std::string value;
};

} // namespace Sapphireladder
