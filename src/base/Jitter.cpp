#include "foxtailring/base/Jitter.h"

#include "foxtailring/base/RandomSource.h"

#include "foxtailring/base/ThreadRandom.h"

namespace foxtailring {

std::chrono::milliseconds jittered(std::chrono::milliseconds most)
{
    const double part = 0.5 + threadRandom().unit() / 2;
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(most.count()) * part));
}

} // namespace foxtailring
