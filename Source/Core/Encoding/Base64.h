#pragma once

#include "Core/Core.h"

#include <string>
#include <string_view>

namespace Sapphireladder {

/** @return the bytes in base64, without line breaks. */
std::string encodeBase64(std::string_view bytes);

/** @return the bytes, or CoreError::InvalidBase64. */
Result<std::string> decodeBase64(std::string_view text);

} // namespace Sapphireladder
