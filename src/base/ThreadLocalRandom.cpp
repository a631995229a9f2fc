#include "foxtailring/base/ThreadLocalRandom.h"

#include "foxtailring/base/RandomSource.h"

namespace foxtailring {

RandomSource &threadLocalRandom()
{
    thread_local RandomSource random = RandomSource::fromEntropy();
    return random;
}

} // namespace foxtailring
