#pragma once

#include "Process/Process.h"

#include <optional>
#include <string>
#include <string_view>

namespace Sapphireladder {

/** @return the message as a CBOR array that begins with the format's version and the type. */
std::string encodeAllowanceMessage(const AllowanceMessage &message);
/** @return the message, or nothing if it is malformed or of an unknown version or type. */
std::optional<AllowanceMessage> decodeAllowanceMessage(std::string_view bytes);

} // namespace Sapphireladder
