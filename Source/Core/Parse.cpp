#include "Core/Core.h"

#include <charconv>

namespace Sapphireladder {

Result<std::uint64_t> parseUnsigned(std::string_view text)
{
    std::uint64_t n = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, n);
    if (ec != std::errc() || stop != end || text.empty())
        return makeError(CoreError::InvalidNumber, std::string(text));
    return n;
}

Result<Duration> parseDuration(std::string_view text)
{
    struct Unit
    {
        std::string_view suffix;
        double seconds;
    };
    static constexpr Unit units[] = {
            {"us", 1e-6}, {"ms", 1e-3}, {"s", 1.0}, {"min", 60.0}, {"h", 3600.0},
    };
    // One year, so that the conversion to nanoseconds cannot overflow.
    constexpr double maxSeconds = 366.0 * 24 * 3600;
    double n = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, n, std::chars_format::fixed);
    const std::string_view suffix(stop, static_cast<std::size_t>(end - stop));
    for (const auto &it : units) {
        if (ec == std::errc() && suffix == it.suffix && n >= 0 && n * it.seconds <= maxSeconds)
            return fromSeconds(n * it.seconds);
    }
    return makeError(CoreError::InvalidDuration, std::string(text));
}

} // namespace Sapphireladder
