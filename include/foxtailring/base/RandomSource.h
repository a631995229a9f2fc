#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace foxtailring {

/// \brief Pseudo-random generator; the same seed repeats the same decisions. Not thread-safe.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed);

    /// \brief Seeds a generator from the system's entropy source.
    static RandomSource fromEntropy();

    /// \brief Uniform in [0, bound); \a bound must be above 0.
    std::uint64_t bounded(std::uint64_t bound);

    /// \brief Uniform in [0, 1).
    double generateDouble();

    /// \brief 128 random bits as 32 lower-case hexadecimal digits.
    std::string generateHexId();

private:
    std::mt19937_64 m_engine;
};

} // namespace foxtailring
