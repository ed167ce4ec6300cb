#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace Sapphireladder {

/** Seeded random numbers. Decision code takes one as an argument, so that a seed repeats a run. */
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed)
        : m_engine(seed)
    {}

    /** @return a source with a seed from the operating system. */
    static RandomSource fromSystem();

    /** @param bound upper bound, at least 1 @return a whole number in [0, bound). */
    std::size_t below(std::size_t bound);
    /** @return a number in [0, 1). */
    double unit();
    /** @return 32 random hexadecimal digits, used for identifiers. */
    std::string hexDigits();

private:
    std::mt19937_64 m_engine;
};

} // namespace Sapphireladder
