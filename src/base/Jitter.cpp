#include "foxtailring/base/Jitter.h"

#include "foxtailring/base/RandomSource.h"

#include "foxtailring/base/ThreadLocalRandom.h"

namespace foxtailring {

std::chrono::milliseconds jittered(std::chrono::milliseconds maxDelay)
{
    const double fraction = 0.5 + threadLocalRandom().generateDouble() / 2;
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(maxDelay.count()) * fraction));
}

} // namespace foxtailring
