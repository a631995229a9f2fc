#pragma once

namespace foxtailring {

class RandomSource;

/// \brief The generator of the calling thread.
RandomSource &threadLocalRandom();

} // namespace foxtailring
