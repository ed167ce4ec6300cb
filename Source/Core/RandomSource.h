#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace Sapphireladder {

/** Seeded random number generator. Passed to decision code, so that a seed reproduces a run. */
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed)
        : m_engine(seed)
    {}

    /** @return a generator seeded by the operating system. */
    static RandomSource fromSystem();

    /** @param bound at least 1 @return a uniformly distributed integer in [0, bound). */
    std::size_t below(std::size_t bound);
    /** @return 64 random bits. */
    std::uint64_t bits() { return m_engine(); }
    /** @return a uniformly distributed number in [0, 1). */
    double unit();
    /** @return 128 random bits as 32 hexadecimal digits, used for identifiers. */
    std::string hexDigits();

private:
    std::mt19937_64 m_engine;
};

} // namespace Sapphireladder
