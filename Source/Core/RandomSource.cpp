#include "Core/Core.h"

#include <array>
#include <cassert>

namespace Sapphireladder {

RandomSource RandomSource::fromSystem()
{
    std::random_device device;
    const auto high = static_cast<std::uint64_t>(device()) << 32U;
    return RandomSource(high | device());
}

std::size_t RandomSource::below(std::size_t bound)
{
    assert(bound > 0);
    return static_cast<std::size_t>(m_engine() % bound);
}

double RandomSource::unit()
{
    constexpr double twoTo53 = 9007199254740992.0;
    return static_cast<double>(m_engine() >> 11U) / twoTo53;
}

std::string RandomSource::hexDigits()
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (int half = 0; half < 2; ++half) {
        auto n = m_engine();
        for (int i = 0; i < 16; ++i) {
            text.push_back(digits[n & 0xfU]);
            n >>= 4U;
        }
    }
    return text;
}

} // namespace Sapphireladder
