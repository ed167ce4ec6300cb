#include "Core/Core.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

std::string toLowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), toLower);
    return lower;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return toLower(x) == toLower(y); });
}

} // namespace Sapphireladder
