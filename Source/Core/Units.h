#pragma once

#include <cstddef>

namespace Sapphireladder {

/** Bytes in a kibibyte. */
constexpr std::size_t kibibyte = 1024;
/** Bytes in a mebibyte. */
constexpr std::size_t mebibyte = 1024 * kibibyte;

} // namespace Sapphireladder
