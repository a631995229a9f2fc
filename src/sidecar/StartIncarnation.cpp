#include "foxtailring/sidecar/StartIncarnation.h"

#include "foxtailring/base/RandomSource.h"

#include <chrono>

namespace foxtailring {

namespace {

// 43 bits of milliseconds reach beyond the year 2200; the sum stays below 2^63, so that readers
// with signed integers take it.
constexpr int randomBits = 20;

} // namespace

std::uint64_t startIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    RandomSource random = RandomSource::fromEntropy();
    return static_cast<std::uint64_t>(milliseconds) << randomBits
        | random.bounded(std::uint64_t(1) << randomBits);
}

} // namespace foxtailring
