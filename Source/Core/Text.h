#pragma once

#include <string>
#include <string_view>

namespace Sapphireladder {

/** @return the text with its ASCII letters in lower case. */
std::string toLowerCase(std::string_view text);

/** @return whether the texts are equal, ignoring the case of ASCII letters. */
bool equalsIgnoringCase(std::string_view a, std::string_view b);

} // namespace Sapphireladder
