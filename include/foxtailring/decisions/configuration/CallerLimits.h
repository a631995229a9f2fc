#pragma once

#include <chrono>
#include <cstddef>

namespace foxtailring {

/// \brief Size and time limits of callers' requests.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 32 * 1024;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout {10'000};
    std::chrono::milliseconds idleTimeout {60'000};
};

} // namespace foxtailring
