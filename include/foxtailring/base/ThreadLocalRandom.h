#pragma once

namespace foxtailring {

class RandomSource;

/// \brief Generator of the calling thread, seeded from the system's entropy source.
RandomSource &threadLocalRandom();

} // namespace foxtailring
