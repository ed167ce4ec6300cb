#include "Testbed/Testbed.h"

#include <charconv>
#include <limits>

namespace Sapphireladder::Testbed {

bool parseValue(std::string_view text, bool &value)
{
    if (text != "true" && text != "false")
        return false;
    value = text == "true";
    return true;
}

bool parseValue(std::string_view text, std::uint64_t &value)
{
    const auto n = parseUnsigned(text);
    if (n)
        value = n.value();
    return n.has_value();
}

bool parseValue(std::string_view text, unsigned &value)
{
    std::uint64_t n = 0;
    if (!parseValue(text, n) || n > std::numeric_limits<unsigned>::max())
        return false;
    value = static_cast<unsigned>(n);
    return true;
}

bool parseValue(std::string_view text, double &value)
{
    double n = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || stop != end || !(n >= 0))
        return false;
    value = n;
    return true;
}

bool parseValue(std::string_view text, Duration &value)
{
    const auto duration = parseDuration(text);
    if (duration)
        value = duration.value();
    return duration.has_value();
}

bool parseValue(std::string_view text, std::string &value)
{
    value = text;
    return true;
}

} // namespace Sapphireladder::Testbed
