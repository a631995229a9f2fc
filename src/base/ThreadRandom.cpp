#include "foxtailring/base/ThreadRandom.h"

#include "foxtailring/base/RandomSource.h"

namespace foxtailring {

RandomSource &threadRandom()
{
    thread_local RandomSource random = RandomSource::fromEntropy();
    return random;
}

} // namespace foxtailring
