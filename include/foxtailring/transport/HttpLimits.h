#pragma once

#include <chrono>
#include <cstddef>

namespace foxtailring {

/// \brief What an HTTP server takes from outside.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 32 * 1024;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    std::chrono::milliseconds idleTimeout {60'000}; ///< a kept-alive connection without a request
    std::chrono::milliseconds headerTimeout {
        60'000}; ///< from the first byte of a request to its body
};

} // namespace foxtailring
