#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Probability of \a hits or more in \a trials, each of which hits with \a probability.
double binomialTail(std::uint64_t trials, std::uint64_t hits, double probability);

} // namespace foxtailring
