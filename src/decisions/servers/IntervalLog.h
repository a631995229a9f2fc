#pragma once

#include "foxtailring/base/Clock.h"

#include <chrono>
#include <cmath>

namespace foxtailring {

/// \brief Logarithm of a positive duration in seconds: one interval that is far too long then
/// counts as little as one that is far too short.
inline double intervalLog(Duration interval)
{
    return std::log(std::chrono::duration<double>(interval).count());
}

} // namespace foxtailring
