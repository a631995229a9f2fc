#pragma once

#include <chrono>
#include <cstddef>

namespace foxtailring {

/// \brief Limits that an HTTP server applies to requests.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 32 * 1024;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    std::chrono::milliseconds idleTimeout {
        60'000}; ///< without input, or without output progress at the end of a response
    std::chrono::milliseconds headerTimeout {60'000}; ///< from the first bytes of a head to its end
};

} // namespace foxtailring
