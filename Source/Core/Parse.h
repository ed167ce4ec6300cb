#pragma once

#include "Core/Result.h"
#include "Core/Time.h"

#include <cstdint>
#include <string_view>

namespace Sapphireladder {

/** @param text decimal digits only @return the number or CoreError::InvalidNumber. */
Result<std::uint64_t> parseUnsigned(std::string_view text);

/**
 * @param text a number followed by us, ms, s, min or h, such as "250ms"
 * @return the duration, or CoreError::InvalidDuration.
 */
Result<Duration> parseDuration(std::string_view text);

} // namespace Sapphireladder
