#pragma once

#include <string>
#include <string_view>

namespace Sapphireladder {

/** @return the SHA-256 digest of the bytes in hexadecimal digits. */
std::string sha256Hex(std::string_view bytes);

} // namespace Sapphireladder
